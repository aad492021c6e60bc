"""The rule checker: checks the record of a run, from any stage, against the six rules.

It uses nothing but the record: the states of texts, hosts and waits are derived from its events. Each breach
names its text or route, its time, and the events that led to it.

The stage sets allowances in ticks (`Head.allowances`). `limit` is added to every time limit, since on sockets
relay and emulator may see events in different orders. Calls that arrive within `wait` of the answer that
asked for a wait are no breach. `restart` is the time after a relay is ready again during which none of its
notices is overdue. `answer` is how long after a text's validity period its end may be recorded. With
`arrival`, calls count from their arrival at the host, and answers from when they are written. The fleet
stage needs none.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from limelatch.configuration.model import RepeatScope
from limelatch.configuration.units import write_span
from limelatch.interface import Effect
from limelatch.lab import record as rec
from limelatch.lab.record import Answer, Condition, Fate, TextId
from limelatch.lab.scenario.model import ProductKeys, Scenario

ANSWER_SLACK = 200  # ticks after a text's validity period within which its final answer is not overdue
MAX_TRAIL = 24  # events kept of a text, a key or a route
INFORMED_SHARE = 2 / 3  # of an overload: if relays that knew of the outage sent this share, it is a breach
MAX_REPORTED_BREACHES = 200  # further breaches are only counted
ENDED_DURING_UPGRADE = "a process ended beside another"  # in an upgrade: the relay keeps running
WAIT_HANDOVER_TIME = (
    2000  # ticks before the end of a process within which a wait may not have reached the other one
)
TEXT_RETENTION = 600_000  # ticks after its validity period for which a text and its effects are remembered


class Rule(Enum):
    """The six rules that every run must keep; breaches are reported under these values."""

    LOST = "no text lost, one final answer"
    TWICE = "no effect twice"
    DRAINS = "drains kept"
    PUSHED = "no returning partner pushed over"
    ORDER = "order kept"
    WAITS = "waits heeded"


@dataclass(frozen=True)
class Breach:
    """One breach: `subject` is the text, key, host or route, `trail` the events that led to it."""

    rule: Rule
    at: int
    subject: str
    message: str
    trail: list[str]

    def lines(self) -> Iterator[str]:
        """Yields the breach as lines of text, its trail indented."""
        yield f"{write_span(self.at)}: {self.rule.value}: {self.subject}: {self.message}"
        yield from (f"    {line}" for line in self.trail)


@dataclass(slots=True, eq=False)
class TextState:
    """The state of one submission of a text."""

    submission: rec.Submitted
    accepted_at: int | None = None
    end: str = ""  # delivered, nacked, undeliverable, lost, answered at once; empty until its end
    end_at: int = 0
    first_sent_at: int | None = None  # when the first call that may have run was sent, and to which zone
    first_sent_floor: int | None = None
    may_have_run: bool = False  # it was processed, or its call ended without a clear answer
    open_call: int | None = None  # the call that is in progress
    unacknowledged: bool = False  # its client got no answer and submitted it again: its effects do not count
    trail: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_TRAIL))


@dataclass(slots=True, eq=False)
class CallState:
    """A call, and whether it has ended for its relay."""

    called: rec.Called
    answered: bool = False


@dataclass(slots=True, eq=False)
class RouteState:
    """The outages of a route, and which relays know of them."""

    hosts_out: set[int] = field(default_factory=set)  # hosts in an outage
    informed_relays: set[int] = field(default_factory=set)
    trail: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_TRAIL))


@dataclass(slots=True, eq=False)
class RelayState:
    """Whether a relay runs, and what it was told by the catalog and by hosts."""

    up: bool = True
    grace_until: int = 0  # no notice is overdue before this time
    delisted_at: dict[int, int] = field(
        default_factory=dict
    )  # host -> when its draining or removal was received
    waits: dict[int, tuple[int, int]] = field(default_factory=dict)  # route -> begin and end of the wait


class Checker:
    """Checks the events of a record in their order and collects `breaches`."""

    def __init__(self, head: rec.Head) -> None:
        self.scenario = msgspec.convert(head.scenario, Scenario)
        self.products: list[ProductKeys] = self.scenario.products
        allow = head.allowances
        self.limit, self.wait_allowance = allow.get("limit", 0), allow.get("wait", 0)
        self.restart, self.answer_allowance = allow.get("restart", 0), allow.get("answer", ANSWER_SLACK)
        self.by_arrival = bool(allow.get("arrival", 0))
        self.breaches: list[Breach] = []
        self.counts: dict[Rule, int] = dict.fromkeys(Rule, 0)
        self.texts: dict[TextId, TextState] = {}
        self.calls: dict[int, CallState] = {}
        self.hosts: dict[int, rec.Host] = {}
        self.routes: dict[int, RouteState] = {}
        self.relays: dict[int, RelayState] = {}
        self.queues: dict[
            tuple[int, TextId], list[TextId]
        ] = {}  # relay and key -> unfinished texts, in order
        self.cooldowns: dict[
            tuple[int, TextId], tuple[int, TextId]
        ] = {}  # relay and key -> end of the cooldown, and the text exempt from it
        self.effects: dict[
            TextId, list[tuple[int, int, TextId]]
        ] = {}  # first submission -> time, host and text of each effect
        self.due: list[tuple[int, int, TextId]] = []
        self.repeat_effects = 0  # effects beyond a text's first, whether allowed or not
        self.in_transit: list[
            tuple[int, int, rec.Responded]
        ] = []  # answers that have not reached their relay yet
        self.early_give_ups: dict[int, rec.GaveUp] = {}  # calls given up before they arrived at the host
        self.tentative: list[tuple[int, int, int, tuple]] = []  # breaches, unless the call ends by then
        self.expiries: deque[tuple[int, TextId]] = deque()
        self.finished_count = 0  # texts with a final answer
        self._count = 0

    # Reporting.

    def breach(self, rule: Rule, at: int, subject: str, message: str, trail: Iterable[str]) -> None:
        """Counts a breach, and keeps it while there are few."""
        self.counts[rule] += 1
        if len(self.breaches) < MAX_REPORTED_BREACHES:
            self.breaches.append(Breach(rule, at, subject, message, list(trail)))

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.counts.values())

    def _trail(self, text: TextState, at: int, message: str) -> None:
        text.trail.append(f"{write_span(at)} {message}")

    def _name(self, host: int) -> str:
        return self.hosts[host].name if host in self.hosts else f"host {host}"

    def relay(self, number: int) -> RelayState:
        """Returns the state of a relay, which is created on first use."""
        found = self.relays.get(number)
        if found is None:
            found = self.relays[number] = RelayState()
        return found

    # Events of texts and calls.

    def take(self, event: rec.AnyEvent) -> None:
        """Checks the next event."""
        while self.in_transit and self.in_transit[0][0] < event.at:
            self._answer_received(heapq.heappop(self.in_transit)[2])
        self._check_deadlines(event.at)
        handler = HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)

    def _check_deadlines(self, now: int) -> None:
        """Reports texts without a final answer in time, and tentative breaches whose call has not ended."""
        while self.tentative and self.tentative[0][0] < now:
            _, _, call, (at, text, rule, message) = heapq.heappop(self.tentative)
            if call not in self.calls or not self.calls[call].answered:
                self.breach(rule, at, f"text {text.submission.text}", message, text.trail)
        while self.due and self.due[0][0] < now:
            due, _, name = heapq.heappop(self.due)
            text = self.texts.get(name)
            if text is None or text.end:
                continue
            relay = self.relay(text.submission.relay)
            if not relay.up or relay.grace_until > due:
                later = max(relay.grace_until, now) + (0 if relay.up else self.scenario.scenario.settle)
                self._schedule_deadline(later, name)  # its relay is down or has just restarted
                continue
            self.breach(
                Rule.LOST, due, f"text {name}", "no final answer within its validity period", text.trail
            )
            self._finish(text, "lost", due)
        while self.expiries and self.expiries[0][0] < now:
            name = self.expiries.popleft()[1]
            text = self.texts.pop(name, None)
            if text is not None:
                self.effects.pop(text.submission.first, None)

    def _schedule_deadline(self, due: int, name: TextId) -> None:
        self._count += 1
        heapq.heappush(self.due, (due, self._count, name))

    def submitted(self, event: rec.Submitted) -> None:
        """A client submitted a text."""
        self.texts[event.text] = text = TextState(event)
        self._trail(text, event.at, f"submitted at relay {event.relay}, try {event.again + 1}")

    def answered(self, event: rec.Answered) -> None:
        """A client received its answer, or none."""
        text = self.texts.get(event.text)
        if text is None:
            return
        self._trail(text, event.at, f"answered {Answer(event.answer).name.lower()}")
        if event.answer == Answer.TAKEN:
            text.accepted_at = event.at
            if text.end:  # another process recorded its end before its client read the answer
                return
            submission = text.submission
            self._schedule_deadline(submission.valid_until + self.answer_allowance + self.limit, event.text)
            if self.products[submission.product].in_order and submission.key:
                self.queues.setdefault((submission.relay, submission.key), []).append(event.text)
            return
        text.unacknowledged = event.answer in (Answer.SILENT, Answer.LOST)
        if event.answer == Answer.BUSY:
            self._nacked(text, event.at)
        if text.unacknowledged:  # the relay may have accepted it: only a final answer ends it
            self.expiries.append((text.submission.valid_until + TEXT_RETENTION, event.text))
        elif text.accepted_at is None:
            self._finish(text, "answered at once", event.at)

    def called(self, event: rec.Called) -> None:
        """A call arrived at a host."""
        relay, host = self.relay(event.relay), self.hosts.get(event.host)
        self.calls[event.call] = CallState(event)
        sent, route = event.at if self.by_arrival else event.sent, host.route if host else -1
        drained = relay.delisted_at.get(event.host)
        if drained is not None and sent > drained + self.scenario.rules.drain_grace + self.limit:
            self.breach(
                Rule.DRAINS,
                event.at,
                self._name(event.host),
                f"relay {event.relay} sent to it {write_span(sent - drained)} after the list showed it "
                f"as "
                f"draining or removed",
                self._joined_trails(event.texts),
            )
        begin, until = relay.waits.get(route, (0, 0))
        if begin + self.wait_allowance < sent < until:
            self.breach(
                Rule.WAITS,
                event.at,
                self._name(event.host),
                f"relay {event.relay} sent {write_span(until - sent)} before the end of a wait that "
                f"it "
                f"was asked for {write_span(sent - begin)} earlier",
                self._joined_trails(event.texts),
            )
        for name in event.texts:
            text = self.texts.get(name)
            if text is None:
                self.breach(Rule.LOST, event.at, f"text {name}", "no client submitted it", [])
                continue
            self._trail(text, event.at, f"called at {self._name(event.host)} by relay {event.relay}")
            self._check_call(event, text, name, host, sent)
            text.open_call = event.call
            if text.first_sent_at is None:
                text.first_sent_at, text.first_sent_floor = event.sent, host.floor if host else -1
        if (give_up := self.early_give_ups.pop(event.call, None)) is not None:
            self.gave_up(give_up)

    def _check_call(
        self, event: rec.Called, text: TextState, name: TextId, host: rec.Host | None, sent: int
    ) -> None:
        product, subject = self.products[text.submission.product], f"text {name}"
        repeats = text.end == "delivered" and self.by_arrival and product.effect is not Effect.ONCE_ONLY
        if text.end and not repeats and sent > text.end_at + self.limit:
            self.breach(Rule.LOST, event.at, subject, f"sent after its end ({text.end})", text.trail)
        if host is not None and host.destination != text.submission.destination:
            self.breach(Rule.LOST, event.at, subject, "sent to another destination", text.trail)
        if text.open_call is not None:
            self._breach_unless_ended(
                event.at,
                text,
                text.open_call,
                Rule.TWICE,
                "a second call began while the first was in progress",
            )
        if text.first_sent_at is not None:
            if product.effect is Effect.ONCE_ONLY:
                self.breach(
                    Rule.TWICE,
                    event.at,
                    subject,
                    "sent again although an earlier call may have run",
                    text.trail,
                )
            elif product.effect is Effect.REFERENCED:
                elsewhere = (
                    product.repeat_known is RepeatScope.FLOOR and host and host.floor != text.first_sent_floor
                )
                late = sent - text.first_sent_at - product.repeat_window - self.limit
                if elsewhere or late > 0:
                    why = "to another zone" if elsewhere else f"{write_span(late)} after its repeat window"
                    self.breach(Rule.TWICE, event.at, subject, f"sent again {why}", text.trail)
        if product.in_order and text.submission.key:
            self._check_order(event, text, name, sent)

    def _check_order(self, event: rec.Called, text: TextState, name: TextId, sent: int) -> None:
        key = (text.submission.relay, text.submission.key)
        for earlier in self.queues.get(key, []):
            if earlier == name or self.texts[earlier].submission.at > text.submission.at:
                break  # a text without an answer is in no queue: its order is that of submission
            self.breach(
                Rule.ORDER,
                event.at,
                f"key {text.submission.key}",
                f"text {name} was sent while the earlier text {earlier} was unfinished",
                [*self.texts[earlier].trail, *text.trail],
            )
            break
        until, exempt_text = self.cooldowns.get(key, (0, name))
        if exempt_text != name and sent < until - self.limit:
            self.breach(
                Rule.ORDER,
                event.at,
                f"key {text.submission.key}",
                f"text {name} was sent {write_span(until - sent)} before the key's cooldown after text "
                f"{exempt_text} ended",
                [*(self.texts[exempt_text].trail if exempt_text in self.texts else ()), *text.trail],
            )

    def _breach_unless_ended(self, at: int, text: TextState, call: int, rule: Rule, message: str) -> None:
        """Reports a breach unless the call ends within the allowance.

        The end of a call and the relay's next action reach the emulator on different connections.
        """
        if self.limit:
            self._count += 1
            heapq.heappush(self.tentative, (at + self.limit, self._count, call, (at, text, rule, message)))
        else:
            self.breach(rule, at, f"text {text.submission.text}", message, text.trail)

    def _joined_trails(self, names: list[TextId]) -> list[str]:
        return [line for name in names if name in self.texts for line in self.texts[name].trail]

    def responded(self, event: rec.Responded) -> None:
        """A host answered; the answer counts from its arrival at the relay, if that still waits for it."""
        if event.heard > event.at:
            self._count += 1
            heapq.heappush(self.in_transit, (event.heard, self._count, event))
        else:
            self._answer_received(event)

    def _answer_received(self, event: rec.Responded) -> None:
        call = self.calls.get(event.call)
        if call is None or call.answered:
            return
        call.answered = True
        called = call.called
        answered_at = event.at if self.by_arrival else event.heard
        if event.wait and called.host in self.hosts:
            waits = self.relay(called.relay).waits
            route = self.hosts[called.host].route
            if answered_at + event.wait > waits.get(route, (0, 0))[1]:
                waits[route] = (answered_at, answered_at + event.wait)
        for name, fate in zip(called.texts, event.fates, strict=True):
            text = self.texts.get(name)
            if text is None:
                continue
            self._trail(
                text,
                event.at,
                f"{Fate(fate).name.lower()} at {self._name(called.host)}"
                + (f", wait {write_span(event.wait)}" if event.wait else ""),
            )
            if text.open_call == event.call:
                text.open_call = None
            if fate in rec.NEVER_RAN:
                if not text.may_have_run:
                    text.first_sent_at = text.first_sent_floor = None
                continue
            text.may_have_run = True
            if fate == Fate.DELIVERED:
                if not text.end:
                    self._finish(text, "delivered", answered_at)
            elif fate != Fate.FAILED:  # after an error answer nothing runs any more
                self._start_cooldown(text, name, answered_at)

    def gave_up(self, event: rec.GaveUp) -> None:
        """A relay stopped waiting for a call's answer."""
        call = self.calls.get(event.call)
        if call is None:
            self.early_give_ups[event.call] = event
            return
        if call.answered:
            return
        call.answered = True
        for name in call.called.texts:
            text = self.texts.get(name)
            if text is not None:
                self._trail(text, event.at, "given up by its relay")
                text.may_have_run = True
                if text.open_call == event.call:
                    text.open_call = None
                self._start_cooldown(text, name, event.at)

    def _start_cooldown(self, text: TextState, name: TextId, now: int) -> None:
        """Starts the cooldown of the key of a text that may still be running; the text itself is exempt."""
        if self.products[text.submission.product].in_order and text.submission.key:
            until = now + self.scenario.rules.key_rest
            self.cooldowns[(text.submission.relay, text.submission.key)] = (until, name)

    def ran(self, event: rec.EffectTaken) -> None:
        """A text was processed at a host."""
        text = self.texts.get(event.text)
        if text is None or event.known or text.unacknowledged:
            return
        self._trail(text, event.at, f"takes effect at {self._name(event.host)}")
        product = self.products[text.submission.product]
        if product.effect is Effect.RESENDABLE:
            return
        effects = self.effects.setdefault(event.first, [])
        effects[:] = [
            each for each in effects if not (each[2] in self.texts and self.texts[each[2]].unacknowledged)
        ]
        if effects:
            self.repeat_effects += 1
            if product.effect is Effect.ONCE_ONLY:
                trail = [
                    line for _, _, other in effects if other in self.texts for line in self.texts[other].trail
                ]
                self.breach(
                    Rule.TWICE,
                    event.at,
                    f"text {event.text}",
                    "took effect a second time",
                    [*trail, *text.trail],
                )
        effects.append((event.at, event.host, event.text))

    def noticed(self, event: rec.NoticeAnswered) -> None:
        """The platform acknowledged a notice."""
        text = self.texts.get(event.text)
        if text is None:
            self.breach(
                Rule.LOST, event.at, f"text {event.text}", "a notice of a text that no client submitted", []
            )
            return
        what = "nacked" if event.nacked else "undeliverable"
        self._trail(text, event.at, f"{what}, by a notice of relay {event.relay}")
        if event.nacked:
            self._nacked(text, event.at)
        if text.open_call is not None and not text.end:
            self._breach_unless_ended(
                event.at, text, text.open_call, Rule.LOST, "ended while a call of it is in progress"
            )
        if not text.end:
            self._finish(text, what, event.at)

    def _nacked(self, text: TextState, at: int) -> None:
        product = self.products[text.submission.product]
        unsafe = product.effect is Effect.ONCE_ONLY or (
            product.effect is Effect.REFERENCED and product.repeat_known is RepeatScope.FLOOR
        )
        if text.first_sent_at is not None and unsafe and not text.end:
            self.breach(
                Rule.TWICE,
                at,
                f"text {text.submission.text}",
                "nacked, so that the client may submit it again, although a call of it may have run",
                text.trail,
            )

    def _finish(self, text: TextState, end: str, at: int) -> None:
        text.end, text.end_at = end, at
        self.finished_count += 1
        key = (text.submission.relay, text.submission.key)
        if (line := self.queues.get(key)) and text.submission.text in line:
            line.remove(text.submission.text)
            if not line:
                del self.queues[key]
        self.expiries.append((max(at, text.submission.valid_until) + TEXT_RETENTION, text.submission.text))

    # Hosts and relays.

    def host(self, event: rec.Host) -> None:
        """A host was added."""
        self.hosts[event.host] = event
        self.routes.setdefault(event.route, RouteState())

    def listing_received(self, event: rec.ListingReceived) -> None:
        """A relay received a host's state in the list."""
        delisted_at = self.relay(event.relay).delisted_at
        if event.listing == 0:
            delisted_at.pop(event.host, None)
        else:
            delisted_at.setdefault(event.host, event.at)

    def condition_changed(self, event: rec.ConditionChanged) -> None:
        """A host's condition changed."""
        host = self.hosts.get(event.host)
        if host is None:
            return
        route = self.routes[host.route]
        route.trail.append(f"{write_span(event.at)} {host.name} is {Condition(event.condition).name.lower()}")
        if event.condition == Condition.OUT:
            if not route.hosts_out:
                route.informed_relays = set()
            route.hosts_out.add(event.host)
        else:
            route.hosts_out.discard(event.host)

    def call_failed(self, event: rec.CallFailed) -> None:
        """A call of a relay failed: if the route has an outage, the relay knows of it now."""
        host = self.hosts.get(event.host)
        if host is not None and self.routes[host.route].hosts_out:
            self.routes[host.route].informed_relays.add(event.relay)

    def route_overloaded(self, event: rec.RouteOverloaded) -> None:
        """A cold route went down by overload."""
        route = self.routes[event.route]
        total = sum(event.load.values())
        informed_count = sum(count for relay, count in event.load.items() if relay in route.informed_relays)
        hosts = ", ".join(host.name for host in self.hosts.values() if host.route == event.route)
        message = (
            f"work of {total:g} texts with a limit of {event.max_load:.1f}; {informed_count:g} of them from "
            f"relays that knew of the outage ({shares(event.load, route.informed_relays)})"
        )
        if informed_count >= INFORMED_SHARE * total:
            self.breach(Rule.PUSHED, event.at, f"route {event.route} ({hosts})", message, route.trail)
        else:
            route.trail.append(f"{write_span(event.at)} overloaded by relays that did not know: {message}")

    def relay_event(self, event: rec.Relay) -> None:
        """A relay started or stopped."""
        relay = self.relay(event.relay)
        if event.what == "ready":
            relay.up, relay.grace_until = True, event.at + self.restart
        elif event.what == "stopping":
            relay.grace_until = event.at + self.scenario.scenario.settle
        elif event.what == ENDED_DURING_UPGRADE:
            relay.waits = {
                route: (begin, until)
                for route, (begin, until) in relay.waits.items()
                if begin <= event.at - WAIT_HANDOVER_TIME
            }
        elif event.what in ("killed", "ended", "wiped"):
            relay.up = False
            relay.waits.clear()
            if event.what == "wiped":
                self._wiped(event)

    def _wiped(self, event: rec.Relay) -> None:
        """Ends the texts of a relay that has lost its state directory: it need not answer them."""
        for text in self.texts.values():
            if text.submission.relay == event.relay and text.accepted_at is not None and not text.end:
                self._trail(text, event.at, "its relay lost its state directory")
                text.open_call = None
                self._finish(text, "lost with its machine", event.at)

    def run_ended(self, event: rec.RunEnded) -> None:
        """The run ended: every text past its validity period must have its final answer."""
        while self.in_transit:
            self._answer_received(heapq.heappop(self.in_transit)[2])
        if event.whole:
            self._check_deadlines(event.at + 1)

    def check_all(self, events: Iterable[rec.AnyEvent]) -> Checker:
        """Checks all events and returns itself."""
        for event in events:
            self.take(event)
        return self


HANDLERS = {
    rec.Submitted: Checker.submitted,
    rec.Answered: Checker.answered,
    rec.Called: Checker.called,
    rec.Responded: Checker.responded,
    rec.GaveUp: Checker.gave_up,
    rec.EffectTaken: Checker.ran,
    rec.NoticeAnswered: Checker.noticed,
    rec.Host: Checker.host,
    rec.ListingReceived: Checker.listing_received,
    rec.ConditionChanged: Checker.condition_changed,
    rec.CallFailed: Checker.call_failed,
    rec.RouteOverloaded: Checker.route_overloaded,
    rec.Relay: Checker.relay_event,
    rec.RunEnded: Checker.run_ended,
}


def shares(load: dict[int, float], informed_relays: set[int]) -> str:
    """Returns the five relays with the largest load, largest first."""
    largest = sorted(load.items(), key=lambda each: (-each[1], each[0]))[:5]
    return ", ".join(
        f"relay {relay}: {work:g}{' (knew)' if relay in informed_relays else ''}" for relay, work in largest
    )


def check(source) -> Checker:
    """Checks the record in a file. Raises RecordError if it is no record."""
    reader = rec.Reader(source)
    return Checker(reader.head).check_all(reader)
