"""What members tell each other, and what a member tells its host program."""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec

MAX_INCARNATION = 1 << 30


class State(IntEnum):
    """How a member is; at one incarnation a higher state goes before a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Fact(msgspec.Struct, frozen=True):
    """A member's state at an incarnation. Of a suspicion: its `age` in tenths of a second, and whether who
    tells it is a `witness`, whose own probes had no answer."""

    member: int
    incarnation: int
    state: State
    age: int = 0
    witness: bool = False


class Header(msgspec.Struct, frozen=True):
    """What every datagram begins with.

    `sequence`: of the probe, for pings and their answers; `digest`: of the sender's view; `held`: the
    incarnation that the sender holds of the receiver, 0 if it does not know it."""

    sender: int
    incarnation: int
    sequence: int
    digest: int
    known_incarnation: int


class Ping(msgspec.Struct, frozen=True):
    """Asks the receiver for an Ack with this sequence number."""

    header: Header
    facts: tuple[Fact, ...] = ()


class Ack(msgspec.Struct, frozen=True):
    """Answers a Ping."""

    header: Header
    facts: tuple[Fact, ...] = ()


class Gossip(msgspec.Struct, frozen=True):
    """Facts alone, with no answer."""

    header: Header
    facts: tuple[Fact, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True):
    """Asks the receiver to ping `target` and to pass on its answer."""

    header: Header
    target: int
    facts: tuple[Fact, ...] = ()


class IndirectAck(msgspec.Struct, frozen=True):
    """`target` has answered the receiver's IndirectPing, at `target_incarnation`."""

    header: Header
    target: int
    target_incarnation: int
    facts: tuple[Fact, ...] = ()


class PageDigests(msgspec.Struct, frozen=True):
    """The digest of each page of the sender's view; the receiver sends the pages that differ."""

    header: Header
    digests: tuple[int, ...]


class Page(msgspec.Struct, frozen=True):
    """All that the sender knows of the members from `first` up to and without `end`."""

    header: Header
    first: int
    end: int
    facts: tuple[Fact, ...] = ()


Message = Ping | Ack | Gossip | IndirectPing | IndirectAck | PageDigests | Page


class DropReason(Enum):
    """Why a datagram was dropped whole."""

    LENGTH = "length"
    VERSION = "version"
    KIND = "kind"
    CHECKSUM = "checksum"
    SENDER = "sender"  # not a member, not its address, or the receiver itself
    VALUE = "value"  # a member beyond the list, an incarnation beyond its bound, a fact twice
    STALE = "stale"  # of an earlier process of its sender
    FLOOD = "flood"  # more in a moment than are read


class Isolation(Enum):
    """Why a member that gets no answers believes so."""

    UNANSWERED = "unanswered"  # others are heard, and none answers
    DEAF = "deaf"  # nothing is heard


class MemberChanged(msgspec.Struct, frozen=True):
    """The view of a member has changed. `after`: since the first sign of it, in tenths of a millisecond."""

    member: int
    state: State
    incarnation: int
    why: str
    after: int = 0


class IsolationChanged(msgspec.Struct, frozen=True):
    """This member has become isolated, or with None it is no longer."""

    why: Isolation | None
    after: int = 0


class Joined(msgspec.Struct, frozen=True):
    """This member has its incarnation and takes part."""

    incarnation: int


Event = MemberChanged | IsolationChanged | Joined


class Datagram(msgspec.Struct, frozen=True):
    """Bytes to send to a member."""

    to: int
    data: bytes
