"""What the decision module is told and what it answers, whatever protocol stands before it.

Times are whole tenths of a millisecond on one clock that only increases. Ids of texts, their keys and hosts
are handed back as they came; the module never reads anything out of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

HostId = bytes
TextId = int | bytes
MS, SECOND = 10, 10_000


class Effect(Enum):
    """What a repeat of a text does at its destination."""

    RESENDABLE = "resendable"
    REFERENCED = "referenced"
    ONCE_ONLY = "once-only"


class Result(Enum):
    """How one submit ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    MALFORMED = "spoilt"  # its answer can't be read: it may have run, and may still be running
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT = "connect"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


class Listing(Enum):
    """What the list says of a host; it says nothing of its health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True)
class Product:
    """One row of the product table."""

    effect: Effect
    sla_time: int
    validity_period: int
    revenue: float
    late_share: float
    by_halves: bool
    retry_window: int = 0
    retry_anywhere: bool = True
    in_order: bool = False


@dataclass(slots=True)
class HostKind:
    """One kind of destination."""

    texts_per_call: int = 1
    routes_apart: bool = False


@dataclass(slots=True)
class PolicySettings:
    """All that a relay is told when it starts."""

    seed: int
    relays: int
    slots: int
    max_texts: int
    max_submits: int
    max_advice: int
    products: list[Product]
    kinds: list[HostKind]
    zone_fees: list[float] = field(default_factory=list)
    rates_listed: bool = False
    list_asked: bool = False  # news of the hosts comes only to relays that ask for it
    hosts_on_demand: bool = False  # the list is kept outside: a destination's hosts are told as it is met
    ask_within: int = 0  # who has not asked for so long is taken as told all the same
    cold_share: float = 1.0
    cold_time: int = 0
    fall_multiple: float = 1.0
    fall_time: int = 0
    key_cooldown: int = 0
    connection_idle_limit: int = 0


@dataclass(slots=True)
class HostEntry:
    """One line of the list of hosts."""

    host: HostId
    destination: int
    zone: int
    kind: int
    rate: float
    listing: Listing


@dataclass(slots=True)
class Text:
    """One text taken from a client; it is owed one final answer before `valid_until`."""

    id: TextId
    destination: int
    product: int
    valid_until: int
    customer: int = 0
    key: int | bytes = 0
    resubmitted: bool = False  # its client hands it in again after a nack
    received_at: int | None = None  # its place in its key's order; None: as it is told


@dataclass(slots=True)
class TextHistory:
    """What an earlier process of this relay did with a text that is not finished yet.

    `first_run_at` and `first_run_zone`: when and where the first submit that may have run was sent.
    `in_flight`: one submit had no outcome yet. `is_answered`: the final answer has been given and only waits
    to be acknowledged."""

    submit_count: int = 0
    first_run_at: int | None = None
    first_run_zone: int | None = None
    in_flight: bool = False
    is_answered: bool = False
    in_order: bool | None = None  # as its product was when it was taken on; None: as its product is now


@dataclass(slots=True)
class SubmitReport:
    """How a submit ended.

    `finished`: the text is finished. `retry_after`: the wait that the destination asked for, 0 for none."""

    text: TextId
    host: HostId
    result: Result
    took: int
    finished: bool = False
    retry_after: int = 0
    limit_left: float | None = None
    limit_rate: float | None = None
    idle: int | None = None  # how long its connection had stood idle; 0 if it was new, None if nobody knows
    unsent: bool = False  # held back as its connection came up: no byte of it went, and no host counts it


@dataclass(slots=True)
class ProbeReport:
    """How a probe of a host ended."""

    host: HostId
    result: Result
    limit_left: float | None = None
    limit_rate: float | None = None


@dataclass(slots=True)
class Submit:
    """Send the text to the host, stop waiting after `timeout`; keep the connection idle for `idle_limit`."""

    text: TextId
    host: HostId
    timeout: int
    idle_limit: int = 0


@dataclass(slots=True)
class Nack:
    """Final answer: not delivered, and coming again (after `advice`, if above 0) is harmless."""

    text: TextId
    advice: int


@dataclass(slots=True)
class Undeliverable:
    """Final answer: given up, with no promise about its effect."""

    text: TextId


@dataclass(slots=True)
class Probe:
    """Check a host."""

    host: HostId


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a host."""

    host: HostId


@dataclass(slots=True)
class Forget:
    """The module knows nothing of the destination and its hosts any more: it is to be told again when met."""

    destination: int
    hosts: list[HostId]


@dataclass(slots=True)
class Watch:
    """Ask for the list of hosts and what changes in it from now on."""


@dataclass(slots=True)
class Wake:
    """Call `decide` again after this time."""

    after: int


class Health(Enum):
    """What the module has come to hold of a host."""

    OUTAGE = "sick"  # in an outage: it gets trials alone
    WARMING = "warming"  # back from one, and cold


@dataclass(slots=True)
class LogLine:
    """One line for the relay's log, on a host; `health`: what the other process of an upgrade hears."""

    line: str
    host: HostId
    health: Health | None = None


def limit_from_report(report: dict[str, float]) -> tuple[float | None, float | None]:
    """Share of the limit left and the limit's rate, None where not told: both are 0 where there is no limit.

    Guards against a host without a limit that passes for one whose limit is used up."""
    left, rate = report.get("x0"), report.get("x1")
    return (None, None) if not left and rate == 0 else (left, rate)


Action = Submit | Nack | Undeliverable | Probe | CloseIdle | Forget | Watch | Wake | LogLine
