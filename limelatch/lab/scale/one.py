"""The slopes of one real relay: what it costs by the number of destinations, of shut ones, of held texts.

The relay is a process of any tree of the program, met by its sockets, /proc and its folder alone. Memory is
in MB of 10^6 bytes, processor time from /proc/PID/task/*/schedstat, control bytes are payload of TCP both
ways. Where the program does not do what is to be measured, a point has no values and says what was seen.
"""

from __future__ import annotations

import asyncio
import fcntl
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from limelatch.lab.scale.process import NotServing
from limelatch.lab.scale.results import Point, Results, commit_of, machine
from limelatch.lab.scale.session import Session

BASE = 16  # destinations of the relay that memory a destination is counted from, and that texts go to
REST = 8.0  # seconds at rest
CHANGES, CHANGES_MORE, CHANGE_EACH = 20, 180, 0.1  # one by one; more of them where one costs little; seconds
CHEAP = 0.003  # seconds of processor a change, below which more are counted
BURST, OBJECTS = 1000, 100  # rows changed in one object; objects of one row at once
WAKE = 1000
TRICKLES = (3.0, 10.0)  # seconds for which the whole list arrives
STEADY, STEADY_RATE = 400, 80.0  # texts, one after the other, a second
DOWN = (0, 10, 100, 300, 1000, 3000)
BACKLOG, BACKLOG_EACH = (1000, 3000, 10_000, 30_000), 400  # texts; at a shut destination
NUMBERS = (65_535, 65_536, 180_000)  # of destinations
FINE = 1.02  # how narrow the list's bound is looked for
REFUSING = (0, 100, 300, 1000, 3000)
BLOCKS, BLOCK = 6, 160  # of texts, in turn to the two relays of a pair
DESTINATIONS, SHUT, HELD, NUMBER = "destinations", "shut destinations", "held texts", "highest number"
OUT = "destinations down"
SIZED = ("start", "rest", "text", "change", "burst", "list", "wake", "folder")  # in one relay, in this order
AFTER_TEXTS = ("change", "burst", "list", "wake")  # begin after texts, whose connections may be kept
ALL = ("walls", *SIZED, "trickle", "beside", "down", "backlog", "pair")


class OtherRun(Exception):
    """The file holds results of another program or machine."""


@dataclass
class Book:
    """Values as they come, by point."""

    points: dict[tuple[str, str, str, float], Point] = field(default_factory=dict)

    def add(
        self, scenario: str, measure: str, unit: str, axis: str, x: float, value: float, note: str = ""
    ) -> None:
        key = scenario, measure, axis, x
        old = self.points.get(key)
        values = [*(old.values if old else []), float(f"{value:.6g}")]
        notes = [note for note in dict.fromkeys([old.note if old else "", note]) if note]
        self.points[key] = Point(scenario, measure, unit, axis, x, values, "; ".join(notes))

    def none(
        self, scenario: str, axis: str, x: float, why: str, measure: str = "served", unit: str = ""
    ) -> None:
        """A point without values: none were to be had."""
        self.points[scenario, measure, axis, x] = Point(scenario, measure, unit, axis, x, [], why)


def key_of(point: Point) -> tuple[str, str, str, float]:
    return point.scenario, point.measure, point.axis, point.x


def store(path: Path, subject: str, command: str, tree: Path, points: list[Point]) -> Results:
    """Put points into the file, each in place of an earlier one of the same series and place.

    OtherRun where the file holds another subject, commit or machine; the file is locked meanwhile, so that
    commands for other scenarios may run beside this one."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with open(path, "a+b") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        file.seek(0)
        raw = file.read()
        at = f"{datetime.now(UTC):%Y-%m-%dT%H:%M:%SZ}"
        new = Results(subject, command, commit_of(tree), at, machine(), [])
        held: dict[tuple[str, str, str, float], Point] = {}
        if raw:
            old = msgspec.json.decode(raw, type=Results)
            if (old.subject, old.commit, old.machine) != (new.subject, new.commit, new.machine):
                raise OtherRun(
                    f"{path.name} holds {old.subject!r} at {old.commit} on {old.machine}, "
                    f"this is {new.subject!r} at {new.commit} on {new.machine}"
                )
            held = {key_of(each): each for each in old.points}
            new = msgspec.structs.replace(
                new, command="; ".join(dict.fromkeys([*old.command.split("; "), command]))
            )
        held |= {key_of(each): each for each in points}
        new = msgspec.structs.replace(
            new,
            points=sorted(
                held.values(), key=lambda each: (ALL.index(each.scenario), each.measure, each.axis, each.x)
            ),
        )
        file.seek(0)
        file.truncate()
        file.write(msgspec.json.format(msgspec.json.encode(new), indent=1) + b"\n")
    return new


def spread(numbers: list[int], count: int, offset: int = 0) -> list[int]:
    """`count` of these, evenly over all of them."""
    step = max(1, len(numbers) // count)
    return numbers[offset % step :: step][:count]


class Measurement:
    """All scenarios asked for over one tree; `progress` is told a line before each relay."""

    def __init__(self, tree: Path, scenarios: tuple[str, ...], progress: Callable[[str], None]) -> None:
        self.tree, self.scenarios, self.progress, self.book = tree, scenarios, progress, Book()
        self.base_memory = 0

    async def warm_up(self) -> None:
        """A relay whose figures are thrown away.

        Guards against a first start that compiles the tree's modules and counts that as the relay's."""
        async with Session(self.tree, range(1, BASE + 1)) as session:
            await session.serve()

    # By the number of destinations.

    async def size(self, count: int, run: int) -> None:
        """One relay over `count` destinations through all scenarios of a size; then the trickling ones."""
        chosen = [name for name in SIZED if name in self.scenarios]
        if chosen:
            self.progress(f"{count} destinations, run {run + 1}: {' '.join(chosen)}")
            if "start" in chosen:
                async with Session(self.tree, range(1, BASE + 1)) as session:
                    await session.serve()
                    await session.relay.settle()
                    self.base_memory = session.relay.gauges().memory
            async with Session(self.tree, range(1, count + 1)) as session:
                await self._sized(session, count, chosen)
        for seconds in TRICKLES if "trickle" in self.scenarios else ():
            await self._trickle(count, seconds)

    async def _sized(self, session: Session, count: int, chosen: list[str]) -> None:
        x = float(count)
        try:
            await self._start(session, x, "start" in chosen)
        except NotServing as error:
            for name in chosen:
                self.book.none(name, DESTINATIONS, x, str(error))
            return
        if chosen == ["start"]:
            return
        await self._rest(session, x, "rest" in chosen)
        steps: dict[str, Callable[[Session, float], Awaitable[None]]] = {
            "text": self._text,
            "change": self._change,
            "burst": self._burst,
            "list": self._list,
            "wake": self._wake,
            "folder": self._folder,
        }
        for name in chosen:
            if name in steps:
                try:
                    if name in AFTER_TEXTS:
                        await session.calm()
                    await steps[name](session, x)
                except (NotServing, OSError) as error:
                    self.book.none(name, DESTINATIONS, x, str(error), "failed")

    async def _start(self, session: Session, x: float, noted: bool) -> None:
        served = await session.serve()
        await session.relay.settle()
        if not noted:
            return
        seen, whole = session.relay.gauges(), session.relay.processor()
        add = self._adder("start", x)
        add("processor until served", "s", served.processor)
        add("processor until at rest", "s", whole)
        add("clock until served", "s", served.clock, "on a shared machine")
        add("memory", "MB", seen.memory / 1e6)
        add("peak memory", "MB", seen.peak / 1e6)
        add(
            "memory a destination",
            "B",
            (seen.memory - self.base_memory) / max(1.0, x - BASE),
            f"above a relay of {BASE}",
        )
        add("descriptors", "", seen.descriptors)
        add("control bytes", "B", session.control_bytes())
        add("folder", "B", session.relay.folder_bytes())

    def _adder(self, scenario: str, x: float, axis: str = DESTINATIONS) -> Callable[..., None]:
        def add(measure: str, unit: str, value: float, note: str = "") -> None:
            self.book.add(scenario, measure, unit, axis, x, value, note)

        return add

    async def _rest(self, session: Session, x: float, noted: bool) -> None:
        used, control = await session.rest(REST if noted else REST / 2)
        if noted:
            add = self._adder("rest", x)
            add("processor", "ms/s", used * 1e3)
            add("control bytes", "B/s", control)
            add("memory", "MB", session.relay.gauges().memory / 1e6)
            add("descriptors", "", session.relay.gauges().descriptors)

    async def _text(self, session: Session, x: float) -> None:
        spent: list[float] = []
        async with session.cost(spent):
            came = await session.steady(self._round(session), STEADY_RATE)
        add = self._adder("text", x)
        add("processor a text", "us", spent[0] / STEADY * 1e6, f"{STEADY_RATE:g} a second over {BASE}")
        add("delivered", "texts", came, f"of {STEADY}")

    def _round(self, session: Session) -> list[int]:
        """The steady texts' destinations, in turn."""
        chosen = spread(session.numbers, BASE)
        return [chosen[each % BASE] for each in range(STEADY)]

    async def _change(self, session: Session, x: float) -> None:
        places = list(range(len(session.numbers)))
        add, spent = self._adder("change", x), []
        chosen, control = spread(places, CHANGES, 1), session.control_bytes()
        async with session.cost(spent):
            for place in chosen:
                session.move([place])
                await asyncio.sleep(CHANGE_EACH)
        counted, control = len(chosen), session.control_bytes() - control
        if spent[0] / counted < CHEAP:
            more = spread(places, CHANGES_MORE, 2)
            async with session.cost(spent):
                for place in more:
                    session.move([place])
                    await asyncio.sleep(CHANGE_EACH / 5)
            counted += len(more)
        add("processor a change", "ms", sum(spent) / counted * 1e3, f"mean of {counted}")
        add("control bytes a change", "B", control / len(chosen), "with the empty lines meanwhile")
        add("in force", "hosts", await session.in_force(chosen), f"of {len(chosen)} moved")
        busy, at_work = spread(places, CHANGES, 3), []
        await session.wake([session.numbers[place] for place in busy])
        await asyncio.sleep(0.3)  # what the texts cost is over, their connections are kept for some seconds
        async with session.cost(at_work):
            for place in busy:
                session.move([place])
                await asyncio.sleep(CHANGE_EACH / 2)
        add(
            "processor a change at work",
            "ms",
            at_work[0] / len(busy) * 1e3,
            f"mean of {len(busy)}, each with an idle connection",
        )
        add("in force at work", "hosts", await session.in_force(busy), f"of {len(busy)} moved")

    async def _burst(self, session: Session, x: float) -> None:
        places = list(range(len(session.numbers)))
        add, spent = self._adder("burst", x), []
        chosen = spread(places, min(BURST, len(places) // 2), 1)
        async with session.cost(spent):
            session.move(chosen)
            await asyncio.sleep(0.2)
        add("processor a row", "us", spent[0] / len(chosen) * 1e6, f"{len(chosen)} rows in one object")
        add("in force", "hosts", await session.in_force(spread(chosen, CHANGES)), f"of {CHANGES} looked at")
        single = spread(places, OBJECTS, 2)
        await session.calm()
        async with session.cost(spent):
            for place in single:
                session.move([place])
            await asyncio.sleep(0.2)
        add("processor an object", "ms", spent[1] / len(single) * 1e3, f"{len(single)} of one row at once")
        add(
            "in force, objects",
            "hosts",
            await session.in_force(spread(single, CHANGES)),
            f"of {CHANGES} looked at",
        )

    async def _list(self, session: Session, x: float) -> None:
        add, spent, asked = self._adder("list", x), [], session.list.whole
        watched = session.list.watched
        places = spread(list(range(len(session.numbers))), max(1, len(session.numbers) // 100))
        session.forget_peak()
        async with session.cost(spent):
            size = session.relist(places)
            await asyncio.sleep(0.5)
            right = await session.in_force(spread(places, 1))
        seen = session.relay.gauges()
        add("processor", "s", spent[0], "a whole list on the watch, one host in 100 moved")
        add("control bytes", "B", size)
        add("peak memory", "MB", seen.peak / 1e6)
        add("memory afterwards", "MB", seen.memory / 1e6)
        add("in force", "hosts", right, "of 1 looked at")
        add("whole lists asked for", "calls", session.list.whole - asked)
        add("watches opened anew", "calls", session.list.watched - watched)

    async def _wake(self, session: Session, x: float) -> None:
        add, spent, stop = self._adder("wake", x), [], asyncio.Event()
        chosen = spread(session.numbers, min(WAKE, len(session.numbers) // 2), 5)
        looking = asyncio.create_task(session.descriptors_most(stop))
        before, began = session.relay.gauges(), asyncio.get_running_loop().time()
        async with session.cost(spent):
            said, came = await session.wake(chosen)
            took = asyncio.get_running_loop().time() - began
        stop.set()
        add("processor a text", "us", spent[0] / len(chosen) * 1e6, f"{len(chosen)} destinations at once")
        add("delivered", "texts", came, f"of {len(chosen)}; answered {dict(said)}")
        add("clock until the last", "s", took, "on a shared machine")
        add("descriptors at most", "", await looking)
        add("memory gained", "MB", (session.relay.gauges().memory - before.memory) / 1e6)

    async def _folder(self, session: Session, x: float) -> None:
        control = session.control_bytes()
        await session.relay.stop()
        kept, asked = session.relay.folder_bytes(), session.list.whole
        served = await session.serve()
        await session.relay.settle()
        add, whole, seen = self._adder("folder", x), session.relay.processor(), session.relay.gauges()
        if session.list.whole > asked:
            self.book.none(
                "folder",
                DESTINATIONS,
                x,
                f"no copy of the list that serves: the whole one was "
                f"asked for {session.list.whole - asked} times; the folder held {kept} B",
            )
            return
        add("processor until served", "s", served.processor)
        add("processor until at rest", "s", whole)
        add("clock until served", "s", served.clock, "on a shared machine")
        add("memory", "MB", seen.memory / 1e6)
        add("peak memory", "MB", seen.peak / 1e6)
        add("control bytes", "B", session.control_bytes() - control)
        add("folder", "B", kept)

    async def _trickle(self, count: int, seconds: float) -> None:
        name, x = f"list over {seconds:g} s", float(count)
        old = self.book.points.get(("trickle", name, DESTINATIONS, x))
        if old is not None and not old.values:
            return  # it was never read in an earlier run
        self.progress(f"{count} destinations, the list over {seconds:g} s")
        async with Session(self.tree, range(1, count + 1), trickle=seconds) as session:
            try:
                served = await session.serve()
                await session.relay.settle()
            except NotServing as error:
                self.book.none("trickle", DESTINATIONS, x, str(error), name)
                return
            add = self._adder("trickle", x)
            add(name, "s", session.relay.processor(), "processor until at rest")
            add(f"{name}: clock until served", "s", served.clock)
            add(f"{name}: whole lists asked for", "calls", session.list.whole)

    # Beside others.

    async def beside(self, down: int, run: int) -> None:
        """Texts on 16 destinations beside `down` that were told to wait and hold a text each."""
        self.progress(f"texts beside {down} shut destinations, run {run + 1}")
        first = BASE + 1
        async with Session(
            self.tree, range(1, first), range(first, first + down), texts=2 * down + 2000
        ) as session:
            await session.serve()
            held = (await session.hold(down))["+OK"] if down else 0
            used, _ = await session.rest(REST / 2)
            spent: list[float] = []
            async with session.cost(spent):
                came = await session.steady(self._round(session), STEADY_RATE)
            add = self._adder("beside", float(down), SHUT)
            add("processor a text", "us", spent[0] / STEADY * 1e6, f"{STEADY_RATE:g} a second over {BASE}")
            add("delivered", "texts", came, f"of {STEADY}")
            add("processor at rest", "ms/s", used * 1e3)
            add("calls to shut ones", "calls", session.shut.calls, "each was told to wait 1,800 s")
            add("held", "texts", held - session.list.notices)

    async def down(self, down: int, run: int) -> None:
        """Texts on 16 destinations beside `down` that refuse connections, get trials and hold a text each.

        Both spans are of fixed length. Guards against waiting for a calm that comes only when the texts held
        have had all their submits."""
        self.progress(f"texts beside {down} destinations that refuse, run {run + 1}")
        first = BASE + 1
        async with Session(
            self.tree, range(1, first), down=range(first, first + down), texts=2 * down + 2000
        ) as session:
            await session.serve()
            said = await session.wake(session.down_ones, 0.0)
            await asyncio.sleep(REST / 4)  # each has been tried and is known to be down
            used, held = await session.over(asyncio.sleep(REST)), said[0]["+OK"] - session.list.notices
            began, before = asyncio.get_running_loop().time(), session.delivered()
            spent = await session.over(session.steady(self._round(session), STEADY_RATE))
            spent -= used / REST * (asyncio.get_running_loop().time() - began)
            came = session.delivered() - before
            add = self._adder("down", float(down), OUT)
            add("processor with no other text", "ms/s", used / REST * 1e3, f"trials, from {REST / 4:g} s on")
            add(
                "processor a text",
                "us",
                spent / STEADY * 1e6,
                f"{STEADY_RATE:g} a second over {BASE}, above that",
            )
            add("delivered", "texts", came, f"of {STEADY}")
            add("held", "texts", held, f"still, after {REST * 5 / 4:g} s")
            add("held at the end", "texts", said[0]["+OK"] - session.list.notices)

    async def pair(self, other: Path, run: int) -> None:
        """The same texts by turns to a relay of this tree and one of another, which stand side by side.

        Guards against a machine whose other load changes between the two measurements."""
        self.progress(f"a pair, run {run + 1}")
        listed = range(1, BASE + 1)
        async with Session(self.tree, listed) as this, Session(other, listed) as that:
            spent: dict[str, list[float]] = {"this": [], "other": []}
            for session in (this, that):
                await session.serve()
                await session.steady(self._round(session)[:BLOCK], STEADY_RATE)  # warm
            for session in (this, that):
                await session.rest(REST / 4)
            for block in range(BLOCKS):
                both = [("this", this), ("other", that)]
                for name, session in both if (block + run) % 2 else reversed(both):
                    async with session.cost(spent[name]):
                        came = await session.steady(self._round(session)[:BLOCK], STEADY_RATE)
                    if came != BLOCK:
                        raise NotServing(f"{came} of {BLOCK} texts were delivered by the {name} tree")
            add, each = self._adder("pair", float(BASE)), BLOCKS * BLOCK / 1e6
            add("processor a text", "us", sum(spent["this"]) / each)
            add("processor a text, other tree", "us", sum(spent["other"]) / each, f"at {commit_of(other)}")
            add(
                "ratio",
                "",
                sum(spent["this"]) / sum(spent["other"]),
                f"{BLOCKS} blocks of {BLOCK} texts each",
            )

    async def backlog(self, texts: int, run: int) -> None:
        """`texts` held, 400 a shut destination; memory by difference to the same relay before."""
        self.progress(f"a backlog of {texts} texts, run {run + 1}")
        first, down = BASE + 1, max(1, texts // BACKLOG_EACH)
        async with Session(
            self.tree, range(1, first), range(first, first + down), texts=2 * texts
        ) as session:
            await session.serve()
            await session.rest(REST / 2)
            before, folder, spent = session.relay.gauges(), session.relay.folder_bytes(), []
            async with session.cost(spent):
                said = await session.hold(texts)
            seen, kept, add = (
                session.relay.gauges(),
                session.relay.folder_bytes(),
                self._adder("backlog", float(texts), HELD),
            )
            held = said["+OK"] - session.list.notices
            add("held", "texts", held, f"answered {dict(said)}; {down} shut destinations")
            add("memory", "MB", seen.memory / 1e6)
            add("memory a held text", "B", (seen.memory - before.memory) / max(1, held), "empty bodies")
            add("folder a held text", "B", (kept - folder) / max(1, held), "empty bodies")
            add("processor a text taken on", "us", spent[0] / texts * 1e6)
            used, _ = await session.rest(REST / 2)
            add("processor at rest", "ms/s", used * 1e3)
            spent.clear()
            async with session.cost(spent):
                came = await session.steady(self._round(session), STEADY_RATE)
            add(
                "processor a text beside it",
                "us",
                spent[0] / STEADY * 1e6,
                f"{STEADY_RATE:g} a second over {BASE}",
            )
            add("delivered", "texts", came, f"of {STEADY}")

    # Where it stops working.

    async def walls(self, sizes: list[int]) -> None:
        """Numbers of destinations, and lengths of the list, at which no text is delivered any more."""
        for number in NUMBERS:
            self.progress(f"a destination numbered {number}")
            async with Session(self.tree, [1, number]) as session:
                try:
                    await session.serve(30.0)
                    self.book.add(
                        "walls", "delivered", "texts", NUMBER, float(number), session.delivered(), "of 2"
                    )
                except NotServing as error:
                    self.book.none("walls", NUMBER, float(number), str(error), "delivered", "texts")
        good, bad = 0, 0
        for count in sorted(sizes):
            if await self._reads(count):
                good = count
            else:
                bad = bad or count
        while good and bad and bad > good * FINE:
            middle = round((good * bad) ** 0.5)
            good, bad = (middle, bad) if await self._reads(middle) else (good, middle)

    async def _reads(self, count: int) -> bool:
        self.progress(f"a list of {count}")
        # Numbers within 16 bits, so that this is the list's bound alone.
        async with Session(self.tree, [1 + each % 65_535 for each in range(count)]) as session:
            size = len(session.list.list_bytes())
            try:
                await session.serve(probes=[1, 1 + (count - 1) % 65_535])
            except NotServing as error:
                self.book.none("walls", DESTINATIONS, float(count), str(error), "list", "B")
                return False
            self.book.add("walls", "list", "B", DESTINATIONS, float(count), size, "read, texts delivered")
            return True


async def measure(
    tree: Path,
    sizes: list[int],
    runs: int,
    scenarios: tuple[str, ...],
    progress: Callable[[str], None],
    keep: Callable[[list[Point]], None],
    other: Path | None = None,
) -> list[Point]:
    """Measure a tree, in `pair` beside another one.

    `keep` is given all points so far after the walls and after each run."""
    # Guards against relays that are left behind when the measuring process is ended.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    measurement = Measurement(tree, scenarios, progress)
    await measurement.warm_up()
    if "walls" in scenarios:
        await measurement.walls(sizes)
        keep(list(measurement.book.points.values()))
    steps: list[tuple[Callable[[int, int], Awaitable[None]], int, str, str]] = []
    if set(scenarios) & {*SIZED, "trickle"}:
        steps += [(measurement.size, count, "start", DESTINATIONS) for count in sizes]
    if "beside" in scenarios:
        steps += [(measurement.beside, down, "beside", SHUT) for down in DOWN]
    if "down" in scenarios:
        steps += [(measurement.down, down, "down", OUT) for down in REFUSING]
    if "pair" in scenarios and other is not None:
        steps += [(lambda _, run: measurement.pair(other, run), BASE, "pair", DESTINATIONS)]
    if "backlog" in scenarios:
        steps += [(measurement.backlog, texts, "backlog", HELD) for texts in BACKLOG]
    for run in range(runs):
        for step, x, scenario, axis in steps:
            try:
                await step(x, run)
            except (NotServing, OSError) as error:
                measurement.book.none(scenario, axis, float(x), f"run {run + 1}: {error}", "failed")
        keep(list(measurement.book.points.values()))
    return list(measurement.book.points.values())
