"""Decides which host gets which text, when, and what the final answer to each text is.

A relay has one `Policy(settings, now)`. The relay calls one of its methods for each event, then
`decide(now)`, and carries out the returned actions in order. The types are in limelatch/interface.py; the
reasons are in docs/design/decisions.md. Inside, `_plan` chooses the texts to send, `_is_send_allowed` checks
the rules before every send, and `_emit` returns the actions; `may_send` checks again when a connection has
come up.

Besides a token bucket, random backoff, a window of calls and limits on slots there are these mechanisms:
  1. Health: a host whose calls mostly fail or get no answer is in an outage and gets only trial calls, at a
     rate that all relays with texts for it share.
  2. Warm-up: a host back from an outage gets what is safe if all relays that know of the outage send too.
  3. Pace: calls keep to the host's limit where it is known, else to a pace learned from refusals. A refusal
     lowers the pace; what is left of the limit raises it.
  4. Order of waiting texts: those that can still make their SLA time first, then by the revenue at stake.
  5. Memory: when the relay is nearly full, waiting texts with the least at stake are nacked with advice.
  6. Connections: full connection tables and reset idle connections are distinguished from outages, and few
     idle connections are kept.

Times are in the units of limelatch/interface.py (tenths of a millisecond), rates in calls a second.
"""

from __future__ import annotations

import heapq
from collections import defaultdict

from limelatch.interface import (
    MS,
    SECOND,
    UNKNOWN_ZONE,
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
    PolicySettings,
    Result,
    Submit,
    SubmitReport,
    Text,
    TextHistory,
    TextId,
    Undeliverable,
    Wake,
    Watch,
)
from limelatch.key_order import KeyOrder, QueuedText
from limelatch.policy_state import (
    DELIVERY_RATE_SPAN,
    INITIAL_CALL_DURATION,
    INITIAL_RATE,
    NEVER,
    NO_HISTORY,
    RECENT_CALL_COUNT,
    RECENT_SUCCESS_TIME,
    SMALL_FLEET_SIZE,
    TOKEN_BUCKET_SIZE,
    Call,
    Destination,
    Host,
    PendingText,
    Route,
)
from limelatch.random_source import RandomSource

# Tenths of a token of a destination's bucket: a repeat costs one token, a delivery earns a tenth.
TOKEN_REFILL = 1
TOKEN_PRICE = 10

# Repeats wait at random up to a bound that doubles with each submit.
BACKOFF_BASE = 600 * MS
MAX_BACKOFF = 8 * SECOND

CALL_TIMEOUT = 9 * SECOND
SHORT_CALL_TIMEOUT = 3 * SECOND  # while slots are scarce, and where a host's usual duration is unknown
RETRY_AFTER_JITTER = 150 * MS  # spread of the relays' next calls after a Retry-After, at the least
MIN_WAKE_INTERVAL = 20 * MS  # between two wake-ups of the timer
EXPIRY_MARGIN = 100 * MS  # a text with less time left is not sent any more

# Health of a host, by the smoothed share of its calls that fail.
OUTAGE_FAILURE_SHARE = 0.5  # above it the host is in an outage
FAILURE_STEP = 0.3  # weight of one call in the share
SILENCE_STEP = 0.6  # weight of a call without an answer, where nothing else speaks for the host

# Idle connections that are kept, and the smoothed share of calls on them that are reset ("stale").
MIN_IDLE_LIMIT = 500 * MS
IDLE_LIMIT_RATIO = 0.9  # of the time after which hosts close idle connections themselves
STALE_SHARE_RISE = 0.05  # weight of a call on a kept connection in the share
STALE_SHARE_DECAY = 0.02  # weight of a call on a new one
MAX_STALE_SHARE = 0.08  # above it no connections are kept
MAX_STALE_SHARE_ONCE_ONLY = 0.02  # the same for once-only texts, which a reset may end

# Signs in refusals.
EXHAUSTED_LIMIT_SHARE = 0.15  # a refusal with less of the limit left is one by the limit
OUTAGE_REFUSAL_TIME = 3 * SECOND  # all calls refused for so long, with the limit not used up: an outage
OUTAGE_CUT_COUNT = 8  # so many cuts of the pace in a row do as well

# The pace: calls a second of this relay on a route.
PACE_CUT_RATIO = 0.6  # of the pace that is left by a refusal
MIN_PACE_RATIO = 0.4  # of this relay's even part of a known limit
PACE_CUT_INTERVAL = 300 * MS  # refusals of calls that were out together cut the pace once
CLOSED_HOST_CREDIT_SPREAD = 1.5  # calls: all relays are refused by a closed host at the same moment
PACE_GROWTH_PER_DELIVERY = 0.05  # where the host does not report what is left of its limit
CALL_RATE_SPAN = 5 * SECOND  # over which this relay's own calls are counted

DESTINATION_IDLE_TIME = DELIVERY_RATE_SPAN  # until an idle destination is forgotten: its rates have faded
LEARNED_STATE_LIFETIME = 600 * SECOND  # of what only deliveries would undo

# The pace where no limit is known, and in large fleets.
LEARNED_PACE_GROWTH = 0.2  # by a delivery, where no limit is known
SPARE_LIMIT_GROWTH = 0.02  # by a delivery, of the share of the limit that is left; in large fleets

# When a lost watch of the catalog is asked for again.
WATCH_RETRY_DIVISOR = 4  # of the time within which relays have to ask
MAX_WATCH_RETRY_STEPS = 3  # in such parts, however many calls have failed
WATCH_RETRY_DEADLINE = 55 * SECOND // 10  # after the catalog's last data

# Trials and warm-up.
TRIAL_RATE_RATIO = 0.7  # of the rate that a cold host bears
OUTAGE_LEAD_TIME = 5 * SECOND  # of texts before an outage's start whose relays may know of it

# Between the decision and the last byte of a repeat, which must come within the window of its text.
RETRY_SEND_MARGIN = 150 * MS

SCARCE_SLOTS_SHARE = 0.9  # of the slots in use, from which calls get a shorter timeout
NACK_THRESHOLD_SHARE = 0.92  # of the texts that the relay may hold; beyond it waiting texts are nacked

ANSWERED_RESULTS = (Result.ERROR, Result.MALFORMED)
UNANSWERED_RESULTS = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Policy:
    """The decisions of one relay: takes in events and returns the actions to carry out."""

    def __init__(self, settings: PolicySettings, now: int) -> None:
        self.settings, self.random_source = settings, RandomSource(settings.seed)
        self.texts: dict[TextId, PendingText] = {}
        # Their final answer has been given and is not acknowledged yet.
        self.unacknowledged: dict[TextId, PendingText] = {}
        self.hosts: dict[HostId, Host] = {}
        self.destinations: defaultdict[int, Destination] = defaultdict(Destination)
        # Those with waiting texts; `decide` looks at no others.
        self.active_destinations: dict[int, Destination] = {}
        # Processes of this relay: 2 in an upgrade, when both send to a host in its warm-up.
        self.process_count = 1
        self.key_order = KeyOrder()
        self.expiries: list[tuple[int, TextId]] = []  # a heap: when texts can no longer be sent in time
        self.slots_used, self.wake_at, self.stop_at = 0, now, NEVER
        # Destinations are forgotten only where their hosts are listed again on demand.
        self.destination_idle_time = DESTINATION_IDLE_TIME if settings.hosts_on_demand else NEVER
        self.watch_at = NEVER  # when to ask for the host list
        self.failed_watch_count = 0  # how many calls for it have failed in a row
        self.list_failed(now, failed_calls=0)
        # How long connections may be idle; by kind of host, where full tables or resets have lowered it.
        self.max_idle_time = int(settings.connection_idle_limit * IDLE_LIMIT_RATIO)
        self.max_idle_by_kind = [
            self.max_idle_time // 2 if settings.relays > SMALL_FLEET_SIZE else NEVER
        ] * len(settings.kinds)
        # If no connect fails until then, the hosts' connection tables are taken to have room.
        # NEVER: a connect has failed.
        self.room_assumed_at = [now + settings.connection_idle_limit] * len(settings.kinds)
        # Smoothed share of calls on kept connections that were reset.
        self.stale_share = [0.0] * len(settings.kinds)
        self.products_by_kind: list[set[int]] = [set() for _ in settings.kinds]  # products sent to each kind
        # The next `_emit` turns these into actions.
        self.changed_texts, self.hosts_to_close, self.log_lines = [], [], []
        # Destinations of which a text has finished, and when to check whether they can be forgotten.
        self.idle_destinations: dict[int, int] = {}

    def hosts_listed(self, now: int, entries: list[HostEntry], whole: bool, news: bool = True) -> None:
        """Take in lines of the host list.

        `whole`: hosts that are not in `entries` are gone. `news` is False where the lines are only those of a
        destination that was met just now, which says nothing about the watch of the list."""
        self.failed_watch_count = 0 if news else self.failed_watch_count
        self.key_order.forget_expired_cooldowns(now)
        for host in self.hosts.values() if whole else ():
            host.listing = Listing.GONE
        for host, entry in [(self._host_for(entry), entry) for entry in entries]:
            host.listing = entry.listing
            if self.settings.rates_listed and not host.route.limit:
                host.route.learn_limit(entry.rate, self.settings.relays)
        for number in (
            list(self.destinations) if whole else dict.fromkeys(entry.destination for entry in entries)
        ):
            self._update_host_groups(self.destinations[number])

    def list_failed(self, now: int, last_data_at: int = NEVER, failed_calls: int = 1) -> None:
        """A call for the host list failed, or its watch ended; the last data came at `last_data_at`.

        Schedules the next call at random, so that the relays of a fleet don't all ask at once, and early
        enough for the limit `ask_within`."""
        if self.settings.list_on_request:
            self.failed_watch_count += failed_calls
            max_delay = (
                self.settings.ask_within
                // WATCH_RETRY_DIVISOR
                * min(self.failed_watch_count + 1, MAX_WATCH_RETRY_STEPS)
            )
            self.watch_at = now + self.random_source.next_below(
                min(max_delay, max(0, last_data_at + WATCH_RETRY_DEADLINE - now))
            )

    def _update_host_groups(self, destination: Destination) -> None:
        """Drop the hosts that are gone and idle, and group the others by route."""
        for host in [each for each in destination.hosts if each.listing is Listing.GONE and not each.calls]:
            destination.hosts.remove(host)
            if self.hosts.get(host.id) is host:  # else it has moved to another destination
                del self.hosts[host.id]
        destination.check_at = 0
        for host in destination.hosts:
            host.route.hosts = [other for other in destination.hosts if other.route is host.route]

    def text_accepted(self, now: int, text: Text, history: TextHistory = NO_HISTORY) -> None:
        """A client submitted a text, or a text comes from an earlier process of this relay, with its history.

        Texts of earlier processes are passed in the order in which they were received."""
        product = history.product or self.settings.products[text.product]
        pending = self.texts[text.id] = PendingText(text, product, history)
        if pending.key:
            received_at = now if text.received_at is None else text.received_at
            self.key_order.add(pending.key, QueuedText(text.id, received_at, history.submit_count > 0))
        if history.in_flight and pending.key:
            self.key_order.start_cooldown(pending.key, text.id, now + self.settings.key_cooldown)
        if history.is_answered:
            self.unacknowledged[text.id] = self.texts.pop(text.id)
        elif pending.first_run_at is not None and pending.product.effect is Effect.ONCE_ONLY:
            self._finish(now, pending)
        else:
            self._add_waiting(pending)
            for route in (
                [host.route for host in self.destinations[text.destination].hosts] if text.resubmitted else ()
            ):
                if not route.limit and not route.pace and now - route.last_delivery_at > CALL_RATE_SPAN:
                    # The client was nacked elsewhere: start at the pace after a refusal.
                    route.pace = PACE_CUT_RATIO * SECOND / CALL_RATE_SPAN
                    route.credit_updated_at = now
                    route.credit = -self.random_source.next_below(1000) / 1000

    def _add_waiting(self, pending: PendingText) -> None:
        """Have the text wait for a submit, until it can no longer be sent in time."""
        destination = self.destinations[pending.text.destination]
        self.active_destinations[pending.text.destination] = destination
        destination.waiting[pending.text.id] = pending
        destination.check_at = 0
        destination.outage_text_count = destination.outage_text_count + (pending.submit_count == 0)
        heapq.heappush(self.expiries, (pending.deadline - EXPIRY_MARGIN, pending.text.id))

    def submit_ended(self, now: int, report: SubmitReport) -> None:
        """A submit has its outcome: finish the text, or have it wait for the next submit."""
        if (pending := self.texts.get(report.text)) is None or pending.call is None:
            return
        call, host, pending.call = pending.call, pending.call.host, None
        self._release_call(now, call)
        self._learn_from_report(now, host, call, report, pending.text.product)
        if not host.calls and host.call_gap > self.max_idle_by_kind[host.kind]:
            host.has_idle_connection = False
            self.hosts_to_close.append(host)
        if report.result in ANSWERED_RESULTS + UNANSWERED_RESULTS:  # it may have run
            pending.record_possible_run(call.sent_at, host.zone)
            if report.result is not Result.ERROR and pending.key:
                self.key_order.start_cooldown(pending.key, pending.text.id, now + self.settings.key_cooldown)
        if report.finished:
            return self._forget_text(now, pending)
        pending.submit_count -= report.unsent
        delay = self._backoff(max(1, pending.submit_count))  # the token is taken last
        may_not_repeat = pending.product.effect is Effect.ONCE_ONLY and pending.first_run_at is not None
        is_in_time = now + delay < pending.deadline - (
            host.route.usual_duration if pending.first_run_at is None else 0
        )
        price = 0 if report.unsent else TOKEN_PRICE
        if (
            pending.submit_count < self.settings.max_submits
            and not may_not_repeat
            and is_in_time
            and host.destination.tokens >= price
        ):
            host.destination.tokens, pending.due_at = host.destination.tokens - price, now + delay
            self._add_waiting(pending)
        else:
            self._finish(now, pending)

    def text_finished(self, now: int, text: TextId) -> None:
        """Its client left, or its final answer is acknowledged: only now may the next text of its key go."""
        if (pending := self.unacknowledged.pop(text, None) or self.texts.get(text)) and pending.call is None:
            self._forget_text(now, pending)

    def submit_doubted(self, now: int, text: TextId, host: HostId, sent_at: int) -> bool:
        """The response that ended a submit, sent at `sent_at`, may have belonged to another: it may have run.

        Returns whether the text still waits for a submit; a text that has its final answer keeps it."""
        pending, known = self.texts.get(text), self.hosts.get(host)
        if pending is None or pending.final_action is not None:
            return False
        pending.record_possible_run(sent_at, known.zone if known is not None else None)
        if pending.key:
            self.key_order.start_cooldown(pending.key, text, now + self.settings.key_cooldown)
        if pending.call is None and pending.product.effect is Effect.ONCE_ONLY:
            self._finish(now, pending)
        elif pending.call is None:
            heapq.heappush(self.expiries, (pending.deadline - EXPIRY_MARGIN, text))
        return True

    def host_asked_to_wait(self, host: HostId, until: int) -> None:
        """A host has asked this relay to wait, or the other process of this relay: the wait binds both."""
        if (known := self.hosts.get(host)) is not None:
            known.route.wait_until = max(known.route.wait_until, until)

    def health_from_sibling(self, now: int, host: HostId, health: Health, at: int) -> None:
        """The other process of this relay found the health of a host at the time `at`.

        What this process has seen since counts more. Guards against overloading a returning host from a
        process that does not know of its outage."""
        if (known := self.hosts.get(host)) is None or at <= known.sibling_news_at:
            return
        known.sibling_news_at, route = at, known.route
        if known.in_outage and route.outage_since > at:
            return
        if health is Health.OUTAGE and not known.in_outage and known.last_success_at < at:
            self._mark_outage(at, known)
            self._schedule_trial(now, route)
        elif health is Health.WARMING and now - at < self.settings.cold_time and known.recovered_at is None:
            self._start_warm_up(now, known, at)
            if not any(each.in_outage for each in route.hosts):
                route.trial_count = 0

    def stopping(self, until: int) -> None:
        """The relay stops: no call is sent that may not end by then."""
        self.stop_at = until

    def may_send(self, now: int, text: TextId, host: HostId) -> bool:
        """Whether the submit may still be sent, asked when its connection has come up.

        Guards against a drain, a wait or an earlier text of its key that came up since the decision, and
        against a host that serves another destination by now."""
        pending, host = self.texts.get(text), self.hosts.get(host)
        ready = (
            pending
            and host
            and host.listing is Listing.READY
            and host.destination is self.destinations.get(pending.text.destination)
            and self._has_turn(now, pending)
        )
        return (
            bool(ready)
            and host.route.wait_until
            <= now
            < pending.deadline - (pending.first_run_at is not None) * RETRY_SEND_MARGIN
        )

    def decide(self, now: int, submits: bool = True) -> list[Action]:
        """Return the actions to carry out now. Without `submits` no text is sent, but texts still expire."""
        self._expire_texts(now)
        if submits:
            self._plan(now)
        self._forget_idle_destinations(now)
        return self._emit(now)

    def _forget_idle_destinations(self, now: int) -> None:
        """Forget idle destinations of which nothing is known but what the host list says."""
        while next(iter(self.idle_destinations.values()), NEVER) <= now:
            destination = self.destinations.get(number := next(iter(self.idle_destinations)))
            del self.idle_destinations[number]
            if destination and (
                destination.waiting
                or destination.call_count
                or now < destination.idle_since + DESTINATION_IDLE_TIME
                or self._has_learned_state(now, destination)
            ):
                self.idle_destinations[number] = now + self.destination_idle_time
            elif destination:
                self._update_host_groups(self.destinations.pop(number))
                self.log_lines.append(
                    Forget(number, [self.hosts.pop(host.id).id for host in destination.hosts])
                )

    def _has_learned_state(self, now: int, destination: Destination) -> bool:
        """Whether something is known of the destination that a new start would not know.

        What only deliveries undo, such as a failure share, counts until it is old."""
        is_old = now > destination.idle_since + LEARNED_STATE_LIFETIME
        sharers = self.settings.relays if self.settings.relays > SMALL_FLEET_SIZE else 1
        for host in destination.hosts:
            self._advance_host(now, host)
            route, even_share = host.route, host.route.limit / sharers
            is_slowed = route.pace > 0 and (not even_share or route.pace < even_share)
            is_impaired = (
                host.in_outage
                or host.recovered_at is not None
                or host.failure_share > FAILURE_STEP / 2
                and not is_old
            )
            if (
                is_impaired
                or is_slowed
                or route.wait_until > now
                or host.has_idle_connection
                and now < host.last_used_at + self.max_idle_time
            ):
                return True
        return not is_old and destination.tokens < TOKEN_BUCKET_SIZE

    def _learn_from_report(
        self, now: int, host: Host, call: Call, report: SubmitReport, product: int
    ) -> None:
        """Update the token bucket, the window, the pace and the health of the host by an outcome."""
        route, result, kind, is_call_done = host.route, report.result, host.kind, call.text_count == 0
        if report.in_doubt:
            self.host_asked_to_wait(host.id, now + report.retry_after if report.retry_after else 0)
            return
        route.learn_limit(report.limit_rate, self.settings.relays)
        self.products_by_kind[kind].add(product)
        idle_time = call.idle_time if report.idle_time is None else report.idle_time
        is_reset = result is Result.RESET
        may_be_full_table = self.settings.relays > SMALL_FLEET_SIZE and result in (
            Result.CONNECT,
            Result.TIMEOUT,
        )
        is_stale = idle_time > 0 and (is_reset or may_be_full_table and result is Result.TIMEOUT)
        had_recent_success = now - host.last_success_at < RECENT_SUCCESS_TIME
        is_fast = report.took < route.usual_duration // 2
        # Refused or reset connections that are no sign of an outage.
        is_excused = (
            had_recent_success
            and result is Result.CONNECT
            or is_reset
            and is_fast
            and (idle_time or had_recent_success)
        )
        self.stale_share[kind] += (STALE_SHARE_RISE if idle_time else STALE_SHARE_DECAY) * (
            is_stale - self.stale_share[kind]
        )
        # The host may refuse connections since idle ones fill its table.
        is_table_full = may_be_full_table and result is Result.CONNECT and self.room_assumed_at[kind] < NEVER
        self.max_idle_by_kind[kind] = max(
            self.max_idle_by_kind[kind], self.max_idle_time if self.room_assumed_at[kind] <= now else 0
        )
        if (may_be_full_table or is_reset) and (idle_time > MIN_IDLE_LIMIT or result is Result.CONNECT):
            self.room_assumed_at[kind] = NEVER
            self.max_idle_by_kind[kind] = min(
                self.max_idle_by_kind[kind], max(MIN_IDLE_LIMIT, idle_time * 3 // 4)
            )
            for each in self.hosts.values() if is_table_full else ():
                if each.kind == kind and each.has_idle_connection and not each.calls and each is not host:
                    each.has_idle_connection = False
                    self.hosts_to_close.append(each)
        if report.retry_after:  # also in a call that has delivered other texts
            is_limit_exhausted = report.limit_left is not None and report.limit_left < EXHAUSTED_LIMIT_SHARE
            spread = RETRY_AFTER_JITTER if is_limit_exhausted else max(RETRY_AFTER_JITTER, report.retry_after)
            route.wait_until = max(
                route.wait_until, now + report.retry_after + self.random_source.next_below(spread)
            )
        if result is Result.DELIVERED or result is Result.MALFORMED and report.finished:
            host.destination.tokens = min(TOKEN_BUCKET_SIZE, host.destination.tokens + TOKEN_REFILL)
            host.failing_products.pop(product, None)
            route.recent_deliveries = (
                route.recent_deliveries * max(0.0, 1 - (now - route.last_delivery_at) / DELIVERY_RATE_SPAN)
                + 1.0
            )
            host.last_success_at, route.last_delivery_at, route.cut_count = now, now, 0
            route.refused_since = NEVER
            limit_left = report.limit_left
            growth_ratio = SPARE_LIMIT_GROWTH if self.settings.relays > SMALL_FLEET_SIZE else 1.0
            # By what the other relays leave of the limit.
            growth = PACE_GROWTH_PER_DELIVERY if limit_left is None else growth_ratio * max(0.0, limit_left)
            route.grow_pace(growth if route.limit else LEARNED_PACE_GROWTH)
            route.window = min(route.window + 1, self._max_window(host))
            if route.record_duration(report.took):
                self._halve_window(now, route, call)
            host.failure_share *= 1 - FAILURE_STEP
            # An outage mostly affects all hosts of a route, and so does its end. A call that was sent before
            # one that was refused says nothing of the time since.
            if host.in_outage and call.sent_at > route.refused_call_sent_at:
                self._end_outage(now, route)
        elif result is Result.FULL and is_call_done:
            route.refused_call_sent_at = max(route.refused_call_sent_at, call.sent_at)
            self._record_refusal(now, host, report.retry_after, report.limit_left)
        elif (
            result not in (Result.FULL, Result.NOT_SENT, Result.CANCELLED) and is_call_done and not is_excused
        ):
            self._halve_window(now, route, call)
            had_success_since = host.last_success_at > call.sent_at - (
                0 if result is Result.TIMEOUT else RECENT_SUCCESS_TIME
            )
            step = (
                FAILURE_STEP
                if had_success_since or is_stale or is_table_full or result in ANSWERED_RESULTS
                else SILENCE_STEP
            )
            if not self._is_one_product_failure(now, host, product, result):
                self._record_failure(
                    now,
                    host,
                    result.value,
                    step / 2 if had_success_since and result is Result.TIMEOUT else step,
                )

    def _is_one_product_failure(self, now: int, host: Host, product: int, result: Result) -> bool:
        """Whether the host fails only one product, while the other hosts of its route deliver.

        Only in large fleets: a relay of a small one sees enough calls to tell by the failure share."""
        has_several_products = (
            self.settings.relays > SMALL_FLEET_SIZE and len(self.products_by_kind[host.kind]) > 1
        )
        if has_several_products and result not in (Result.CONNECT, Result.RESET):
            host.failing_products[product] = now
        others = [each for each in host.route.hosts if each is not host and each.listing is Listing.READY]
        return (
            bool(others)
            and host.failing_products.get(product) == now
            and not host.in_outage
            and not any(each.in_outage or self._failing_products(now, each) for each in others)
            and len(self._failing_products(now, host)) == 1
        )

    def _failing_products(self, now: int, host: Host) -> list[int]:
        """Products that have failed at the host lately, with no delivery since."""
        return [product for product, at in host.failing_products.items() if at > now - DELIVERY_RATE_SPAN]

    def _halve_window(self, now: int, route: Route, call: Call) -> None:
        """Halve the window, once for all calls that were in flight together."""
        if call.sent_at > route.window_halved_at:
            route.window, route.window_halved_at = max(1, route.window // 2), now

    def _record_failure(self, now: int, host: Host, reason: str, weight: float) -> None:
        """Raise the failure share of the host; above a bound the host is in an outage."""
        route, was_healthy = host.route, not host.in_outage
        host.failure_share += (1 - host.failure_share) * weight
        if was_healthy and host.failure_share > OUTAGE_FAILURE_SHARE:
            self._mark_outage(now, host)
            self.log_lines.append(
                LogLine(f"sick: {reason}, failing {host.failure_share:.2f}", host.id, Health.OUTAGE)
            )
        if host.in_outage:
            self._schedule_trial(now, route)

    def _mark_outage(self, at: int, host: Host) -> None:
        """Mark the host, and those of its route without a recent delivery, as in an outage."""
        route, destination = host.route, host.destination
        if not any(each.in_outage for each in route.hosts):
            route.outage_since = at
            route.trial_count = 0
            destination.outage_text_count = 1 + destination.call_count + len(destination.waiting)
        for each in [
            other
            for other in route.hosts
            if other is host or other.last_success_at < at - RECENT_SUCCESS_TIME
        ]:
            each.in_outage, each.recovered_at = True, None

    def _record_refusal(self, now: int, host: Host, retry_after: int, limit_left: float | None) -> None:
        """A refusal lowers the pace: from the relay's own rate, or towards its even part of a known limit.

        Guards against hundreds of relays, each far under the limit, that use it up by being refused."""
        route, even_share = host.route, (host.route.limit or INITIAL_RATE) / self.settings.relays
        refused_time = route.record_refusal(now, retry_after)
        # Refused though the limit is not used up: the host is closed.
        has_room = limit_left is not None and limit_left >= EXHAUSTED_LIMIT_SHARE
        if now - route.pace_cut_at > PACE_CUT_INTERVAL or not route.pace:
            route.update_pace(now, self.settings.relays)
            own_rate = route.recent_calls * SECOND / CALL_RATE_SPAN
            weight = 1 / (route.recent_calls + (1 if limit_left is None else 2))
            if route.limit:
                weighted_rate = (2 * own_rate) ** (1 - weight) * even_share**weight
                fair_rate = min(
                    route.pace,
                    even_share
                    if has_room and now - host.last_success_at > RECENT_SUCCESS_TIME
                    else weighted_rate,
                )
                # In a large fleet repeated cuts go deeper; a small one overloads the route less.
                depth = route.cut_count * weight if self.settings.relays > SMALL_FLEET_SIZE else 0.0
                route.pace = max(PACE_CUT_RATIO * fair_rate / (1 + depth), MIN_PACE_RATIO * even_share)
            else:  # the first refusal may be chance; few relays have texts for the route at one time
                route.pace = max(
                    PACE_CUT_RATIO / (1 + min(route.cut_count, 1)) * min(route.pace or own_rate, own_rate),
                    2 * even_share,
                )
            route.pace_cut_at, route.cut_count = now, route.cut_count + 1
        # Relays that were refused by a closed host at the same moment spread their next calls.
        spread = CLOSED_HOST_CREDIT_SPREAD if route.limit and has_room else 1.0
        route.credit = min(
            route.credit, 0.5 * bool(route.limit) - spread * self.random_source.next_below(1000) / 1000
        )
        if host.in_outage:
            self._schedule_trial(now, route)
        elif self._is_outage_refusal(route, retry_after, refused_time, limit_left, has_room):
            self._record_failure(
                now, host, f"refused {route.cut_count} times, asked to wait {retry_after // MS} ms", 1.0
            )

    @staticmethod
    def _is_outage_refusal(
        route: Route, retry_after: int, refused_time: int, limit_left: float | None, has_room: bool
    ) -> bool:
        """Whether a refusal is the sign of an outage, which a refusal by the limit is not.

        Guards against a host that is closed for some waits in a row: at its return all that was held for it
        would be sent at once."""
        if limit_left is None:  # long waits may come from the limit, if several are asked for in a row
            return retry_after >= OUTAGE_REFUSAL_TIME or route.cut_count >= OUTAGE_CUT_COUNT
        return has_room and (refused_time >= OUTAGE_REFUSAL_TIME or route.cut_count >= OUTAGE_CUT_COUNT)

    def _schedule_trial(self, now: int, route: Route) -> None:
        """Schedule the next trial by the backoff, counted from the end of a wait that the host asked for."""
        route.trial_count, route.trial_base_at = route.trial_count + 1, max(now, route.wait_until) + 100 * MS
        # The first trial comes at any time within the spacing, the later ones around its end.
        route.trial_spread_percent = (50 if route.trial_count > 1 else 0) + self.random_source.next_below(100)
        route.next_trial_at = route.trial_base_at + self._backoff(route.trial_count + 1)
        self._next_trial_time(route)

    def _next_trial_time(self, route: Route) -> int:
        """When the next trial may go: relays that know of the outage share the rate that a cold host bears.

        Guards against hundreds of relays overloading a cold destination by their trials alone."""
        cold_rate_share = min(1.0, self.settings.cold_share * self.settings.fall_multiple * TRIAL_RATE_RATIO)
        spacing = (
            SECOND
            * self._informed_relay_count(route.trial_base_at, route)
            / (cold_rate_share * route.total_rate(self.settings.relays))
        )
        route.next_trial_at = max(
            route.next_trial_at, route.trial_base_at + int(spacing * route.trial_spread_percent / 100)
        )
        return route.next_trial_at

    def _informed_relay_count(self, now: int, route: Route) -> float:
        """How many relays may know of an outage.

        Estimated from the route's rate since its start, and from the number of texts that this relay has had
        for it, taken to be the same at all relays."""
        relays = self.settings.relays
        by_texts = self.settings.relays * (route.hosts[0].destination.outage_text_count - 1) / 2
        informed = max(
            1.0, by_texts, route.total_rate(relays) * (now - route.outage_since + OUTAGE_LEAD_TIME) / SECOND
        )
        return min(relays, informed) * self.process_count

    def _start_warm_up(self, now: int, host: Host, recovered_at: int) -> None:
        """The host is back from an outage since `recovered_at`: now it gets what a cold host bears."""
        host.in_outage = False
        host.recovered_at = recovered_at
        host.failure_share = FAILURE_STEP / 2
        host.warm_up_updated_at = now
        # A random start: the small parts of many relays have to add up to what is safe.
        host.warm_up_credit = self.random_source.next_below(1000) / 1000

    def _end_outage(self, now: int, route: Route) -> None:
        """A trial was delivered: all hosts of the route start their warm-up."""
        for host in [each for each in route.hosts if each.in_outage]:
            self._start_warm_up(now, host, now)
            self.log_lines.append(
                LogLine(f"back after {route.trial_count} trials, warming", host.id, Health.WARMING)
            )
        route.trial_count = 0

    def _plan(self, now: int) -> None:
        """Choose the texts to send, while slots are free: the most urgent text of all destinations first."""
        candidates = [
            each for each in self.active_destinations.items() if each[1].waiting and each[1].check_at <= now
        ]
        queue = sorted(
            (self._rank(now, best[0]), number, best)
            for number, destination in candidates
            if self.slots_used < self.settings.slots and (best := self._ready_texts(now, destination))
        )
        while queue and self.slots_used < self.settings.slots:
            _, number, ready = heapq.heappop(queue)
            if ready := self._fill_call(now, self.destinations[number], ready):
                heapq.heappush(queue, (self._rank(now, ready[0]), number, ready))
        self.active_destinations = {
            number: destination
            for number, destination in self.active_destinations.items()
            if destination.waiting
        }

    def _ready_texts(self, now: int, destination: Destination) -> list[PendingText]:
        """The waiting texts of a destination that may be sent now, the most urgent first.

        Texts that can't be sent before their deadline are finished at once, but for those that a restart
        found and that were never sent: the pace is raised so that they can be."""
        for host in destination.hosts:
            self._advance_host(now, host)
        destination.check_at = min(
            (self._available_at(now, host) for host in destination.hosts), default=NEVER
        )
        if destination.check_at > now:
            times_left = sorted(
                text.deadline - EXPIRY_MARGIN - now
                for text in destination.waiting.values()
                if text.is_recovered and not text.submit_count and text.deadline > now + SECOND
            )
            for host in destination.hosts if times_left else ():
                route, texts_per_call = host.route, self.settings.kinds[host.kind].texts_per_call
                rates = [
                    (index // texts_per_call + 2 - route.credit) / time_left
                    for index, time_left in enumerate(times_left)
                ]
                route.pace = route.pace and max(route.pace, min(SECOND * max(rates), route.limit or NEVER))
                destination.check_at = min(destination.check_at, self._available_at(now, host))
            for pending in [
                text
                for text in destination.waiting.values()
                if text.deadline - EXPIRY_MARGIN <= destination.check_at < NEVER
            ]:
                self._finish(now, pending)
            return []
        if not (due := [pending for pending in destination.waiting.values() if pending.due_at <= now]):
            destination.check_at = min(pending.due_at for pending in destination.waiting.values())
        return sorted(
            [text for text in due if self._has_turn(now, text)],
            key=lambda pending: (
                not pending.is_recovered or pending.submit_count > 0,
                self._rank(now, pending),
            ),
        )

    def _rank(self, now: int, pending: PendingText) -> tuple:
        """Sort key: texts that can still make their SLA time, the nearest first; then the late by revenue."""
        is_late, text = now + INITIAL_CALL_DURATION > pending.sla_deadline, pending.text
        urgency = -pending.product.revenue * pending.product.late_share if is_late else pending.sla_deadline
        return is_late, urgency, text.valid_until, text.id

    def _fill_call(self, now: int, destination: Destination, ready: list[PendingText]) -> list[PendingText]:
        """Choose a host for the best text and fill its call; return the texts still to be placed."""
        while (host := self._choose_host(now, destination, ready[0])) is None:
            if not (ready := ready[1:]):
                return []
        call, route, remaining, overdue_at = Call(host, now), host.route, [], now + host.overdue_after()
        max_texts = (
            1 if host.in_outage or host.is_overdue(now) else self.settings.kinds[host.kind].texts_per_call
        )
        # A call that may be given up early takes no text with more time left.
        ends_early = ready[0].deadline < overdue_at
        for pending in ready:
            if (
                call.text_count < max_texts
                and (pending.deadline < overdue_at) == ends_early
                and self._is_send_allowed(now, pending, host)
            ):
                pending.call, call.text_count = call, call.text_count + 1
                del destination.waiting[pending.text.id]
                self.changed_texts.append(pending)
            else:
                remaining.append(pending)
        host.calls.append(call)
        route.call_count = route.call_count + 1
        destination.call_count = destination.call_count + 1
        self.slots_used = self.slots_used + 1
        # Spend one call of the credits, and count it in the fading number of recent calls.
        route.credit = route.credit - bool(route.pace)
        host.warm_up_credit = host.warm_up_credit - 1.0
        route.recent_calls = (
            route.recent_calls * max(0.0, 1 - (now - route.recent_calls_at) / CALL_RATE_SPAN) + 1.0
        )
        route.recent_calls_at = now
        return remaining

    def _choose_host(self, now: int, destination: Destination, pending: PendingText) -> Host | None:
        """Draw two available hosts at random and return the less loaded and healthier one."""
        available = [
            each
            for each in destination.hosts
            if self._available_at(now, each) <= now and self._is_send_allowed(now, pending, each)
        ]
        # Hosts that fail this product come only where no other is available.
        available = [
            each for each in available if pending.text.product not in self._failing_products(now, each)
        ] or available
        drawn = [
            available.pop(self.random_source.next_below(len(available)))
            for _ in range(min(2, len(available)))
        ]
        return min(
            drawn,
            key=lambda host: (
                len(host.calls),
                host.failure_share > FAILURE_STEP / 2,
                not host.has_idle_connection or now - host.last_used_at > self.max_idle_time,
                host.failure_share,
            ),
            default=None,
        )

    def _is_send_allowed(self, now: int, pending: PendingText, host: Host) -> bool:
        """Check the rules for every send.

        A text is in one call at a time; no effect happens twice; drains, waits and the order of keys are
        kept; once-only texts don't go to a host that may be in an outage while other texts can try it."""
        is_taken = (
            pending.final_action is not None
            or pending.call is not None
            or pending.submit_count >= self.settings.max_submits
        )
        must_wait = host.route.wait_until > now or now + host.overdue_after() > self.stop_at
        if is_taken or must_wait or host.listing is not Listing.READY or not self._has_turn(now, pending):
            return False
        if pending.first_run_at is not None and pending.product.effect is not Effect.RESENDABLE:
            is_same_zone = host.zone == pending.first_run_zone and host.zone != UNKNOWN_ZONE
            is_other_zone = not pending.product.retry_anywhere and not is_same_zone
            if pending.product.effect is Effect.ONCE_ONLY or now >= pending.deadline or is_other_zone:
                return False
        is_host_safe = (
            pending.product.effect is not Effect.ONCE_ONLY or not host.in_outage and not host.is_overdue(now)
        )
        return is_host_safe or all(
            other.product.effect is Effect.ONCE_ONLY for other in host.destination.waiting.values()
        )

    def _has_turn(self, now: int, pending: PendingText) -> bool:
        """Whether a text of a product in order is the first of its key, and the key is in no cooldown."""
        return not pending.key or self.key_order.block_reason(now, pending.key, pending.text.id) is None

    def _available_at(self, now: int, host: Host) -> int:
        """When the host may get one more call of this relay, by slots, window, pace, health and warm-up.

        NEVER where only another event can change that."""
        route, max_window = host.route, self._max_window(host)
        is_full = self.slots_used >= self.settings.slots or route.call_count >= min(max_window, route.window)
        if is_full or host.destination.call_count >= max_window or host.listing is not Listing.READY:
            return NEVER
        if host.in_outage:
            return (
                NEVER
                if any(each.in_outage and each.calls for each in route.hosts)
                else self._next_trial_time(route)
            )
        if host.is_overdue(now):
            return max(route.wait_until, host.calls[-1].sent_at + host.overdue_after())
        is_warming = host.recovered_at is not None and host.warm_up_credit < 1.0
        return max(
            now + route.time_until_credit(), route.wait_until, now + MIN_WAKE_INTERVAL if is_warming else now
        )

    def _max_window(self, host: Host) -> int:
        """Calls in flight at a destination: half of the slots after or in an outage, else three quarters."""
        is_impaired = any(each.in_outage or each.recovered_at is not None for each in host.destination.hosts)
        return max(1, self.settings.slots // 2 if is_impaired else self.settings.slots * 3 // 4)

    def _advance_host(self, now: int, host: Host) -> None:
        """Bring the pace and the warm-up of a host to now.

        In the warm-up the host gets what it bears if all relays that know of its outage send."""
        settings, route = self.settings, host.route
        # Also while there is no pace, so that this time does not count as credit for a later one.
        route.update_pace(now, settings.relays)
        if host.recovered_at is None:
            return
        warm_up_time = now - host.recovered_at
        elapsed = now - host.warm_up_updated_at
        informed = self._informed_relay_count(host.recovered_at, route)
        if warm_up_time >= settings.cold_time:
            host.recovered_at = None
            return self.log_lines.append(LogLine(f"warm after {warm_up_time // SECOND} s", host.id))
        # In a large fleet the host may have been back for half of the time since the last trial.
        recovery_estimate = (
            max(0, host.recovered_at - max(route.trial_base_at, route.outage_since))
            / 2
            * (settings.relays > SMALL_FLEET_SIZE)
        )
        share = min(
            1.0,
            settings.cold_share
            + (1 - settings.cold_share) * (warm_up_time + recovery_estimate) / settings.cold_time,
        )
        rate = (
            route.total_rate(settings.relays) * share * settings.fall_multiple / len(route.hosts) / informed
        )
        host.warm_up_credit = min(1.0, host.warm_up_credit + rate * elapsed / SECOND)
        host.warm_up_updated_at = now

    def _expire_texts(self, now: int) -> None:
        """Finish expired texts; when the relay is nearly full, nack those with the least at stake."""
        while self.expiries and self.expiries[0][0] <= now:
            pending = self.texts.get(heapq.heappop(self.expiries)[1])
            if (
                pending
                and pending.call is None
                and pending.final_action is None
                and pending.deadline - EXPIRY_MARGIN <= now
            ):
                self._finish(now, pending)
        if (excess := len(self.texts) - int(self.settings.max_texts * NACK_THRESHOLD_SHARE)) > 0:
            nackable = [
                each
                for each in self.texts.values()
                if each.call is None and each.final_action is None and each.may_nack()
            ]
            for pending in sorted(nackable, key=lambda pending: self._rank(now, pending), reverse=True)[
                :excess
            ]:
                self._finish(now, pending)

    def _finish(self, now: int, pending: PendingText) -> None:
        """Give the final answer: a nack with advice where a repeat is harmless, else undeliverable."""
        text = pending.text.id
        self.destinations[pending.text.destination].waiting.pop(text, None)
        pending.final_action = (
            Nack(text, self.settings.max_advice) if pending.may_nack() else Undeliverable(text)
        )
        self.changed_texts.append(pending)

    def _emit(self, now: int) -> list[Action]:
        """Return the actions for all that has changed since the last call, and the next wake-up."""
        actions: list[Action] = []
        for pending in self.changed_texts:
            if pending.final_action is not None and pending.text.id in self.texts:
                actions.append(pending.final_action)
                self.unacknowledged[pending.text.id] = self.texts.pop(pending.text.id)
            elif pending.call is not None:
                time_left, host, call = pending.text.valid_until - now, pending.call.host, pending.call
                idle_limit = min(self._idle_limit(host.kind, False), self.max_idle_time)
                if call.idle_time > self._idle_limit(host.kind, pending.product.effect is Effect.ONCE_ONLY):
                    call.idle_time = 0
                    actions.append(CloseIdle(host.id))
                actions.append(
                    Submit(pending.text.id, host.id, min(self._timeout(pending), time_left), idle_limit)
                )
                pending.submit_count += 1
        actions += [CloseIdle(host.id) for host in self.hosts_to_close if not host.calls] + self.log_lines
        if self.watch_at <= now:
            self.watch_at = NEVER
            actions.append(Watch())
        wake_times = [self.watch_at, next(iter(self.idle_destinations.values()), NEVER)]
        wake_times += [
            destination.check_at
            for destination in self.active_destinations.values()
            if self.slots_used < self.settings.slots
        ]
        wake_times += [expires_at for expires_at, _ in self.expiries[:1] if self.active_destinations]
        wake_at = max(now + MIN_WAKE_INTERVAL, min(wake_times))
        if wake_at < NEVER and (wake_at < self.wake_at or self.wake_at <= now):
            self.wake_at = wake_at
            actions.append(Wake(wake_at - now))
        self.changed_texts, self.hosts_to_close, self.log_lines = [], [], []
        return actions

    def _idle_limit(self, kind: int, is_once_only: bool) -> int:
        """How long connections to hosts of a kind may be idle.

        -1: not at all, since too many were reset; guards against calls on connections that a host closes
        after each answer."""
        return (
            -1
            if self.stale_share[kind] > (MAX_STALE_SHARE_ONCE_ONLY if is_once_only else MAX_STALE_SHARE)
            else self.max_idle_by_kind[kind]
        )

    def _timeout(self, pending: PendingText) -> int:
        """Timeout of the call of a text, before its deadline is counted.

        A referenced text keeps time for a repeat in its window. While slots are scarce a call waits for no
        more than its expected duration, so that lost answers don't occupy slots."""
        is_scarce = self.slots_used > min(SCARCE_SLOTS_SHARE * self.settings.slots, self.settings.slots - 1.5)
        expected = (
            pending.call.host.overdue_after()
            if pending.call.host.route.duration_count >= RECENT_CALL_COUNT
            else SHORT_CALL_TIMEOUT
        )
        preferred = (
            pending.product.retry_window // 4 if pending.product.effect is Effect.REFERENCED else CALL_TIMEOUT
        )
        timeout = min(CALL_TIMEOUT, max(2 * expected, SHORT_CALL_TIMEOUT if is_scarce else preferred))
        return expected if is_scarce and pending.product.effect is not Effect.ONCE_ONLY else timeout

    def _host_for(self, entry: HostEntry) -> Host:
        """The host of a list entry; a new one where it has moved: its calls in flight stay at the old one."""
        destination = self.destinations[entry.destination]
        if (host := self.hosts.get(entry.host)) and host.destination is destination:
            return host
        elif host:
            host.listing = Listing.GONE
        routes_apart, window = self.settings.kinds[entry.kind].routes_apart, max(1, self.settings.slots // 2)
        route = Route(window) if routes_apart else destination.shared_route or Route(window)
        destination.shared_route = route
        host = self.hosts[entry.host] = Host(entry, destination, route, self.max_idle_time)
        # A host that is listed during an outage of its route is in the outage too.
        host.in_outage = route.trial_count > 0 and all(each.in_outage for each in route.hosts)
        destination.hosts.append(host)
        return host

    def _backoff(self, submit_count: int) -> int:
        """A random wait before the next submit, up to a bound that doubles with each submit."""
        return self.random_source.next_below(min(MAX_BACKOFF, BACKOFF_BASE << min(submit_count - 1, 20)) + 1)

    def _release_call(self, now: int, call: Call) -> None:
        """One text of the call has its outcome; with the last one the call frees its slot."""
        host, route, destination = call.host, call.host.route, call.host.destination
        call.text_count -= 1
        if call.text_count == 0:
            host.calls.remove(call)
            host.last_used_at, host.has_idle_connection, destination.check_at = now, True, 0
            route.call_count = route.call_count - 1
            destination.call_count = destination.call_count - 1
            self.slots_used = self.slots_used - 1

    def _forget_text(self, now: int, pending: PendingText) -> None:
        """The text is finished: drop it, and let the next text of its key go."""
        self.texts.pop(pending.text.id, None)
        if (destination := self.destinations.get(pending.text.destination)) is not None:
            destination.waiting.pop(pending.text.id, None)
            destination.idle_since = now
            self.idle_destinations.setdefault(pending.text.destination, now + self.destination_idle_time)
        if pending.key:
            self.key_order.remove(pending.key, pending.text.id)
