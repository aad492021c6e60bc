"""The model of a scenario: every key with its type, bounds, default and purpose.

Spans are in tenths of a millisecond, sizes in bytes, rates in texts or calls per second.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta

from limelatch.configuration.model import RepeatScope, RateQuality, Revenue, Share, Size, Span, Table
from limelatch.interface import MS, SECOND, Effect

MAX_RELAYS = 2000
MAX_ENDPOINTS = 20_000  # of all partners together
MAX_RATE = 100_000  # texts per second

Number = Annotated[int, Meta(ge=1, le=1_000_000, extra={"unit": "count"})]
Amount = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Multiple = Annotated[float, Meta(ge=0, le=1000)]


def key(description: str, **extra_fields: object) -> Meta:
    """The description of a key for the operators' page, with further fields of its schema."""
    return Meta(description=description, extra=dict(extra_fields))


class Shape(Enum):
    """The distribution of arrivals over time."""

    POISSON = "poisson"
    STEADY = "steady"
    BURSTS = "bursts"


class Backoff(Enum):
    """How the wait of clients grows from one retry to the next."""

    FIXED = "fixed"
    DOUBLES = "doubles"


class Spread(Enum):
    """The distribution of service times."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"


class LimitForm(Enum):
    """How a destination limits calls."""

    NONE = "none"
    RATE = "rate"  # calls per second
    WINDOW = "window"  # a number of calls in each span


class What(Enum):
    """The kinds of faults."""

    HANG = "hang"  # endpoints accept calls and answer none
    SILENT = "silent"  # no packet comes back, connections are not established
    DOWN = "down"  # connections are refused, open ones reset; the endpoint returns cold
    ERRORS = "errors"  # a share of the calls fails at once
    SHUT = "shut"  # all calls are refused
    SLOW = "slow"  # service takes longer
    SWING = "swing"  # alternates between slow and healthy
    RESET = "reset"  # a share of the calls is reset
    GARBLE = "garble"  # a share of the answers is malformed
    LOSS = "loss"  # a share of the answers is lost
    LIMIT = "limit"  # the limit is reduced
    DRAIN = "drain"  # endpoints are drained and replaced by new ones
    LIST_LATE = "list-late"  # the catalog reports changes later
    LIST_SILENT = "list-silent"  # the catalog reports no changes
    KILL = "kill"  # relays are killed with SIGKILL and restarted
    RESTART = "restart"  # relays are stopped with SIGTERM and restarted
    RELOAD = "reload"  # relays reload their configuration
    WIPE = "wipe"  # as kill, and the state directory is lost
    CUT_OFF = "cut-off"  # relays cannot reach some endpoints
    SURGE = "surge"  # clients submit more texts
    CLUMP = "clump"  # many texts for one destination at once


class Head(Table):
    """What the scenario is."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$"), key("by which commands name it")]
    about: Annotated[str, key("what it is for, in a line")]
    seconds: Annotated[Span, key("for which texts come")]
    settle: Annotated[Span, key("afterwards, until all texts should have their ends")] = 15 * SECOND
    warm_up: Annotated[Span, key("at the start that no figure counts")] = 0
    like: Annotated[
        str,
        key(
            "a scenario of the library, or a file: what is not told here is as it is there; "
            "lists are taken whole"
        ),
    ] = ""


class Relays(Table):
    """The relays under test, all alike."""

    count: Annotated[int, Meta(ge=1, le=MAX_RELAYS, extra={"unit": "count"}), key("so many")] = 3
    slots: Annotated[Number, key("calls out at once, of each")] = 16
    texts: Annotated[Number, key("texts held at once, of each")] = 300
    submits: Annotated[Number, key("submits for one text")] = 8
    advice: Annotated[
        Span, key("the longest time after which a nack tells clients to come again; 0: none")
    ] = 2 * SECOND
    memory: Annotated[Size, key("limit of each, on sockets")] = 192_000_000
    sockets: Annotated[
        int, Meta(ge=64, le=65536, extra={"unit": "count"}), key("descriptors of each, on sockets")
    ] = 1024
    disk: Annotated[Size, key("of each one's folder, on sockets")] = 3_000_000
    turn: Annotated[Span, key("from an event to the decision on it, on the fleet stage")] = 10
    start_time: Annotated[Span, key("of a relay until it serves, on the fleet stage")] = 500 * MS
    membership: Annotated[
        bool,
        key(
            "they watch each other, on sockets, through a network that loses, "
            "doubles and delays a tenth of their datagrams each"
        ),
    ] = False
    uneven: Annotated[Share, key("0: texts spread evenly over the relays; towards 1, a few carry most")] = 0.0


class Network(Table):
    """The way between relays and endpoints; loopback has its own on sockets."""

    same_floor: Annotated[Span, key("one way, on one floor")] = 1 * MS
    cross_floor: Annotated[Span, key("one way, between floors")] = 4 * MS
    jitter: Annotated[Multiple, key("spread of both, as a multiple")] = 0.2
    connect_wait: Annotated[Span, key("for a connection to come up")] = SECOND


class CatalogKeys(Table):
    """The list of hosts."""

    lag: Annotated[Span, key("after which news reach a relay, in the mean")] = 500 * MS
    spread: Annotated[Multiple, key("of the lag over the relays, as a multiple")] = 0.3
    rates: Annotated[RateQuality, key("what it tells of limits")] = RateQuality.ROUGH


class RuleKeys(Table):
    """The figures of the rules that the checker holds relays to."""

    drain_grace: Annotated[Span, key("after which a host that is known to drain gets nothing new")] = 250 * MS
    cold_share: Annotated[Share, key("of its capacity that a destination has just after an outage")] = 0.2
    cold_time: Annotated[Span, key("until it has all of it")] = 10 * SECOND
    fall_multiple: Annotated[
        Multiple, key("times what it can do: sent more, a cold destination falls over")
    ] = 2.5
    fall_time: Annotated[Span, key("for which it has to be sent so much")] = 2 * SECOND
    key_rest: Annotated[Span, key("of a key after a submit that may still run")] = 300 * MS


class ProductKeys(Table):
    """One product."""

    name: Annotated[str, Meta(min_length=1), key("its name")]
    share: Annotated[Multiple, key("of the texts, beside the other products' shares")] = 1.0
    effect: Annotated[Effect, key("resendable, referenced or once-only")] = Effect.RESENDABLE
    sla_time: Annotated[Span, key("within which an answer is wanted")] = 3 * SECOND
    validity_period: Annotated[Span, key("after which clients give up")] = 12 * SECOND
    revenue: Annotated[Amount, key("of a text within its SLA time")] = 1.0
    late_share: Annotated[Share, key("that is left at the end of the validity period")] = 0.4
    repeat_window: Annotated[Span, key("for which a repeat of a referenced text is known")] = 0
    repeat_known: Annotated[RepeatScope, key("among the hosts of the destination, or of one floor")] = (
        RepeatScope.DESTINATION
    )
    in_order: Annotated[bool, key("texts of one key go in order")] = False
    keys: Annotated[Number, key("so many keys, where it is in order")] = 200
    work: Annotated[Multiple, key("times a partner's usual service time")] = 1.0


class CustomerKeys(Table):
    """One customer."""

    name: Annotated[str, Meta(min_length=1), key("its name")]
    share: Annotated[Multiple, key("of the texts, beside the others' shares")] = 1.0


class KindKeys(Table):
    """One kind of destination."""

    name: Annotated[str, Meta(min_length=1), key("its name")]
    texts_per_call: Annotated[Number, key("that one call may carry")] = 1
    routes_apart: Annotated[
        bool, key("its endpoints are routes apart, each with its own limit and outages")
    ] = False


class FloorKeys(Table):
    """One floor."""

    name: Annotated[str, Meta(min_length=1), key("its name")]


class LimitKeys(Table):
    """What a destination takes from all relays together."""

    form: Annotated[LimitForm, key("none but its capacity, a plain rate, or a count in each span")] = (
        LimitForm.NONE
    )
    of_capacity: Annotated[Multiple, key("times its capacity, in calls a second")] = 1.0
    span: Annotated[Span, key("of a window, or of what a plain rate lets through at once")] = SECOND
    tells_wait: Annotated[bool, key("a refusal tells when there is room again")] = False
    refused_count: Annotated[bool, key("refused calls use it up too")] = False


class PartnerKeys(Table):
    """A group of like destinations, named `NAME-1`, `NAME-2` and so on."""

    name: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,30}$"), key("its name")]
    kind: Annotated[str, key("one of the kinds")] = ""
    count: Annotated[int, Meta(ge=1, le=5000, extra={"unit": "count"}), key("so many destinations")] = 1
    endpoints: Annotated[
        int, Meta(ge=1, le=200, extra={"unit": "count"}), key("of each destination, spread over the floors")
    ] = 2
    share: Annotated[Multiple, key("of the texts, beside the other groups' shares")] = 1.0
    capacity: Annotated[Amount, key("texts a second that each destination serves")] = 20.0
    latency: Annotated[Span, key("usual service time of a text")] = 150 * MS
    spread: Annotated[Spread, key("of service times")] = Spread.LOGNORMAL
    varies: Annotated[Multiple, key("their coefficient of variation, where lognormal")] = 0.5
    uneven: Annotated[Share, key("by which capacity and latency differ among the group's destinations")] = 0.0
    batch_work: Annotated[Multiple, key("of each further text in a call, as a part of the first one's")] = 0.5
    queue: Annotated[Number, key("texts that wait at an endpoint; beyond that it turns away")] = 16
    connections: Annotated[Number, key("that an endpoint takes, idle ones too")] = 1000
    idle_time: Annotated[Span, key("after which an endpoint closes an idle connection")] = 15 * SECOND
    errors: Annotated[Share, key("of the calls that fail on any day")] = 0.0
    reports: Annotated[bool, key("answers tell the limit and what is left of it")] = False
    products: Annotated[list[str], key("that go there; none: all")] = []
    limit: Annotated[LimitKeys, key("")] = LimitKeys()


class ClientKeys(Table):
    """Who hands in texts."""

    rate: Annotated[Amount, key("texts a second in all")] = 50.0
    shape: Annotated[Shape, key("of arrivals: poisson, steady, or poisson in bursts")] = Shape.POISSON
    burst: Annotated[Multiple, key("times the usual rate in a burst")] = 3.0
    burst_time: Annotated[Span, key("of a burst; the pauses between make up for it")] = SECOND
    swing: Annotated[Share, key("of a daily curve: the rate goes so far up and down")] = 0.0
    period: Annotated[Span, key("of the daily curve")] = 60 * SECOND
    zipf: Annotated[Multiple, key("law of the destinations' traffic within a group; 0: even")] = 0.0
    hot_key: Annotated[Share, key("of the texts in order that share one key")] = 0.0
    retries: Annotated[
        int, Meta(ge=0, le=100, extra={"unit": "count"}), key("times that a nacked text is handed in again")
    ] = 3
    backoff: Annotated[Span, key("before it comes again, where no time was told")] = SECOND
    grows: Annotated[Backoff, key("that wait: fixed, or doubles")] = Backoff.DOUBLES
    honour: Annotated[Share, key("of the clients that heed a told time")] = 1.0
    answer_wait: Annotated[Span, key("for a relay's answer, then another is asked")] = 400 * MS
    body: Annotated[Size, key("of a text")] = 200


class FaultKeys(Table):
    """One fault on the time-line."""

    what: Annotated[What, key("it does")]
    at: Annotated[Span, key("it begins, from the start")]
    lasts: Annotated[Span, key("until it ends; kill, restart, reload and wipe are over at once")] = 0
    partners: Annotated[list[str], key("destinations, by name, `portal-*` too; none: all")] = []
    floors: Annotated[list[str], key("only endpoints there; none: all")] = []
    kinds: Annotated[list[str], key("only destinations of these kinds; none: all")] = []
    part: Annotated[
        Share, key("of those endpoints, drawn by chance; of the relays, for kill and the like")
    ] = 1.0
    share: Annotated[Share, key("of the calls, where a share is struck")] = 1.0
    runs: Annotated[Share, key("of the struck calls that take effect all the same")] = 0.5
    times: Annotated[Multiple, key("how much slower, fewer or more")] = 1.0
    wait: Annotated[Span, key("that a shut destination tells; 0: none")] = 0
    period: Annotated[Span, key("of a swing, of a drain wave or of kills: from one to the next")] = 5 * SECOND
    relays: Annotated[list[int], key("only these, by number from 0; none: all")] = []
    products: Annotated[list[str], key("only these, for a surge")] = []
    customers: Annotated[list[str], key("only these, for a surge")] = []
    texts: Annotated[int, Meta(ge=0, le=100_000, extra={"unit": "count"}), key("of a clump")] = 0


class Scenario(Table):
    """All of a scenario."""

    scenario: Annotated[Head, key("")]
    products: Annotated[list[ProductKeys], Meta(min_length=1, max_length=100), key("")]
    partners: Annotated[list[PartnerKeys], Meta(min_length=1, max_length=1000), key("")]
    relays: Annotated[Relays, key("")] = Relays()
    network: Annotated[Network, key("")] = Network()
    catalog: Annotated[CatalogKeys, key("")] = CatalogKeys()
    rules: Annotated[RuleKeys, key("")] = RuleKeys()
    clients: Annotated[ClientKeys, key("")] = ClientKeys()
    revenue: Annotated[Revenue, key("")] = Revenue()
    customers: Annotated[list[CustomerKeys], Meta(max_length=10_000), key("")] = []
    kinds: Annotated[list[KindKeys], Meta(max_length=100), key("")] = []
    floors: Annotated[list[FloorKeys], Meta(max_length=100), key("")] = []
    faults: Annotated[list[FaultKeys], Meta(max_length=1000), key("")] = []
