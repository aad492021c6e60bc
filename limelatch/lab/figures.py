"""What a run came to: revenue, SLA share, latencies, calls and their outcomes, over the whole and over time.

A text counts once, by its first try; its time runs from when its first try was handed in. Revenue is whole
within the SLA time, then falls as the scenario says, and is nothing after the validity period.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec
import numpy as np

from limelatch.configuration.model import RevenueDecay
from limelatch.interface import SECOND
from limelatch.lab import record as rec
from limelatch.lab.checker import Checker, Rule
from limelatch.lab.record import Answer, Condition, Fate
from limelatch.lab.scenario.model import ProductKeys, Scenario

WINDOW = 10 * SECOND  # the worst of which is told
WINDOW_STEP = SECOND
LEAST_IN_WINDOW = 20  # texts, for a window to count
LATE_MOST = 200  # ticks at the 99th percentile by which a stage may be late in a run that can be used
PERCENTILES = (50, 90, 99, 99.9)
PENDING = -1


class Interval(msgspec.Struct, frozen=True):
    """From when until when something was so, in seconds."""

    subject: str
    what: str
    begin: float
    end: float


class Second(msgspec.Struct):
    """One second of a run."""

    asked: float = 0.0  # revenue of the texts that came in it
    earned: float = 0.0  # and what they brought in the end
    texts: int = 0
    calls: int = 0
    p50: float = 0.0  # milliseconds until delivery, of the texts that came in it
    p99: float = 0.0
    held: int = 0
    memory: int = 0
    descriptors: int = 0
    fates: dict[str, int] = {}


class Part(msgspec.Struct):
    """A product's or a customer's share of it."""

    name: str
    texts: int
    asked: float
    earned: float

    @property
    def service(self) -> float:
        return self.earned / self.asked if self.asked else 1.0


class Figures(msgspec.Struct):
    """All that reports show of one run."""

    scenario: str
    stage: str
    subject: str
    seed: int
    build: str
    texts: int
    service: float  # revenue earned over revenue asked
    worst_window: float
    worst_window_at: float
    sla_share: float  # of the texts
    latency: dict[str, float]  # milliseconds until delivery
    ends: dict[str, int]
    calls: int
    calls_a_text: float
    fates: dict[str, int]
    missed: int
    doubles: int
    products: list[Part]
    customers: list[Part]
    seconds: list[Second]
    faults: list[Interval]
    conditions: list[Interval]
    beliefs: list[Interval]
    breaches: dict[str, int]
    breach_lines: list[str]
    memory: int = 0
    descriptors: int = 0
    cpu_a_text: float = 0.0  # microseconds
    late: dict[str, float] = {}  # milliseconds at the 99th percentile, by who was late
    whole: bool = True
    worst_product: float = 1.0
    worst_customer: float = 1.0

    @property
    def usable(self) -> bool:
        """Whether the stage kept up; a run in which it did not says nothing of the relays."""
        return self.whole and all(ms * 10 <= LATE_MOST for ms in self.late.values())

    @property
    def kept(self) -> bool:
        return not any(self.breaches.values())

    @property
    def score(self) -> float:
        """Half the whole, three tenths the worst window, a tenth each the worst product and customer; 0
        where a rule is broken."""
        if not self.kept:
            return 0.0
        return (
            0.5 * self.service
            + 0.3 * self.worst_window
            + 0.1 * self.worst_product
            + 0.1 * self.worst_customer
        )


def worth(product: ProductKeys, falls: RevenueDecay, took: np.ndarray) -> np.ndarray:
    """The share of its revenue that a text brings which is delivered after `took` ticks; negative: never."""
    sla, until = product.sla_time, product.validity_period
    late = np.maximum(0, took - sla)
    if falls is RevenueDecay.HALVES:
        share = np.maximum(product.late_share, 0.5 ** (late / max(1, sla)))
    else:
        share = 1 - (1 - product.late_share) * np.minimum(1, late / max(1, until - sla))
    return np.where((took < 0) | (took > until), 0.0, np.where(late > 0, share, 1.0))


class Collector:
    """Takes a record's events in order."""

    def __init__(self, head: rec.Head) -> None:
        self.head, self.scenario = head, msgspec.convert(head.scenario, Scenario)
        self.firsts: dict[rec.TextId, int] = {}
        self.came: list[int] = []
        self.product: list[int] = []
        self.customer: list[int] = []
        self.delivered: list[int] = []
        self.ends: list[str] = []
        self.texts: dict[rec.TextId, int] = {}  # handed in, not over -> its first's place
        self.calls: dict[int, tuple[rec.Called, int]] = {}
        self.call_count = self.missed = 0
        self.fates: Counter[str] = Counter()
        self.fates_at: dict[int, Counter[str]] = {}
        self.held, self.held_at = 0, {}
        self.hosts: dict[int, rec.Host] = {}
        self.open: dict[tuple[str, str], tuple[int, str]] = {}
        self.intervals: dict[str, list[Interval]] = {"faults": [], "conditions": [], "beliefs": []}
        self.memory: dict[int, int] = {}
        self.descriptors: dict[int, int] = {}
        self.cpu: dict[int, list[int]] = {}
        self.late: dict[str, list[int]] = {}
        self.taken: set[rec.TextId] = set()
        self.now, self.whole = 0, False

    def take(self, event: rec.Any_) -> None:
        self.now = event.at
        handler = HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)

    def handed(self, event: rec.Handed) -> None:
        place = self.firsts.get(event.first)
        if place is None:
            place = self.firsts[event.first] = len(self.came)
            self.came.append(event.at)
            self.product.append(event.product)
            self.customer.append(event.customer)
            self.delivered.append(PENDING)
            self.ends.append("not taken")
        self.texts[event.text] = place

    def answered(self, event: rec.Answered) -> None:
        place = self.texts.get(event.text)
        if place is None:
            return
        if event.answer == Answer.TAKEN:
            self.held += 1
            self.taken.add(event.text)
            self.held_at[event.at // SECOND] = self.held
            self.ends[place] = "held"
        elif self.ends[place] != "delivered":
            self.ends[place] = Answer(event.answer).name.lower()

    def called(self, event: rec.Called) -> None:
        self.call_count += 1
        self.calls[event.call] = (event, event.at)

    def responded(self, event: rec.Responded) -> None:
        found = self.calls.pop(event.call, None)
        if found is None:
            return
        called, _ = found
        second = event.at // SECOND
        counter = self.fates_at.get(second)
        if counter is None:
            counter = self.fates_at[second] = Counter()
        for text, fate in zip(called.texts, event.fates, strict=True):
            name = Fate(fate).name.lower()
            self.fates[name] += 1
            counter[name] += 1
            if fate == Fate.DELIVERED and (place := self.texts.get(text)) is not None:
                if self.delivered[place] < 0:
                    self.delivered[place] = event.heard
                self.ends[place] = "delivered"
                self._over(text, event.at)

    def _over(self, text: rec.TextId, at: int) -> None:
        if text in self.taken:
            self.taken.discard(text)
            self.held -= 1
            self.held_at[at // SECOND] = self.held

    def gave_up(self, event: rec.GaveUp) -> None:
        if (found := self.calls.pop(event.call, None)) is not None:
            self.fates["given up"] += len(found[0].texts)
            self.fates_at.setdefault(event.at // SECOND, Counter())["given up"] += len(found[0].texts)

    def noticed(self, event: rec.Noticed) -> None:
        place = self.texts.get(event.text)
        if place is not None and self.ends[place] != "delivered":
            self.ends[place] = "nacked" if event.nacked else "undeliverable"
        self._over(event.text, event.at)

    def host(self, event: rec.Host) -> None:
        self.hosts[event.host] = event

    def _span(self, kind: str, subject: str, at: int, what: str | None) -> None:
        """Something of a subject changes: what was so ends, what is so now begins."""
        before = self.open.pop((kind, subject), None)
        if before is not None:
            self.intervals[kind].append(Interval(subject, before[1], before[0] / SECOND, at / SECOND))
        if what is not None:
            self.open[kind, subject] = (at, what)

    def state(self, event: rec.State) -> None:
        condition = Condition(event.condition)
        well = condition in (Condition.WELL, Condition.GONE)
        self._span(
            "conditions", self.hosts[event.host].name, event.at, None if well else condition.name.lower()
        )

    def believes(self, event: rec.Believes) -> None:
        host = self.hosts.get(event.host)
        subject = f"{host.name if host else event.host} at relay {event.relay}"
        word = event.words.partition(":")[0].split()[0]
        known = {"sick": "sick", "back": "warming", "warm": None}
        if word in known:
            self._span("beliefs", subject, event.at, known[word])

    def fault(self, event: rec.Fault) -> None:
        what = self.scenario.faults[event.number].what.value
        self._span("faults", f"{event.number}: {what}", event.at, what if event.on else None)

    def relay(self, event: rec.Relay) -> None:
        if event.what in ("killed", "wiped", "stopping"):
            self._span("conditions", f"relay {event.relay}", event.at, event.what)
        elif event.what == "ready":
            self._span("conditions", f"relay {event.relay}", event.at, None)
        if event.what in ("killed", "wiped", "ended"):  # a new process believes nothing
            for kind, subject in [each for each in self.open if each[1].endswith(f" at relay {event.relay}")]:
                self._span(kind, subject, event.at, None)

    def missed_(self, event: rec.Missed) -> None:
        self.missed += 1

    def gauge(self, event: rec.Gauge) -> None:
        second = event.at // SECOND
        self.memory[second] = max(self.memory.get(second, 0), event.memory)
        self.descriptors[second] = max(self.descriptors.get(second, 0), event.descriptors)
        self.cpu.setdefault(event.relay, []).append(event.cpu)

    def was_late(self, event: rec.Late) -> None:
        self.late.setdefault(event.who, []).append(event.by)

    def over(self, event: rec.Over) -> None:
        self.whole = event.whole

    # The sum of it.

    def figures(self, checker: Checker) -> Figures:
        """What it came to; the checker has seen the same events."""
        scenario, head = self.scenario, self.head
        for kind, subject in list(self.open):
            self._span(kind, subject, self.now, None)
        came = np.array(self.came, dtype=np.int64)
        product, customer = np.array(self.product, dtype=int), np.array(self.customer, dtype=int)
        delivered = np.array(self.delivered, dtype=np.int64)
        took = np.where(delivered < 0, PENDING, delivered - came)
        asked, earned, in_sla = np.zeros(len(came)), np.zeros(len(came)), np.zeros(len(came), dtype=bool)
        for at, row in enumerate(scenario.products):
            mine = product == at
            asked[mine] = row.revenue
            earned[mine] = row.revenue * worth(row, scenario.revenue.falls, took[mine])
            in_sla[mine] = (took[mine] >= 0) & (took[mine] <= row.sla_time)
        counts = came >= scenario.scenario.warm_up
        worst, worst_at = self._worst(came[counts], asked[counts], earned[counts])
        products = parts(
            [row.name for row in scenario.products], product[counts], asked[counts], earned[counts]
        )
        customers = parts(
            [row.name for row in scenario.customers], customer[counts], asked[counts], earned[counts]
        )
        total = max(1, int(counts.sum()))
        reached = took[counts & (took >= 0)] / 10
        cpu = sum(max(each) - min(each) for each in self.cpu.values())
        return Figures(
            scenario=scenario.scenario.name,
            stage=head.stage,
            subject=head.subject,
            seed=head.seed,
            build=head.build,
            texts=int(counts.sum()),
            service=float(earned[counts].sum() / max(1e-9, asked[counts].sum())) if len(came) else 1.0,
            worst_window=worst,
            worst_window_at=worst_at,
            sla_share=float(in_sla[counts].sum() / total),
            latency={f"p{each:g}": float(np.percentile(reached, each)) for each in PERCENTILES}
            if len(reached)
            else {},
            ends=dict(Counter(each for each, counted in zip(self.ends, counts, strict=True) if counted)),
            calls=self.call_count,
            calls_a_text=self.call_count / max(1, len(came)),
            fates=dict(self.fates),
            missed=self.missed,
            doubles=checker.doubles,
            products=products,
            customers=customers,
            seconds=self._seconds(came, asked, earned, took),
            faults=self.intervals["faults"],
            conditions=self.intervals["conditions"],
            beliefs=self.intervals["beliefs"],
            breaches={rule.name.lower(): checker.counts[rule] for rule in Rule},
            breach_lines=[line for breach in checker.breaches[:10] for line in breach.lines()],
            memory=max(self.memory.values(), default=0),
            descriptors=max(self.descriptors.values(), default=0),
            cpu_a_text=cpu / max(1, len(came)),
            late={who: float(np.percentile(each, 99)) / 10 for who, each in sorted(self.late.items())},
            whole=self.whole,
            worst_product=min((each.service for each in products if each.texts), default=1.0),
            worst_customer=min((each.service for each in customers if each.texts), default=1.0),
        )

    def _worst(self, came: np.ndarray, asked: np.ndarray, earned: np.ndarray) -> tuple[float, float]:
        """The worst window's service, and when it begins, in seconds."""
        found, at = 1.0, 0.0
        if not len(came):
            return found, at
        order = np.argsort(came, kind="stable")
        came, asked, earned = came[order], np.cumsum(asked[order]), np.cumsum(earned[order])
        asked, earned = np.concatenate([[0], asked]), np.concatenate([[0], earned])
        last = max(0, int(came[-1]) - WINDOW)
        for begin in range(int(came[0]), last + 1, WINDOW_STEP):
            low, high = np.searchsorted(came, [begin, begin + WINDOW])
            if high - low >= LEAST_IN_WINDOW:
                service = (earned[high] - earned[low]) / (asked[high] - asked[low])
                if service < found:
                    found, at = float(service), begin / SECOND
        return found, at

    def _seconds(
        self, came: np.ndarray, asked: np.ndarray, earned: np.ndarray, took: np.ndarray
    ) -> list[Second]:
        count = int(self.now // SECOND) + 1
        rows = [Second() for _ in range(count)]
        second = came // SECOND
        order = np.argsort(second, kind="stable")
        edges = np.searchsorted(second[order], np.arange(count + 1))
        held = 0
        for at, row in enumerate(rows):
            mine = order[edges[at] : edges[at + 1]]
            row.texts, row.asked, row.earned = len(mine), float(asked[mine].sum()), float(earned[mine].sum())
            reached = took[mine]
            reached = reached[reached >= 0] / 10
            if len(reached):
                row.p50, row.p99 = (float(each) for each in np.percentile(reached, (50, 99)))
            row.held = held = self.held_at.get(at, held)
            row.memory, row.descriptors = self.memory.get(at, 0), self.descriptors.get(at, 0)
            row.fates = dict(self.fates_at.get(at, {}))
            row.calls = sum(row.fates.values())
        return rows


HANDLERS = {
    rec.Handed: Collector.handed,
    rec.Answered: Collector.answered,
    rec.Called: Collector.called,
    rec.Responded: Collector.responded,
    rec.GaveUp: Collector.gave_up,
    rec.Noticed: Collector.noticed,
    rec.Host: Collector.host,
    rec.State: Collector.state,
    rec.Believes: Collector.believes,
    rec.Fault: Collector.fault,
    rec.Relay: Collector.relay,
    rec.Missed: Collector.missed_,
    rec.Gauge: Collector.gauge,
    rec.Late: Collector.was_late,
    rec.Over: Collector.over,
}


def parts(names: list[str], number: np.ndarray, asked: np.ndarray, earned: np.ndarray) -> list[Part]:
    """Each product's or customer's share."""
    found = []
    for at, name in enumerate(names):
        mine = number == at
        found.append(Part(name, int(mine.sum()), float(asked[mine].sum()), float(earned[mine].sum())))
    return found


def judge(head: rec.Head, events: Iterable[rec.Any_]) -> tuple[Figures, Checker]:
    """Figures and breaches of a run, in one pass over its events."""
    collector, checker = Collector(head), Checker(head)
    for event in events:
        collector.take(event)
        checker.take(event)
    return collector.figures(checker), checker


def figures_of(source) -> Figures:
    """The figures of a record in a file."""
    reader = rec.Reader(source)
    return judge(reader.head, reader)[0]
