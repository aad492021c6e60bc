"""The types that the decision module (limelatch/policy.py) takes in and returns, whatever the protocol is.

Times are whole tenths of a millisecond on one clock that only increases. Ids of texts, hosts and keys are
opaque: the module returns them as they came.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

HostId = bytes
TextId = int | bytes
# Units of time: tenths of a millisecond.
MS = 10
SECOND = 10_000
UNKNOWN_ZONE = -1  # the number of a host's zone where nobody has told it
# The number of a product that the settings don't have; the history of its text has the product.
UNKNOWN_PRODUCT = -1


class Effect(Enum):
    """What a repeat of a text does at its destination.

    Resendable: no effect, or a harmless one. Referenced: for a while the destination recognises the text and
    does not run it again. Once-only: the text may take effect twice."""

    RESENDABLE = "resendable"
    REFERENCED = "referenced"
    ONCE_ONLY = "once-only"


class Result(Enum):
    """How one submit ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    MALFORMED = "spoilt"  # the answer can't be read: the text may have run, or may still be running
    FULL = "full"  # refused by a limit or a full queue: the text has not run
    TIMEOUT = "timeout"
    CONNECT = "connect"  # no connection came up: the text has not run
    RESET = "reset"
    CANCELLED = "cancelled"  # given up by the relay: the text may have run
    NOT_SENT = "moot"  # never sent, or answered as certainly not run


class Listing(Enum):
    """What the host list says of a host; it says nothing of the host's health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True)
class Product:
    """One row of the product table: what its texts are worth, and what may be done with them.

    `revenue` is earned by a delivery within `sla_time` of the submission, `late_share` of it by one within
    `validity_period`. `retry_window`: time from the first submit in which the destination recognises a repeat
    of a referenced text; `retry_anywhere`: in all of its zones. `in_order`: texts of a key go one by one."""

    effect: Effect
    sla_time: int
    validity_period: int
    revenue: float
    late_share: float
    by_halves: bool
    retry_window: int = 0
    retry_anywhere: bool = False
    in_order: bool = False


@dataclass(slots=True)
class HostKind:
    """One kind of destination.

    `routes_apart`: each host has a limit of its own, instead of one for the whole destination."""

    texts_per_call: int = 1
    routes_apart: bool = False


@dataclass(slots=True)
class PolicySettings:
    """The configuration of one relay's decisions.

    `relays`: number of relays in the fleet. `max_advice`: the wait that a nack advises, at the most.
    `key_cooldown`: how long the other texts of an ordered key wait after a call that may still run.
    `cold_share`, `cold_time`, `fall_multiple`, `fall_time`: what a host bears after an outage."""

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
    list_on_request: bool = False  # the host list and its changes come only on request
    hosts_on_demand: bool = False  # a destination's hosts are listed when its first text comes
    ask_within: int = 0  # relays have to ask for the list within this time
    cold_share: float = 1.0
    cold_time: int = 0
    fall_multiple: float = 1.0
    fall_time: int = 0
    key_cooldown: int = 0
    connection_idle_limit: int = 0


@dataclass(slots=True)
class HostEntry:
    """One line of the host list; `rate` is the limit in calls a second, 0 where none is known.

    `zone`: two hosts are in the same zone if their numbers are equal and not UNKNOWN_ZONE."""

    host: HostId
    destination: int
    zone: int
    kind: int
    rate: float
    listing: Listing


@dataclass(slots=True)
class Text:
    """One text accepted from a client, which gets one final answer by `valid_until`."""

    id: TextId
    destination: int
    product: int
    valid_until: int
    customer: int = 0
    key: int | bytes = 0
    resubmitted: bool = False  # its client submits it again after a nack
    received_at: int | None = None  # decides its place in its key's order; None: the time of the event


@dataclass(slots=True)
class TextHistory:
    """What an earlier process of this relay did with a text that is not finished yet.

    `first_run_at` and `first_run_zone`: when and where the first submit that may have run was sent.
    `in_flight`: one submit had no outcome yet. `is_answered`: the final answer has been given and only waits
    to be acknowledged. `product`: the product as it was when the text was accepted, whatever the settings say
    of it now; None: as in the settings."""

    submit_count: int = 0
    first_run_at: int | None = None
    first_run_zone: int | None = None
    in_flight: bool = False
    is_answered: bool = False
    product: Product | None = None


@dataclass(slots=True)
class SubmitReport:
    """How a submit ended.

    `finished`: nothing more is to be done for the text. `took`: from the start of the call to its outcome.
    `retry_after`: the wait that the destination asked for, 0 for none. `limit_left`, `limit_rate`: the share
    of the limit that is left and the limit in calls a second, None where the answer did not say."""

    text: TextId
    host: HostId
    result: Result
    took: int
    finished: bool = False
    retry_after: int = 0
    limit_left: float | None = None
    limit_rate: float | None = None
    idle_time: int | None = None  # how long the connection had been idle; 0: a new one, None: unknown
    unsent: bool = False  # stopped before its request was sent: no host counts it
    in_doubt: bool = False  # the response may belong to another request; only its Retry-After holds


@dataclass(slots=True)
class ProbeReport:
    """How a probe of a host ended."""

    host: HostId
    result: Result
    limit_left: float | None = None
    limit_rate: float | None = None


@dataclass(slots=True)
class Submit:
    """Send the text to the host, give up after `timeout`; keep the connection idle for `idle_limit`."""

    text: TextId
    host: HostId
    timeout: int
    idle_limit: int = 0


@dataclass(slots=True)
class Nack:
    """Final answer: not delivered; submitting again, after `advice` if that is above 0, is harmless."""

    text: TextId
    advice: int


@dataclass(slots=True)
class Undeliverable:
    """Final answer: given up; the text may or may not have taken effect."""

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
    """The module has dropped the destination and its hosts; list them again when a text for it comes."""

    destination: int
    hosts: list[HostId]


@dataclass(slots=True)
class Watch:
    """Ask for the host list and its changes from now on."""


@dataclass(slots=True)
class Wake:
    """Call `decide` again after this time."""

    after: int


class Health(Enum):
    """What the module has found about a host."""

    OUTAGE = "sick"  # it gets only trials
    WARMING = "warming"  # back from an outage: its calls grow step by step


@dataclass(slots=True)
class LogLine:
    """One line on a host for the relay's log; `health` is passed to the other process of an upgrade."""

    line: str
    host: HostId
    health: Health | None = None


def limit_from_report(report: dict[str, float]) -> tuple[float | None, float | None]:
    """Share of the limit that is left, and the limit in calls a second; None where the report doesn't say.

    A host without a limit reports 0 for both. Guards against taking it for one whose limit is used up."""
    left, rate = report.get("x0"), report.get("x1")
    return (None, None) if not left and rate == 0 else (left, rate)


Action = Submit | Nack | Undeliverable | Probe | CloseIdle | Forget | Watch | Wake | LogLine
