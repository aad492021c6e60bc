"""The figures of a run: revenue, SLA share, latencies, calls and their outcomes, in total and over time.

A text counts once, by its first submission, from whose time its latency is measured. Revenue is full within
the SLA time, then falls as the scenario defines, and is zero after the validity period.
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

WINDOW_LENGTH = 10 * SECOND  # ticks of a window; the worst one is reported
WINDOW_STEP = SECOND  # ticks between the beginnings of two windows
MIN_WINDOW_TEXTS = 20  # texts that a window needs to be considered
LATE_MOST = 200  # ticks: 99th percentile of the stage's own delay in a usable run
PERCENTILES = (50, 90, 99, 99.9)  # of latency
PENDING = -1  # delivery time of a text that was not delivered


class Interval(msgspec.Struct, frozen=True):
    """A period, in seconds, during which `what` was true of a subject."""

    subject: str
    what: str
    begin: float
    end: float


class Second(msgspec.Struct):
    """The figures of one second of a run."""

    asked: float = 0.0  # possible revenue of the texts first submitted in it
    earned: float = 0.0  # revenue that they earned in the end
    texts: int = 0
    calls: int = 0
    p50: float = 0.0  # milliseconds until delivery of the texts first submitted in it
    p99: float = 0.0
    held: int = 0
    memory: int = 0
    descriptors: int = 0
    fates: dict[str, int] = {}


class Part(msgspec.Struct):
    """The figures of one product or customer."""

    name: str
    texts: int
    asked: float
    earned: float

    @property
    def service(self) -> float:
        """Revenue earned as a share of the possible revenue; 1 without texts."""
        return self.earned / self.asked if self.asked else 1.0


class Figures(msgspec.Struct):
    """All figures of one run that reports show."""

    scenario: str
    stage: str
    subject: str
    seed: int
    build: str
    texts: int
    service: float  # revenue earned as a share of the possible revenue
    worst_window: float
    worst_window_at: float
    sla_share: float  # share of texts delivered within their SLA time
    latency: dict[str, float]  # milliseconds until delivery, by percentile
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
    cpu_a_text: float = 0.0  # microseconds of CPU time per text
    late: dict[str, float] = {}  # 99th percentile of the stage's own delay in milliseconds, by process
    whole: bool = True
    worst_product: float = 1.0
    worst_customer: float = 1.0

    @property
    def usable(self) -> bool:
        """Whether the stage kept up; otherwise the run is no evidence about the relays."""
        return self.whole and all(ms * 10 <= LATE_MOST for ms in self.late.values())

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.breaches.values())

    @property
    def score(self) -> float:
        """Weighted service: 0.5 total, 0.3 worst window, 0.1 each worst product and customer.

        0 if a rule was broken.
        """
        if not self.kept:
            return 0.0
        return (
            0.5 * self.service
            + 0.3 * self.worst_window
            + 0.1 * self.worst_product
            + 0.1 * self.worst_customer
        )


def revenue_share(product: ProductKeys, falls: RevenueDecay, delivery_time: np.ndarray) -> np.ndarray:
    """Returns the share of a text's revenue by its delivery time in ticks (negative: not delivered)."""
    sla, until = product.sla_time, product.validity_period
    late = np.maximum(0, delivery_time - sla)
    if falls is RevenueDecay.HALVES:
        share = np.maximum(product.late_share, 0.5 ** (late / max(1, sla)))
    else:
        share = 1 - (1 - product.late_share) * np.minimum(1, late / max(1, until - sla))
    return np.where((delivery_time < 0) | (delivery_time > until), 0.0, np.where(late > 0, share, 1.0))


class Collector:
    """Collects the events of a record, in their order, for the figures."""

    def __init__(self, head: rec.Head) -> None:
        self.head, self.scenario = head, msgspec.convert(head.scenario, Scenario)
        self.place_by_first: dict[rec.TextId, int] = {}
        self.arrived_at: list[int] = []
        self.product: list[int] = []
        self.customer: list[int] = []
        self.delivered: list[int] = []
        self.ends: list[str] = []
        self.texts: dict[rec.TextId, int] = {}  # id of each submission -> index of its first one
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

    def take(self, event: rec.AnyEvent) -> None:
        """Collects the next event."""
        self.now = event.at
        handler = HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)

    def submitted(self, event: rec.Submitted) -> None:
        """A client submitted a text."""
        index = self.place_by_first.get(event.first)
        if index is None:
            index = self.place_by_first[event.first] = len(self.arrived_at)
            self.arrived_at.append(event.at)
            self.product.append(event.product)
            self.customer.append(event.customer)
            self.delivered.append(PENDING)
            self.ends.append("not taken")
        self.texts[event.text] = index

    def answered(self, event: rec.Answered) -> None:
        """A client received its answer, or none."""
        index = self.texts.get(event.text)
        if index is None:
            return
        if event.answer == Answer.TAKEN:
            self.held += 1
            self.taken.add(event.text)
            self.held_at[event.at // SECOND] = self.held
            self.ends[index] = "held"
        elif self.ends[index] != "delivered":
            self.ends[index] = Answer(event.answer).name.lower()

    def called(self, event: rec.Called) -> None:
        """A call arrived at a host."""
        self.call_count += 1
        self.calls[event.call] = (event, event.at)

    def responded(self, event: rec.Responded) -> None:
        """A host answered a call."""
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
            if fate == Fate.DELIVERED and (index := self.texts.get(text)) is not None:
                if self.delivered[index] < 0:
                    self.delivered[index] = event.heard
                self.ends[index] = "delivered"
                self._mark_finished(text, event.at)

    def _mark_finished(self, text: rec.TextId, at: int) -> None:
        if text in self.taken:
            self.taken.discard(text)
            self.held -= 1
            self.held_at[at // SECOND] = self.held

    def gave_up(self, event: rec.GaveUp) -> None:
        """A relay stopped waiting for a call's answer."""
        if (found := self.calls.pop(event.call, None)) is not None:
            self.fates["given up"] += len(found[0].texts)
            self.fates_at.setdefault(event.at // SECOND, Counter())["given up"] += len(found[0].texts)

    def noticed(self, event: rec.NoticeAnswered) -> None:
        """The platform acknowledged a notice."""
        index = self.texts.get(event.text)
        if index is not None and self.ends[index] != "delivered":
            self.ends[index] = "nacked" if event.nacked else "undeliverable"
        self._mark_finished(event.text, event.at)

    def host(self, event: rec.Host) -> None:
        """A host was added."""
        self.hosts[event.host] = event

    def _switch_interval(self, kind: str, subject: str, at: int, what: str | None) -> None:
        """Ends the subject's open interval of this kind, and begins the next one unless `what` is None."""
        before = self.open.pop((kind, subject), None)
        if before is not None:
            self.intervals[kind].append(Interval(subject, before[1], before[0] / SECOND, at / SECOND))
        if what is not None:
            self.open[kind, subject] = (at, what)

    def condition_changed(self, event: rec.ConditionChanged) -> None:
        """A host's condition changed."""
        condition = Condition(event.condition)
        is_normal = condition in (Condition.WELL, Condition.GONE)
        self._switch_interval(
            "conditions", self.hosts[event.host].name, event.at, None if is_normal else condition.name.lower()
        )

    def belief_changed(self, event: rec.BeliefChanged) -> None:
        """A relay changed its view of a host, by the first word of its log text."""
        host = self.hosts.get(event.host)
        subject = f"{host.name if host else event.host} at relay {event.relay}"
        word = event.message.partition(":")[0].split()[0]
        conditions_by_word = {"sick": "sick", "back": "warming", "warm": None}
        if word in conditions_by_word:
            self._switch_interval("beliefs", subject, event.at, conditions_by_word[word])

    def fault(self, event: rec.Fault) -> None:
        """A fault began or ended."""
        what = self.scenario.faults[event.number].what.value
        self._switch_interval("faults", f"{event.number}: {what}", event.at, what if event.on else None)

    def relay(self, event: rec.Relay) -> None:
        """A relay started or stopped."""
        if event.what in ("killed", "wiped", "stopping"):
            self._switch_interval("conditions", f"relay {event.relay}", event.at, event.what)
        elif event.what == "ready":
            self._switch_interval("conditions", f"relay {event.relay}", event.at, None)
        if event.what in ("killed", "wiped", "ended"):  # a new process has no view of any host
            for kind, subject in [each for each in self.open if each[1].endswith(f" at relay {event.relay}")]:
                self._switch_interval(kind, subject, event.at, None)

    def call_failed(self, event: rec.CallFailed) -> None:
        """A call failed."""
        self.missed += 1

    def resource_usage(self, event: rec.ResourceUsage) -> None:
        """A relay's memory, descriptors and CPU time were measured."""
        second = event.at // SECOND
        self.memory[second] = max(self.memory.get(second, 0), event.memory)
        self.descriptors[second] = max(self.descriptors.get(second, 0), event.descriptors)
        self.cpu.setdefault(event.relay, []).append(event.cpu)

    def stage_late(self, event: rec.StageLate) -> None:
        """The stage itself was late."""
        self.late.setdefault(event.who, []).append(event.by)

    def run_ended(self, event: rec.RunEnded) -> None:
        """The run ended."""
        self.whole = event.whole

    # Results.

    def figures(self, checker: Checker) -> Figures:
        """Returns the figures; the checker must have seen the same events."""
        scenario, head = self.scenario, self.head
        for kind, subject in list(self.open):
            self._switch_interval(kind, subject, self.now, None)
        arrived_at = np.array(self.arrived_at, dtype=np.int64)
        product, customer = np.array(self.product, dtype=int), np.array(self.customer, dtype=int)
        delivered = np.array(self.delivered, dtype=np.int64)
        delivery_time = np.where(delivered < 0, PENDING, delivered - arrived_at)
        asked, earned, in_sla = (
            np.zeros(len(arrived_at)),
            np.zeros(len(arrived_at)),
            np.zeros(len(arrived_at), dtype=bool),
        )
        for at, row in enumerate(scenario.products):
            selected = product == at
            asked[selected] = row.revenue
            earned[selected] = row.revenue * revenue_share(
                row, scenario.revenue.falls, delivery_time[selected]
            )
            in_sla[selected] = (delivery_time[selected] >= 0) & (delivery_time[selected] <= row.sla_time)
        measured = arrived_at >= scenario.scenario.warm_up
        worst, worst_at = self._worst_window(arrived_at[measured], asked[measured], earned[measured])
        products = parts(
            [row.name for row in scenario.products], product[measured], asked[measured], earned[measured]
        )
        customers = parts(
            [row.name for row in scenario.customers], customer[measured], asked[measured], earned[measured]
        )
        total = max(1, int(measured.sum()))
        latencies = delivery_time[measured & (delivery_time >= 0)] / 10
        cpu = sum(max(each) - min(each) for each in self.cpu.values())
        return Figures(
            scenario=scenario.scenario.name,
            stage=head.stage,
            subject=head.subject,
            seed=head.seed,
            build=head.build,
            texts=int(measured.sum()),
            service=float(earned[measured].sum() / max(1e-9, asked[measured].sum()))
            if len(arrived_at)
            else 1.0,
            worst_window=worst,
            worst_window_at=worst_at,
            sla_share=float(in_sla[measured].sum() / total),
            latency={f"p{each:g}": float(np.percentile(latencies, each)) for each in PERCENTILES}
            if len(latencies)
            else {},
            ends=dict(
                Counter(each for each, is_measured in zip(self.ends, measured, strict=True) if is_measured)
            ),
            calls=self.call_count,
            calls_a_text=self.call_count / max(1, len(arrived_at)),
            fates=dict(self.fates),
            missed=self.missed,
            doubles=checker.repeat_effects,
            products=products,
            customers=customers,
            seconds=self._seconds(arrived_at, asked, earned, delivery_time),
            faults=self.intervals["faults"],
            conditions=self.intervals["conditions"],
            beliefs=self.intervals["beliefs"],
            breaches={rule.name.lower(): checker.counts[rule] for rule in Rule},
            breach_lines=[line for breach in checker.breaches[:10] for line in breach.lines()],
            memory=max(self.memory.values(), default=0),
            descriptors=max(self.descriptors.values(), default=0),
            cpu_a_text=cpu / max(1, len(arrived_at)),
            late={who: float(np.percentile(each, 99)) / 10 for who, each in sorted(self.late.items())},
            whole=self.whole,
            worst_product=min((each.service for each in products if each.texts), default=1.0),
            worst_customer=min((each.service for each in customers if each.texts), default=1.0),
        )

    def _worst_window(
        self, arrived_at: np.ndarray, asked: np.ndarray, earned: np.ndarray
    ) -> tuple[float, float]:
        """Returns the lowest service of any window, and when that window begins, in seconds."""
        found, at = 1.0, 0.0
        if not len(arrived_at):
            return found, at
        order = np.argsort(arrived_at, kind="stable")
        arrived_at, asked, earned = arrived_at[order], np.cumsum(asked[order]), np.cumsum(earned[order])
        asked, earned = np.concatenate([[0], asked]), np.concatenate([[0], earned])
        last = max(0, int(arrived_at[-1]) - WINDOW_LENGTH)
        for begin in range(int(arrived_at[0]), last + 1, WINDOW_STEP):
            low, high = np.searchsorted(arrived_at, [begin, begin + WINDOW_LENGTH])
            if high - low >= MIN_WINDOW_TEXTS:
                service = (earned[high] - earned[low]) / (asked[high] - asked[low])
                if service < found:
                    found, at = float(service), begin / SECOND
        return found, at

    def _seconds(
        self, arrived_at: np.ndarray, asked: np.ndarray, earned: np.ndarray, delivery_time: np.ndarray
    ) -> list[Second]:
        """Returns the figures of each second of the run."""
        count = int(self.now // SECOND) + 1
        rows = [Second() for _ in range(count)]
        second = arrived_at // SECOND
        order = np.argsort(second, kind="stable")
        edges = np.searchsorted(second[order], np.arange(count + 1))
        held = 0
        for at, row in enumerate(rows):
            selected = order[edges[at] : edges[at + 1]]
            row.texts, row.asked, row.earned = (
                len(selected),
                float(asked[selected].sum()),
                float(earned[selected].sum()),
            )
            latencies = delivery_time[selected]
            latencies = latencies[latencies >= 0] / 10
            if len(latencies):
                row.p50, row.p99 = (float(each) for each in np.percentile(latencies, (50, 99)))
            row.held = held = self.held_at.get(at, held)
            row.memory, row.descriptors = self.memory.get(at, 0), self.descriptors.get(at, 0)
            row.fates = dict(self.fates_at.get(at, {}))
            row.calls = sum(row.fates.values())
        return rows


HANDLERS = {
    rec.Submitted: Collector.submitted,
    rec.Answered: Collector.answered,
    rec.Called: Collector.called,
    rec.Responded: Collector.responded,
    rec.GaveUp: Collector.gave_up,
    rec.NoticeAnswered: Collector.noticed,
    rec.Host: Collector.host,
    rec.ConditionChanged: Collector.condition_changed,
    rec.BeliefChanged: Collector.belief_changed,
    rec.Fault: Collector.fault,
    rec.Relay: Collector.relay,
    rec.CallFailed: Collector.call_failed,
    rec.ResourceUsage: Collector.resource_usage,
    rec.StageLate: Collector.stage_late,
    rec.RunEnded: Collector.run_ended,
}


def parts(names: list[str], number: np.ndarray, asked: np.ndarray, earned: np.ndarray) -> list[Part]:
    """Returns the figures of each product or customer."""
    found = []
    for at, name in enumerate(names):
        selected = number == at
        found.append(
            Part(name, int(selected.sum()), float(asked[selected].sum()), float(earned[selected].sum()))
        )
    return found


def judge(head: rec.Head, events: Iterable[rec.AnyEvent]) -> tuple[Figures, Checker]:
    """Computes figures and breaches of a run, in one pass over its events."""
    collector, checker = Collector(head), Checker(head)
    for event in events:
        collector.take(event)
        checker.take(event)
    return collector.figures(checker), checker


def figures_of(source) -> Figures:
    """Computes the figures of a record in a file. Raises RecordError if it is no record."""
    reader = rec.Reader(source)
    return judge(reader.head, reader)[0]
