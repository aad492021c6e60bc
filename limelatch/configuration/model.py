"""The configuration model: every key with its type, unit, bounds, default and description.

Two file formats are read into it. The tables and keys of TOML (`reading`) are the classes and fields of this
module; the keys of the platform's JSON (`platform_form`) are given next to the fields. Spans are in tenths of
a millisecond, sizes in bytes. The descriptions make up the operators' page of the configuration.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from limelatch.interface import MS, SECOND, Effect

MAX_SPAN = 366 * 24 * 3600 * SECOND  # a leap year
MAX_COUNT = 1_000_000_000
MAX_SIZE = 1 << 50  # bytes
MAX_RATE = 1e15  # per second
FULL_SEED = re.compile(r"[0-9a-fA-F]{1,16}")

Span = Annotated[int, Meta(ge=0, le=MAX_SPAN, extra={"unit": "span"})]
Size = Annotated[int, Meta(ge=0, le=MAX_SIZE, extra={"unit": "size"})]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT, extra={"unit": "count"})]
Share = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Address = Annotated[str, Meta(extra={"unit": "address"})]


class Reload(Enum):
    """When a running relay applies a changed key."""

    AT_ONCE = "at once"  # on SIGHUP
    RESTART = "restart"
    START = "start"  # only read at the start; a running relay ignores a change


class RevenueDecay(Enum):
    """How revenue decreases after the SLA time."""

    LINE = "line"
    HALVES = "halves"


class RepeatScope(Enum):
    """Which hosts of a destination recognize a repeated text."""

    DESTINATION = "destination"
    FLOOR = "floor"


class RateQuality(Enum):
    """How exact the rate limits in the catalog's list are."""

    NONE = "none"
    ROUGH = "rough"
    EXACT = "exact"


class ListDelivery(Enum):
    """How a relay learns of changes to the list of hosts."""

    PUSHED = "pushed"
    ASKED = "asked"


class LogLevel(Enum):
    """The least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogForm(Enum):
    """The format of log lines."""

    PAIRS = "pairs"
    JSON = "json"


def described(text: str, platform: str = "", reload: Reload = Reload.RESTART, **more: object) -> Meta:
    """Describe a key: its purpose, its key in the platform's JSON, and when a changed value is applied."""
    return Meta(description=text, extra={"platform": platform, "reload": reload} | more)


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """The base class of all tables of the configuration."""


class Identity(Table):
    """The relay itself."""

    listen: Annotated[Address, described("the address on which clients connect", "listen")]
    state: Annotated[
        str,
        Meta(min_length=1),
        described("the state directory, which holds the ledger; no other relay may use it", "state"),
    ]
    operator: Annotated[
        Address,
        described(
            "the address for the operators' commands STATUS, SUSPEND, RESTORE, PAUSE and RESUME; none: no "
            "operators' port",
            "operator",
        ),
    ] = ""
    name: Annotated[
        str, described("its name in the log; keep it the same across restarts", "name", Reload.START)
    ] = "relay"
    seed: Annotated[
        str,
        described(
            "the seed of its random numbers, up to 16 hexadecimal digits; none: taken from the system",
            "seed",
            Reload.START,
            secret=True,
            form=FULL_SEED,
        ),
    ] = ""
    relays: Annotated[
        Count,
        described("how many relays send to the same destinations, this one included", "settings.peersTotal"),
    ] = 1


class Log(Table):
    """What is logged to standard error."""

    level: Annotated[
        LogLevel, described("the least severe level that is logged", "log_level", Reload.AT_ONCE)
    ] = LogLevel.INFO
    form: Annotated[
        LogForm, described("`pairs`: key=value; `json`: one object a line", "log_form", Reload.AT_ONCE)
    ] = LogForm.PAIRS
    parts: Annotated[
        dict[str, LogLevel],
        described(
            'a different level for one part, such as `policy = "warning"`', "log_parts", Reload.AT_ONCE
        ),
    ] = {}


class Membership(Table):
    """Detects which other relays are alive, by datagrams among them. Off unless `on` is true."""

    on: Annotated[
        bool, described("whether this relay exchanges membership messages with the others", "membership.on")
    ] = False
    listen: Annotated[
        Address, described("the UDP address on which it receives datagrams of the others", "peer_listen")
    ] = ""
    peers: Annotated[
        list[str],
        described(
            "addresses of all relays, this one included, in the same order at every relay: the order "
            "numbers them",
            "peers",
        ),
    ] = []
    address: Annotated[
        Address, described("this relay's own address in `peers`; none: `listen`", "membership.address")
    ] = ""
    zones: Annotated[
        list[str], described("the zone of each of `peers`, in their order; none: unknown", "membership.zones")
    ] = []
    probe_period: Annotated[
        Span,
        described(
            "time between probes: a shorter one detects failures sooner and sends more bytes",
            "membership.probe_period_ms",
        ),
    ] = 500 * MS
    pause: Annotated[
        Span,
        described(
            "how long a relay may be unresponsive before it counts as dead: a longer span tolerates more "
            "and detects failures later",
            "membership.pause_ms",
        ),
    ] = 5 * SECOND


class Catalog(Table):
    """The catalog, which provides the list of hosts, and the platform, which receives notices."""

    address: Annotated[Address, described("the address of both", "discovery", Reload.AT_ONCE)]
    rates: Annotated[
        RateQuality,
        described(
            "whether the list gives each destination's limit in calls per second, and how exactly",
            "settings.weightSource",
        ),
    ] = RateQuality.NONE
    news: Annotated[
        ListDelivery,
        described(
            "how changes of the list arrive: `pushed` to every relay, or only to those that have `asked` "
            "for it",
            "settings.discovery",
        ),
    ] = ListDelivery.PUSHED
    ask_within: Annotated[
        Span,
        described(
            "with `asked`: a relay that has not asked for so long counts as informed of what the list said",
            "settings.rules.askEvery",
        ),
    ] = 0
    list_wait: Annotated[
        Span,
        described("how long a start waits for the first list; after that the known one is used", "list_ms"),
    ] = SECOND
    silence: Annotated[
        Span, described("how long the watch may be silent before it is reopened", "silence_ms")
    ] = 4500 * MS
    reconnect_wait: Annotated[
        Span,
        described("delay before the connection to the catalog or the platform is retried", "reconnect_ms"),
    ] = 250 * MS
    notice_wait: Annotated[
        Span, described("how long to wait for the answer to a notice before it is sent again", "notice_ms")
    ] = 250 * MS


class Clients(Table):
    """Connections of clients."""

    command_wait: Annotated[
        Span,
        described(
            "timeout for the first command, and for the rest of an incomplete one; then the connection is "
            "closed",
            "client_command_ms",
        ),
    ] = 2 * SECOND
    idle_wait: Annotated[
        Span,
        described(
            "idle timeout between commands, a quarter of it while half of the connections are in use; then "
            "the connection is closed",
            "client_idle_ms",
        ),
    ] = 2 * SECOND


class Hosts(Table):
    """Connections to hosts."""

    connect_wait: Annotated[
        Span, described("timeout for connecting to a host", "settings.limits.dialTimeout")
    ] = SECOND
    idle_time: Annotated[
        Span,
        described(
            "how long hosts keep an idle connection; the relay keeps none for longer than nine tenths of it",
            "settings.limits.connIdle",
        ),
    ] = 5 * SECOND
    probe_wait: Annotated[
        Span, described("timeout for the answer to a probe; the policy module sends none", "probe_ms")
    ] = 1500 * MS
    report_fields: Annotated[
        list[str],
        described(
            "names of the values that responses report; x0: share of the limit left, x1: the limit in calls"
            " per second",
            "settings.stats.fields",
        ),
    ] = []


class Stop(Table):
    """A planned stop by SIGTERM."""

    least: Annotated[
        Span,
        described(
            "the earliest exit after SIGTERM, since clients still connect for a while",
            "stop_least_ms",
            Reload.AT_ONCE,
        ),
    ] = 500 * MS
    most: Annotated[Span, described("the latest exit after SIGTERM", "stop_ms", Reload.AT_ONCE)] = 3300 * MS


class Limits(Table):
    """The resources that the relay may use."""

    memory: Annotated[
        Size,
        described(
            "memory; what is left above rest is divided among clients, their commands and texts",
            "limits.memory_mb",
        ),
    ] = 192_000_000
    sockets: Annotated[
        int,
        Meta(ge=64, le=1 << 20, extra={"unit": "count"}),
        described("file descriptors; half of them for clients, up to a quarter for hosts", "limits.sockets"),
    ] = 1024
    disk: Annotated[Size, described("disk space in the state directory", "limits.disk_mb")] = 3_000_000
    slots: Annotated[Count, described("calls in flight at once", "settings.familyInfo.slots")] = 16
    texts: Annotated[
        Count, described("texts that are accepted and not finished", "settings.limits.maxOpen")
    ] = 500
    submits: Annotated[
        Count,
        described(
            "submits of one text; a lower number applies to accepted texts too",
            "settings.limits.maxAttempts",
            Reload.AT_ONCE,
        ),
    ] = 8
    advice: Annotated[
        Span,
        described(
            "the longest retry delay that a nack gives to clients; 0: it gives none",
            "settings.limits.maxRetryAfter",
        ),
    ] = 0


class Rules(Table):
    """How destinations recover and what they require of the relay."""

    cold_share: Annotated[
        Share,
        described(
            "share of its capacity that a destination has just after an outage", "settings.rules.coldShare"
        ),
    ] = 1.0
    cold_time: Annotated[
        Span, described("time after its return until it has all of its capacity", "settings.rules.cold")
    ] = 0
    fall_multiple: Annotated[
        Rate,
        described(
            "multiple of its current capacity: a cold destination that gets more fails again",
            "settings.rules.fallMultiple",
        ),
    ] = 1.0
    fall_time: Annotated[
        Span, described("how long it has to get so much before it fails", "settings.rules.tipAfter")
    ] = 0
    key_rest: Annotated[
        Span,
        described(
            "cooldown of an ordering key after a submit that may still be running", "settings.rules.turnGap"
        ),
    ] = 0


class Revenue(Table):
    """What a late delivery earns."""

    falls: Annotated[
        RevenueDecay,
        described(
            "after the SLA time: in a `line` to the late share, or by `halves`, half with each further SLA "
            "time",
            "settings.familyInfo.losesWorth",
        ),
    ] = RevenueDecay.LINE


class Product(Table):
    """One product: the effect of repeating its texts, and the value of delivering them in time."""

    name: Annotated[str, described("the name that clients use", "name", Reload.AT_ONCE)]
    effect: Annotated[
        Effect,
        described(
            "`resendable`: may run again; `referenced`: hosts recognize a repeat by its idempotency key; "
            "`once-only`: must never run twice",
            "effect",
            Reload.AT_ONCE,
        ),
    ] = Effect.ONCE_ONLY
    sla_time: Annotated[
        Span, described("the time in which a text should be delivered", "onTime", Reload.AT_ONCE)
    ] = 0
    validity_period: Annotated[
        Span, described("after which clients give up; 0: each text gives its own", "deadline", Reload.AT_ONCE)
    ] = 0
    revenue: Annotated[
        Rate, described("revenue of a text delivered within its SLA time", "credit", Reload.AT_ONCE)
    ] = 1.0
    late_share: Annotated[
        Share,
        described(
            "share of the revenue that is left at the end of the validity period", "lateValue", Reload.AT_ONCE
        ),
    ] = 0.0
    repeat_window: Annotated[
        Span,
        described("how long hosts recognize a repeat by its idempotency key", "dedupWindow", Reload.AT_ONCE),
    ] = 0
    repeat_known: Annotated[
        RepeatScope,
        described(
            "which hosts recognize it: all of the `destination`, or those of one `floor`",
            "group",
            Reload.AT_ONCE,
        ),
    ] = RepeatScope.FLOOR
    in_order: Annotated[
        bool,
        described(
            "texts with the same key are sent one at a time, in the order of their acceptance",
            "oneAtATime",
            Reload.AT_ONCE,
        ),
    ] = False


class Customer(Table):
    """One customer whose texts the relay accepts."""

    name: Annotated[str, described("the name that clients use", "name")]
    share: Annotated[Share, described("share of the service", "portion")] = 0.0


class Kind(Table):
    """One kind of destination."""

    name: Annotated[str, described("the name in the catalog", "settings.skus")] = ""
    texts_per_call: Annotated[
        Count, described("texts that one call may carry", "settings.familyInfo.batchByKind")
    ] = 1
    routes_apart: Annotated[
        bool,
        described(
            "each of its hosts is a separate route with its own limit and outages",
            "settings.familyInfo.routesApart",
        ),
    ] = False


class Floor(Table):
    """One floor, or zone, in which relays and hosts run."""

    name: Annotated[str, described("the name in the catalog", "settings.zones")] = ""
    fee: Annotated[
        float,
        Meta(ge=-MAX_RATE, le=MAX_RATE),
        described("fee for each text that a separate route accepts there", "settings.familyInfo.carriage"),
    ] = 0.0


class Installation(Table):
    """The whole configuration of a relay."""

    relay: Annotated[Identity, described("")]
    catalog: Annotated[Catalog, described("")]
    products: Annotated[list[Product], Meta(min_length=1, max_length=1000), described("", "settings.classes")]
    log: Annotated[Log, described("")] = Log()
    clients: Annotated[Clients, described("")] = Clients()
    hosts: Annotated[Hosts, described("")] = Hosts()
    stop: Annotated[Stop, described("")] = Stop()
    limits: Annotated[Limits, described("")] = Limits()
    rules: Annotated[Rules, described("")] = Rules()
    revenue: Annotated[Revenue, described("")] = Revenue()
    customers: Annotated[
        list[Customer],
        Meta(max_length=100_000),
        described("none: any customer is accepted", "settings.projects"),
    ] = []
    kinds: Annotated[list[Kind], Meta(max_length=1000), described("")] = []
    floors: Annotated[list[Floor], Meta(max_length=1000), described("")] = []
    membership: Annotated[Membership, described("")] = Membership()
    known: Annotated[
        dict,
        described(
            "the list of hosts as this relay last had it, in the catalog's format; only in the platform's "
            "JSON",
            "known",
            Reload.AT_ONCE,
            own=False,
        ),
    ] = {}
