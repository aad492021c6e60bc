"""Messages between members, and the events that a member reports to its host program."""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec

MAX_INCARNATION = 1 << 30


class State(IntEnum):
    """State of a member; at the same incarnation a higher state overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Fact(msgspec.Struct, frozen=True):
    """A member's state at an incarnation.

    Of a suspicion only: its `age` in tenths of a second, and whether the sender is a `witness`, that is
    whether its own probes had no answer."""

    member: int
    incarnation: int
    state: State
    age: int = 0
    witness: bool = False


class Header(msgspec.Struct, frozen=True):
    """The header of every datagram.

    `sequence`: of the probe, for pings and their answers; `digest`: of the sender's view;
    `known_incarnation`: the receiver's incarnation as the sender knows it, 0 if it does not."""

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
    """Answers a Ping, with its sequence number."""

    header: Header
    facts: tuple[Fact, ...] = ()


class Gossip(msgspec.Struct, frozen=True):
    """Carries facts; is not answered."""

    header: Header
    facts: tuple[Fact, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True):
    """Asks the receiver to ping `target` and to relay its answer."""

    header: Header
    target: int
    facts: tuple[Fact, ...] = ()


class IndirectAck(msgspec.Struct, frozen=True):
    """Reports that `target` has answered, at `target_incarnation`: the answer to an IndirectPing."""

    header: Header
    target: int
    target_incarnation: int
    facts: tuple[Fact, ...] = ()


class PageDigests(msgspec.Struct, frozen=True):
    """The digest of each page of the sender's view; the receiver answers with the pages that differ."""

    header: Header
    digests: tuple[int, ...]


class Page(msgspec.Struct, frozen=True):
    """All facts that the sender knows of the members from `first` up to, but not including, `end`."""

    header: Header
    first: int
    end: int
    facts: tuple[Fact, ...] = ()


Message = Ping | Ack | Gossip | IndirectPing | IndirectAck | PageDigests | Page


class DropReason(Enum):
    """Why a datagram was dropped."""

    LENGTH = "length"
    VERSION = "version"
    KIND = "kind"
    CHECKSUM = "checksum"
    SENDER = "sender"  # not a member, not that member's address, or the receiver itself
    VALUE = "value"  # a member or incarnation out of range, or two facts on one member
    STALE = "stale"  # from an earlier process of its sender
    FLOOD = "flood"  # over the limit of datagrams read in an interval


class Isolation(Enum):
    """Why a member counts itself as isolated."""

    UNANSWERED = "unanswered"  # datagrams arrive, but no probe is answered
    DEAF = "deaf"  # no datagram arrives


class MemberChanged(msgspec.Struct, frozen=True):
    """The state of a member has changed in this view.

    `after`: time since the first sign of the change, in tenths of a millisecond."""

    member: int
    state: State
    incarnation: int
    why: str
    after: int = 0


class IsolationChanged(msgspec.Struct, frozen=True):
    """This member has become isolated, or, if `why` is None, is no longer.

    `after`: time since the last answer, in tenths of a millisecond."""

    why: Isolation | None
    after: int = 0


class Joined(msgspec.Struct, frozen=True):
    """This member has its incarnation and takes part from now on."""

    incarnation: int


Event = MemberChanged | IsolationChanged | Joined


class Datagram(msgspec.Struct, frozen=True):
    """An encoded message and the member to send it to."""

    to: int
    data: bytes
