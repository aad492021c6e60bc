"""limelatch's decisions: which host gets which text, when, and what a text's final answer is.

How to call it: make one `Policy(terms, now)` a relay, tell it each event (`hosts_listed`, `text_taken`,
`submit_ended`, `client_left`), then call `decide(now)` once for the batch and carry out its actions in order.
The interface is limelatch/interface.py; docs/design.md gives the reasons. `_plan` sets the wanted state,
`_gate` checks the rules for every send, and `_emit` works out the difference to the present state.

Beside the design (token bucket, jittered waits, delay window, slot caps) stand these mechanisms:
  1. health by symptom: a host whose calls mostly fail or go unanswered gets one trial at a time;
  2. paced warm-up: a host back from an outage gets what is safe though no other relay holds back;
  3. limit pacing: first submits are paced by the limit told or listed, lowered by refusals;
  4. order of held texts: those that can still make their SLA time first, by revenue at stake;
  5. room: when the relay is nearly full, held texts with the least at stake are nacked with advice;
  6. connections: full tables and dead idle connections are told apart from outages.
"""

from __future__ import annotations

import heapq
from collections import defaultdict, deque

from limelatch.interface import (Action, CloseIdle, Effect, HostEntry, HostId, Listing, LogLine, Nack,
                                 Product, Result, Submit, SubmitReport, Terms, Text, Undeliverable, Wake)

MS, SECOND = 10, 10_000
# The design's figures; tokens are counted in tenths.
BUCKET, REFILL, TOKEN = 200, 1, 10
BASE, CAP, TIME_OUT = 200 * MS, 2 * SECOND, 9 * SECOND
TOLD_JITTER = 150 * MS  # on top of a told wait, so that relays told the same do not return together
RECENT_CALLS = 7  # calls whose median is held against the usual latency
# Ours.
PERIOD, USUAL_AT_FIRST = 20 * MS, 400 * MS  # of the one timer; latency taken as usual before any is known
SICK_SHARE, FAIL_STEP, SILENT_STEP = 0.5, 0.3, 0.6  # smoothed share of failures of a sick host, and its steps
OVERDUE_LEAST, OVERDUE_TIMES = 800 * MS, 4  # a call this late, with no success since, makes a host suspect
CROWDED_LATEST, CROWDED_SPAN = 2 * SECOND, 8 * SECOND  # since a success; for which a host is taken as crowded
STALE_LEAST, STALE_SPAN = 500 * MS, 30 * SECOND  # least idle time; how long dead connections are minded
LIMIT_USED_UP = 0.15  # a share of the limit left below which refusals come from the limit
REFUSED_TOO_LONG, REFUSED_OFTEN = 3 * SECOND, 5  # refusals alone for so long and so often are an outage
PACE_CUT, PACE_LEAST, PACE_GROWTH, PACE_REST, PACE_BURST = 0.6, 0.4, 0.05, 300 * MS, 0.4
PACE_STEP = 0.05  # growth of the pace by a delivery, as a share of it
PRESSED, GATHER = 0.8, 300 * MS  # share of the limit below which texts wait this long to share a call
TRIAL_SHARE, TRIAL_LATEST = 0.4, 4 * SECOND  # part of a limit for all relays' trials; longest wait
LAST_MOMENT = 100 * MS  # what a submit needs at the least
SCARCE = 0.9  # share of the slots in use from which time-outs are shorter
ROOM_LEFT = 0.92  # share of the room from which held texts are nacked
MAY_HAVE_RUN = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Chance:
    """A linear congruential generator; the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def below(self, bound: int) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 33) * max(1, bound) >> 31


class Call:
    """One call out at a host: the texts that share it take one slot until all have their outcomes."""

    def __init__(self, host: Host, sent: int) -> None:
        self.host, self.sent, self.texts = host, sent, 0
        self.idle = sent - host.used_at if host.used_at and not host.out else 0  # of the host's connections


class Held:
    """A text that this relay has taken and not finally answered."""

    def __init__(self, text: Text, row: Product, now: int) -> None:
        self.text, self.row = text, row
        self.submits, self.due, self.taken_at = 0, 0, now
        self.ran_at, self.zone = None, None  # when and where the first submit that may have run was sent
        self.call: Call | None = None
        self.wanted: Host | None = None
        self.verdict: Action | None = None
        self.sla_at = text.valid_until - row.validity_period + row.sla_time

    def last_send(self) -> int:
        """When it is too late to send it, by its validity period and its product's window."""
        if self.ran_at is None or self.row.effect is not Effect.REFERENCED:
            return self.text.valid_until
        return min(self.text.valid_until, self.ran_at + self.row.repeat_window)

    def ends_at(self) -> int:
        """When it can no longer be sent in time."""
        return self.last_send() - LAST_MOMENT

    def revenue_left(self, now: int) -> float:
        """The revenue of the text if it were delivered now."""
        row, late = self.row, max(0, now - self.sla_at)
        if row.by_halves:
            return row.revenue * max(row.late_share, 0.5 ** (late / row.sla_time))
        return row.revenue * (1 - (1 - row.late_share) * late / max(1, row.validity_period - row.sla_time))

    def may_nack(self) -> bool:
        """Whether coming again is harmless."""
        return self.ran_at is None or self.row.effect is Effect.RESENDABLE or (
            self.row.effect is Effect.REFERENCED and self.row.repeats_anywhere)


class Route:
    """Hosts that share one limit: a whole destination, or one host where routes are apart."""

    def __init__(self, window: int) -> None:
        self.hosts: list[Host] = []
        self.window, self.halved_at, self.calls = window, -1, 0
        self.usual, self.seen = USUAL_AT_FIRST, 0
        self.recent: deque[int] = deque(maxlen=RECENT_CALLS)
        self.limit = self.pace = 0.0  # calls a second; 0 while nothing is known
        self.credit, self.credit_at, self.cut_at = 1.0, 0, 0
        self.wait_until, self.refused_since, self.refusals, self.shut = 0, None, 0, False

    def refill(self, now: int, relays: int) -> None:
        """Let the pace recover and its credit grow."""
        passed, self.credit_at = (now - self.credit_at) / SECOND, now
        self.pace = min(self.limit, self.pace + PACE_GROWTH * (self.pace + self.limit / relays) * passed)
        self.credit = min(max(1.0, self.pace * PACE_BURST), self.credit + self.pace * passed)

    def learn_limit(self, rate: float) -> None:
        if rate > 0:
            self.limit, self.pace = rate, self.pace or rate

    def learn_latency(self, took: int) -> bool:
        """Follow the usual latency by steps; True when recent calls are twice as slow."""
        self.seen += 1
        step = abs(took - self.usual) // self.seen if self.seen <= 8 else self.usual >> 6
        self.usual += step if took > self.usual else -step
        self.recent.append(took)
        if len(self.recent) == RECENT_CALLS and sorted(self.recent)[RECENT_CALLS // 2] > 2 * self.usual:
            self.recent.clear()
            return True
        return False


class Host:
    """One host as this relay sees it."""

    def __init__(self, entry: HostEntry, dest: Destination, route: Route) -> None:
        self.id, self.zone, self.kind, self.rate = entry.host, entry.zone, entry.kind, entry.rate
        self.listing, self.dest, self.route = entry.listing, dest, route
        self.out: list[Call] = []
        self.failing, self.sick, self.tries, self.trial_at = 0.0, False, 0, 0
        self.back_at: int | None = None
        self.warm_credit, self.warm_at, self.last_ok, self.used_at = 0.0, 0, -CROWDED_SPAN, 0
        self.crowded_at = -CROWDED_SPAN  # when it had no connection left

    def overdue(self, now: int) -> bool:
        """A call has been out for too long, and none has succeeded since it was sent.

        Guards against filling a host that hangs or went silent with texts that may be lost there: it gets
        one more call, of one text, for each span in which an answer was to be expected.
        """
        return bool(self.out) and self.last_ok < self.out[0].sent < now - self.patience()

    def patience(self) -> int:
        """For how long an answer may be missing."""
        return max(OVERDUE_LEAST, OVERDUE_TIMES * self.route.usual)


class Destination:
    """One outside receiver: its token bucket, its hosts, and the texts held for it."""

    def __init__(self) -> None:
        self.tokens, self.calls, self.shared = BUCKET, 0, None
        self.held: dict[int, Held] = {}
        self.hosts: list[Host] = []


class Policy:
    """The decisions of one relay."""

    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.chance = terms, Chance(terms.seed)
        self.texts: dict[int, Held] = {}
        self.hosts: dict[HostId, Host] = {}
        self.dests: defaultdict[int, Destination] = defaultdict(Destination)
        self.lines: dict[int, deque[int]] = {}  # texts in order, a line a key
        self.rests: dict[int, int] = {}  # until when a key rests
        self.expiries: list[tuple[int, int]] = []
        self.slots_used, self.wake_at = 0, now
        self.idle_most, self.stale_at = 0, 0  # how long idle connections live, and when one last proved dead
        self.changed, self.closing, self.log = [], [], []  # texts to act on, hosts, lines

    def hosts_listed(self, now: int, entries: list[HostEntry], whole: bool) -> None:
        """News of the list of hosts; what a whole list leaves out is gone."""
        self.rests = {key: until for key, until in self.rests.items() if until > now}
        named = {entry.host for entry in entries}
        for host in self.hosts.values():
            if whole and host.id not in named:
                host.listing = Listing.GONE
        self.hosts = {key: h for key, h in self.hosts.items() if h.listing is not Listing.GONE or h.out}
        for entry in entries:
            host = self.hosts.get(entry.host) or self._add_host(entry)
            host.listing, host.rate = entry.listing, entry.rate
        for dest in self.dests.values():
            dest.hosts = [host for host in self.hosts.values()
                          if host.dest is dest and host.listing is not Listing.GONE]
            for host in dest.hosts:
                host.route.hosts = [other for other in dest.hosts if other.route is host.route]
                if self.terms.rates_listed and not host.route.limit:
                    host.route.learn_limit(host.rate)

    def text_taken(self, now: int, text: Text) -> None:
        """A client handed in a text; it is owed one final answer."""
        held = Held(text, self.terms.products[text.product], now)
        self.texts[text.id] = self.dests[text.destination].held[text.id] = held
        if held.row.in_order and text.key:
            self.lines.setdefault(text.key, deque()).append(text.id)
        heapq.heappush(self.expiries, (held.ends_at(), text.id))

    def submit_ended(self, now: int, report: SubmitReport) -> None:
        """The outcome of one submit."""
        host, held = self.hosts.get(report.host), self.texts.get(report.text)
        if host is None or held is None or held.call is None:
            return
        call, held.call = held.call, None
        self._release(now, call)
        self._learn(now, host, call, report, counts=call.texts == 0)
        if not host.out and now - host.crowded_at < CROWDED_SPAN:
            self.closing.append(host)
        if report.result in MAY_HAVE_RUN:
            if held.ran_at is None:
                held.ran_at, held.zone = call.sent, host.zone
            if report.result is not Result.ERROR and held.row.in_order and held.text.key:
                self.rests[held.text.key] = now + self.terms.turn_gap
        if report.over:
            self._forget(held)
        else:
            self._repeat_or_end(now, host, held)

    def client_left(self, now: int, text: int) -> None:
        """Nobody wants the text any more; no answer is owed."""
        if text in self.texts and self.texts[text].call is None:
            self._forget(self.texts[text])

    def decide(self, now: int) -> list[Action]:
        self._expire(now)
        self._make_room(now)
        self._plan(now)
        return self._emit(now)

    def _learn(self, now: int, host: Host, call: Call, report: SubmitReport, counts: bool) -> None:
        """Take an outcome into the bucket, the window, the pace and the host's health."""
        route, result = host.route, report.result
        if report.limit_rate:
            route.learn_limit(report.limit_rate)
        if result is Result.DELIVERED:
            host.dest.tokens = min(BUCKET, host.dest.tokens + REFILL)
            host.last_ok, route.refused_since, route.refusals = now, None, 0
            route.pace = min(route.limit, route.pace * (1 + PACE_STEP))
            route.window = min(route.window + 1, self._window_cap(host))
            if route.learn_latency(report.took):
                self._halve(now, route, call)
            host.failing *= 1 - FAIL_STEP
            for each in route.hosts if route.shut else [host] if host.sick else []:
                self._come_back(now, each)
            route.shut = False
        elif result is Result.FULL:
            if report.told_wait:
                jitter = self.chance.below(TOLD_JITTER)
                route.wait_until = max(route.wait_until, now + report.told_wait + jitter)
            if counts:
                self._refused(now, host, call, report.told_wait, report.limit_left)
        elif result is Result.CONNECT and now - host.last_ok < CROWDED_LATEST:
            host.crowded_at = now  # others hold its connections: no outage, and none is kept idle for a while
        elif result is Result.RESET and report.took < route.usual // 2 and call.idle > STALE_LEAST:
            self._stale(now, call)
        elif result not in (Result.MOOT, Result.CANCELLED) and counts:
            self._halve(now, route, call)
            silent = result is Result.TIMEOUT and host.last_ok < call.sent
            self._failed(now, host, result, SILENT_STEP if silent else FAIL_STEP)

    def _halve(self, now: int, route: Route, call: Call) -> None:
        """Halve the window, once for the calls that were out together."""
        if call.sent > route.halved_at:
            route.window, route.halved_at = max(1, route.window // 2), now

    def _failed(self, now: int, host: Host, result: Result, step: float) -> None:
        """A call failed or went unanswered."""
        host.failing += (1 - host.failing) * step
        if host.sick:
            self._next_trial(now, host)
        elif host.failing > SICK_SHARE:
            host.sick, host.tries, host.back_at = True, 0, None
            self._next_trial(now, host)
            self.log.append(f"host {host.id.hex()} sick: {result.value}, failing {host.failing:.2f}")

    def _stale(self, now: int, call: Call) -> None:
        """A call reset at once on a connection that had been idle: the path drops idle connections.

        Guards against reading that as an outage; older idle connections are closed before a send.
        """
        if now - self.stale_at > STALE_SPAN:
            self.idle_most = call.idle
            self.log.append(f"connections idle for {call.idle // MS} ms found dead")
        self.idle_most, self.stale_at = max(STALE_LEAST, min(self.idle_most, call.idle * 3 // 4)), now

    def _refused(self, now: int, host: Host, call: Call, told: int, left: float | None) -> None:
        """A refusal lowers the pace; refusals alone for longer than any limit's span are an outage."""
        route = host.route
        route.refused_since, route.refusals = route.refused_since or call.sent, route.refusals + 1
        if route.limit and now - route.cut_at > PACE_REST:
            route.refill(now, self.terms.relays)
            route.pace = max(route.pace * PACE_CUT, route.limit * PACE_LEAST / self.terms.relays)
            route.cut_at = now
        route.credit = min(route.credit, 0.0)
        if host.sick:
            self._next_trial(now, host)
        used_up = left is not None and left < LIMIT_USED_UP
        for_long = route.refusals >= REFUSED_OFTEN and now - route.refused_since > REFUSED_TOO_LONG
        if not host.sick and not route.shut and (told > REFUSED_TOO_LONG or (for_long and not used_up)):
            route.shut = True  # the pace stays at its least: trials could use up a limit by being refused
            self.log.append(f"host {host.id.hex()} shut: {route.refusals} refusals, told {told // MS} ms")

    def _next_trial(self, now: int, host: Host) -> None:
        """The next trial call comes after a wait of the design's kind, from a told wait's end on."""
        host.tries += 1
        limit = host.route.limit * TRIAL_SHARE
        spacing = min(TRIAL_LATEST, int(SECOND * self.terms.relays / limit)) if limit else 0
        wait = max(self._jitter(host.tries + 1), spacing * (50 + self.chance.below(100)) // 100)
        host.trial_at = max(now, host.route.wait_until) + 100 * MS + wait

    def _come_back(self, now: int, host: Host) -> None:
        """A trial worked: the host is cold, and gets what it can bear."""
        host.sick, host.back_at, host.failing = False, now, FAIL_STEP / 2
        host.warm_credit, host.warm_at = 0.0, now
        self.log.append(f"host {host.id.hex()} back after {host.tries} trials, warming")

    def _repeat_or_end(self, now: int, host: Host, held: Held) -> None:
        """The design's test for a repeat, its token last; else the final answer at once."""
        wait = self._jitter(held.submits)
        once_ran = held.row.effect is Effect.ONCE_ONLY and held.ran_at is not None
        in_time = now + wait < held.last_send() - (host.route.usual if held.ran_at is None else 0)
        if held.submits < self.terms.max_submits and not once_ran and in_time and host.dest.tokens >= TOKEN:
            host.dest.tokens -= TOKEN
            held.due = now + wait
            heapq.heappush(self.expiries, (held.ends_at(), held.text.id))
        else:
            self._end(now, held)

    def _plan(self, now: int) -> None:
        """Set the wanted state: for each destination in the order of what is at stake, its best texts out."""
        queue = []
        for number, dest in self.dests.items():
            if dest.held and (best := self._ready(now, dest)):
                queue.append((self._rank(now, best[0]), number, best))
        heapq.heapify(queue)
        while queue and self.slots_used < self.terms.slots:
            _, number, ready = heapq.heappop(queue)
            ready = self._fill_call(now, self.dests[number], ready)
            if ready:
                heapq.heappush(queue, (self._rank(now, ready[0]), number, ready))

    def _ready(self, now: int, dest: Destination) -> list[Held]:
        """The held texts of a destination whose turn and time have come, the best first."""
        if not any(self._host_open(now, host) for host in dest.hosts):
            return []
        ready = [held for held in dest.held.values() if held.call is None and held.verdict is None
                 and held.due <= now and self._has_turn(now, held)]
        return sorted(ready, key=lambda held: self._rank(now, held))

    def _rank(self, now: int, held: Held) -> tuple:
        """Texts that can still make their SLA time go first, the nearest before the others; then the late
        ones, the most revenue left before the others."""
        if now + USUAL_AT_FIRST <= held.sla_at:
            return (0, held.sla_at, held.text.id)
        return (1, -held.revenue_left(now), held.text.valid_until, held.text.id)

    def _fill_call(self, now: int, dest: Destination, ready: list[Held]) -> list[Held]:
        """Choose a host for the best text and fill its call; return the texts still to be placed."""
        while (host := self._choose(now, dest, ready[0])) is None:
            ready = ready[1:]
            if not ready:
                return []
        call, most, rest = Call(host, now), self.terms.kinds[host.kind].texts_per_call, []
        if host.sick or host.overdue(now):
            most = 1  # a call that may be lost takes one text with it
        pressed = host.route.pace < PRESSED * host.route.limit
        if pressed and len(ready) < most and now - ready[0].taken_at < GATHER:
            return []  # a limit counts calls: texts wait a little to share one
        for held in ready:
            if call.texts < most and self._gate(now, held, host):
                held.call, held.wanted = call, host
                call.texts += 1
                self.changed.append(held)
            else:
                rest.append(held)
        self._occupy(now, call)
        return rest

    def _choose(self, now: int, dest: Destination, held: Held) -> Host | None:
        """Two hosts drawn at random, the one that this relay's own counts favour."""
        able = [host for host in dest.hosts if self._gate(now, held, host) and self._host_open(now, host)]
        drawn = [able.pop(self.chance.below(len(able))) for _ in range(min(2, len(able)))]
        return min(drawn, key=self._favour, default=None)

    def _favour(self, host: Host) -> tuple:
        fees = self.terms.zone_fees if self.terms.kinds[host.kind].routes_apart else []
        return (len(host.out), fees[host.zone] if host.zone < len(fees) else 0.0, host.failing)

    def _gate(self, now: int, held: Held, host: Host) -> bool:
        """The rules, for every send: no text twice out, no effect twice, drains, waits and order kept."""
        if held.verdict is not None or held.call is not None or held.submits >= self.terms.max_submits:
            return False
        if host.listing is not Listing.READY or host.route.wait_until > now:
            return False
        if held.ran_at is not None and held.row.effect is not Effect.RESENDABLE:
            if held.row.effect is Effect.ONCE_ONLY or now >= held.last_send():
                return False
            if not held.row.repeats_anywhere and host.zone != held.zone:
                return False
        if held.row.effect is Effect.ONCE_ONLY and (host.sick or host.overdue(now)) and any(
                other.row.effect is not Effect.ONCE_ONLY for other in host.dest.held.values()):
            return False  # a text that may be repeated makes the trial
        return self._has_turn(now, held)

    def _has_turn(self, now: int, held: Held) -> bool:
        """A product in order: only the first text of its key, and after the key's rest."""
        if not held.row.in_order or not held.text.key:
            return True
        if self.lines[held.text.key][0] != held.text.id:
            return False
        return held.submits > 0 or self.rests.get(held.text.key, 0) <= now

    def _host_open(self, now: int, host: Host) -> bool:
        """Whether the host takes one more call of this relay now: slots, window, pace, health, warm-up."""
        route, dest, slots = host.route, host.dest, self.terms.slots
        if host.listing is not Listing.READY or route.wait_until > now or self.slots_used >= slots:
            return False
        cap = self._window_cap(host)
        if dest.calls >= cap or route.calls >= min(cap, route.window):
            return False
        if host.sick:
            return host.trial_at <= now and not any(other.sick and other.out for other in route.hosts)
        if host.overdue(now) and now - host.out[-1].sent < host.patience():
            return False
        if route.limit:
            route.refill(now, self.terms.relays)
            if route.credit < 1.0:
                return False
        return host.back_at is None or self._warm_credit(now, host) >= 1.0

    def _window_cap(self, host: Host) -> int:
        """Three quarters of the slots for a healthy destination, half otherwise; one at the least."""
        slots = self.terms.slots
        unwell = any(each.sick or each.back_at is not None for each in host.dest.hosts)
        return max(1, slots // 2 if unwell else slots * 3 // 4)

    def _warm_credit(self, now: int, host: Host) -> float:
        """What a host back from an outage can bear from this relay, if all relays send their part.

        Guards against pushing over a returning destination; after the cold time it ends.
        """
        terms, since = self.terms, now - host.back_at
        if since >= terms.cold_time:
            host.back_at = None
            self.log.append(f"host {host.id.hex()} warm after {since // SECOND} s")
            return 1.0
        share = terms.cold_share + (1 - terms.cold_share) * since / terms.cold_time
        whole = host.route.limit / max(1, len(host.route.hosts)) or 1.0
        rate = whole * share * terms.fall_multiple / terms.relays
        gained, host.warm_at = rate * (now - host.warm_at) / SECOND, now
        host.warm_credit = min(1.0, host.warm_credit + gained)
        return host.warm_credit

    def _expire(self, now: int) -> None:
        """End held texts that can no longer be delivered or repeated."""
        while self.expiries and self.expiries[0][0] <= now:
            held = self.texts.get(heapq.heappop(self.expiries)[1])
            if held is not None and held.call is None and held.verdict is None and held.ends_at() <= now:
                self._end(now, held)

    def _make_room(self, now: int) -> None:
        """Nearly full: nack the held texts with the least at stake, so that others are not turned away."""
        over = len(self.texts) - int(self.terms.max_texts * ROOM_LEFT)
        if over <= 0:
            return
        idle = [h for h in self.texts.values() if h.call is None and h.verdict is None and h.may_nack()]
        idle.sort(key=lambda held: self._rank(now, held), reverse=True)
        for held in idle[:over]:
            self._end(now, held)

    def _end(self, now: int, held: Held) -> None:
        """The final answer: a nack with advice where coming again is harmless, else undeliverable."""
        advice = self.terms.max_advice if self.terms.advice_heard else 0
        held.verdict = Nack(held.text.id, advice) if held.may_nack() else Undeliverable(held.text.id)
        self.changed.append(held)

    def _emit(self, now: int) -> list[Action]:
        """The difference between the wanted and the present state, as actions."""
        actions: list[Action] = []
        for held in self.changed:
            if held.verdict is not None and held.text.id in self.texts:
                actions.append(held.verdict)
                self._forget(held)
            elif held.wanted is not None:
                left, idle = held.text.valid_until - now, held.call.idle
                if idle > self.idle_most and now - self.stale_at < STALE_SPAN:
                    actions.append(CloseIdle(held.wanted.id))
                actions.append(Submit(held.text.id, held.wanted.id, min(self._time_out(held), left)))
                held.submits, held.wanted = held.submits + 1, None
        actions += [CloseIdle(host.id) for host in self.closing if not host.out]
        actions += [LogLine(line) for line in self.log]
        if now >= self.wake_at:
            self.wake_at = now + PERIOD
            actions.append(Wake(PERIOD))
        self.changed, self.closing, self.log = [], [], []
        return actions

    def _time_out(self, held: Held) -> int:
        """The design's time-out, or as long as an answer may be missing when slots are scarce.

        Guards against lost answers holding most slots; not for once-only texts, which it would end.
        """
        scarce = self.slots_used > SCARCE * self.terms.slots
        if not scarce or held.row.effect is Effect.ONCE_ONLY or held.wanted.route.seen < RECENT_CALLS:
            return TIME_OUT
        return min(TIME_OUT, held.wanted.patience())

    def _add_host(self, entry: HostEntry) -> Host:
        dest, window = self.dests[entry.destination], max(1, self.terms.slots // 2)
        route = Route(window) if self.terms.kinds[entry.kind].routes_apart else dest.shared or Route(window)
        dest.shared = route
        return self.hosts.setdefault(entry.host, Host(entry, dest, route))

    def _jitter(self, submits: int) -> int:
        return self.chance.below(min(CAP, BASE << min(submits - 1, 20)) + 1)

    def _occupy(self, now: int, call: Call) -> None:
        host = call.host
        host.out.append(call)
        host.route.calls, host.dest.calls = host.route.calls + 1, host.dest.calls + 1
        self.slots_used += 1
        host.route.credit, host.warm_credit = host.route.credit - 1.0, host.warm_credit - 1.0

    def _release(self, now: int, call: Call) -> None:
        call.texts -= 1
        if call.texts == 0:
            call.host.out.remove(call)
            call.host.used_at = now
            call.host.route.calls, call.host.dest.calls = call.host.route.calls - 1, call.host.dest.calls - 1
            self.slots_used -= 1

    def _forget(self, held: Held) -> None:
        """A text is finished; a client may have left one that was answered in the same batch."""
        text = held.text
        if self.texts.pop(text.id, None) is None:
            return
        self.dests[text.destination].held.pop(text.id, None)
        if held.row.in_order and text.key:
            self.lines[text.key].remove(text.id)
            if not self.lines[text.key]:
                del self.lines[text.key]
