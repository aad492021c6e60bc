"""Models of destinations, routes and endpoints: service times, queues, limits, outages and overload.

An endpoint has a fixed number of workers. A call occupies one for its service time, further calls queue, and
a call beyond the queue's size is refused. A route is the unit that shares a rate limit and fails as a whole:
a whole destination, or a single endpoint where the kind has `routes_apart`. After an outage an endpoint is
cold: its capacity is `cold_share` of the full one at first and rises linearly to all of it in `cold_time`.
A cold route that receives more than `fall_multiple` times its capacity over `fall_time` goes down for good.
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
from limelatch.lab.world.random_streams import BatchedDraws, RandomStreams
from limelatch.lab.world.clock import Clock

OVERLOAD_SLACK = 2  # texts above the overload bound that random variation may cause
OUTAGE_ERROR_SHARE = 0.5  # a share of failing calls above this is an outage
MAX_SERVICE_STRETCH = 2.0  # bound on how far the latency is stretched to get a whole number of workers
ERROR_ANSWER_TIME = 20  # ticks until the answer to a call that fails at once


@dataclass(slots=True, eq=False)
class WorldText:
    """A text in the simulated world; `first` is the id of its first submission, used to count effects."""

    id: int | str
    first: int | str
    product: int


@dataclass(slots=True, eq=False)
class Reply:
    """An endpoint's answer to a call: `fates` in the order of its texts, `wait` (Retry-After) in ticks."""

    fates: list[int]
    wait: int = 0
    left: float | None = None  # share of the limit that is left
    rate: float | None = None  # the limit in calls per second
    by_status: bool = False  # one HTTP status answers the whole call


@dataclass(slots=True, eq=False)
class WorldCall:
    """One call at an endpoint; `reply` is called at most once."""

    relay: int
    texts: list[WorldText]
    reply: Callable[[Reply], None]
    number: int = 0
    gone: bool = False  # the caller no longer waits for the answer; the call may still run
    garble: bool = False
    lose: bool = False


class Limit:
    """The rate limit of a route, for all relays together."""

    __slots__ = ("keys", "rate", "factor", "_level", "_at", "_count", "_window")

    def __init__(self, keys: LimitKeys, capacity: float) -> None:
        self.keys, self.rate, self.factor = keys, keys.of_capacity * capacity, 1.0
        self._level, self._at, self._count, self._window = 0.0, 0, 0.0, -1

    @property
    def current_rate(self) -> float:
        """The limit in calls per second; 0 without a limit."""
        return 0.0 if self.keys.form is LimitForm.NONE else self.rate * self.factor

    def _max_level(self) -> float:
        return max(1.0, self.current_rate * self.keys.span / SECOND)

    def _refill(self, now: int) -> None:
        if self.keys.form is LimitForm.RATE:
            self._level = max(0.0, self._level - (now - self._at) / SECOND * self.current_rate)
            self._at = now
        elif (window := now // self.keys.span) != self._window:
            self._window, self._count = window, 0.0

    def take(self, now: int) -> int | None:
        """Counts a call; returns None if it may pass, otherwise the ticks until one may."""
        if self.keys.form is LimitForm.NONE:
            return None
        self._refill(now)
        if self.keys.form is LimitForm.RATE:
            if self._level + 1 <= self._max_level():
                self._level += 1
                return None
            wait = (self._level + 1 - self._max_level()) / self.current_rate * SECOND
            if self.keys.refused_count:
                self._level = min(self._level + 1, 2 * self._max_level())
            return int(wait) + 1
        if self._count + 1 <= self._max_level():
            self._count += 1
            return None
        if self.keys.refused_count:
            self._count += 1
        return (self._window + 1) * self.keys.span - now

    def left(self, now: int) -> float:
        """Returns the share of the limit that is left now."""
        if self.keys.form is LimitForm.NONE:
            return 0.0
        self._refill(now)
        used = self._level if self.keys.form is LimitForm.RATE else self._count
        return max(0.0, 1 - used / self._max_level())


@dataclass(eq=False)
class FaultEffect:
    """What one fault does to an endpoint: flags, a latency factor, and shares of calls."""

    hang: bool = False
    silent: bool = False
    down: bool = False
    shut: int | None = None  # the Retry-After in ticks of every refusal; None: not shut
    slow: float = 1.0
    errors: float = 0.0
    reset: float = 0.0
    garble: float = 0.0
    loss: float = 0.0
    runs: float = 0.0

    @property
    def outage(self) -> bool:
        """Whether the endpoint counts as being in an outage."""
        return (
            self.hang or self.silent or self.down or self.shut is not None or self.errors > OUTAGE_ERROR_SHARE
        )


@dataclass(slots=True, eq=False)
class RepeatMemory:
    """The idempotency keys that a destination remembers, for itself as a whole or for each zone."""

    seen: dict[tuple[int, int | str], int] = field(default_factory=dict)
    order: deque[tuple[int, tuple[int, int | str]]] = field(default_factory=deque)

    def is_repeat(self, now: int, product: ProductKeys, floor: int, first: int | str, arrived: int) -> bool:
        """Returns whether this text took effect there before, within the window, and records it."""
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
    """Endpoints that share a rate limit and go down together when overloaded."""

    def __init__(self, number: int, limit: LimitKeys, capacity: float) -> None:
        self.number, self.limit, self.endpoints = number, Limit(limit, capacity), []
        # Calls received while cold: time, relay, work in texts, capacity then (texts per second).
        self.recent: deque[tuple[int, int, float, float]] = deque()
        self.load, self.capacity_sum = 0.0, 0.0
        self.fallen = False

    def available_capacity(self, now: int) -> float:
        """Returns the texts per second that its endpoints can process now."""
        return sum(each.available_capacity(now) for each in self.endpoints)

    def is_cold(self, now: int) -> bool:
        """Whether any endpoint of the route is cold."""
        return any(each.is_cold(now) for each in self.endpoints)


class Destination:
    """One destination of a group of partners; `capacity` in texts per second, `latency` in ticks."""

    def __init__(
        self, number: int, name: str, group: PartnerKeys, kind: int, capacity: float, latency: float
    ) -> None:
        self.number, self.name, self.group, self.kind = number, name, group, kind
        self.capacity, self.latency = capacity, latency
        self.endpoints: list[Endpoint] = []
        self.repeats = RepeatMemory()


class Endpoint:
    """One endpoint. It reports effects, changes of its condition and overload to its world."""

    def __init__(
        self,
        number: int,
        name: str,
        floor: int,
        destination: Destination,
        route: Route,
        world: EndpointContext,
    ) -> None:
        self.number, self.name, self.floor = number, name, floor
        self.destination, self.route, self.world = destination, route, world
        group = destination.group
        share = destination.capacity / group.endpoints
        self.workers = max(1, round(share * destination.latency / SECOND))
        stretch = self.workers / (share * destination.latency / SECOND)
        self.service = destination.latency * min(stretch, MAX_SERVICE_STRETCH)  # ticks
        self.capacity = self.workers / self.service * SECOND
        self.busy = 0
        self.waiting: deque[tuple[WorldCall, int]] = deque()
        self.queued = 0  # texts in `waiting`
        self.fault_effects: list[FaultEffect] = []
        self.hang = self.silent = self.down = self.out = False
        self.shut: int | None = None
        self.errors = self.reset = self.garble = self.loss = self.runs = 0.0
        self.slow = 1.0
        self.recovered_at: int | None = None
        self.leaving = False  # removed from the list after a drain
        self.condition = Condition.WELL
        self.connections = 0
        self._service = world.service_times(self)
        self._failure_count = 0  # calls that began before the last failure are lost

    # State and faults.

    def available_capacity(self, now: int) -> float:
        """Returns the texts per second that it can process now."""
        if self.down or self.route.fallen or self.leaving:
            return 0.0
        return self.capacity / self.slow * self.capacity_share(now)

    def capacity_share(self, now: int) -> float:
        """Returns the share of its full capacity that it has now; below 1 while it is cold."""
        if self.recovered_at is None:
            return 1.0
        rules = self.world.rules
        if now >= self.recovered_at + rules.cold_time or not rules.cold_time:
            self.recovered_at = None
            self._set_condition(Condition.WELL)
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * (now - self.recovered_at) / rules.cold_time

    def is_cold(self, now: int) -> bool:
        """Whether the endpoint is still warming up after an outage."""
        return self.recovered_at is not None and self.capacity_share(now) < 1.0

    def add_fault_effect(self, effect: FaultEffect) -> None:
        """Applies the effect of a fault that begins."""
        self.fault_effects.append(effect)
        self._combine_effects()

    def remove_fault_effect(self, effect: FaultEffect) -> None:
        """Removes the effect of a fault that ended; after an outage the endpoint is cold."""
        if effect in self.fault_effects:
            self.fault_effects.remove(effect)
            self._combine_effects()

    def _combine_effects(self) -> None:
        """Computes the state from all effects and reports changes of it."""
        now, before = self.world.clock.now(), (self.out, self.down, self.silent)
        effects = self.fault_effects
        self.hang, self.silent = any(each.hang for each in effects), any(each.silent for each in effects)
        self.down = any(each.down for each in effects)
        self.out = any(each.outage for each in effects)
        waits = [each.shut for each in effects if each.shut is not None]
        self.shut = max(waits) if waits else None
        self.slow, calls = 1.0, {"errors": 1.0, "reset": 1.0, "garble": 1.0, "loss": 1.0}
        for each in effects:
            self.slow *= each.slow
            for name in calls:
                calls[name] *= 1 - getattr(each, name)
        self.errors, self.reset = 1 - calls["errors"], 1 - calls["reset"]
        self.garble, self.loss = 1 - calls["garble"], 1 - calls["loss"]
        self.runs = max((each.runs for each in effects), default=0.0)
        if self.down and not before[1]:
            self._die()
        if self.out and not before[0]:
            self.recovered_at = None
            self._set_condition(Condition.OUT)
        elif before[0] and not self.out and not self.route.fallen:
            self.recovered_at = now
            self._set_condition(Condition.COLD if self.world.rules.cold_time else Condition.WELL)
        if (self.down, self.silent) != before[1:]:
            self.world.reachable(self)

    def _set_condition(self, condition: Condition) -> None:
        if condition is not self.condition and self.condition not in (Condition.FALLEN, Condition.GONE):
            self.condition = condition
            self.world.condition(self, condition)

    def _die(self) -> None:
        """Loses all calls that are running or waiting."""
        self._failure_count += 1
        self.busy, self.queued = 0, 0
        self.waiting.clear()

    def leave(self) -> None:
        """Shuts the endpoint down after its removal from the list."""
        self.leaving = True
        self._die()
        self._set_condition(Condition.GONE)
        self.world.reachable(self)

    def fall(self) -> None:
        """Takes the endpoint down for good, after an overload."""
        self.down = self.out = True
        self.fault_effects.append(FaultEffect(down=True))
        self._die()
        self._set_condition(Condition.FALLEN)
        self.world.reachable(self)

    # Calls.

    def arrive(self, call: WorldCall) -> None:
        """Receives a complete call."""
        now, world = self.world.clock.now(), self.world
        if self.silent or self.down:
            return
        if self.leaving:
            call.reply(Reply([Fate.REFUSED] * len(call.texts), by_status=True))
            return
        if self.route.is_cold(now) and self._is_overloaded(now, call):
            return
        if self.hang:
            if world.random_streams.uniform("runs") < self.runs:
                world.clock.at(
                    now + round(self._service.next()),
                    self._run_without_answer,
                    call,
                    now,
                    self._failure_count,
                )
            return
        if self.shut is not None:
            call.reply(Reply([Fate.REFUSED] * len(call.texts), wait=self.shut, by_status=True))
            return
        if self.errors and world.random_streams.uniform("errors") < self.errors:
            if world.random_streams.uniform("runs") < self.runs:
                self._effects(now, call, now)
            world.clock.at(now + ERROR_ANSWER_TIME, self._fail, call)
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
        if self.reset and world.random_streams.uniform("reset") < self.reset:
            if world.random_streams.uniform("runs") < self.runs:
                self._effects(now, call, now)
            call.reply(Reply([Fate.RESET] * len(call.texts)))
            return
        call.garble = bool(self.garble) and world.random_streams.uniform("garble") < self.garble
        call.lose = bool(self.loss) and world.random_streams.uniform("loss") < self.loss
        if self.busy < self.workers:
            self._begin(now, call, now)
        elif self.queued + len(call.texts) <= self.destination.group.queue:
            self.waiting.append((call, now))
            self.queued += len(call.texts)
        else:
            call.reply(self._report(now, Reply([Fate.REFUSED] * len(call.texts), by_status=True)))

    def _begin(self, now: int, call: WorldCall, arrived: int) -> None:
        self.busy += 1
        work = max(self.world.products[text.product].work for text in call.texts) * self._texts_of_work(call)
        span = self._service.next() * work * self.slow / self.capacity_share(now)
        self.world.clock.at(now + max(1, round(span)), self._done, call, arrived, self._failure_count)

    def _done(self, call: WorldCall, arrived: int, failure_count: int) -> None:
        if failure_count != self._failure_count:
            return
        now = self.world.clock.now()
        self.busy -= 1
        if self.waiting:
            following, arrived_at = self.waiting.popleft()
            self.queued -= len(following.texts)
            self._begin(now, following, arrived_at)
        usual_errors = self.destination.group.errors
        if usual_errors and self.world.random_streams.uniform("usual errors") < usual_errors:
            self._answer(call, Reply([Fate.FAILED] * len(call.texts), by_status=True))
            return
        self._effects(now, call, arrived)
        self._answer(call, self._report(now, Reply([Fate.DELIVERED] * len(call.texts))))

    def _answer(self, call: WorldCall, reply: Reply) -> None:
        """Sends the reply if the caller can still receive it."""
        if call.gone or self.hang or self.silent or self.down or call.lose:
            return
        if call.garble:
            reply.fates = [Fate.GARBLED] * len(call.texts)
        call.reply(reply)

    def _fail(self, call: WorldCall) -> None:
        self._answer(call, Reply([Fate.FAILED] * len(call.texts), by_status=True))

    def _run_without_answer(self, call: WorldCall, arrived: int, failure_count: int) -> None:
        if failure_count == self._failure_count:
            self._effects(self.world.clock.now(), call, arrived)

    def _effects(self, now: int, call: WorldCall, arrived: int) -> None:
        for text in call.texts:
            product, known = self.world.products[text.product], False
            if product.effect is Effect.REFERENCED:
                known = self.destination.repeats.is_repeat(now, product, self.floor, text.first, arrived)
            self.world.ran(self, text, known)

    def _report(self, now: int, reply: Reply) -> Reply:
        if self.destination.group.reports:
            limit = self.route.limit
            reply.left, reply.rate = limit.left(now), limit.current_rate
        return reply

    def _texts_of_work(self, call: WorldCall) -> float:
        """Returns how many texts sent one by one are as much work as the call: further ones add less."""
        return 1 + self.destination.group.batch_work * (len(call.texts) - 1)

    def _is_overloaded(self, now: int, call: WorldCall) -> bool:
        """Adds a call to the load of a cold route over the last `fall_time`; takes it down if overloaded."""
        route, rules = self.route, self.world.rules
        recent, work = route.recent, self._texts_of_work(call)
        available_capacity = route.available_capacity(now)
        recent.append((now, call.relay, work, available_capacity))
        route.load, route.capacity_sum = route.load + work, route.capacity_sum + available_capacity
        while recent[0][0] <= now - rules.fall_time:
            _, _, gone, past_capacity = recent.popleft()
            route.load, route.capacity_sum = route.load - gone, route.capacity_sum - past_capacity
        # The mean capacity over the span: load received before a slowdown must not be compared with the
        # lower capacity after it.
        max_load = route.capacity_sum / len(recent) * rules.fall_multiple * rules.fall_time / SECOND
        if not rules.fall_time or route.load <= max_load + OVERLOAD_SLACK:
            return False
        load: dict[int, float] = {}
        for _, relay, past_work, _ in recent:
            load[relay] = load.get(relay, 0.0) + past_work
        route.fallen = True
        self.world.route_overloaded(route, max_load, load)
        for each in route.endpoints:
            each.fall()
        return True


class EndpointContext:
    """What endpoints need from their world, and the events that they report to it."""

    clock: Clock
    random_streams: RandomStreams
    rules: RuleKeys
    products: list[ProductKeys]

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        """A text was processed; if `known`, it was recognized as a repeat and had no effect."""

    def condition(self, endpoint: Endpoint, condition: Condition) -> None:
        """The endpoint's condition has changed."""

    def reachable(self, endpoint: Endpoint) -> None:
        """Whether the endpoint accepts connections has changed."""

    def route_overloaded(self, route: Route, max_load: float, load: dict[int, float]) -> None:
        """A cold route went down by overload; `load` is the work of each relay, in texts."""

    def service_times(self, endpoint: Endpoint) -> BatchedDraws:
        """Returns random service times in ticks, for a text of work 1."""
        group, generator = (
            endpoint.destination.group,
            self.random_streams.generator(f"service {endpoint.name}"),
        )
        mean = endpoint.service
        if group.spread is Spread.FIXED:
            return BatchedDraws(lambda count: np.full(count, mean))
        if group.spread is Spread.EXPONENTIAL:
            return BatchedDraws(lambda count: generator.exponential(mean, count))
        sigma = float(np.sqrt(np.log(1 + group.varies**2)))
        return BatchedDraws(lambda count: generator.lognormal(np.log(mean) - sigma**2 / 2, sigma, count))
