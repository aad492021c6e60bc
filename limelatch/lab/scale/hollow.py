"""Hollow relays: decision modules alone, up to hundreds, and what one destination gets from all of them.

What costs memory and processor round the decisions is left out (sockets, ledger, parsing); the decisions
are the program's own, in virtual time on the stage "fleet". The destinations are a share of the fleet's: each
gets the texts a second that one of 180,000 gets of 95,000, whatever the number of relays, so that at 700 of
them a relay has 0.00075 a second for it, and at 7 a hundred times that.
"""

from __future__ import annotations

import tempfile
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from limelatch.interface import MS, SECOND
from limelatch.lab import record as rec
from limelatch.lab.record import Fate
from limelatch.lab.scale.results import Point
from limelatch.lab.scenario import parse
from limelatch.lab.scenario.model import RuleKeys, Scenario
from limelatch.lab.stages.fleet import STEP, Fleet, duration
from limelatch.lab.world.clock import EventQueue

EACH = 95_000 / 180_000  # texts a second to one destination, at even traffic
GROUPS = ("struck", "lowered", "steady")  # out for a while; with a lowered limit; left alone
AFTER = 60 * SECOND  # after the return: texts handed in until then are counted for "cold"
FIDELITY_RELAYS = 7
REAL, HOLLOW = "real", "hollow"

# Limits, cold times and shares are those of a deployment whose partners take few calls a second: 1.5 to 4.4
# at the least, capacity 1.2 to 1.6 times that, 14 to 20 % of it after an outage, all of it after 10 to 12 s.
TEXT = """
[scenario]
name = "{name}"
about = "{relays} relays; some destinations are out for {lasts} s, others' limit falls to a third"
seconds = "{seconds}s"
settle = "{settle}s"

[relays]
count = {relays}
slots = 16
texts = 2000

[network]
same_floor = "10ms"
cross_floor = "10ms"

[rules]
cold_share = 0.17
cold_time = "11s"
fall_multiple = 2.5
fall_time = "2s"

[[floors]]
name = "ground"
[[floors]]
name = "first"
[[floors]]
name = "second"

[[products]]
name = "notice"
share = 4
effect = "referenced"
repeat_window = "10s"
repeat_known = "floor"
sla_time = "3s"
validity_period = "{valid}s"
revenue = 2
late_share = 0.5

[[products]]
name = "charge"
effect = "once-only"
in_order = true
sla_time = "2500ms"
validity_period = "{valid}s"
late_share = 0.3
work = 1.5

{partners}
[clients]
rate = {rate}
retries = 2
backoff = "900ms"
honour = 0.6

[[faults]]
what = "{what}"
at = "{at}s"
lasts = "{lasts}s"
partners = ["struck-*"]
{more}"""
LOWERED = """
[[faults]]
what = "limit"
at = "{at}s"
lasts = "{lowered}s"
times = 0.3333
partners = ["lowered-*"]
"""
PARTNER = """
[[partners]]
name = "{name}"
count = {count}
endpoints = 2
capacity = 4.2
latency = "230ms"
varies = 0.8
queue = 6
idle_time = "15s"
reports = true
limit = {{ form = "rate", of_capacity = 0.7143, span = "1s", tells_wait = false, refused_count = true }}
"""


@dataclass(frozen=True)
class Form:
    """One kind of run, spans in seconds. `what`: how the struck destinations are out."""

    name: str
    what: str
    valid: int
    at: int
    lasts: int
    lowered: int
    seconds: int
    settle: int
    count: int = 8  # destinations of each group
    groups: tuple[str, ...] = GROUPS

    def scenario(self, relays: int) -> tuple[Scenario, str]:
        """The scenario for so many relays, and its text."""
        text = (TEXT + (LOWERED if "lowered" in self.groups else "")).format(
            name=self.name,
            relays=relays,
            lasts=self.lasts,
            seconds=self.seconds,
            settle=self.settle,
            valid=self.valid,
            rate=EACH * self.count * len(self.groups),
            what=self.what,
            at=self.at,
            more="share = 1.0\nruns = 0.0\n" if self.what == "errors" else "",
            lowered=self.lowered,
            partners="".join(PARTNER.format(name=name, count=self.count) for name in self.groups),
        )
        return parse(f"{self.name}.toml", text), text


SHORT = Form("short", "down", valid=24, at=60, lasts=120, lowered=180, seconds=300, settle=40)
# Texts that stay valid for longer than the outage: every relay comes to hold some, as in a backlog of days.
LONG = Form(
    "held",
    "down",
    valid=7200,
    at=60,
    lasts=1200,
    lowered=0,
    seconds=4260,
    settle=40,
    count=4,
    groups=("struck",),
)
# A call that fails at once is seen at the stand-in, a refused connection is not.
FIDELITY = Form("fidelity", "errors", valid=24, at=10, lasts=20, lowered=30, seconds=60, settle=30)


@dataclass(slots=True)
class Trace:
    """One text over all its handings in; times in ticks, -1 until then."""

    destination: int
    handed: int
    valid_until: int
    delivered: int = -1
    ended: int = -1  # its last notice was answered

    @property
    def given_up(self) -> bool:
        """Ended by its relay, though a second or more of its time was left."""
        return self.delivered < 0 <= self.ended < self.valid_until - SECOND


@dataclass(slots=True)
class Seen:
    """What one destination got."""

    name: str
    capacity: float = 0.0  # texts a second of all its hosts
    calls: list[int] = field(default_factory=list)  # whole calls that came, by time
    missed: list[int] = field(default_factory=list)  # tries that failed; real relays' lines of sick hosts too
    refused: list[int] = field(default_factory=list)
    delivered: list[int] = field(default_factory=list)
    fell: bool = False

    @property
    def group(self) -> str:
        return self.name.partition("-")[0]


class Tally:
    """Listens to a record, of either stage, and tells what each destination got."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.seen: dict[int, Seen] = {}
        self.traces: dict[rec.TextId, Trace] = {}  # by the id of the first try
        self.connections: dict[int, list[int]] = {}  # samples, by destination
        self._first: dict[rec.TextId, rec.TextId] = {}
        self._host: dict[int, int] = {}
        self._route: dict[int, int] = {}
        self._calls: dict[int, tuple[int, list[rec.TextId]]] = {}
        self.latest: dict[str, int] = {}  # the worst lateness of each part of a stage in real time

    def add(self, event: rec.Event) -> None:
        """Take one event in, in the order of the record."""
        match event:
            case rec.Host():
                name = event.name.partition("~")[0].rstrip("abcdefghijklmnopqrstuvwxyz")
                seen = self.seen.setdefault(event.destination, Seen(name))
                seen.capacity += event.capacity
                self._host[event.host], self._route[event.route] = event.destination, event.destination
            case rec.Submitted():
                self._first[event.text] = event.first
                if event.first not in self.traces:
                    self.traces[event.first] = Trace(event.destination, event.at, event.valid_until)
            case rec.Called():
                destination = self._host[event.host]
                self.seen[destination].calls.append(event.at)
                self._calls[event.call] = destination, event.texts
            case rec.Responded():
                self._responded(event)
            case rec.CallFailed():
                self.seen[self._host[event.host]].missed.append(event.at)
            case rec.NoticeAnswered():
                if (first := self._first.get(event.text)) is not None:
                    self.traces[first].ended = event.at
            case rec.RouteOverloaded():
                self.seen[self._route[event.route]].fell = True
            case rec.StageLate():
                self.latest[event.who] = max(self.latest.get(event.who, 0), event.by)

    def _responded(self, event: rec.Responded) -> None:
        destination, texts = self._calls.pop(event.call)
        seen = self.seen[destination]
        for text, fate in zip(texts, event.fates, strict=True):
            if fate == Fate.REFUSED:
                seen.refused.append(event.at)
            elif fate == Fate.DELIVERED:
                seen.delivered.append(event.heard)
                trace = self.traces[self._first[text]]
                if trace.delivered < 0:
                    trace.delivered = event.heard

    def sample(self, fleet: Fleet) -> None:
        """Note the connections at each destination just now."""
        now, open_now = fleet.clock.now(), {}
        for endpoint in fleet.world.endpoints:
            number = endpoint.destination.number
            open_now[number] = open_now.get(number, 0) + fleet.open_at(now, endpoint)
        for number, count in open_now.items():
            self.connections.setdefault(number, []).append(count)

    # What comes out of it.

    def group(self, name: str) -> list[tuple[int, Seen]]:
        return [(number, seen) for number, seen in self.seen.items() if seen.group == name]

    def texts(self, name: str, begin: int, end: int) -> list[Trace]:
        """Those that were first handed in for a group in that time."""
        numbers = {number for number, _ in self.group(name)}
        return [
            each
            for each in self.traces.values()
            if each.destination in numbers and begin <= each.handed < end
        ]

    def figures(self) -> dict[tuple[str, str, str], float]:
        """(scenario, measure, unit): figure; a destination's figures are the mean over its group."""
        outage, *limits = self.scenario.faults
        parts = {
            "down": self._down(outage.at, outage.at + outage.lasts),
            "cold": self._cold(outage.at + outage.lasts),
        }
        for limit in limits:
            parts["lowered"] = self._lowered(limit.at, limit.at + limit.lasts)
        if self.group("steady"):
            parts["steady"] = self._steady()
        return {
            (scenario, measure, unit): value
            for scenario, rows in parts.items()
            for (measure, unit), value in rows.items()
        }

    def _down(self, begin: int, end: int) -> dict[tuple[str, str], float]:
        group, span = self.group("struck"), (end - begin) / SECOND
        tries = [[at for at in seen.missed if begin <= at < end] for _, seen in group]
        late = [len([at for at in each if at >= end - (end - begin) // 3]) for each in tries]
        texts = self.texts("struck", begin, end)
        calls = [sum(begin <= at < end for at in seen.calls) for _, seen in group]
        rows = {
            ("calls that came", "1/s"): mean(each / span for each in calls),  # none where refused
            ("trials", "1/s"): mean(len(each) / span for each in tries),
            ("trials in the last third", "1/s"): mean(each / (span / 3) for each in late),
            ("trials in the fullest second", "count"): mean(fullest(each, SECOND) for each in tries),
            ("texts lost", "share"): lost(texts),
            ("texts given up before their time", "share"): mean(each.given_up for each in texts),
        }
        return rows | self._connections("struck", begin, end)

    def _cold(self, back: int) -> dict[tuple[str, str], float]:
        rules, group = self.scenario.rules, self.group("struck")
        came = [[at - back for at in seen.calls if at >= back] for _, seen in group]
        first = [min((at - back for at in seen.delivered if at >= back), default=-1) for _, seen in group]
        again = [at / SECOND for at in first if at >= 0]
        numbers = {number for number, _ in group}
        owed = [
            each
            for each in self.traces.values()
            if each.destination in numbers
            and each.handed < back < each.valid_until
            and not 0 <= each.delivered < back
        ]
        done = sorted((each.delivered - back) / SECOND for each in owed if each.delivered >= 0)
        rows = {
            ("calls in the first second", "count"): mean(upto(each, SECOND) for each in came),
            ("calls in the first fall time", "count"): mean(upto(each, rules.fall_time) for each in came),
            ("calls in the cold time", "count"): mean(upto(each, rules.cold_time) for each in came),
            ("fullest window over what it bears", "share"): max(
                pushed(each, seen.capacity, rules) for each, (_, seen) in zip(came, group, strict=True)
            ),
            ("pushed over", "share"): mean(seen.fell for _, seen in group),
            ("not delivered to again", "share"): 1 - len(again) / len(group),
            ("until the first delivery", "s"): mean(again),
            ("texts owed at the return", "count"): len(owed) / len(group),
            ("owed texts lost", "share"): lost(owed),
            ("texts lost of those handed in after it", "share"): lost(
                self.texts("struck", back, back + AFTER)
            ),
        }
        if done:
            rows["until half of the owed are delivered", "s"] = done[len(done) // 2]
            rows["until all delivered ones are", "s"] = done[-1]
        return rows | self._connections("struck", back, back + AFTER)

    def _lowered(self, begin: int, end: int) -> dict[tuple[str, str], float]:
        group, span = self.group("lowered"), (end - begin) / SECOND
        limit = next(each for each in self.scenario.partners if each.name == "lowered")
        told = limit.capacity * limit.limit.of_capacity * self.scenario.faults[1].times
        calls = [[at for at in seen.calls if begin <= at < end] for _, seen in group]
        refused = [[at for at in seen.refused if begin <= at < end] for _, seen in group]
        taken = mean(len([at for at in seen.delivered if begin <= at < end]) / span for _, seen in group)
        rows = {
            ("calls", "1/s"): mean(len(each) / span for each in calls),
            ("calls over its limit", "1/s"): mean(len(each) / span for each in refused),
            ("calls in the fullest second", "count"): mean(fullest(each, SECOND) for each in calls),
            ("deliveries, of its limit", "share"): taken / told,
            ("texts lost", "share"): lost(self.texts("lowered", begin, end)),
        }
        return rows | self._connections("lowered", begin, end)

    def _steady(self) -> dict[tuple[str, str], float]:
        end, group = self.scenario.scenario.seconds, self.group("steady")
        return {
            ("calls", "1/s"): mean(len(seen.calls) * SECOND / end for _, seen in group),
            ("calls over its limit", "1/s"): mean(len(seen.refused) * SECOND / end for _, seen in group),
            ("texts lost", "share"): lost(self.texts("steady", 0, end)),
        }

    def _connections(self, name: str, begin: int, end: int) -> dict[tuple[str, str], float]:
        if not self.connections:
            return {}
        most = [max(self.connections[number][begin // STEP : end // STEP]) for number, _ in self.group(name)]
        return {("connections at most", "count"): mean(most)}


def mean(values: Iterable[float]) -> float:
    """Of nothing it is 0."""
    found = list(values)
    return sum(found) / len(found) if found else 0.0


def upto(times: list[int], end: int) -> int:
    return sum(1 for at in times if at < end)


def lost(traces: list[Trace]) -> float:
    """The share that was never delivered."""
    return mean(each.delivered < 0 for each in traces)


def fullest(times: list[int], span: int) -> int:
    """The most of them within one span."""
    recent: deque[int] = deque()
    most = 0
    for at in times:
        recent.append(at)
        while recent[0] <= at - span:
            recent.popleft()
        most = max(most, len(recent))
    return most


def pushed(times: list[int], capacity: float, rules: RuleKeys) -> float:
    """The fullest window of the fall time while it is cold, over what it bears there; above 1 it may fall.

    `times` since its return, in ticks; `capacity` in texts a second."""
    recent: deque[int] = deque()
    most = 0.0
    for at in times:
        if at >= rules.cold_time:
            break
        recent.append(at)
        while recent[0] <= at - rules.fall_time:
            recent.popleft()
        warmth = rules.cold_share + (1 - rules.cold_share) * at / rules.cold_time
        most = max(most, len(recent) / (capacity * warmth * rules.fall_multiple * rules.fall_time / SECOND))
    return most


def play_hollow(form: Form, relays: int, seed: int) -> Tally:
    """One run of modules alone; the same seed gives the same counts."""
    scenario, _ = form.scenario(relays)
    tally, queue, end = Tally(scenario), EventQueue(), duration(scenario)
    fleet = Fleet(scenario, seed, queue, tally.add)
    fleet.begin()
    while queue.time < end and not (queue.time >= scenario.scenario.seconds and fleet.over):
        tally.sample(fleet)
        queue.run(min(end, queue.time + STEP))
    return tally


def play_real(form: Form, relays: int, seed: int) -> Tally:
    """One run of relay processes on loopback, in real time; StageError where they do not start."""
    from limelatch.lab.play import play_sockets

    scenario, text = form.scenario(relays)
    tally = Tally(scenario)
    with tempfile.TemporaryDirectory(prefix="limelatch-hollow-") as folder:
        record = Path(folder) / f"run{rec.SUFFIX}"
        play_sockets(scenario, text, seed, record, folder)
        for event in rec.Reader(record):
            tally.add(event)
    return tally


def one(job: tuple[Form, str, int, int]) -> tuple[dict[tuple[str, str, str], float], int]:
    """A run's figures, and by how many ticks its stage was late at most; 0 in virtual time."""
    form, kind, relays, seed = job
    tally = (play_real if kind == REAL else play_hollow)(form, relays, seed)
    return tally.figures(), max(tally.latest.values(), default=0)


def points(
    runs: dict[int, list[dict[tuple[str, str, str], float]]], suffix: str = "", note: str = ""
) -> list[Point]:
    """One point a measure and number of relays; its values are the seeds' in their order."""
    found: list[Point] = []
    for relays, every in runs.items():
        for name in dict.fromkeys(name for figures in every for name in figures):
            scenario, measure, unit = name
            values = [round(figures[name], 5) for figures in every if name in figures]
            none = len(every) - len(values)
            notes = [note, f"{none} of {len(every)} runs had none" if none else ""]
            found.append(
                Point(
                    scenario + suffix, measure, unit, "relays", relays, values, "; ".join(filter(None, notes))
                )
            )
    return found


def measure(
    form: Form, relays: list[int], seeds: list[int], processes: int, told: Callable[[str], None]
) -> list[Point]:
    """One form at all sizes; `told` hears of each run as it ends."""
    jobs = [(form, HOLLOW, size, seed) for size in relays for seed in seeds]
    runs: dict[int, list] = {}
    with ProcessPoolExecutor(processes) as pool:
        for job, (figures, _) in zip(jobs, pool.map(one, jobs), strict=True):
            told(f"{form.name}: {job[2]} relays, seed {job[3]}")
            runs.setdefault(job[2], []).append(figures)
    return points(
        runs, " held" if form is LONG else "", f"texts valid for {form.valid} s, out for {form.lasts} s"
    )


def measure_fidelity(seeds: list[int], told: Callable[[str], None]) -> list[Point]:
    """The same scenario with hollow relays and with real ones, for figures side by side."""
    found: list[Point] = []
    for kind in (HOLLOW, REAL):
        runs, late = [], 0
        for seed in seeds:
            figures, by = one((FIDELITY, kind, FIDELITY_RELAYS, seed))
            told(f"{FIDELITY.name}: {FIDELITY_RELAYS} {kind} relays, seed {seed}")
            runs.append(figures)
            late = max(late, by)
        note = f"calls fail at once for {FIDELITY.lasts} s" + (
            f"; the stage was late by {late // MS} ms at most" if late else ""
        )
        found += points({FIDELITY_RELAYS: runs}, f" {kind}", note)
    return found
