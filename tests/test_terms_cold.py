"""The load on a cold destination, just back from an outage, from all relays that know of the outage.

With N the calls that the settings allow in their window at that moment, the destination bears
N + 2 x sqrt(N) + 2 calls, also from twenty or sixty relays together. Each test runs the decision modules of
all relays against one destination in virtual time; nothing else of the program takes part."""

from __future__ import annotations

import heapq
import os
from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt
from random import Random

import pytest

from limelatch.interface import (
    MS,
    SECOND,
    Effect,
    HostEntry,
    HostKind,
    Listing,
    PolicySettings,
    Product,
    Result,
    Submit,
    SubmitReport,
    Text,
    Wake,
)
from limelatch.policy import MAX_BACKOFF, Policy, Route

NOW = 100 * SECOND  # start of the outage
OUTAGE = 10 * SECOND  # its length
LATENCY = 40 * MS  # of a delivery
VALID = 60 * SECOND  # validity of each text
# How calls end during the outage, and after how long; 0: at their timeout.
SYMPTOMS = {
    "refused connections": (Result.CONNECT, 1 * MS),
    "hangs": (Result.TIMEOUT, 0),
    "shut": (Result.FULL, 5 * MS),
    "errors": (Result.ERROR, 40 * MS),
}


@dataclass(frozen=True)
class Cold:
    """A deployment's settings for a destination back from an outage.

    `share`: of its capacity that it has at first; `time`: until it has all of it; `multiple`: of its rate
    that may come in a window; `window`: its length."""

    share: float
    time: int
    multiple: float
    window: int

    def rate_for(self, allowed: float) -> float:
        """The capacity in calls a second at which `allowed` calls are allowed in the first window."""
        return allowed * SECOND / (self.multiple * self.share * self.window)


# The settings of three deployments.
NAVRANG = Cold(0.14, 12 * SECOND, 2.5, 2 * SECOND)
VADODARA = Cold(0.29, 12 * SECOND, 1.5, 2 * SECOND)
FUKUOKA = Cold(0.21, 92 * SECOND // 10, 2.0, 3 * SECOND)


class World:
    """One destination, and the decision modules of all relays that know of its outage."""

    def __init__(
        self,
        cold: Cold,
        allowed: float,
        alive: int,
        seed: int,
        listed: int = 0,
        reports_limit: bool = True,
        symptom: str = "refused connections",
        hosts: int = 1,
        demand: Callable[[Random, int], int] | None = None,
        never_refuses: bool = False,
    ) -> None:
        self.cold, self.rate, self.reports_limit, self.symptom = (
            cold,
            cold.rate_for(allowed),
            reports_limit,
            symptom,
        )
        self.random, self.now, self.queue, self.count = Random(seed), 0, [], 0
        self.calls: list[int] = []  # when each call came, after the return
        self.never_refuses = never_refuses  # the destination refuses nothing
        self.returned_at, self.demand, self.end = NOW + OUTAGE, demand, NOW + OUTAGE + cold.time
        settings = [
            PolicySettings(
                self.random.getrandbits(32),
                listed or alive,
                16,
                200,
                8,
                2 * SECOND,
                [Product(Effect.RESENDABLE, 3 * SECOND, VALID, 2.0, 0.4, False)],
                [HostKind()],
                cold_share=cold.share,
                cold_time=cold.time,
                fall_multiple=cold.multiple,
                fall_time=cold.window,
                connection_idle_limit=9 * SECOND,
                rates_listed=reports_limit,
            )
            for _ in range(alive)
        ]
        self.relays = [Policy(each, 0) for each in settings]
        entries = [HostEntry(b"host%d" % each, 1, 0, 0, self.rate, Listing.READY) for each in range(hosts)]
        self.wakes = [1 << 62] * alive
        self.room, self.room_at = 1.0, self.returned_at
        for number, relay in enumerate(self.relays):
            relay.hosts_listed(0, entries, True)
            for _ in range(3):
                self.at(NOW + self.random.randrange(SECOND), self.submit_text, number)
            if demand is None:
                self.at(NOW + SECOND, self.refill, number)
            else:
                self.at(NOW + demand(self.random, NOW), self.trickle, number)

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, call, arguments))

    def run(self) -> World:
        while self.queue and self.queue[0][0] <= self.end:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        return self

    # The clients of a relay.

    def submit_text(self, number: int) -> None:
        self.count += 1
        self.relays[number].text_accepted(self.now, Text(self.count, 1, 0, self.now + VALID))
        self.decide(number)

    def refill(self, number: int) -> None:
        """Keep four texts waiting at the relay."""
        for _ in range(4 - len(self.relays[number].texts)):
            self.submit_text(number)
        self.at(self.now + 100 * MS, self.refill, number)

    def trickle(self, number: int) -> None:
        self.submit_text(number)
        self.at(self.now + self.demand(self.random, self.now), self.trickle, number)

    # A relay.

    def wake(self, number: int) -> None:
        if self.wakes[number] <= self.now:
            self.wakes[number] = 1 << 62
            self.decide(number)

    def decide(self, number: int) -> None:
        for action in self.relays[number].decide(self.now):
            if isinstance(action, Submit):
                self.submit(number, action)
            elif isinstance(action, Wake):
                self.wakes[number] = self.now + action.after
                self.at(self.now + action.after, self.wake, number)

    def ended(self, number: int, report: SubmitReport) -> None:
        self.relays[number].submit_ended(self.now, report)
        self.decide(number)

    # The destination.

    def submit(self, number: int, submit: Submit) -> None:
        result, took = SYMPTOMS[self.symptom]
        if self.now >= self.returned_at:
            self.calls.append(self.now)
            result, took = self.answer(), self.random.randrange(LATENCY // 2, 2 * LATENCY)
        took = took or submit.timeout
        left = max(0.0, self.room / 5) if self.reports_limit else None
        self.at(
            self.now + took,
            self.ended,
            number,
            SubmitReport(
                submit.text,
                submit.host,
                result,
                took,
                result is Result.DELIVERED,
                limit_left=left if result is not Result.CONNECT else None,
                limit_rate=self.rate if self.reports_limit and result is not Result.CONNECT else None,
            ),
        )

    def answer(self) -> Result:
        """It delivers what its capacity allows, with a small queue, and refuses the rest."""
        passed, self.room_at = self.now - self.room_at, self.now
        self.room = min(5.0, self.room + self.rate * self.share(self.now) * passed / SECOND)
        if self.room < 1.0 and not self.never_refuses:
            return Result.FULL
        self.room -= 1.0
        return Result.DELIVERED

    def share(self, at: int) -> float:
        """Share of its capacity that it has at that time."""
        return self.cold.share + (1 - self.cold.share) * (at - self.returned_at) / self.cold.time

    def allowed(self, at: int) -> float:
        """Calls that are allowed in the window that ends at that time."""
        return self.cold.multiple * self.rate * self.share(at) * self.cold.window / SECOND

    def half_times(self) -> tuple[float, float]:
        """Seconds from the return until half of the calls allowed in the warm-up: sent, and allowed.

        Never more calls are allowed than the limit."""
        step, sums = 10 * MS, [0.0]
        for at in range(self.returned_at, self.end, step):
            sums.append(sums[-1] + min(1.0, self.cold.multiple * self.share(at)) * self.rate * step / SECOND)
        half = sums[-1] / 2
        allowed = next(at for at, each in enumerate(sums) if each >= half) * step
        sent = self.calls[int(half)] - self.returned_at if len(self.calls) > half else self.cold.time
        return sent / SECOND, allowed / SECOND

    def worst(self) -> float:
        """Calls beyond N + 2 x sqrt(N) + 2 in the worst window; 0 or less: the destination bore them all."""
        worst, first = -1e9, 0
        for last, at in enumerate(self.calls):
            while self.calls[first] <= at - self.cold.window:
                first += 1
            n = self.allowed(at)
            worst = max(worst, last + 1 - first - n - 2 * sqrt(n) - 2)
        return worst


SIZES = (20, 30, 60)
ALLOWED = (1, 2, 5, 20, 50)  # N, just after the return
QUICK = [(1, "refused connections"), (2, "refused connections"), (2, "shut"), (5, "shut"), (12, "hangs")]
SEEDS = range(int(os.environ.get("COLD_SEEDS", "1")))  # more than one only for measurements
EACH = pytest.mark.parametrize("cold", [NAVRANG, VADODARA, FUKUOKA], ids=["navrang", "vadodara", "fukuoka"])


def in_bursts(random: Random, now: int) -> int:
    """No texts until 3 s after the return, then many at every relay at once."""
    start = NOW + OUTAGE + 3 * SECOND
    return start - now + random.randrange(200 * MS) if now < start else 250 * MS


@EACH
@pytest.mark.parametrize("alive", SIZES)
def test_relays_that_know_of_an_outage_do_not_overload_the_destination(cold, alive):
    """Guards against four times the allowed calls at a small destination from sixty relays.

    Each relay estimated the number of informed relays by the limit alone, and kept the time of its next trial
    however many texts came."""
    runs = [(allowed, symptom) for allowed in ALLOWED for symptom in SYMPTOMS] if len(SEEDS) > 1 else QUICK
    for seed in SEEDS:
        for allowed, symptom in runs:
            world = World(cold, allowed, alive, seed, symptom=symptom).run()
            assert world.worst() <= 0, (allowed, symptom, seed)


@EACH
def test_texts_that_come_to_all_relays_at_once_do_not_overload_the_destination(cold):
    for seed in (0, 1):
        assert World(cold, 3, 60, seed, demand=in_bursts).run().worst() <= 0


@EACH
@pytest.mark.parametrize("allowed", [2, 3, 5, 8])
def test_texts_at_once_do_not_overload_a_destination_that_refused_with_limit_left(cold, allowed):
    """The destination refuses without a Retry-After and reports that its limit has room.

    Every relay has refused texts waiting, and a text comes to all of them within 200 ms. Guards against up to
    35 calls over the bound."""
    for seed in range(5):
        assert World(cold, allowed, 60, seed, demand=in_bursts, symptom="shut").run().worst() <= 0, seed


def test_a_call_is_saved_up_at_the_same_time_however_often_the_pace_is_updated():
    """The pace grows meanwhile.

    Guards against counting a long span at the pace of its end, and the time until the next call at the pace
    of its beginning."""
    often, once = (Route(8) for _ in range(2))
    for route in (often, once):
        route.limit, route.pace, route.credit, route.cut_count = 6.0, 0.06, -0.5, 1
        route.update_pace(NOW, 60)
    due = once.time_until_credit()
    for at in range(NOW, NOW + due // 2, 10 * MS):
        often.update_pace(at, 60)
    often.update_pace(NOW + due // 2, 60), once.update_pace(NOW + due // 2, 60)
    assert often.credit == pytest.approx(once.credit, abs=0.03)
    once.update_pace(NOW + due, 60)
    assert once.credit == pytest.approx(1.0, abs=0.05) and 10 * SECOND < due < 1.2 / 0.06 * SECOND


@EACH
def test_with_fewer_relays_alive_than_configured_fewer_calls_are_sent(cold):
    for seed in (0, 1):
        few, right = World(cold, 15, 20, seed, listed=60).run(), World(cold, 15, 20, seed).run()
        assert few.worst() <= 0 and len(few.calls) <= len(right.calls)


@EACH
def test_the_return_is_as_fast_as_the_allowed_calls_and_the_trials_permit(cold):
    """Half of the allowed calls have come at most half of the longest backoff after they were allowed."""
    for never_refuses in (False, True):
        world = World(cold, 20, 30, 3, never_refuses=never_refuses).run()
        sent, allowed = world.half_times()
        assert sent <= allowed + MAX_BACKOFF / SECOND / 2 and world.worst() <= 0, (sent, allowed)


@EACH
@pytest.mark.parametrize("alive", [1, 3, 6, 10])
def test_few_relays_keep_to_the_allowed_calls_without_being_refused(cold, alive):
    for allowed in (1, 5, 20):
        assert World(cold, allowed, alive, alive, never_refuses=True).run().worst() <= 0, allowed


def unevenly(random: Random, now: int) -> int:
    """Some relays get thirty times the texts of others."""
    return MS + int(random.expovariate(1.0) * random.choice([60, 200, 2000]) * MS)


@pytest.mark.parametrize("alive", [1, 2, 5, 20, 60])
def test_the_allowed_calls_are_kept_for_any_number_of_relays_and_any_n(alive):
    """Also below 30 calls; with even and uneven traffic."""
    for allowed in (1, 2, 5, 20, 29, 30, 100, 200):
        for demand in (None, unevenly):
            world = World(NAVRANG, allowed, alive, allowed, symptom="shut", demand=demand).run()
            assert world.worst() <= 0, (allowed, demand)
