"""The rule checker: reads any record, from any stage, and judges the six rules and the final answers.

It knows nothing of how a run came about: what it believes of texts, hosts and waits comes from the record
alone. Each breach names its text or route, its time, and the events that led to it.

Allowances are the stage's (`Head.allowances`, in ticks): `limit` is added to every time limit, since relay
and emulator see one event in two orders on sockets; calls that arrive within `wait` of a told wait are let
through; `restart` is the time after a relay is ready again until which no notice of its is overdue; `answer`
is how long after a text's time is up its end is still in time; with `arrival`, sends count from when they
are at the host, and answers from when they are written. The fleet stage needs none.
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

ANSWER_SLACK = 200  # ticks after a text's time is up in which its final answer is still in time
TRAIL_MOST = 24  # events kept of a text, a key or a route
KNOWING_SHARE = 2 / 3  # of the load that pushed a route over, from relays that knew of its outage
ENOUGH = 200  # breaches that are told whole; further ones are counted
ENDED_BESIDE = "a process ended beside another"  # in an upgrade: the relay goes on
UNREAD = 2000  # ticks before that within which a wait was told to a process that may not have passed it on
FORGET = 600_000  # ticks after its time for which a text's effects are remembered


class Rule(Enum):
    """The six rules, and what a record must be to be judged."""

    LOST = "no text lost, one final answer"
    TWICE = "no effect twice"
    DRAINS = "drains kept"
    PUSHED = "no returning partner pushed over"
    ORDER = "order kept"
    WAITS = "waits heeded"


@dataclass(frozen=True)
class Breach:
    """One breach: `subject` is the text, the key or the route, `trail` what led to it."""

    rule: Rule
    at: int
    subject: str
    words: str
    trail: list[str]

    def lines(self) -> Iterator[str]:
        yield f"{write_span(self.at)}: {self.rule.value}: {self.subject}: {self.words}"
        yield from (f"    {line}" for line in self.trail)


@dataclass(slots=True, eq=False)
class TextState:
    """One handing in of a text."""

    handed: rec.Handed
    taken_at: int | None = None
    end: str = ""  # delivered, nacked, undeliverable, answered at once
    end_at: int = 0
    ran_at: int | None = None  # when and where the first call was sent that may have run
    ran_floor: int | None = None
    ran_sure: bool = False  # it has taken effect, or nobody knows any better
    out: int | None = None  # the call that is out
    lost: bool = False  # its client heard no answer and came again: this one counts for nothing
    trail: deque[str] = field(default_factory=lambda: deque(maxlen=TRAIL_MOST))


@dataclass(slots=True, eq=False)
class CallState:
    called: rec.Called
    answered: bool = False


@dataclass(slots=True, eq=False)
class RouteState:
    """What is known of a route: its outages, and which relays learned of them."""

    out: set[int] = field(default_factory=set)  # hosts that are out
    knowing: set[int] = field(default_factory=set)
    trail: deque[str] = field(default_factory=lambda: deque(maxlen=TRAIL_MOST))


@dataclass(slots=True, eq=False)
class RelayState:
    """A relay's starts and stops."""

    up: bool = True
    excuse_until: int = 0  # no notice is overdue before
    told: dict[int, int] = field(default_factory=dict)  # host -> when it was told to drain or go
    waits: dict[int, tuple[int, int]] = field(default_factory=dict)  # route -> from when until when


class Checker:
    """Takes the events of a record in their order; `breaches` holds what it found."""

    def __init__(self, head: rec.Head) -> None:
        self.scenario = msgspec.convert(head.scenario, Scenario)
        self.products: list[ProductKeys] = self.scenario.products
        allow = head.allowances
        self.limit, self.wait_allow = allow.get("limit", 0), allow.get("wait", 0)
        self.restart, self.answer_slack = allow.get("restart", 0), allow.get("answer", ANSWER_SLACK)
        self.by_arrival = bool(allow.get("arrival", 0))
        self.breaches: list[Breach] = []
        self.counts: dict[Rule, int] = dict.fromkeys(Rule, 0)
        self.texts: dict[TextId, TextState] = {}
        self.calls: dict[int, CallState] = {}
        self.hosts: dict[int, rec.Host] = {}
        self.routes: dict[int, RouteState] = {}
        self.relays: dict[int, RelayState] = {}
        self.lines: dict[tuple[int, TextId], list[TextId]] = {}  # relay and key -> texts not over, in order
        self.rests: dict[
            tuple[int, TextId], tuple[int, TextId]
        ] = {}  # until when a key rests, and for whom not
        self.effects: dict[
            TextId, list[tuple[int, int, TextId]]
        ] = {}  # once-only: first -> when, where, which
        self.due: list[tuple[int, int, TextId]] = []
        self.doubles = 0  # effects beyond a text's first, within the rules or not
        self.coming: list[tuple[int, int, rec.Responded]] = []  # answers on their way to a relay
        self.given_up: dict[int, rec.GaveUp] = {}  # calls that their relay gave up while on their way
        self.doubtful: list[tuple[int, int, int, tuple]] = []  # breaches unless a call is over by then
        self.forget: deque[tuple[int, TextId]] = deque()
        self.judged = 0  # texts with a final answer
        self._count = 0

    # Telling.

    def breach(self, rule: Rule, at: int, subject: str, words: str, trail: Iterable[str]) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < ENOUGH:
            self.breaches.append(Breach(rule, at, subject, words, list(trail)))

    @property
    def kept(self) -> bool:
        return not any(self.counts.values())

    def _trail(self, text: TextState, at: int, words: str) -> None:
        text.trail.append(f"{write_span(at)} {words}")

    def _name(self, host: int) -> str:
        return self.hosts[host].name if host in self.hosts else f"host {host}"

    def relay(self, number: int) -> RelayState:
        found = self.relays.get(number)
        if found is None:
            found = self.relays[number] = RelayState()
        return found

    # Taking events.

    def take(self, event: rec.Any_) -> None:
        """The next event."""
        while self.coming and self.coming[0][0] < event.at:
            self._heard(heapq.heappop(self.coming)[2])
        self._overdue(event.at)
        handler = HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)

    def _overdue(self, now: int) -> None:
        """Texts whose time is up without a final answer, and what waited for a call's end in vain."""
        while self.doubtful and self.doubtful[0][0] < now:
            _, _, call, (at, text, rule, words) = heapq.heappop(self.doubtful)
            if call not in self.calls or not self.calls[call].answered:
                self.breach(rule, at, f"text {text.handed.text}", words, text.trail)
        while self.due and self.due[0][0] < now:
            due, _, name = heapq.heappop(self.due)
            text = self.texts.get(name)
            if text is None or text.end:
                continue
            relay = self.relay(text.handed.relay)
            if not relay.up or relay.excuse_until > due:
                later = max(relay.excuse_until, now) + (0 if relay.up else self.scenario.scenario.settle)
                self._at(later, name)  # its relay is down, or just back
                continue
            self.breach(
                Rule.LOST, due, f"text {name}", "its time is up, and it has no final answer", text.trail
            )
            self._over(text, "lost", due)
        while self.forget and self.forget[0][0] < now:
            name = self.forget.popleft()[1]
            text = self.texts.pop(name, None)
            if text is not None:
                self.effects.pop(text.handed.first, None)

    def _at(self, due: int, name: TextId) -> None:
        self._count += 1
        heapq.heappush(self.due, (due, self._count, name))

    def handed(self, event: rec.Handed) -> None:
        self.texts[event.text] = text = TextState(event)
        self._trail(text, event.at, f"handed in at relay {event.relay}, try {event.again + 1}")

    def answered(self, event: rec.Answered) -> None:
        text = self.texts.get(event.text)
        if text is None:
            return
        self._trail(text, event.at, f"answered {Answer(event.answer).name.lower()}")
        if event.answer == Answer.TAKEN:
            text.taken_at = event.at
            if text.end:  # its client read the answer after another process had recorded its end
                return
            handed = text.handed
            self._at(handed.valid_until + self.answer_slack + self.limit, event.text)
            if self.products[handed.product].in_order and handed.key:
                self.lines.setdefault((handed.relay, handed.key), []).append(event.text)
            return
        text.lost = event.answer in (Answer.SILENT, Answer.LOST)
        if event.answer == Answer.BUSY:
            self._nacked(text, event.at)
        if text.lost:  # the relay may have taken it on all the same: only an end of its own ends it
            self.forget.append((text.handed.valid_until + FORGET, event.text))
        elif text.taken_at is None:
            self._over(text, "answered at once", event.at)

    def called(self, event: rec.Called) -> None:
        relay, host = self.relay(event.relay), self.hosts.get(event.host)
        self.calls[event.call] = CallState(event)
        sent, route = event.at if self.by_arrival else event.sent, host.route if host else -1
        drained = relay.told.get(event.host)
        if drained is not None and sent > drained + self.scenario.rules.drain_grace + self.limit:
            self.breach(
                Rule.DRAINS,
                event.at,
                self._name(event.host),
                f"relay {event.relay} sent to it {write_span(sent - drained)} after it was told "
                f"that it "
                f"drains or is gone",
                self._trails(event.texts),
            )
        begin, until = relay.waits.get(route, (0, 0))
        if begin + self.wait_allow < sent < until:
            self.breach(
                Rule.WAITS,
                event.at,
                self._name(event.host),
                f"relay {event.relay} sent {write_span(until - sent)} before the end of a wait that "
                f"it "
                f"was told {write_span(sent - begin)} before",
                self._trails(event.texts),
            )
        for name in event.texts:
            text = self.texts.get(name)
            if text is None:
                self.breach(Rule.LOST, event.at, f"text {name}", "nobody handed it in", [])
                continue
            self._trail(text, event.at, f"called at {self._name(event.host)} by relay {event.relay}")
            self._check_call(event, text, name, host, sent)
            text.out = event.call
            if text.ran_at is None:
                text.ran_at, text.ran_floor = event.sent, host.floor if host else -1
        if (given_up := self.given_up.pop(event.call, None)) is not None:
            self.gave_up(given_up)

    def _check_call(
        self, event: rec.Called, text: TextState, name: TextId, host: rec.Host | None, sent: int
    ) -> None:
        product, subject = self.products[text.handed.product], f"text {name}"
        repeats = text.end == "delivered" and self.by_arrival and product.effect is not Effect.ONCE_ONLY
        if text.end and not repeats and sent > text.end_at + self.limit:
            self.breach(Rule.LOST, event.at, subject, f"sent after its end ({text.end})", text.trail)
        if host is not None and host.destination != text.handed.destination:
            self.breach(Rule.LOST, event.at, subject, "sent to another destination", text.trail)
        if text.out is not None:
            self._unless_gone(event.at, text, text.out, Rule.TWICE, "a second call is out beside the first")
        if text.ran_at is not None:
            if product.effect is Effect.ONCE_ONLY:
                self.breach(
                    Rule.TWICE,
                    event.at,
                    subject,
                    "sent again though an earlier call may have run",
                    text.trail,
                )
            elif product.effect is Effect.REFERENCED:
                elsewhere = (
                    product.repeat_known is RepeatScope.FLOOR and host and host.floor != text.ran_floor
                )
                late = sent - text.ran_at - product.repeat_window - self.limit
                if elsewhere or late > 0:
                    why = "on another floor" if elsewhere else f"{write_span(late)} after its repeat window"
                    self.breach(Rule.TWICE, event.at, subject, f"sent again {why}", text.trail)
        if product.in_order and text.handed.key:
            self._check_order(event, text, name, sent)

    def _check_order(self, event: rec.Called, text: TextState, name: TextId, sent: int) -> None:
        key = (text.handed.relay, text.handed.key)
        for earlier in self.lines.get(key, []):
            if earlier == name or self.texts[earlier].handed.at > text.handed.at:
                break  # one whose client heard no answer is in no line, and its turn is by its handing in
            self.breach(
                Rule.ORDER,
                event.at,
                f"key {text.handed.key}",
                f"text {name} was sent while text {earlier} before it was not over",
                [*self.texts[earlier].trail, *text.trail],
            )
            break
        until, unless = self.rests.get(key, (0, name))
        if unless != name and sent < until - self.limit:
            self.breach(
                Rule.ORDER,
                event.at,
                f"key {text.handed.key}",
                f"text {name} was sent {write_span(until - sent)} before the key's rest after text {unless} "
                "was over",
                [*(self.texts[unless].trail if unless in self.texts else ()), *text.trail],
            )

    def _unless_gone(self, at: int, text: TextState, call: int, rule: Rule, words: str) -> None:
        """A breach, unless the call turns out to be over within the allowance: its end and what the relay
        does next reach the emulator on two ways."""
        if self.limit:
            self._count += 1
            heapq.heappush(self.doubtful, (at + self.limit, self._count, call, (at, text, rule, words)))
        else:
            self.breach(rule, at, f"text {text.handed.text}", words, text.trail)

    def _trails(self, names: list[TextId]) -> list[str]:
        return [line for name in names if name in self.texts for line in self.texts[name].trail]

    def responded(self, event: rec.Responded) -> None:
        """The host has answered; what it says counts from when it is at the relay, if that still waits."""
        if event.heard > event.at:
            self._count += 1
            heapq.heappush(self.coming, (event.heard, self._count, event))
        else:
            self._heard(event)

    def _heard(self, event: rec.Responded) -> None:
        call = self.calls.get(event.call)
        if call is None or call.answered:
            return
        call.answered = True
        called = call.called
        told = event.at if self.by_arrival else event.heard
        if event.wait and called.host in self.hosts:
            waits = self.relay(called.relay).waits
            route = self.hosts[called.host].route
            if told + event.wait > waits.get(route, (0, 0))[1]:
                waits[route] = (told, told + event.wait)
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
            if text.out == event.call:
                text.out = None
            if fate in rec.NEVER_RAN:
                if not text.ran_sure:
                    text.ran_at = text.ran_floor = None
                continue
            text.ran_sure = True
            if fate == Fate.DELIVERED:
                if not text.end:
                    self._over(text, "delivered", told)
            elif fate != Fate.FAILED:  # an error is an answer: nothing runs any more
                self._rest(text, name, told)

    def gave_up(self, event: rec.GaveUp) -> None:
        call = self.calls.get(event.call)
        if call is None:
            self.given_up[event.call] = event
            return
        if call.answered:
            return
        call.answered = True
        for name in call.called.texts:
            text = self.texts.get(name)
            if text is not None:
                self._trail(text, event.at, "given up by its relay")
                text.ran_sure = True
                if text.out == event.call:
                    text.out = None
                self._rest(text, name, event.at)

    def _rest(self, text: TextState, name: TextId, now: int) -> None:
        """The key of a text that may still be running rests, but for the text itself."""
        if self.products[text.handed.product].in_order and text.handed.key:
            until = now + self.scenario.rules.key_rest
            self.rests[(text.handed.relay, text.handed.key)] = (until, name)

    def ran(self, event: rec.Ran) -> None:
        text = self.texts.get(event.text)
        if text is None or event.known or text.lost:
            return
        self._trail(text, event.at, f"takes effect at {self._name(event.host)}")
        product = self.products[text.handed.product]
        if product.effect is Effect.RESENDABLE:
            return
        seen = self.effects.setdefault(event.first, [])
        seen[:] = [each for each in seen if not (each[2] in self.texts and self.texts[each[2]].lost)]
        if seen:
            self.doubles += 1
            if product.effect is Effect.ONCE_ONLY:
                trail = [
                    line for _, _, other in seen if other in self.texts for line in self.texts[other].trail
                ]
                self.breach(
                    Rule.TWICE,
                    event.at,
                    f"text {event.text}",
                    "it takes effect a second time",
                    [*trail, *text.trail],
                )
        seen.append((event.at, event.host, event.text))

    def noticed(self, event: rec.Noticed) -> None:
        text = self.texts.get(event.text)
        if text is None:
            self.breach(
                Rule.LOST, event.at, f"text {event.text}", "a notice of a text that nobody handed in", []
            )
            return
        what = "nacked" if event.nacked else "undeliverable"
        self._trail(text, event.at, f"{what}, by a notice of relay {event.relay}")
        if event.nacked:
            self._nacked(text, event.at)
        if text.out is not None and not text.end:
            self._unless_gone(event.at, text, text.out, Rule.LOST, "ended while a call of it is out")
        if not text.end:
            self._over(text, what, event.at)

    def _nacked(self, text: TextState, at: int) -> None:
        product = self.products[text.handed.product]
        unsafe = product.effect is Effect.ONCE_ONLY or (
            product.effect is Effect.REFERENCED and product.repeat_known is RepeatScope.FLOOR
        )
        if text.ran_at is not None and unsafe and not text.end:
            self.breach(
                Rule.TWICE,
                at,
                f"text {text.handed.text}",
                "nacked, which invites it again, though a call of it may have run",
                text.trail,
            )

    def _over(self, text: TextState, end: str, at: int) -> None:
        text.end, text.end_at = end, at
        self.judged += 1
        key = (text.handed.relay, text.handed.key)
        if (line := self.lines.get(key)) and text.handed.text in line:
            line.remove(text.handed.text)
            if not line:
                del self.lines[key]
        self.forget.append((max(at, text.handed.valid_until) + FORGET, text.handed.text))

    # Hosts and relays.

    def host(self, event: rec.Host) -> None:
        self.hosts[event.host] = event
        self.routes.setdefault(event.route, RouteState())

    def told(self, event: rec.Told) -> None:
        told = self.relay(event.relay).told
        if event.listing == 0:
            told.pop(event.host, None)
        else:
            told.setdefault(event.host, event.at)

    def state(self, event: rec.State) -> None:
        host = self.hosts.get(event.host)
        if host is None:
            return
        route = self.routes[host.route]
        route.trail.append(f"{write_span(event.at)} {host.name} is {Condition(event.condition).name.lower()}")
        if event.condition == Condition.OUT:
            if not route.out:
                route.knowing = set()
            route.out.add(event.host)
        else:
            route.out.discard(event.host)

    def missed(self, event: rec.Missed) -> None:
        host = self.hosts.get(event.host)
        if host is not None and self.routes[host.route].out:
            self.routes[host.route].knowing.add(event.relay)

    def fell(self, event: rec.Fell) -> None:
        route = self.routes[event.route]
        total = sum(event.load.values())
        knew = sum(count for relay, count in event.load.items() if relay in route.knowing)
        hosts = ", ".join(host.name for host in self.hosts.values() if host.route == event.route)
        words = (
            f"{total} texts where it bore {event.bore:.1f}; {knew} of them from relays that knew of the "
            f"outage ({shares(event.load, route.knowing)})"
        )
        if knew >= KNOWING_SHARE * total:
            self.breach(Rule.PUSHED, event.at, f"route {event.route} ({hosts})", words, route.trail)
        else:
            route.trail.append(f"{write_span(event.at)} fell, pushed by those who did not know: {words}")

    def relay_event(self, event: rec.Relay) -> None:
        relay = self.relay(event.relay)
        if event.what == "ready":
            relay.up, relay.excuse_until = True, event.at + self.restart
        elif event.what == "stopping":
            relay.excuse_until = event.at + self.scenario.scenario.settle
        elif event.what == ENDED_BESIDE:
            relay.waits = {
                route: (begin, until)
                for route, (begin, until) in relay.waits.items()
                if begin <= event.at - UNREAD
            }
        elif event.what in ("killed", "ended", "wiped"):
            relay.up = False
            relay.waits.clear()
            if event.what == "wiped":
                self._wiped(event)

    def _wiped(self, event: rec.Relay) -> None:
        """What a lost machine held is no longer its duty."""
        for text in self.texts.values():
            if text.handed.relay == event.relay and text.taken_at is not None and not text.end:
                self._trail(text, event.at, "its relay and its folder are lost")
                text.out = None
                self._over(text, "lost with its machine", event.at)

    def over(self, event: rec.Over) -> None:
        """The end: every text whose time is up must have its answer."""
        while self.coming:
            self._heard(heapq.heappop(self.coming)[2])
        if event.whole:
            self._overdue(event.at + 1)

    def judge(self, events: Iterable[rec.Any_]) -> Checker:
        for event in events:
            self.take(event)
        return self


HANDLERS = {
    rec.Handed: Checker.handed,
    rec.Answered: Checker.answered,
    rec.Called: Checker.called,
    rec.Responded: Checker.responded,
    rec.GaveUp: Checker.gave_up,
    rec.Ran: Checker.ran,
    rec.Noticed: Checker.noticed,
    rec.Host: Checker.host,
    rec.Told: Checker.told,
    rec.State: Checker.state,
    rec.Missed: Checker.missed,
    rec.Fell: Checker.fell,
    rec.Relay: Checker.relay_event,
    rec.Over: Checker.over,
}


def shares(load: dict[int, int], knowing: set[int]) -> str:
    """Who pushed, the largest first."""
    largest = sorted(load.items(), key=lambda each: (-each[1], each[0]))[:5]
    return ", ".join(
        f"relay {relay}: {count}{' (knew)' if relay in knowing else ''}" for relay, count in largest
    )


def check(source) -> Checker:
    """Judge the record in a file."""
    reader = rec.Reader(source)
    return Checker(reader.head).judge(reader)
