"""What the decisions rest on: the texts, calls, routes, hosts and destinations that a `Policy` knows of.

Each class holds what was observed and what follows from it alone; limelatch/policy.py decides. Does no I/O.
Times are in the units of limelatch/interface.py (tenths of a millisecond), rates in calls a second.
"""

from __future__ import annotations

from math import sqrt

from limelatch.interface import (
    MS,
    SECOND,
    Effect,
    HostEntry,
    Product,
    Text,
    TextHistory,
    TextId,
)

TOKEN_BUCKET_SIZE = 200  # tenths of a token
RECENT_CALL_COUNT = 7  # calls whose median is compared with the usual duration
INITIAL_CALL_DURATION = 400 * MS  # taken as usual before a call has ended
NEVER = 1 << 62  # a time that does not come

MIN_OVERDUE_TIME = 800 * MS  # a call out for longer, with no success since, makes its host suspect
OVERDUE_DURATION_RATIO = 4  # the same, in multiples of the route's usual duration
RECENT_SUCCESS_TIME = 2 * SECOND  # a delivery within it speaks against an outage
REFUSAL_GAP = 5 * SECOND  # refusals further apart don't belong together

SMALL_FLEET_SIZE = 5  # relays; larger fleets share limits, trials and connection tables more carefully
INITIAL_RATE = 2.0  # calls a second of a route whose limit is unknown
PACE_GROWTH_RATIO = 0.05  # growth a second, of the pace
PACE_BURST_SECONDS = 0.4  # of the pace that may be saved up
MAX_LEARNED_PACE = 4.0  # calls a second; above it a pace learned from refusals binds no longer
MAX_SAVED_CALLS = 2.0  # in large fleets, while no refusal has come
DELIVERY_RATE_SPAN = 20 * SECOND  # over which its deliveries are counted

NO_HISTORY = TextHistory()  # of a text that no earlier process had


class Call:
    """One call in flight at a host: its texts share one slot until each of them has an outcome."""

    def __init__(self, host: Host, sent_at: int) -> None:
        self.host, self.sent_at, self.text_count = host, sent_at, 0
        gap = 0 if host.calls else min(sent_at - host.last_used_at, host.max_call_gap)
        # How long the connection had been idle.
        self.idle_time = gap if host.has_idle_connection else 0
        # Smoothed time between calls.
        host.call_gap = (host.call_gap + gap) // 2


class PendingText:
    """A text that this relay has accepted and not given a final answer."""

    def __init__(self, text: Text, product: Product, history: TextHistory) -> None:
        self.text = text
        self.product = product
        self.submit_count = history.submit_count
        self.due_at = 0
        self.is_recovered = history is not NO_HISTORY
        self.key = text.key if product.in_order else 0
        # When and to which zone the first submit that may have run was sent.
        self.first_run_at = self.first_run_zone = None
        self.call = self.final_action = None  # its Call in flight, its final Action
        self.deadline = text.valid_until  # of sending: end of its validity period or of its retry window
        self.sla_deadline = text.valid_until - product.validity_period + product.sla_time
        self.record_possible_run(history.first_run_at, history.first_run_zone)

    def record_possible_run(self, at: int | None, zone: int | None) -> None:
        """A submit sent then to that zone may have run; None: none has. The first one counts."""
        if self.first_run_at is None and at is not None:
            self.first_run_at, self.first_run_zone = at, zone
            if self.product.effect is Effect.REFERENCED:
                self.deadline = min(self.deadline, at + self.product.retry_window)

    def may_nack(self) -> bool:
        """Whether a nack is true: submitting the text again elsewhere has no effect twice."""
        effect, retry_anywhere = self.product.effect, self.product.retry_anywhere
        return (
            self.first_run_at is None
            or effect is Effect.RESENDABLE
            or effect is Effect.REFERENCED
            and retry_anywhere
        )


class Route:
    """Hosts that share one limit: a whole destination, or one host where the kind has a limit for each host.

    Holds the window of calls, the pace (calls a second of this relay), the credit (calls saved up by the
    pace) and the schedule of trials in an outage."""

    def __init__(self, window: int) -> None:
        self.hosts, self.recent_durations = [], []
        self.window = window
        self.window_halved_at = -1
        self.call_count = 0
        self.usual_duration = INITIAL_CALL_DURATION
        self.duration_count = 0
        self.limit = self.pace = self.pace_growth = 0.0  # calls a second; 0: unknown, the pace unbounded
        self.credit = MAX_SAVED_CALLS
        self.credit_updated_at = NEVER  # NEVER: no time has been counted yet
        self.pace_cut_at = 0
        self.cut_count = 0
        # This relay's own calls and deliveries, counts that fade with time.
        self.recent_calls = 0.0
        self.recent_calls_at = 0
        self.recent_deliveries = 0.0
        self.last_delivery_at = 0
        self.wait_until = 0  # end of the wait that the host asked for
        # First refusal since the last delivery, and the end of the time for which calls are refused.
        self.refused_since = self.refused_until = NEVER
        self.refused_call_sent_at = -NEVER  # when the latest call that was refused had been sent
        # Its outage and trials.
        self.outage_since = 0
        self.trial_count = 0
        self.next_trial_at = 0
        self.trial_base_at = 0
        self.trial_spread_percent = 0

    def update_pace(self, now: int, relays: int) -> None:
        """Grow the pace and the credit by the time since the last update."""
        old_pace = self.pace
        elapsed = max(0, now - self.credit_updated_at) / SECOND
        self.credit_updated_at = now
        if self.limit:
            self.pace_growth = PACE_GROWTH_RATIO * (self.pace + self.limit / relays) / (1 + self.cut_count)
            self.pace = min(self.limit, self.pace + self.pace_growth * elapsed)
        else:
            self.grow_pace(PACE_GROWTH_RATIO * elapsed)
        max_credit = max(
            MAX_SAVED_CALLS if relays > SMALL_FLEET_SIZE and not self.cut_count else 1.0,
            self.pace * PACE_BURST_SECONDS,
        )
        self.credit = min(max_credit, self.credit + (old_pace + self.pace) / 2 * elapsed)

    def time_until_credit(self) -> int:
        """Time until the credit reaches one call, as the pace grows; 0 where it has.

        Without this wake-up the credit would be noticed only when the next text comes."""
        missing = max(0.0, 1.0 - self.credit) if self.pace else 0.0
        root = missing and sqrt(self.pace**2 + 2 * self.pace_growth * missing * (self.pace < self.limit))
        return 1 + int(2 * missing * SECOND / (self.pace + root)) if missing else 0

    def grow_pace(self, share: float) -> None:
        """Raise the pace by a share of itself, up to the limit.

        A pace learned from refusals alone is dropped (0) once it is more than a relay needs."""
        grown = self.pace * (1 + share)
        self.pace = min(self.limit, grown) if self.limit else grown if grown <= MAX_LEARNED_PACE else 0.0

    def total_rate(self, relays: int) -> float:
        """Calls a second that the route takes from all relays together.

        Where no limit is known: this relay's own deliveries times the number of relays."""
        return self.limit or max(
            INITIAL_RATE, relays * (self.recent_deliveries - 1) * SECOND / DELIVERY_RATE_SPAN
        )

    def learn_limit(self, rate: float | None, relays: int) -> None:
        """Take in a reported limit in calls a second; None or 0 where none was reported.

        In a large fleet each relay starts at its even part of the limit, and lowers its pace as the limit
        falls: refusals use up the limit for all relays."""
        if rate and rate > 0:
            is_large_fleet = relays > SMALL_FLEET_SIZE
            scale = rate / self.limit if is_large_fleet and self.limit else 1.0
            self.limit, self.pace = rate, self.pace * scale or (rate / relays if is_large_fleet else rate)

    def record_refusal(self, now: int, retry_after: int) -> int:
        """Take in a refusal; returns for how long all calls are refused, a wait asked for now included."""
        if self.refused_since == NEVER or now - self.refused_until > REFUSAL_GAP:
            self.refused_since = now
        self.refused_until = now + retry_after
        return self.refused_until - self.refused_since

    def record_duration(self, duration: int) -> bool:
        """Update the usual duration of calls; True when the recent calls took twice as long as usual."""
        self.duration_count += 1
        step = (
            abs(duration - self.usual_duration) // self.duration_count
            if self.duration_count <= 8
            else self.usual_duration >> 6
        )
        self.usual_duration += step if duration > self.usual_duration else -step
        self.recent_durations = self.recent_durations[1 - RECENT_CALL_COUNT :] + [duration]
        is_slow = (
            len(self.recent_durations) == RECENT_CALL_COUNT
            and sorted(self.recent_durations)[RECENT_CALL_COUNT // 2] > 2 * self.usual_duration
        )
        self.recent_durations = [] if is_slow else self.recent_durations
        return is_slow


class Host:
    """One host of a destination: its health, its warm-up and its connections."""

    def __init__(self, entry: HostEntry, destination: Destination, route: Route, max_idle_time: int) -> None:
        self.id, self.zone, self.kind, self.listing = entry.host, entry.zone, entry.kind, entry.listing
        self.destination = destination
        self.route = route
        self.calls = []
        self.failure_share = 0.0
        self.in_outage = False
        self.warm_up_credit = 0.0
        self.warm_up_updated_at = 0
        self.recovered_at = None
        self.last_success_at = -RECENT_SUCCESS_TIME
        # Smoothed time between calls, and its bound: hosts keep connections idle for no longer.
        self.call_gap = self.max_call_gap = max_idle_time
        self.sibling_news_at = -1  # when the other process of an upgrade last found its health
        self.has_idle_connection = False
        self.failing_products = {}  # when each product last failed here
        self.last_used_at = 0

    def is_overdue(self, now: int) -> bool:
        """Whether a call has been in flight for too long with no success since it was sent.

        Such a host gets one more call only after each such span, so that it can't take up all slots."""
        return bool(self.calls) and self.last_success_at < self.calls[0].sent_at < now - self.overdue_after()

    def overdue_after(self) -> int:
        """Time after which a call in flight makes its host suspect."""
        return max(MIN_OVERDUE_TIME, OVERDUE_DURATION_RATIO * self.route.usual_duration)


class Destination:
    """One outside receiver: its token bucket, its hosts, and the texts that wait for it."""

    def __init__(self) -> None:
        self.tokens = TOKEN_BUCKET_SIZE
        self.call_count = 0
        self.shared_route = None
        self.check_at = 0
        self.idle_since = 0
        self.outage_text_count = 0
        self.waiting: dict[TextId, PendingText] = {}  # its texts that are in no call
        self.hosts: list[Host] = []
