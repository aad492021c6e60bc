"""Destinations, routes and endpoints: they serve, queue, refuse, tell waits, fail, return cold, and fall
over.

An endpoint has so many workers; a call holds one for its service time, others queue, and beyond the queue it
turns away. What shares a limit and a fate is a route: a whole destination, or one endpoint where routes are
apart. After an outage an endpoint is cold: it does `cold_share` of its work a second at first, all of it
after `cold_time`, in a line. Sent more than `fall_multiple` times what it can do for `fall_time`, a cold
route falls over and stays down.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from limelatch.interface import SECOND, Effect
from limelatch.lab.record import Condition, Fate
from limelatch.lab.scenario.model import (
    RepeatScope,
    LimitForm,
    LimitKeys,
    PartnerKeys,
    ProductKeys,
    RuleKeys,
    Spread,
)
from limelatch.lab.world.chance import Draws, Streams
from limelatch.lab.world.clock import Clock

FALL_SLACK = 2  # texts beyond the bound that chance may bring
MOST_CALLS_FAIL = 0.5  # share of calls failing that is an outage
STRETCH_MOST = 2.0  # of the usual latency, to make whole workers of a capacity
FAIL_FAST = 20  # ticks until a call that fails at once is answered


@dataclass(slots=True, eq=False)
class WorldText:
    """A text as the world knows it; `first` is the id of its first try, by which effects are counted."""

    id: int | str
    first: int | str
    product: int


@dataclass(slots=True, eq=False)
class Reply:
    """What an endpoint does with a call; `fates` in the order of its texts."""

    fates: list[int]
    wait: int = 0
    left: float | None = None  # share of the limit
    rate: float | None = None  # the limit, in calls a second
    by_status: bool = False  # one status for the whole call


@dataclass(slots=True, eq=False)
class WorldCall:
    """One call at an endpoint; `reply` is called once, or never."""

    relay: int
    texts: list[WorldText]
    reply: Callable[[Reply], None]
    number: int = 0
    gone: bool = False  # nobody waits for its answer any more; it may run all the same
    garble: bool = False
    lose: bool = False


class Limit:
    """What a route takes from all relays together."""

    __slots__ = ("keys", "rate", "factor", "_level", "_at", "_count", "_window")

    def __init__(self, keys: LimitKeys, capacity: float) -> None:
        self.keys, self.rate, self.factor = keys, keys.of_capacity * capacity, 1.0
        self._level, self._at, self._count, self._window = 0.0, 0, 0.0, -1

    @property
    def told(self) -> float:
        """The limit in calls a second; 0 where there is none."""
        return 0.0 if self.keys.form is LimitForm.NONE else self.rate * self.factor

    def _most(self) -> float:
        return max(1.0, self.told * self.keys.span / SECOND)

    def _refill(self, now: int) -> None:
        if self.keys.form is LimitForm.RATE:
            self._level = max(0.0, self._level - (now - self._at) / SECOND * self.told)
            self._at = now
        elif (window := now // self.keys.span) != self._window:
            self._window, self._count = window, 0.0

    def take(self, now: int) -> int | None:
        """None if the call may pass; else the ticks until there is room again."""
        if self.keys.form is LimitForm.NONE:
            return None
        self._refill(now)
        if self.keys.form is LimitForm.RATE:
            if self._level + 1 <= self._most():
                self._level += 1
                return None
            wait = (self._level + 1 - self._most()) / self.told * SECOND
            if self.keys.refused_count:
                self._level = min(self._level + 1, 2 * self._most())
            return int(wait) + 1
        if self._count + 1 <= self._most():
            self._count += 1
            return None
        if self.keys.refused_count:
            self._count += 1
        return (self._window + 1) * self.keys.span - now

    def left(self, now: int) -> float:
        """The share of it that is left just now."""
        if self.keys.form is LimitForm.NONE:
            return 0.0
        self._refill(now)
        used = self._level if self.keys.form is LimitForm.RATE else self._count
        return max(0.0, 1 - used / self._most())


@dataclass(eq=False)
class Ailment:
    """One fault's hold on an endpoint."""

    hang: bool = False
    silent: bool = False
    down: bool = False
    shut: int | None = None  # the wait that it tells; None: open
    slow: float = 1.0
    errors: float = 0.0
    reset: float = 0.0
    garble: float = 0.0
    loss: float = 0.0
    runs: float = 0.0

    @property
    def outage(self) -> bool:
        return self.hang or self.silent or self.down or self.shut is not None or self.errors > MOST_CALLS_FAIL


@dataclass(slots=True, eq=False)
class Doubles:
    """Which repeats a destination knows, by the mark's group: all of it, or a floor."""

    seen: dict[tuple[int, int | str], int] = field(default_factory=dict)
    order: deque[tuple[int, tuple[int, int | str]]] = field(default_factory=deque)

    def known(self, now: int, product: ProductKeys, floor: int, first: int | str, arrived: int) -> bool:
        """Whether this text has taken effect there before, within the window; it has now."""
        while self.order and self.order[0][0] <= now:
            until, key = self.order.popleft()
            if self.seen.get(key) == until:
                del self.seen[key]
        key = (floor if product.repeat_known is RepeatScope.FLOOR else -1, first)
        until = self.seen.get(key)
        if until is not None and until > now:
            return True
        self.seen[key] = until = arrived + product.repeat_window
        self.order.append((until, key))
        return False


class Route:
    """What shares one limit and one fate."""

    def __init__(self, number: int, limit: LimitKeys, capacity: float) -> None:
        self.number, self.limit, self.endpoints = number, Limit(limit, capacity), []
        # Calls that came while it was cold: when, whose, how many texts, and what it bore a second then.
        self.recent: deque[tuple[int, int, int, float]] = deque()
        self.load, self.borne = 0, 0.0
        self.fallen = False

    def bears(self, now: int) -> float:
        """Texts a second that it can do just now."""
        return sum(each.bears(now) for each in self.endpoints)

    def cold(self, now: int) -> bool:
        return any(each.cold(now) for each in self.endpoints)


class Destination:
    """One destination of a group."""

    def __init__(
        self, number: int, name: str, group: PartnerKeys, kind: int, capacity: float, latency: float
    ) -> None:
        self.number, self.name, self.group, self.kind = number, name, group, kind
        self.capacity, self.latency = capacity, latency
        self.endpoints: list[Endpoint] = []
        self.doubles = Doubles()


class Endpoint:
    """One endpoint. The world that it is in hears of effects, conditions and falls."""

    def __init__(
        self, number: int, name: str, floor: int, destination: Destination, route: Route, world: WorldEars
    ) -> None:
        self.number, self.name, self.floor = number, name, floor
        self.destination, self.route, self.world = destination, route, world
        group = destination.group
        share = destination.capacity / group.endpoints
        self.workers = max(1, round(share * destination.latency / SECOND))
        stretch = self.workers / (share * destination.latency / SECOND)
        self.service = destination.latency * min(stretch, STRETCH_MOST)  # ticks
        self.capacity = self.workers / self.service * SECOND
        self.busy = 0
        self.waiting: deque[tuple[WorldCall, int]] = deque()
        self.queued = 0  # texts in it
        self.ailments: list[Ailment] = []
        self.hang = self.silent = self.down = self.out = False
        self.shut: int | None = None
        self.errors = self.reset = self.garble = self.loss = self.runs = 0.0
        self.slow = 1.0
        self.back_at: int | None = None
        self.leaving = False  # drained, and past its time
        self.condition = Condition.WELL
        self.connections = 0
        self._service = world.service_times(self)
        self._epoch = 0  # counts deaths: what was in work before is lost

    # Its state.

    def bears(self, now: int) -> float:
        """Texts a second that it can do just now."""
        if self.down or self.route.fallen or self.leaving:
            return 0.0
        return self.capacity / self.slow * self.warmth(now)

    def warmth(self, now: int) -> float:
        """The share of its capacity that it has."""
        if self.back_at is None:
            return 1.0
        rules = self.world.rules
        if now >= self.back_at + rules.cold_time or not rules.cold_time:
            self.back_at = None
            self._told(Condition.WELL)
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * (now - self.back_at) / rules.cold_time

    def cold(self, now: int) -> bool:
        return self.back_at is not None and self.warmth(now) < 1.0

    def strike(self, ailment: Ailment) -> None:
        """A fault takes hold."""
        self.ailments.append(ailment)
        self._sum_up()

    def heal(self, ailment: Ailment) -> None:
        """A fault lets go; out of an outage the endpoint comes back cold."""
        if ailment in self.ailments:
            self.ailments.remove(ailment)
            self._sum_up()

    def _sum_up(self) -> None:
        now, before = self.world.clock.now(), (self.out, self.down, self.silent)
        ills = self.ailments
        self.hang, self.silent = any(each.hang for each in ills), any(each.silent for each in ills)
        self.down = any(each.down for each in ills)
        self.out = any(each.outage for each in ills)
        waits = [each.shut for each in ills if each.shut is not None]
        self.shut = max(waits) if waits else None
        self.slow, calls = 1.0, {"errors": 1.0, "reset": 1.0, "garble": 1.0, "loss": 1.0}
        for each in ills:
            self.slow *= each.slow
            for name in calls:
                calls[name] *= 1 - getattr(each, name)
        self.errors, self.reset = 1 - calls["errors"], 1 - calls["reset"]
        self.garble, self.loss = 1 - calls["garble"], 1 - calls["loss"]
        self.runs = max((each.runs for each in ills), default=0.0)
        if self.down and not before[1]:
            self._die()
        if self.out and not before[0]:
            self.back_at = None
            self._told(Condition.OUT)
        elif before[0] and not self.out and not self.route.fallen:
            self.back_at = now
            self._told(Condition.COLD if self.world.rules.cold_time else Condition.WELL)
        if (self.down, self.silent) != before[1:]:
            self.world.reachable(self)

    def _told(self, condition: Condition) -> None:
        if condition is not self.condition and self.condition not in (Condition.FALLEN, Condition.GONE):
            self.condition = condition
            self.world.condition(self, condition)

    def _die(self) -> None:
        """What it was doing and what waited is lost."""
        self._epoch += 1
        self.busy, self.queued = 0, 0
        self.waiting.clear()

    def leave(self) -> None:
        """It is gone from the list, and from its address."""
        self.leaving = True
        self._die()
        self._told(Condition.GONE)
        self.world.reachable(self)

    def fall(self) -> None:
        """Pushed over: it stays down."""
        self.down = self.out = True
        self.ailments.append(Ailment(down=True))
        self._die()
        self._told(Condition.FALLEN)
        self.world.reachable(self)

    # Its calls.

    def arrive(self, call: WorldCall) -> None:
        """A whole call is here."""
        now, world = self.world.clock.now(), self.world
        if self.silent or self.down:
            return
        if self.leaving:
            call.reply(Reply([Fate.REFUSED] * len(call.texts), by_status=True))
            return
        if self.route.cold(now) and self._pushed(now, call):
            return
        if self.hang:
            if world.chance.uniform("runs") < self.runs:
                world.clock.at(now + round(self._service.next()), self._run_unheard, call, now, self._epoch)
            return
        if self.shut is not None:
            call.reply(Reply([Fate.REFUSED] * len(call.texts), wait=self.shut, by_status=True))
            return
        if self.errors and world.chance.uniform("errors") < self.errors:
            if world.chance.uniform("runs") < self.runs:
                self._effects(now, call, now)
            world.clock.at(now + FAIL_FAST, self._fail, call)
            return
        wait = self.route.limit.take(now)
        if wait is not None:
            keys = self.route.limit.keys
            call.reply(
                self._report(
                    now,
                    Reply(
                        [Fate.REFUSED] * len(call.texts), wait=wait if keys.tells_wait else 0, by_status=True
                    ),
                )
            )
            return
        if self.reset and world.chance.uniform("reset") < self.reset:
            if world.chance.uniform("runs") < self.runs:
                self._effects(now, call, now)
            call.reply(Reply([Fate.RESET] * len(call.texts)))
            return
        call.garble = bool(self.garble) and world.chance.uniform("garble") < self.garble
        call.lose = bool(self.loss) and world.chance.uniform("loss") < self.loss
        if self.busy < self.workers:
            self._begin(now, call, now)
        elif self.queued + len(call.texts) <= self.destination.group.queue:
            self.waiting.append((call, now))
            self.queued += len(call.texts)
        else:
            call.reply(self._report(now, Reply([Fate.REFUSED] * len(call.texts), by_status=True)))

    def _begin(self, now: int, call: WorldCall, arrived: int) -> None:
        self.busy += 1
        group = self.destination.group
        work = max(self.world.products[text.product].work for text in call.texts)
        work *= 1 + group.batch_work * (len(call.texts) - 1)
        span = self._service.next() * work * self.slow / self.warmth(now)
        self.world.clock.at(now + max(1, round(span)), self._done, call, arrived, self._epoch)

    def _done(self, call: WorldCall, arrived: int, epoch: int) -> None:
        if epoch != self._epoch:
            return
        now = self.world.clock.now()
        self.busy -= 1
        if self.waiting:
            following, came = self.waiting.popleft()
            self.queued -= len(following.texts)
            self._begin(now, following, came)
        usual_errors = self.destination.group.errors
        if usual_errors and self.world.chance.uniform("usual errors") < usual_errors:
            self._answer(call, Reply([Fate.FAILED] * len(call.texts), by_status=True))
            return
        self._effects(now, call, arrived)
        self._answer(call, self._report(now, Reply([Fate.DELIVERED] * len(call.texts))))

    def _answer(self, call: WorldCall, reply: Reply) -> None:
        """Hand it on, if the way back is open."""
        if call.gone or self.hang or self.silent or self.down or call.lose:
            return
        if call.garble:
            reply.fates = [Fate.GARBLED] * len(call.texts)
        call.reply(reply)

    def _fail(self, call: WorldCall) -> None:
        self._answer(call, Reply([Fate.FAILED] * len(call.texts), by_status=True))

    def _run_unheard(self, call: WorldCall, arrived: int, epoch: int) -> None:
        if epoch == self._epoch:
            self._effects(self.world.clock.now(), call, arrived)

    def _effects(self, now: int, call: WorldCall, arrived: int) -> None:
        for text in call.texts:
            product, known = self.world.products[text.product], False
            if product.effect is Effect.REFERENCED:
                known = self.destination.doubles.known(now, product, self.floor, text.first, arrived)
            self.world.ran(self, text, known)

    def _report(self, now: int, reply: Reply) -> Reply:
        if self.destination.group.reports:
            limit = self.route.limit
            reply.left, reply.rate = limit.left(now), limit.told
        return reply

    def _pushed(self, now: int, call: WorldCall) -> bool:
        """Count the load of a cold route over the last span; too much of it pushes it over."""
        route, rules = self.route, self.world.rules
        recent, count = route.recent, len(call.texts)
        bears = route.bears(now)
        recent.append((now, call.relay, count, bears))
        route.load, route.borne = route.load + count, route.borne + bears
        while recent[0][0] <= now - rules.fall_time:
            _, _, gone, bore_then = recent.popleft()
            route.load, route.borne = route.load - gone, route.borne - bore_then
        # The mean over the span: what came before it slowed down is not held against what it bears since.
        bore = route.borne / len(recent) * rules.fall_multiple * rules.fall_time / SECOND
        if not rules.fall_time or route.load <= bore + FALL_SLACK:
            return False
        load: dict[int, int] = {}
        for _, relay, texts, _ in recent:
            load[relay] = load.get(relay, 0) + texts
        route.fallen = True
        self.world.fell(route, bore, load)
        for each in route.endpoints:
            each.fall()
        return True


class WorldEars:
    """What endpoints need of the world that they are in, and what they tell it."""

    clock: Clock
    chance: Streams
    rules: RuleKeys
    products: list[ProductKeys]

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        """The text takes effect; `known`: as a repeat it has none."""

    def condition(self, endpoint: Endpoint, condition: Condition) -> None:
        """It is well, out, cold, fallen or gone."""

    def reachable(self, endpoint: Endpoint) -> None:
        """Whether connections come up has changed."""

    def fell(self, route: Route, bore: float, load: dict[int, int]) -> None:
        """A cold route was pushed over."""

    def service_times(self, endpoint: Endpoint) -> Draws:
        """Service times in ticks, for a text of work 1."""
        group, generator = endpoint.destination.group, self.chance.generator(f"service {endpoint.name}")
        mean = endpoint.service
        if group.spread is Spread.FIXED:
            return Draws(lambda count: np.full(count, mean))
        if group.spread is Spread.EXPONENTIAL:
            return Draws(lambda count: generator.exponential(mean, count))
        sigma = float(np.sqrt(np.log(1 + group.varies**2)))
        return Draws(lambda count: generator.lognormal(np.log(mean) - sigma**2 / 2, sigma, count))
