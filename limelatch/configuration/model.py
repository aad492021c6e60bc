"""The configuration's one model: every key with its type, unit, bounds, default and what it is for.

Two forms are read into it: people's own TOML (`reading`), whose tables and keys are this module's classes and
fields, and the platform's JSON (`platform`), whose keys stand beside the fields here. Spans are in tenths
of a millisecond, sizes in bytes.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from limelatch.interface import MS, SECOND, Effect

MAX_SPAN = 366 * 24 * 3600 * SECOND
MAX_COUNT, MAX_SIZE, MAX_RATE = 1_000_000_000, 1 << 50, 1e15
FULL_SEED = re.compile(r"[0-9a-fA-F]{1,16}")

Span = Annotated[int, Meta(ge=0, le=MAX_SPAN, extra={"unit": "span"})]
Size = Annotated[int, Meta(ge=0, le=MAX_SIZE, extra={"unit": "size"})]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT, extra={"unit": "count"})]
Share = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Address = Annotated[str, Meta(extra={"unit": "address"})]


class Reload(Enum):
    """When a changed key takes effect."""

    AT_ONCE = "at once"  # on SIGHUP
    RESTART = "restart"
    START = "start"  # read at the start alone; a change of it means nothing to a running relay


class RevenueDecay(Enum):
    """How revenue falls after the SLA time."""

    LINE = "line"
    HALVES = "halves"


class RepeatScope(Enum):
    """Among which hosts of its destination a repeat is known."""

    DESTINATION = "destination"
    FLOOR = "floor"


class RateQuality(Enum):
    """What the catalog's rates are worth."""

    NONE = "none"
    ROUGH = "rough"
    EXACT = "exact"


class ListDelivery(Enum):
    """How news of the list of hosts comes."""

    PUSHED = "pushed"
    ASKED = "asked"


class LogLevel(Enum):
    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogForm(Enum):
    PAIRS = "pairs"
    JSON = "json"


def about(words: str, platform: str = "", reload: Reload = Reload.RESTART, **more: object) -> Meta:
    """What a key is for, its key in the platform's JSON, and when a change of it is taken."""
    return Meta(description=words, extra={"platform": platform, "reload": reload} | more)


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """Each table of the configuration."""


class Identity(Table):
    """The relay itself."""

    listen: Annotated[Address, about("where clients connect", "listen")]
    state: Annotated[
        str,
        Meta(min_length=1),
        about("the folder that lasts, with the ledger; for this relay alone", "state"),
    ]
    operator: Annotated[
        Address,
        about("where operators call: STATUS, SUSPEND, RESTORE, PAUSE, RESUME; none: no door", "operator"),
    ] = ""
    name: Annotated[str, about("its name in the log; the same after a restart", "name", Reload.START)] = (
        "relay"
    )
    seed: Annotated[
        str,
        about(
            "of its chance, up to 16 hexadecimal digits; none: the system's own",
            "seed",
            Reload.START,
            secret=True,
            form=FULL_SEED,
        ),
    ] = ""
    relays: Annotated[
        Count, about("how many relays send to the same destinations, this one too", "settings.peersTotal")
    ] = 1


class Log(Table):
    """What is logged, on standard error."""

    level: Annotated[LogLevel, about("lines of this level and above", "log_level", Reload.AT_ONCE)] = (
        LogLevel.INFO
    )
    form: Annotated[
        LogForm, about("`pairs`: key=value; `json`: one object a line", "log_form", Reload.AT_ONCE)
    ] = LogForm.PAIRS
    parts: Annotated[
        dict[str, LogLevel],
        about('another level for a part, such as `policy = "warning"`', "log_parts", Reload.AT_ONCE),
    ] = {}


class Membership(Table):
    """The other relays: who of them is there, by datagrams among them. Off unless `on` is true."""

    on: Annotated[bool, about("whether this relay takes part", "membership.on")] = False
    listen: Annotated[Address, about("where datagrams of the others come, over UDP", "peer_listen")] = ""
    peers: Annotated[
        list[str],
        about(
            "addresses of all relays, this one too, in the order of their numbers; the same at all of them",
            "peers",
        ),
    ] = []
    address: Annotated[
        Address, about("this relay's own one in `peers`; none: `listen`", "membership.address")
    ] = ""
    zones: Annotated[list[str], about("the zone of each of `peers`; none: not told", "membership.zones")] = []
    probe_period: Annotated[
        Span,
        about(
            "between probes: a shorter one finds out sooner and costs more bytes",
            "membership.probe_period_ms",
        ),
    ] = 500 * MS
    pause: Annotated[
        Span,
        about(
            "for which a relay may stand still without being taken for dead: a longer "
            "one bears more and finds out later",
            "membership.pause_ms",
        ),
    ] = 5 * SECOND


class Catalog(Table):
    """The catalog, which tells the list of hosts, and the platform, which takes notices."""

    address: Annotated[Address, about("where both are reached", "discovery", Reload.AT_ONCE)]
    rates: Annotated[
        RateQuality,
        about(
            "whether the list tells each destination's limit in calls a second, and how well",
            "settings.weightSource",
        ),
    ] = RateQuality.NONE
    news: Annotated[
        ListDelivery,
        about(
            "of the list: `pushed` to every relay, or only to those that have `asked` for it",
            "settings.discovery",
        ),
    ] = ListDelivery.PUSHED
    ask_within: Annotated[
        Span,
        about(
            "with `asked`: a relay that has not asked for so long is taken as told of what the list said",
            "settings.rules.askEvery",
        ),
    ] = 0
    list_wait: Annotated[
        Span, about("for the first list at the start, then the known one serves", "list_ms")
    ] = SECOND
    silence: Annotated[Span, about("of the watch, then it is opened anew", "silence_ms")] = 4500 * MS
    reconnect_wait: Annotated[Span, about("before catalog or platform are tried again", "reconnect_ms")] = (
        250 * MS
    )
    notice_wait: Annotated[Span, about("for a notice's answer, then it is sent again", "notice_ms")] = (
        250 * MS
    )


class Clients(Table):
    """Connections of clients."""

    command_wait: Annotated[
        Span,
        about(
            "for a first command, and for the rest of a begun one; then the connection is closed",
            "client_command_ms",
        ),
    ] = 2 * SECOND
    idle_wait: Annotated[
        Span,
        about(
            "between commands, a quarter of it while half the table is taken; then the connection is closed",
            "client_idle_ms",
        ),
    ] = 2 * SECOND


class Hosts(Table):
    """Connections to hosts."""

    connect_wait: Annotated[Span, about("for a connection to come up", "settings.limits.dialTimeout")] = (
        SECOND
    )
    idle_time: Annotated[
        Span,
        about(
            "after which hosts close an idle connection; none is kept for longer than nine tenths of it",
            "settings.limits.connIdle",
        ),
    ] = 5 * SECOND
    probe_wait: Annotated[Span, about("for a probe's answer; the module sends none", "probe_ms")] = 1500 * MS
    report_fields: Annotated[
        list[str],
        about(
            "names of the values that answers report; x0: share of the "
            "limit "
            "left, x1: the limit in calls a second",
            "settings.stats.fields",
        ),
    ] = []


class Stop(Table):
    """A planned stop, by SIGTERM."""

    least: Annotated[
        Span, about("to the exit at the earliest, since clients still come", "stop_least_ms", Reload.AT_ONCE)
    ] = 500 * MS
    most: Annotated[Span, about("to the exit at the latest", "stop_ms", Reload.AT_ONCE)] = 3300 * MS


class Limits(Table):
    """What the relay may use and hold."""

    memory: Annotated[
        Size,
        about(
            "memory; an eighth may hold commands that are not whole yet, a tenth texts of the ledger",
            "limits.memory_mb",
        ),
    ] = 192_000_000
    sockets: Annotated[
        int,
        Meta(ge=64, le=1 << 20, extra={"unit": "count"}),
        about("descriptors; half for clients; a quarter for hosts, less of few", "limits.sockets"),
    ] = 1024
    disk: Annotated[Size, about("of the folder that lasts", "limits.disk_mb")] = 3_000_000
    slots: Annotated[Count, about("calls out at once", "settings.familyInfo.slots")] = 16
    texts: Annotated[Count, about("texts held at once", "settings.limits.maxOpen")] = 500
    submits: Annotated[
        Count,
        about(
            "submits for one text; fewer, taken at once, bind texts held too",
            "settings.limits.maxAttempts",
            Reload.AT_ONCE,
        ),
    ] = 8
    advice: Annotated[
        Span,
        about(
            "the longest time after which a nack tells clients to come again; 0: it tells none",
            "settings.limits.maxRetryAfter",
        ),
    ] = 0


class Rules(Table):
    """Figures of the rules that destinations hold the relay to."""

    cold_share: Annotated[
        Share,
        about("of its capacity that a destination has just after an outage", "settings.rules.coldShare"),
    ] = 1.0
    cold_time: Annotated[Span, about("from its return until it has all of it", "settings.rules.cold")] = 0
    fall_multiple: Annotated[
        Rate,
        about(
            "times what it can do at the moment: sent more, a cold destination falls over",
            "settings.rules.fallMultiple",
        ),
    ] = 1.0
    fall_time: Annotated[Span, about("for which it has to be sent so much", "settings.rules.tipAfter")] = 0
    key_rest: Annotated[
        Span, about("of a key after a submit that may still be running", "settings.rules.turnGap")
    ] = 0


class Revenue(Table):
    """What a late delivery earns."""

    falls: Annotated[
        RevenueDecay,
        about(
            "after the SLA time: in a `line` to the late share, or by `halves`, half "
            "with "
            "each further SLA time",
            "settings.familyInfo.losesWorth",
        ),
    ] = RevenueDecay.LINE


class Product(Table):
    """One product: what a repeat of its texts does, and what their time is worth."""

    name: Annotated[str, about("as clients name it", "name", Reload.AT_ONCE)]
    effect: Annotated[
        Effect,
        about(
            "`resendable`: may run again; `referenced`: a repeat is known by its "
            "mark; "
            "`once-only`: must never run twice",
            "effect",
            Reload.AT_ONCE,
        ),
    ] = Effect.ONCE_ONLY
    sla_time: Annotated[Span, about("within which an answer is wanted", "onTime", Reload.AT_ONCE)] = 0
    validity_period: Annotated[
        Span, about("after which clients give up; 0: as each text says", "deadline", Reload.AT_ONCE)
    ] = 0
    revenue: Annotated[Rate, about("of a text delivered within its SLA time", "credit", Reload.AT_ONCE)] = 1.0
    late_share: Annotated[
        Share,
        about("of the revenue that is left at the end of the validity period", "lateValue", Reload.AT_ONCE),
    ] = 0.0
    repeat_window: Annotated[
        Span, about("for which a repeat by its mark is known", "dedupWindow", Reload.AT_ONCE)
    ] = 0
    repeat_known: Annotated[
        RepeatScope,
        about("among which hosts: all of the `destination`, or one `floor`", "group", Reload.AT_ONCE),
    ] = RepeatScope.DESTINATION
    in_order: Annotated[
        bool,
        about(
            "texts that share a key go one at a time, in the order they were taken",
            "oneAtATime",
            Reload.AT_ONCE,
        ),
    ] = False


class Customer(Table):
    """One customer whose texts the relay takes."""

    name: Annotated[str, about("as clients name it", "name")]
    share: Annotated[Share, about("of the service", "portion")] = 0.0


class Kind(Table):
    """One kind of destination."""

    name: Annotated[str, about("as the catalog names it", "settings.skus")] = ""
    texts_per_call: Annotated[Count, about("that one call may carry", "settings.familyInfo.batchByKind")] = 1
    routes_apart: Annotated[
        bool,
        about(
            "its hosts are routes apart, each with a limit and outages of its own",
            "settings.familyInfo.routesApart",
        ),
    ] = False


class Floor(Table):
    """One floor, or zone, on which relays and hosts stand."""

    name: Annotated[str, about("as the catalog names it", "settings.zones")] = ""
    fee: Annotated[
        float,
        Meta(ge=-MAX_RATE, le=MAX_RATE),
        about("of a text that a route apart takes on there", "settings.familyInfo.carriage"),
    ] = 0.0


class Installation(Table):
    """All that a relay is told when it starts."""

    relay: Annotated[Identity, about("")]
    catalog: Annotated[Catalog, about("")]
    products: Annotated[list[Product], Meta(min_length=1, max_length=1000), about("", "settings.classes")]
    log: Annotated[Log, about("")] = Log()
    clients: Annotated[Clients, about("")] = Clients()
    hosts: Annotated[Hosts, about("")] = Hosts()
    stop: Annotated[Stop, about("")] = Stop()
    limits: Annotated[Limits, about("")] = Limits()
    rules: Annotated[Rules, about("")] = Rules()
    revenue: Annotated[Revenue, about("")] = Revenue()
    customers: Annotated[
        list[Customer], Meta(max_length=100_000), about("none: any customer is taken", "settings.projects")
    ] = []
    kinds: Annotated[list[Kind], Meta(max_length=1000), about("")] = []
    floors: Annotated[list[Floor], Meta(max_length=1000), about("")] = []
    membership: Annotated[Membership, about("")] = Membership()
    known: Annotated[
        dict,
        about(
            "the list of hosts as this relay last had it, in the catalog's form; the "
            "platform's JSON alone has it",
            "known",
            Reload.AT_ONCE,
            own=False,
        ),
    ] = {}
