"""limelatch's decisions: which host gets which text, when, and what a text's final answer is.

One `Policy(settings, now)` a relay: tell it each event, call `decide(now)` and carry out its actions in order
(limelatch/interface.py; reasons: docs/design/decisions.md). `_plan` sets the wanted state, `_gate` checks
the rules for every send, `_emit` works out the difference; `may_go` asks again when a connection has come up.

Beside the design (token bucket, jittered waits, delay window, slot caps) stand these mechanisms:
  1. health by symptom: hosts that mostly fail or do not answer get trials, shared by the relays that know;
  2. paced warm-up: a host back from an outage gets what is safe if all relays that know of it send too;
  3. limit pacing: the limit told or listed, else a learned pace; down by refusals, up by what is left of it;
  4. order of held texts: those that can still make their SLA time first, by revenue at stake;
  5. room: when the relay is nearly full, held texts with the least at stake are nacked with advice;
  6. connections: full tables and dead idle ones are told apart from outages, and few are kept idle.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from math import sqrt

from limelatch.random_source import RandomSource
from limelatch.interface import (
    MS,
    SECOND,
    Action,
    CloseIdle,
    Effect,
    Forget,
    Health,
    HostEntry,
    HostId,
    Listing,
    LogLine,
    Nack,
    TextHistory,
    Product,
    Result,
    Submit,
    SubmitReport,
    PolicySettings,
    Text,
    TextId,
    Undeliverable,
    Wake,
    Watch,
)
from limelatch.key_order import KeyOrder, QueuedText

# The design's figures; tokens are counted in tenths.
TOKEN_BUCKET_SIZE, REFILL, TOKEN = 200, 1, 10
BASE, CAP, TIME_OUT, GUIDE_TIME_OUT = 600 * MS, 8 * SECOND, 9 * SECOND, 3 * SECOND  # the guide's: few slots
TOLD_JITTER, RECENT_CALLS, USUAL_AT_FIRST = 150 * MS, 7, 400 * MS  # told waits; median held to the usual
PERIOD, LAST_MOMENT, NEVER = 20 * MS, 100 * MS, 1 << 62  # ours from here: the timer's least wait; a submit's
SICK_SHARE, FAIL_STEP, SILENT_STEP = 0.5, 0.3, 0.6  # smoothed share of failures of a sick host, and its steps
OVERDUE_LEAST, OVERDUE_TIMES = 800 * MS, 4  # a call this late, with no success since, makes a host suspect
GOOD_LATELY, KEEPERS = 2 * SECOND, 5  # since a delivery that speaks against an outage; more relays than these
STALE_LEAST, KEEP_PART = 500 * MS, 0.9  # least idle time of connections; part of the hosts' own time
STALE_STEP, STALE_FADE, STALE_SHARE, STALE_ONCE = 0.05, 0.02, 0.08, 0.02  # of kept connections reset
LIMIT_USED_UP, TOLD_SHUT, REFUSED_OFTEN = 0.15, 3 * SECOND, 8  # share left; wait, cuts in a row of an outage
PACE_CUT, PACE_LEAST, PACE_GROWTH, PACE_REST, PACE_BURST, PACE_APART = 0.6, 0.4, 0.05, 300 * MS, 0.4, 1.5
PACE_STEP, FLOW_SPAN, SERVED_SPAN = 0.05, 5 * SECOND, 20 * SECOND  # growth by a delivery; spans of own rates
# own rates have faded; age of what only deliveries would undo
DESTINATION_IDLE_TIME, LEARNED_STATE_LIFETIME = SERVED_SPAN, 600 * SECOND
PACE_FREE, PACE_LEARN, PACE_ROOM, PACE_SAVED = 4.0, 0.2, 0.02, 2.0  # no limit told; many relays: room
ASK_PART, ASK_CAP, ASK_BY = 4, 3, 55 * SECOND // 10  # of the time to ask within; from the catalog's last word
TRIAL_PART, SEEN_BEFORE, RATE_AT_FIRST = 0.7, 5 * SECOND, 2.0  # of what a cold one bears; age; unknown limit
HELD_UP = 150 * MS  # what a relay may lose between its clock and a repeat's last byte, within the window
SCARCE, ROOM_LEFT = 0.9, 0.92  # share of the slots for shorter time-outs, of the room for nacks of held texts
NO_HISTORY = TextHistory()  # of a text that no process had before
ANSWERED, UNANSWERED = (Result.ERROR, Result.MALFORMED), (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Call:
    """One call out at a host: the texts that share it take one slot until all have their outcomes."""

    def __init__(self, host: Host, sent: int) -> None:
        self.host, self.sent, self.texts = host, sent, 0
        apart = 0 if host.out else min(sent - host.used_at, host.gap_most)
        self.idle, host.gap = apart if host.kept else 0, (host.gap + apart) // 2  # idle: of the connections


class PendingText:
    """A text that this relay has taken and not finally answered."""

    def __init__(self, text: Text, row: Product, history: TextHistory) -> None:
        self.text, self.row, self.submits, self.due, self.found = (
            text,
            row,
            history.submit_count,
            0,
            history is not NO_HISTORY,
        )
        self.key = text.key if (row.in_order if history.in_order is None else history.in_order) else 0
        self.ran_at = self.zone = None  # when and where the first submit that may have run was sent
        self.call = self.verdict = None  # the Call that it is out in, its final Action
        self.until = text.valid_until  # too late to send it: its validity period, or its product's window
        self.sla_at = text.valid_until - row.validity_period + row.sla_time
        self.may_have_run(history.first_run_at, history.first_run_zone)

    def may_have_run(self, at: int | None, zone: int | None) -> None:
        if self.ran_at is None and at is not None:
            self.ran_at, self.zone = at, zone
            if self.row.effect is Effect.REFERENCED:
                self.until = min(self.until, at + self.row.retry_window)

    def may_nack(self) -> bool:
        effect, anywhere = self.row.effect, self.row.retry_anywhere
        return self.ran_at is None or effect is Effect.RESENDABLE or effect is Effect.REFERENCED and anywhere


class Route:
    """Hosts that share one limit: a whole destination, or one host where routes are apart."""

    def __init__(self, window: int) -> None:
        self.hosts, self.recent = [], []  # each a Host; how long the last calls took
        self.window, self.halved_at, self.calls, self.usual, self.seen = window, -1, 0, USUAL_AT_FIRST, 0
        self.limit = self.pace = self.growth = 0.0  # calls a second; 0 while nothing is known
        self.credit, self.credit_at, self.cut_at, self.cuts = PACE_SAVED, NEVER, 0, 0  # refilled: NEVER yet
        self.flow, self.flow_at, self.served, self.served_at = 0.0, 0, 0.0, 0  # own calls, deliveries; fading
        self.wait_until = self.down_at = self.tries = self.trial_at = self.tried_at = self.part = 0  # trials

    def refill(self, now: int, relays: int) -> None:
        before, passed, self.credit_at = self.pace, max(0, now - self.credit_at) / SECOND, now
        if self.limit:
            self.growth = PACE_GROWTH * (self.pace + self.limit / relays) / (1 + self.cuts)
            self.pace = min(self.limit, self.pace + self.growth * passed)
        else:
            self.grow(PACE_GROWTH * passed)
        saved = max(PACE_SAVED if relays > KEEPERS and not self.cuts else 1.0, self.pace * PACE_BURST)
        self.credit = min(saved, self.credit + (before + self.pace) / 2 * passed)

    def saved_after(self) -> int:
        """Until a call is saved up, as the pace grows: one saved up unseen would go with the next text."""
        missing = max(0.0, 1.0 - self.credit) if self.pace else 0.0
        root = missing and sqrt(self.pace**2 + 2 * self.growth * missing * (self.pace < self.limit))
        return 1 + int(2 * missing * SECOND / (self.pace + root)) if missing else 0

    def grow(self, share: float) -> None:
        """To the limit; learned from refusals alone, past what a relay has a use for it binds no longer."""
        grown = self.pace * (1 + share)
        self.pace = min(self.limit, grown) if self.limit else grown if grown <= PACE_FREE else 0.0

    def rate(self, relays: int) -> float:
        """What it takes from all relays together; where nobody tells, what their like deliveries come to."""
        return self.limit or max(RATE_AT_FIRST, relays * (self.served - 1) * SECOND / SERVED_SPAN)

    def learn_limit(self, rate: float | None, relays: int) -> None:
        if rate and rate > 0:  # many: each its even part, less as a limit falls; refusals use it up for all
            many = relays > KEEPERS
            scale = rate / self.limit if many and self.limit else 1.0
            self.limit, self.pace = rate, self.pace * scale or (rate / relays if many else rate)

    def learn_latency(self, took: int) -> bool:
        """Follow the usual latency by steps; True when recent calls are twice as slow."""
        self.seen += 1
        step = abs(took - self.usual) // self.seen if self.seen <= 8 else self.usual >> 6
        self.usual += step if took > self.usual else -step
        self.recent = self.recent[1 - RECENT_CALLS :] + [took]
        slow = len(self.recent) == RECENT_CALLS and sorted(self.recent)[RECENT_CALLS // 2] > 2 * self.usual
        self.recent = [] if slow else self.recent
        return slow


class Host:
    def __init__(self, entry: HostEntry, dest: Destination, route: Route, keep: int) -> None:
        self.id, self.zone, self.kind, self.listing = entry.host, entry.zone, entry.kind, entry.listing
        # out: calls
        self.dest, self.route, self.out, self.failing, self.in_outage = dest, route, [], 0.0, False
        self.warm_credit, self.warm_at, self.back_at, self.last_ok = 0.0, 0, None, -GOOD_LATELY
        self.gap = self.gap_most = keep  # time between calls, as far as hosts keep connections idle
        self.sibling_told_at = -1  # of the last news of it by the other process of an upgrade
        self.kept, self.sour, self.used_at = False, {}, 0  # an idle one there; products that fail: when

    def overdue(self, now: int) -> bool:
        """A call is out for too long with no success since: one more a span, lest a silent host fills up."""
        return bool(self.out) and self.last_ok < self.out[0].sent < now - self.patience()

    def patience(self) -> int:
        return max(OVERDUE_LEAST, OVERDUE_TIMES * self.route.usual)


class Destination:
    """One outside receiver: its token bucket, its hosts, and the texts held for it."""

    def __init__(self) -> None:
        self.tokens, self.calls, self.shared, self.look_at, self.rest_at, self.had = (
            TOKEN_BUCKET_SIZE,
            0,
            None,
            0,
            0,
            0,
        )
        self.waiting: dict[TextId, PendingText] = {}  # its texts that are not out
        self.hosts: list[Host] = []


class Policy:
    def __init__(self, settings: PolicySettings, now: int) -> None:
        self.settings, self.random_source = settings, RandomSource(settings.seed)
        self.texts: dict[TextId, PendingText] = {}
        # finally answered, and the answer is not known to be heard
        self.unacknowledged: dict[TextId, PendingText] = {}
        self.hosts: dict[HostId, Host] = {}
        self.destinations: defaultdict[int, Destination] = defaultdict(Destination)
        self.active: dict[int, Destination] = {}  # those with texts waiting; a tick looks at no others
        # of this relay: 2 in an upgrade, which both send to a host back from an outage
        self.process_count = 1
        self.key_order = KeyOrder()  # of texts of products in order, over all processes of the relay
        self.expiries: list[tuple[int, TextId]] = []
        self.slots_used, self.wake_at, self.stop_at = 0, now, NEVER
        # of a destination, until it may be forgotten
        self.rest = DESTINATION_IDLE_TIME if settings.hosts_on_demand else NEVER
        self.ask_at, self.asked = NEVER, 0  # when to ask for the list; calls for it that failed in a row
        self.list_failed(now, calls=0)
        # how long connections may stand idle
        self.max_idle_time = int(settings.connection_idle_limit * KEEP_PART)
        self.idle_most = [self.max_idle_time // 2 if settings.relays > KEEPERS else NEVER] * len(
            settings.kinds
        )  # by kind
        self.room_at = [now + settings.connection_idle_limit] * len(
            settings.kinds
        )  # when no connect has failed until then
        self.stale = [0.0] * len(
            settings.kinds
        )  # smoothed share of calls on kept connections that were reset
        self.products: list[set[int]] = [set() for _ in settings.kinds]  # that go to each kind
        self.changed, self.closing, self.log = [], [], []  # texts to act on, hosts, lines
        self.idle_destinations: dict[int, int] = {}  # destinations that lost a text: when to look at them

    def hosts_listed(self, now: int, entries: list[HostEntry], whole: bool, news: bool = True) -> None:
        """News of the list; what a whole list leaves out is gone. No news: of a destination met anew."""
        self.asked = 0 if news else self.asked
        self.key_order.forget_expired_cooldowns(now)
        for host in self.hosts.values() if whole else ():
            host.listing = Listing.GONE
        for host, entry in [(self._host(entry), entry) for entry in entries]:
            host.listing = entry.listing
            if self.settings.rates_listed and not host.route.limit:
                host.route.learn_limit(entry.rate, self.settings.relays)
        for number in (
            list(self.destinations) if whole else dict.fromkeys(entry.destination for entry in entries)
        ):
            self._sort_hosts(self.destinations[number])

    def list_failed(self, now: int, heard_at: int = NEVER, calls: int = 1) -> None:
        """A call for the list failed, or its watch ended, last heard then: ask again, apart and in time."""
        if self.settings.list_asked:
            self.asked += calls
            part = self.settings.ask_within // ASK_PART * min(self.asked + 1, ASK_CAP)
            self.ask_at = now + self.random_source.next_below(min(part, max(0, heard_at + ASK_BY - now)))

    def _sort_hosts(self, dest: Destination) -> None:
        for host in [each for each in dest.hosts if each.listing is Listing.GONE and not each.out]:
            dest.hosts.remove(host)
            if self.hosts.get(host.id) is host:  # else it has moved to another destination
                del self.hosts[host.id]
        dest.look_at = 0
        for host in dest.hosts:
            host.route.hosts = [other for other in dest.hosts if other.route is host.route]

    def text_accepted(self, now: int, text: Text, history: TextHistory = NO_HISTORY) -> None:
        """A text from a client or, with its past, from this relay's time before a restart, in its order."""
        held = self.texts[text.id] = PendingText(text, self.settings.products[text.product], history)
        if held.key:
            received_at = now if text.received_at is None else text.received_at
            self.key_order.add(held.key, QueuedText(text.id, received_at, history.submit_count > 0))
        if history.in_flight and held.key:
            self.key_order.start_cooldown(held.key, text.id, now + self.settings.key_cooldown)
        if history.is_answered:
            self.unacknowledged[text.id] = self.texts.pop(text.id)
        elif held.ran_at is not None and held.row.effect is Effect.ONCE_ONLY:
            self._end(now, held)
        else:
            self._hold(held)
            for route in (
                [host.route for host in self.destinations[text.destination].hosts] if text.resubmitted else ()
            ):
                if not route.limit and not route.pace and now - route.served_at > FLOW_SPAN:
                    route.pace, route.credit_at = PACE_CUT * SECOND / FLOW_SPAN, now  # as if refused here
                    route.credit = -self.random_source.next_below(1000) / 1000

    def _hold(self, held: PendingText) -> None:
        """The text waits for a submit, until it can no longer be sent in time."""
        dest = self.active[held.text.destination] = self.destinations[held.text.destination]
        dest.waiting[held.text.id], dest.look_at, dest.had = held, 0, dest.had + (held.submits == 0)
        heapq.heappush(self.expiries, (held.until - LAST_MOMENT, held.text.id))

    def submit_ended(self, now: int, report: SubmitReport) -> None:
        if (held := self.texts.get(report.text)) is None or held.call is None:
            return
        call, host, held.call = held.call, held.call.host, None
        self._release(now, call)
        self._learn(now, host, call, report, held.text.product)
        if not host.out and host.gap > self.idle_most[host.kind]:
            host.kept = False
            self.closing.append(host)
        if report.result in ANSWERED + UNANSWERED:  # it may have run
            held.may_have_run(call.sent, host.zone)
            if report.result is not Result.ERROR and held.key:
                self.key_order.start_cooldown(held.key, held.text.id, now + self.settings.key_cooldown)
        if report.finished:
            return self._forget(now, held)
        held.submits -= report.unsent
        wait = self._jitter(max(1, held.submits))  # the design's test for a repeat, its token last
        once_ran = held.row.effect is Effect.ONCE_ONLY and held.ran_at is not None
        in_time = now + wait < held.until - (host.route.usual if held.ran_at is None else 0)
        price = 0 if report.unsent else TOKEN
        if (
            held.submits < self.settings.max_submits
            and not once_ran
            and in_time
            and host.dest.tokens >= price
        ):
            host.dest.tokens, held.due = host.dest.tokens - price, now + wait
            self._hold(held)
        else:
            self._end(now, held)

    def text_finished(self, now: int, text: TextId) -> None:
        """Its client left, or its final answer has been heard: only now may the next text of its key go."""
        if (held := self.unacknowledged.pop(text, None) or self.texts.get(text)) and held.call is None:
            self._forget(now, held)

    def wait_from_sibling(self, host: HostId, until: int) -> None:
        """The other process of this relay was told to wait: the wait binds both."""
        if (known := self.hosts.get(host)) is not None:
            known.route.wait_until = max(known.route.wait_until, until)

    def health_from_sibling(self, now: int, host: HostId, health: Health, at: int) -> None:
        """The other process of this relay found a host so at that time; what this one has seen since counts
        more. Guards against a returning host that a process without knowledge of its outage pushes over."""
        if (known := self.hosts.get(host)) is None or at <= known.sibling_told_at:
            return
        known.sibling_told_at, route = at, known.route
        if known.in_outage and route.down_at > at:
            return
        if health is Health.OUTAGE and not known.in_outage and known.last_ok < at:
            self._mark_outage(at, known)
            self._next_trial(now, route)
        elif health is Health.WARMING and now - at < self.settings.cold_time and known.back_at is None:
            self._warm_up(now, known, at)
            if not any(each.in_outage for each in route.hosts):
                route.tries = 0

    def stopping(self, until: int) -> None:
        self.stop_at = until

    def may_send(self, now: int, text: TextId, host: HostId) -> bool:
        """Asked as the connection for a submit has come up: guards against a drain, a wait or an earlier text
        of its key told since."""
        held, host = self.texts.get(text), self.hosts.get(host)
        ready = held and host and host.listing is Listing.READY and self._has_turn(now, held)
        return bool(ready) and host.route.wait_until <= now < held.until - (held.ran_at is not None) * HELD_UP

    def decide(self, now: int, submits: bool = True) -> list[Action]:
        """All that is to be done now; without `submits` texts wait, and only what ends is told."""
        self._give_up(now)
        if submits:
            self._plan(now)
        self._let_go(now)
        return self._emit(now)

    def _let_go(self, now: int) -> None:
        """What is at rest, and of which nothing is known but what the list tells, is forgotten again."""
        while next(iter(self.idle_destinations.values()), NEVER) <= now:
            dest = self.destinations.get(number := next(iter(self.idle_destinations)))
            del self.idle_destinations[number]
            if dest and (
                dest.waiting
                or dest.calls
                or now < dest.rest_at + DESTINATION_IDLE_TIME
                or self._learned(now, dest)
            ):
                self.idle_destinations[number] = now + self.rest
            elif dest:
                self._sort_hosts(self.destinations.pop(number))
                self.log.append(Forget(number, [self.hosts.pop(host.id).id for host in dest.hosts]))

    def _learned(self, now: int, dest: Destination) -> bool:
        """Whether it knows what a new start would not; what only deliveries undo counts until it is old."""
        aged, part = (
            now > dest.rest_at + LEARNED_STATE_LIFETIME,
            self.settings.relays if self.settings.relays > KEEPERS else 1,
        )
        for host in dest.hosts:
            self._advance(now, host)
            route, even = host.route, host.route.limit / part
            slowed = route.pace > 0 and (not even or route.pace < even)
            ailing = host.in_outage or host.back_at is not None or host.failing > FAIL_STEP / 2 and not aged
            if (
                ailing
                or slowed
                or route.wait_until > now
                or host.kept
                and now < host.used_at + self.max_idle_time
            ):
                return True
        return not aged and dest.tokens < TOKEN_BUCKET_SIZE

    def _learn(self, now: int, host: Host, call: Call, report: SubmitReport, product: int) -> None:
        """Take an outcome into the bucket, the window, the pace and the host's health."""
        route, result, kind, counts = host.route, report.result, host.kind, call.texts == 0
        route.learn_limit(report.limit_rate, self.settings.relays)
        self.products[kind].add(product)
        idle, reset = call.idle if report.idle is None else report.idle, result is Result.RESET
        many = self.settings.relays > KEEPERS and result in (Result.CONNECT, Result.TIMEOUT)
        lost = idle > 0 and (reset or many and result is Result.TIMEOUT)
        near, quick = now - host.last_ok < GOOD_LATELY, report.took < route.usual // 2
        spared = near and result is Result.CONNECT or reset and quick and (idle or near)  # no outage
        self.stale[kind] += (STALE_STEP if idle else STALE_FADE) * (lost - self.stale[kind])
        table = many and result is Result.CONNECT and self.room_at[kind] < NEVER  # full of idle ones?
        self.idle_most[kind] = max(
            self.idle_most[kind], self.max_idle_time if self.room_at[kind] <= now else 0
        )
        if (many or reset) and (idle > STALE_LEAST or result is Result.CONNECT):
            self.room_at[kind] = NEVER
            self.idle_most[kind] = min(self.idle_most[kind], max(STALE_LEAST, idle * 3 // 4))
            for each in self.hosts.values() if table else ():
                if each.kind == kind and each.kept and not each.out and each is not host:
                    each.kept = False
                    self.closing.append(each)
        if report.retry_after:  # of several texts in a call some may be delivered and the others told to wait
            used_up = report.limit_left is not None and report.limit_left < LIMIT_USED_UP
            spread = TOLD_JITTER if used_up else max(TOLD_JITTER, report.retry_after)
            route.wait_until = max(
                route.wait_until, now + report.retry_after + self.random_source.next_below(spread)
            )
        if result is Result.DELIVERED or result is Result.MALFORMED and report.finished:
            host.dest.tokens = min(TOKEN_BUCKET_SIZE, host.dest.tokens + REFILL)
            host.sour.pop(product, None)
            route.served = route.served * max(0.0, 1 - (now - route.served_at) / SERVED_SPAN) + 1.0
            host.last_ok, route.served_at, route.cuts = now, now, 0
            left, part = report.limit_left, PACE_ROOM if self.settings.relays > KEEPERS else 1.0
            growth = PACE_STEP if left is None else part * max(0.0, left)  # by what others leave
            route.grow(growth if route.limit else PACE_LEARN)
            route.window = min(route.window + 1, self._window_cap(host))
            if route.learn_latency(report.took):
                self._halve(now, route, call)
            host.failing *= 1 - FAIL_STEP
            if host.in_outage:  # an outage mostly takes all hosts of a route, and so does its end
                self._come_back(now, route)
        elif result is Result.FULL and counts:
            self._refused(now, host, report.retry_after, report.limit_left)
        elif result not in (Result.FULL, Result.NOT_SENT, Result.CANCELLED) and counts and not spared:
            self._halve(now, route, call)
            ok = host.last_ok > call.sent - (0 if result is Result.TIMEOUT else GOOD_LATELY)
            step = FAIL_STEP if ok or lost or table or result in ANSWERED else SILENT_STEP
            if not self._one_product(now, host, product, result):
                self._failed(now, host, result.value, step / 2 if ok and result is Result.TIMEOUT else step)

    def _one_product(self, now: int, host: Host, product: int, result: Result) -> bool:
        """Whether it fails one product alone, and no other host of its route does; few tell by shares."""
        several = self.settings.relays > KEEPERS and len(self.products[host.kind]) > 1
        if several and result not in (Result.CONNECT, Result.RESET):
            host.sour[product] = now
        others = [each for each in host.route.hosts if each is not host and each.listing is Listing.READY]
        return (
            bool(others)
            and host.sour.get(product) == now
            and not host.in_outage
            and not any(each.in_outage or self._sour(now, each) for each in others)
            and len(self._sour(now, host)) == 1
        )

    def _sour(self, now: int, host: Host) -> list[int]:
        return [product for product, at in host.sour.items() if at > now - SERVED_SPAN]

    def _halve(self, now: int, route: Route, call: Call) -> None:
        if call.sent > route.halved_at:  # once for the calls that were out together
            route.window, route.halved_at = max(1, route.window // 2), now

    def _failed(self, now: int, host: Host, why: str, step: float) -> None:
        """A host that fails often is sick."""
        route, sound = host.route, not host.in_outage
        host.failing += (1 - host.failing) * step
        if sound and host.failing > SICK_SHARE:
            self._mark_outage(now, host)
            self.log.append(LogLine(f"sick: {why}, failing {host.failing:.2f}", host.id, Health.OUTAGE))
        if host.in_outage:
            self._next_trial(now, route)

    def _mark_outage(self, at: int, host: Host) -> None:
        """The host is in an outage, and with it those of its route that have not delivered lately."""
        route, dest = host.route, host.dest
        if not any(each.in_outage for each in route.hosts):
            route.down_at, route.tries, dest.had = at, 0, 1 + dest.calls + len(dest.waiting)
        for each in [one for one in route.hosts if one is host or one.last_ok < at - GOOD_LATELY]:
            each.in_outage, each.back_at = True, None

    def _refused(self, now: int, host: Host, told: int, left: float | None) -> None:
        """A refusal lowers the pace: from the relay's own rate, where a limit is known towards its even part.
        Guards against hundreds of relays, each far under the limit, that use it up by being refused."""
        route, even = host.route, (host.route.limit or RATE_AT_FIRST) / self.settings.relays
        room = left is not None and left >= LIMIT_USED_UP  # not the limit, then: it is shut
        if now - route.cut_at > PACE_REST or not route.pace:
            route.refill(now, self.settings.relays)
            own, weight = route.flow * SECOND / FLOW_SPAN, 1 / (route.flow + (1 if left is None else 2))
            if route.limit:
                conflicts = (2 * own) ** (1 - weight) * even**weight
                fair = min(route.pace, even if room and now - host.last_ok > GOOD_LATELY else conflicts)
                deeper = (
                    route.cuts * weight if self.settings.relays > KEEPERS else 0.0
                )  # few relays push less
                route.pace = max(PACE_CUT * fair / (1 + deeper), PACE_LEAST * even)
            else:  # the first may be chance; few relays have texts for it at one time
                route.pace = max(PACE_CUT / (1 + min(route.cuts, 1)) * min(route.pace or own, own), 2 * even)
            route.cut_at, route.cuts = now, route.cuts + 1
        apart = PACE_APART if route.limit and room else 1.0  # all relays met it shut at one moment
        route.credit = min(
            route.credit, 0.5 * bool(route.limit) - apart * self.random_source.next_below(1000) / 1000
        )
        if host.in_outage:
            self._next_trial(now, route)
        elif (told > TOLD_SHUT or route.cuts >= REFUSED_OFTEN) and (left is None or room):
            self._failed(now, host, f"refused {route.cuts} times, told to wait {told // MS} ms", 1.0)

    def _next_trial(self, now: int, route: Route) -> None:
        """The next trial call comes after a wait of the design's kind, from a told wait's end on."""
        route.tries, route.tried_at = route.tries + 1, max(now, route.wait_until) + 100 * MS
        route.part = (50 if route.tries > 1 else 0) + self.random_source.next_below(
            100
        )  # the first: at any time of it
        route.trial_at = route.tried_at + self._jitter(route.tries + 1)
        self._trial_opens(route)

    def _trial_opens(self, route: Route) -> int:
        """Guards against hundreds of relays pushing over a cold destination by their trials alone."""
        bearable = min(1.0, self.settings.cold_share * self.settings.fall_multiple * TRIAL_PART)
        spacing = SECOND * self._seers(route.tried_at, route) / (bearable * route.rate(self.settings.relays))
        route.trial_at = max(route.trial_at, route.tried_at + int(spacing * route.part / 100))
        return route.trial_at

    def _seers(self, now: int, route: Route) -> float:
        """How many relays may know of an outage: by its texts, or by this one's if all are alike."""
        relays, like = self.settings.relays, self.settings.relays * (route.hosts[0].dest.had - 1) / 2
        seers = max(1.0, like, route.rate(relays) * (now - route.down_at + SEEN_BEFORE) / SECOND)
        return min(relays, seers) * self.process_count

    def _warm_up(self, now: int, host: Host, back_at: int) -> None:
        """The host is back from an outage since then: it gets what a cold one bears."""
        host.in_outage, host.back_at, host.failing, host.warm_at = False, back_at, FAIL_STEP / 2, now
        host.warm_credit = (
            self.random_source.next_below(1000) / 1000
        )  # many small parts add up to what is safe

    def _come_back(self, now: int, route: Route) -> None:
        for host in [each for each in route.hosts if each.in_outage]:
            self._warm_up(now, host, now)
            self.log.append(LogLine(f"back after {route.tries} trials, warming", host.id, Health.WARMING))
        route.tries = 0

    def _plan(self, now: int) -> None:
        """Set the wanted state: for each destination in the order of what is at stake, its best texts out."""
        looked = [each for each in self.active.items() if each[1].waiting and each[1].look_at <= now]
        queue = sorted(
            (self._rank(now, best[0]), number, best)
            for number, dest in looked
            if self.slots_used < self.settings.slots and (best := self._ready(now, dest))
        )
        while queue and self.slots_used < self.settings.slots:
            _, number, ready = heapq.heappop(queue)
            if ready := self._fill_call(now, self.destinations[number], ready):
                heapq.heappush(queue, (self._rank(now, ready[0]), number, ready))
        self.active = {number: dest for number, dest in self.active.items() if dest.waiting}

    def _ready(self, now: int, dest: Destination) -> list[PendingText]:
        """The held texts of a destination whose turn and time have come, the best first. What can't be sent
        in time ends at once, but what a restart found untried is tried, at the pace that it takes."""
        for host in dest.hosts:
            self._advance(now, host)
        dest.look_at = min((self._opens_at(now, host) for host in dest.hosts), default=NEVER)
        if dest.look_at > now:
            found = sorted(
                h.until - LAST_MOMENT - now
                for h in dest.waiting.values()
                if h.found and not h.submits and h.until > now + SECOND
            )
            for host in dest.hosts if found else ():
                route, batch = host.route, self.settings.kinds[host.kind].texts_per_call
                calls = [(at // batch + 2 - route.credit) / left for at, left in enumerate(found)]
                route.pace = route.pace and max(route.pace, min(SECOND * max(calls), route.limit or NEVER))
                dest.look_at = min(dest.look_at, self._opens_at(now, host))
            for held in [h for h in dest.waiting.values() if h.until - LAST_MOMENT <= dest.look_at < NEVER]:
                self._end(now, held)
            return []
        if not (due := [held for held in dest.waiting.values() if held.due <= now]):
            dest.look_at = min(held.due for held in dest.waiting.values())
        return sorted(
            [h for h in due if self._has_turn(now, h)],
            key=lambda held: (not held.found or held.submits > 0, self._rank(now, held)),
        )

    def _rank(self, now: int, held: PendingText) -> tuple:
        """Texts that can still make their SLA time, the nearest first; then the late ones by revenue."""
        late, text = now + USUAL_AT_FIRST > held.sla_at, held.text
        stake = -held.row.revenue * held.row.late_share if late else held.sla_at
        return late, stake, text.valid_until, text.id

    def _fill_call(self, now: int, dest: Destination, ready: list[PendingText]) -> list[PendingText]:
        """Choose a host for the best text and fill its call; return the texts still to be placed."""
        while (host := self._choose(now, dest, ready[0])) is None:
            if not (ready := ready[1:]):
                return []
        call, route, rest, soon = Call(host, now), host.route, [], now + host.patience()
        most = 1 if host.in_outage or host.overdue(now) else self.settings.kinds[host.kind].texts_per_call
        ends = ready[0].until < soon  # such a call may be given up: it takes no text with more time left
        for held in ready:
            if call.texts < most and (held.until < soon) == ends and self._gate(now, held, host):
                held.call, call.texts = call, call.texts + 1
                del dest.waiting[held.text.id]
                self.changed.append(held)
            else:
                rest.append(held)
        host.out.append(call)
        route.calls, dest.calls, self.slots_used = route.calls + 1, dest.calls + 1, self.slots_used + 1
        route.credit, host.warm_credit = route.credit - bool(route.pace), host.warm_credit - 1.0
        route.flow, route.flow_at = route.flow * max(0.0, 1 - (now - route.flow_at) / FLOW_SPAN) + 1.0, now
        return rest

    def _choose(self, now: int, dest: Destination, held: PendingText) -> Host | None:
        """Two hosts drawn at random, the one that this relay's own counts favour."""
        able = [h for h in dest.hosts if self._opens_at(now, h) <= now and self._gate(now, held, h)]
        able = [h for h in able if held.text.product not in self._sour(now, h)] or able
        drawn = [able.pop(self.random_source.next_below(len(able))) for _ in range(min(2, len(able)))]
        return min(
            drawn,
            key=lambda host: (
                len(host.out),
                host.failing > FAIL_STEP / 2,
                not host.kept or now - host.used_at > self.max_idle_time,
                host.failing,
            ),
            default=None,
        )

    def _gate(self, now: int, held: PendingText, host: Host) -> bool:
        """The rules, for every send: no text twice out, no effect twice, drains, waits and order kept."""
        done = held.verdict is not None or held.call is not None or held.submits >= self.settings.max_submits
        late = host.route.wait_until > now or now + host.patience() > self.stop_at
        if done or late or host.listing is not Listing.READY or not self._has_turn(now, held):
            return False
        if held.ran_at is not None and held.row.effect is not Effect.RESENDABLE:
            elsewhere = not held.row.retry_anywhere and host.zone != held.zone
            if held.row.effect is Effect.ONCE_ONLY or now >= held.until or elsewhere:
                return False
        sound = held.row.effect is not Effect.ONCE_ONLY or not host.in_outage and not host.overdue(now)
        return sound or all(other.row.effect is Effect.ONCE_ONLY for other in host.dest.waiting.values())

    def _has_turn(self, now: int, held: PendingText) -> bool:
        """A product in order: only the first text of its key, and after the key's rest."""
        return not held.key or self.key_order.block_reason(now, held.key, held.text.id) is None

    def _opens_at(self, now: int, host: Host) -> int:
        """When the host takes one more call of this relay: slots, window, pace, health, warm-up."""
        route, cap = host.route, self._window_cap(host)
        full = self.slots_used >= self.settings.slots or route.calls >= min(cap, route.window)
        if full or host.dest.calls >= cap or host.listing is not Listing.READY:
            return NEVER
        if host.in_outage:
            return (
                NEVER
                if any(each.in_outage and each.out for each in route.hosts)
                else self._trial_opens(route)
            )
        if host.overdue(now):
            return max(route.wait_until, host.out[-1].sent + host.patience())
        cold = host.back_at is not None and host.warm_credit < 1.0
        return max(now + route.saved_after(), route.wait_until, now + PERIOD if cold else now)

    def _window_cap(self, host: Host) -> int:
        unwell = any(each.in_outage or each.back_at is not None for each in host.dest.hosts)
        return max(1, self.settings.slots // 2 if unwell else self.settings.slots * 3 // 4)

    def _advance(self, now: int, host: Host) -> None:
        """Bring a host's pace and warm-up to now: what it bears if all that know of its outage send."""
        settings, route = self.settings, host.route
        route.refill(
            now, settings.relays
        )  # also with no pace, so that the time without one fills no later one
        if host.back_at is None:
            return
        since, passed, seers = now - host.back_at, now - host.warm_at, self._seers(host.back_at, route)
        if since >= settings.cold_time:
            host.back_at = None
            return self.log.append(LogLine(f"warm after {since // SECOND} s", host.id))
        early = max(0, host.back_at - max(route.tried_at, route.down_at)) / 2 * (settings.relays > KEEPERS)
        share = min(
            1.0, settings.cold_share + (1 - settings.cold_share) * (since + early) / settings.cold_time
        )
        rate = route.rate(settings.relays) * share * settings.fall_multiple / len(route.hosts) / seers
        host.warm_credit, host.warm_at = min(1.0, host.warm_credit + rate * passed / SECOND), now

    def _give_up(self, now: int) -> None:
        """End texts that are out of time; nearly full, nack those with the least at stake to leave room."""
        while self.expiries and self.expiries[0][0] <= now:
            held = self.texts.get(heapq.heappop(self.expiries)[1])
            if held and held.call is None and held.verdict is None and held.until - LAST_MOMENT <= now:
                self._end(now, held)
        if (excess := len(self.texts) - int(self.settings.max_texts * ROOM_LEFT)) > 0:
            idle = [h for h in self.texts.values() if h.call is None and h.verdict is None and h.may_nack()]
            for held in sorted(idle, key=lambda held: self._rank(now, held), reverse=True)[:excess]:
                self._end(now, held)

    def _end(self, now: int, held: PendingText) -> None:
        """The final answer: a nack with advice where coming again is harmless, else undeliverable."""
        text = held.text.id
        self.destinations[held.text.destination].waiting.pop(text, None)
        held.verdict = Nack(text, self.settings.max_advice) if held.may_nack() else Undeliverable(text)
        self.changed.append(held)

    def _emit(self, now: int) -> list[Action]:
        """The difference between the wanted and the present state, as actions."""
        actions: list[Action] = []
        for held in self.changed:
            if held.verdict is not None and held.text.id in self.texts:
                actions.append(held.verdict)
                self.unacknowledged[held.text.id] = self.texts.pop(held.text.id)
            elif held.call is not None:
                left, host, call = held.text.valid_until - now, held.call.host, held.call
                keep = min(self._keep(host.kind, False), self.max_idle_time)
                if call.idle > self._keep(host.kind, held.row.effect is Effect.ONCE_ONLY):
                    call.idle = 0
                    actions.append(CloseIdle(host.id))
                actions.append(Submit(held.text.id, host.id, min(self._time_out(held), left), keep))
                held.submits += 1
        actions += [CloseIdle(host.id) for host in self.closing if not host.out] + self.log
        if self.ask_at <= now:
            self.ask_at = NEVER
            actions.append(Watch())
        looks = [self.ask_at, next(iter(self.idle_destinations.values()), NEVER)]
        looks += [dest.look_at for dest in self.active.values() if self.slots_used < self.settings.slots]
        looks += [due for due, _ in self.expiries[:1] if self.active]
        wake_at = max(now + PERIOD, min(looks))
        if wake_at < NEVER and (wake_at < self.wake_at or self.wake_at <= now):
            self.wake_at = wake_at
            actions.append(Wake(wake_at - now))
        self.changed, self.closing, self.log = [], [], []
        return actions

    def _keep(self, kind: int, once: bool) -> int:
        """How long connections stand idle; -1: not at all, lest calls go to those closed after an answer."""
        return -1 if self.stale[kind] > (STALE_ONCE if once else STALE_SHARE) else self.idle_most[kind]

    def _time_out(self, held: PendingText) -> int:
        """The design's; a referenced text keeps time for its repeat; scarce slots wait for no lost answer."""
        scarce = self.slots_used > min(SCARCE * self.settings.slots, self.settings.slots - 1.5)
        known = held.call.host.patience() if held.call.host.route.seen >= RECENT_CALLS else GUIDE_TIME_OUT
        least = held.row.retry_window // 4 if held.row.effect is Effect.REFERENCED else TIME_OUT
        whole = min(TIME_OUT, max(2 * known, GUIDE_TIME_OUT if scarce else least))
        return known if scarce and held.row.effect is not Effect.ONCE_ONLY else whole

    def _host(self, entry: HostEntry) -> Host:
        """The entry's host; a new one where it has moved: what is out at the old place ends there."""
        dest = self.destinations[entry.destination]
        if (host := self.hosts.get(entry.host)) and host.dest is dest:
            return host
        elif host:
            host.listing = Listing.GONE
        apart, window = self.settings.kinds[entry.kind].routes_apart, max(1, self.settings.slots // 2)
        route = dest.shared = Route(window) if apart else dest.shared or Route(window)
        host = self.hosts[entry.host] = Host(entry, dest, route, self.max_idle_time)
        host.in_outage = route.tries > 0 and all(each.in_outage for each in route.hosts)  # new in an outage
        dest.hosts.append(host)
        return host

    def _jitter(self, submits: int) -> int:
        return self.random_source.next_below(min(CAP, BASE << min(submits - 1, 20)) + 1)

    def _release(self, now: int, call: Call) -> None:
        host, route, dest = call.host, call.host.route, call.host.dest
        call.texts -= 1
        if call.texts == 0:
            host.out.remove(call)
            host.used_at, host.kept, dest.look_at = now, True, 0
            route.calls, dest.calls, self.slots_used = route.calls - 1, dest.calls - 1, self.slots_used - 1

    def _forget(self, now: int, held: PendingText) -> None:
        self.texts.pop(held.text.id, None)
        if (dest := self.destinations.get(held.text.destination)) is not None:
            dest.waiting.pop(held.text.id, None)
            dest.rest_at = now
            self.idle_destinations.setdefault(held.text.destination, now + self.rest)
        if held.key:
            self.key_order.remove(held.key, held.text.id)
