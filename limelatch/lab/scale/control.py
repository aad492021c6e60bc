"""Control by size: a change's way to all watchers of the catalog, cuts that end, and starts of many at once.

Control machines are stand-ins of ours that serve the catalog's list and its watch, each to a share of the
watchers; watchers are clients that speak the watch and only count. How a change comes to all the machines is
not part of it: they are told at the same moment. Everything is on loopback, and ends with its process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import httptools

from limelatch.lab.scale.results import Point
from limelatch.lab.stages.errors import StageError
from limelatch.standin.agent import KEEPALIVE_INTERVAL, LIST_PATH
from limelatch.standin.http import Connection, Request, Server, answer_bytes

LOOPBACK = "127.0.0.1"
MACHINES, A_PROCESS = 5, 100  # control machines; watchers in one process
ANSWER_MOST = 60.0  # seconds until a part that says nothing has failed
PIECE = 256 * 1024  # bytes handed to a connection at once: bounds the memory of a start of many
CHANGES = 20  # a run's, one after another; and those that are missed in a cut
BUDGET, IN_FORCE = 3000, 15  # bytes a second that a relay may spend on control; seconds to be told within
CUTS = {"zone": 7, "fifth": 5, "region": 3}  # one of so many
STARTS = {"rack": 20, "zone": 100}
LINE_MOST = 1 << 16
BEAT = len(b"1\r\n\n\r\n")  # bytes of an empty line of the watch, as they come over the wire


def row(number: int, status: str = "active") -> bytes:
    """One row of the list, in the catalog's form."""
    port = 1024 + number % 60_000
    return (
        f'{{"name":"s-{number:08x}","address":"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}'
        f':{port}","zone":"{"abcdefg"[number % 7]}","type":"m2","group":{number},"status":"{status}",'
        f'"weight":1.0,"since_ms":0}}'
    ).encode()


def page(index: int, rows: Iterable[bytes], whole: bool) -> bytes:
    """One object of the list or the watch, on its line."""
    return b'{"index":%d,"snapshot":%s,"endpoints":[%s]}\n' % (
        index,
        b"true" if whole else b"false",
        b",".join(rows),
    )


class Fed(Connection):
    """A connection that takes long answers piece by piece, as fast as the other side reads."""

    def __init__(self, handler) -> None:
        super().__init__(handler)
        self.rest, self.flows = memoryview(b""), True

    def write(self, raw: bytes) -> None:
        self.handler.handler.sent += len(raw)
        super().write(raw)

    def write_long(self, raw: bytes) -> None:
        self.rest = memoryview(raw)
        self.resume_writing()

    def pause_writing(self) -> None:
        self.flows = False

    def resume_writing(self) -> None:
        self.flows = True
        while self.rest and self.flows and self.open:
            piece, self.rest = self.rest[:PIECE], self.rest[PIECE:]
            self.write(piece)


class FedServer(Server):
    """A server of such connections."""

    def _connection(self) -> Connection:
        connection = Fed(self)
        self.connections.add(connection)
        return connection


class Feeder:
    """One control machine: the list of `count` rows, its changes, and whoever watches.

    A change is written once and goes to all; what is asked for by an index is joined from the changes since,
    the whole list is made once a version."""

    def __init__(self, count: int) -> None:
        self.rows = [row(number) for number in range(count)]
        self.index, self.sent, self.lists = 1, 0, 0
        self.log: list[tuple[int, int]] = []  # index, and which row it changed
        self.watches: set[Connection] = set()
        self._whole: tuple[int, bytes] = (0, b"")
        self._beat: asyncio.TimerHandle | None = None

    def change(self, count: int) -> None:
        """So many rows change, each a version of its own."""
        for _ in range(count):
            self.index += 1
            number = self.index * 7919 % len(self.rows)
            self.rows[number] = row(number, "leaving" if self.index % 2 else "active")
            self.log.append((self.index, number))
            line = page(self.index, [self.rows[number]], False)
            for connection in self.watches:
                connection.chunk(line)

    def whole(self) -> bytes:
        if self._whole[0] != self.index:
            self._whole = self.index, page(self.index, self.rows, True)
        return self._whole[1]

    def since(self, index: int) -> bytes:
        return page(
            self.index, [self.rows[at] for at in {at for known, at in self.log if known > index}], False
        )

    def quiet(self) -> None:
        for connection in self.watches:
            connection.chunk(b"\n")
        self._beat = asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL, self.quiet)

    def request_received(self, request: Request) -> None:
        parts, connection = urlsplit(request.target), request.connection
        query = parse_qs(parts.query)
        if parts.path != LIST_PATH:
            connection.answer(404)
        elif query.get("stream") != ["1"]:
            body, self.lists = self.whole(), self.lists + 1
            head = answer_bytes(200).replace(b"Content-Length: 0", b"Content-Length: %d" % len(body))
            connection.write(head)
            connection.write_long(body)
        else:
            connection.stream()
            known = int(query["index"][0])
            if known < self.index:
                connection.chunk(self.since(known))
            self.watches.add(connection)
            if self._beat is None:
                self._beat = asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL, self.quiet)

    def connection_opened(self, connection: Connection) -> None:
        pass

    def unreadable_input(self, connection: Connection) -> None:
        pass

    def connection_closed(self, connection: Connection) -> None:
        self.watches.discard(connection)


class Watcher(asyncio.Protocol):
    """One hollow watcher: it asks by the index that it holds, or for the whole list first, and counts."""

    def __init__(self, changed: Callable[[Watcher], None]) -> None:
        self.changed, self.index = changed, 0  # 0: it holds no list
        self.at = 0.0  # when its last object was whole, on the machine's monotonic clock
        self.read = self.wholes = 0  # bytes of objects; whole lists
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.head = transport, b""
        self.parser = httptools.HttpResponseParser(self)
        self.ask()

    def ask(self) -> None:
        target = f"{LIST_PATH}?stream=1&index={self.index}" if self.index else LIST_PATH
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: catalog\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, part: bytes) -> None:
        """Lines may come in pieces; of each only its beginning is kept."""
        self.read, begin = self.read + len(part), 0
        while (end := part.find(b"\n", begin)) >= 0:
            self.head += part[begin : min(end, begin + 64)]
            begin = end + 1
            if self.head:
                self.index, self.at = int(self.head[:64].split(b",")[0].partition(b":")[2]), time.monotonic()
                self.wholes += b'"snapshot":true' in self.head[:64]
                self.changed(self)
            else:
                self.read -= 1  # an empty line: bytes are of objects alone, and exact
            self.head = b""
        if len(self.head) < 64:
            self.head += part[begin : begin + 64]

    def on_message_complete(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.ask()


class Watchers:
    """The hollow watchers of one process, by number."""

    def __init__(self) -> None:
        self.all: dict[int, Watcher] = {}
        self.wanted, self.missing = 0, set()
        self.done = asyncio.Event()

    async def connect(self, who: list[int], addresses: list[str], index: int) -> None:
        """All at once, each to its machine; those that were here ask by the index that they hold."""
        loop = asyncio.get_running_loop()

        async def one(number: int) -> None:
            watcher = self.all.get(number)
            if watcher is None:
                watcher = self.all[number] = Watcher(self.changed)
                watcher.index = index
            host, _, port = addresses[number % len(addresses)].partition(":")
            await loop.create_connection(lambda: watcher, host, int(port))

        await asyncio.gather(*map(one, who))

    def cut(self, who: Iterable[int]) -> None:
        for number in who:
            self.all[number].transport.abort()

    def forget(self) -> None:
        """All of them end, with what they hold."""
        self.cut(self.all)
        self.all = {}

    def changed(self, watcher: Watcher) -> None:
        if watcher.index >= self.wanted and watcher in self.missing:
            self.missing.discard(watcher)
            if not self.missing:
                self.done.set()

    async def until(self, who: list[int], index: int) -> dict:
        """Wait until all of these hold that version; when the last had it, and what they have read."""
        found = [self.all[number] for number in who if number in self.all]
        self.wanted, self.missing = index, {each for each in found if each.index < index}
        self.done.clear()
        if self.missing:
            await self.done.wait()
        return {
            "at": max((each.at for each in found), default=0.0),
            "read": sum(each.read for each in found),
            "wholes": sum(each.wholes for each in found),
        }


async def serve_orders(handle: Callable) -> None:
    """Orders on stdin, a line each, answered on stdout; at the end of stdin the process is over."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await handle(json.loads(line))), flush=True)


def most_memory() -> int:
    """The most bytes that this process held; getrusage would count its parent's, from before the exec."""
    with open("/proc/self/status", encoding="ascii") as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM:"))


async def feed(count: int) -> None:
    """The process of one control machine."""
    feeder = Feeder(count)
    server = FedServer(feeder, LOOPBACK)
    await server.start()

    async def handle(order: dict) -> dict:
        if "change" in order:
            feeder.change(order["change"])
        return {
            "address": server.address,
            "index": feeder.index,
            "sent": feeder.sent,
            "lists": feeder.lists,
            "cpu": time.process_time(),
            "watches": len(feeder.watches),
            "memory": most_memory(),
        }

    await serve_orders(handle)


async def watch() -> None:
    """The process of some hollow watchers."""
    watchers = Watchers()

    async def handle(order: dict) -> dict:
        if order["do"] == "connect":
            await watchers.connect(order["who"], order["addresses"], order["index"])
        elif order["do"] == "cut":
            watchers.cut(order["who"])
        elif order["do"] == "forget":
            watchers.forget()
        else:
            return await watchers.until(order["who"], order["index"])
        return {}

    await serve_orders(handle)


class Part:
    """A process of ours that answers orders."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, *words: str) -> Part:
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "limelatch.lab.scale.control",
                *words,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=LINE_MOST,
            )
        )

    def tell(self, **order: object) -> None:
        self.process.stdin.write(json.dumps(order).encode() + b"\n")

    async def hear(self) -> dict:
        """Its answer; StageError where none comes in time."""
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_MOST)
        except TimeoutError:
            raise StageError(f"a part of the control stage was silent for {ANSWER_MOST:.0f} s") from None
        if not line:
            raise StageError("a part of the control stage ended")
        return json.loads(line)

    async def ask(self, **order: object) -> dict:
        self.tell(**order)
        return await self.hear()

    async def close(self) -> None:
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 5)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


@dataclass(frozen=True)
class Cost:
    """What reached the watchers, and what it cost the machines: bytes, seconds of processor.

    `spreads`: seconds until the last had it, of each time that it was done."""

    spreads: list[float]
    read: int
    cpu: float
    wholes: int
    memory: int = 0  # the most that one machine held so far


class Control:
    """The machines and the processes of watchers, as long as it is entered."""

    def __init__(self, rows: int, watchers: int) -> None:
        self.rows, self.count = rows, watchers
        self.machines: list[Part] = []
        self.parts: list[Part] = []
        self.addresses: list[str] = []
        self.index = 1

    async def __aenter__(self) -> Control:
        try:
            for _ in range(MACHINES):
                self.machines.append(await Part.start("feed", str(self.rows)))
            for _ in range(-(-self.count // A_PROCESS)):
                self.parts.append(await Part.start("watch"))
            self.addresses = [each["address"] for each in await self.told()]
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for part in self.parts + self.machines:
            with contextlib.suppress(ConnectionError, ProcessLookupError):
                await part.close()

    async def told(self, **order: object) -> list[dict]:
        for machine in self.machines:
            machine.tell(**order)
        return [await machine.hear() for machine in self.machines]

    def shares(self, who: Iterable[int]) -> Iterator[tuple[Part, list[int]]]:
        found: dict[int, list[int]] = {}
        for number in who:
            found.setdefault(number // A_PROCESS, []).append(number)
        for at, numbers in found.items():
            yield self.parts[at], numbers

    async def order(self, do: str, who: Iterable[int], **more: object) -> list[dict]:
        shares = list(self.shares(who))
        for part, numbers in shares:
            part.tell(do=do, who=numbers, **more)
        return [await part.hear() for part, _ in shares]

    async def connect(self, who: Iterable[int], index: int) -> None:
        await self.order("connect", who, addresses=self.addresses, index=index)

    async def settle(self, count: int) -> None:
        """Wait until so many watches stand at the machines."""
        until = time.monotonic() + ANSWER_MOST
        while sum(each["watches"] for each in await self.told()) != count:
            if time.monotonic() > until:
                raise StageError(f"not {count} watches")
            await asyncio.sleep(0.02)

    async def change(self, count: int = 1) -> None:
        await self.told(change=count)
        self.index += count

    async def measured(self, who: list[int], work: Callable, times: int = 1) -> Cost:
        """Do it so often, and wait each time until all of these hold the machines' version."""
        read, before, spreads = await self.order("until", who, index=0), await self.told(), []
        for _ in range(times):
            began = time.monotonic()
            await work()
            got = await self.order("until", who, index=self.index)
            spreads.append(max(each["at"] for each in got) - began)
        after = await self.told()
        return Cost(
            spreads,
            sum(each["read"] for each in got) - sum(each["read"] for each in read),
            sum(each["cpu"] for each in after) - sum(each["cpu"] for each in before),
            sum(each["wholes"] for each in got) - sum(each["wholes"] for each in read),
            max(each["memory"] for each in after),
        )


async def changes(watchers: int, runs: int, rows: int = 2000) -> list[Cost]:
    """Single changes, one after another: each run's costs."""
    async with Control(rows, watchers) as control:
        every = list(range(watchers))
        await control.connect(every, control.index)
        await control.settle(watchers)
        await control.measured(every, control.change)  # the first pays for what is loaded late
        return [await control.measured(every, control.change, CHANGES) for _ in range(runs)]


async def cut_and_back(watchers: int, share: int, runs: int, rows: int = 2000) -> tuple[int, list[Cost]]:
    """One of `share` watchers is cut off, misses changes, and asks by its index: how many, each run's cost.

    A fifth is one machine's, a zone or region is spread over the machines."""
    async with Control(rows, watchers) as control:
        every = list(range(watchers))
        cut, costs = [each for each in every if each % share == 0], []
        await control.connect(every, control.index)
        await control.settle(watchers)
        for _ in range(runs):
            await control.order("cut", cut)
            await control.settle(watchers - len(cut))
            await control.change(CHANGES)

            async def back() -> None:
                await control.connect(cut, 0)

            costs.append(await control.measured(cut, back))
            await control.settle(watchers)
        return len(cut), costs


async def start_at_once(watchers: list[int], rows: int, runs: int) -> dict[int, list[Cost]]:
    """Watchers that hold nothing, so many of them at once: the whole list first, then the watch.

    Each run is of a new version, so that every machine makes its list anew."""
    found: dict[int, list[Cost]] = {}
    async with Control(rows, max(watchers)) as control:
        await asyncio.gather(*[part.ask(do="forget") for part in control.parts])  # they are up
        for count in watchers:
            every = list(range(count))

            async def start(every: list[int] = every) -> None:
                await control.connect(every, 0)

            for _ in range(runs):
                await control.change()
                found.setdefault(count, []).append(await control.measured(every, start))
                await asyncio.gather(*[part.ask(do="forget") for part in control.parts])
                await control.settle(0)
    return found


def change_points(watchers: int, runs: list[Cost], rows: int) -> list[Point]:
    def point(measure: str, unit: str, values: list[float], note: str = "") -> Point:
        return Point(
            "change",
            measure,
            unit,
            "watchers",
            watchers,
            values,
            "; ".join(filter(None, [f"{CHANGES} changes a run, {rows} rows, {MACHINES} machines", note])),
        )

    wall, each = "wall time on a shared machine", CHANGES * watchers
    return [
        point(
            "until the last has it, mean",
            "ms",
            [round(1000 * sum(run.spreads) / CHANGES, 3) for run in runs],
            wall,
        ),
        point("until the last has it, most", "ms", [round(1000 * max(run.spreads), 3) for run in runs], wall),
        point(
            "bytes a change and watcher",
            "B",
            [round(run.read / each, 2) for run in runs],
            "objects; beside them 6 B of framing, and empty lines of "
            f"{BEAT / KEEPALIVE_INTERVAL:.0f} B a second",
        ),
        point(
            "processor a change and watcher",
            "us",
            [round(1e6 * run.cpu / each, 3) for run in runs],
            "all machines' together",
        ),
        point(
            "processor a change",
            "ms",
            [round(1000 * run.cpu / CHANGES, 4) for run in runs],
            "all machines' together",
        ),
    ]


def cut_points(name: str, count: int, costs: list[Cost], watchers: int) -> list[Point]:
    note = f"a {name} of {watchers}, {CHANGES} changes missed"
    rows = [
        ("until the last is up to date", "ms", [round(1000 * each.spreads[0], 3) for each in costs]),
        ("bytes a watcher", "B", [round(each.read / count, 1) for each in costs]),
        ("processor a watcher", "us", [round(1e6 * each.cpu / count, 2) for each in costs]),
        ("whole lists", "count", [float(each.wholes) for each in costs]),
    ]
    return [
        Point(
            "cut back",
            measure,
            unit,
            "watchers",
            count,
            values,
            note + ("; wall time on a shared machine" if unit == "ms" else ""),
        )
        for measure, unit, values in rows
    ]


def start_points(name: str, watchers: int, rows: int, costs: list[Cost]) -> list[Point]:
    a_watcher = [each.read / watchers for each in costs]
    note = f"{watchers} at once from {MACHINES} machines"
    found = [
        (
            "until the last has it",
            "s",
            [round(each.spreads[0], 4) for each in costs],
            "wall time on a shared machine",
        ),
        ("bytes a watcher", "B", [round(each, 1) for each in a_watcher], ""),
        ("bytes in all", "MB", [round(each.read / 1e6, 3) for each in costs], ""),
        (
            "processor a watcher",
            "ms",
            [round(1000 * each.cpu / watchers, 4) for each in costs],
            "all machines' together",
        ),
        ("memory of a machine at most", "MB", [round(each.memory / 1e6, 1) for each in costs], ""),
        (
            "rows that the budget carries in time",
            "count",
            [round(rows * BUDGET * IN_FORCE / each) for each in a_watcher],
            f"{BUDGET} B a second for {IN_FORCE} s: arithmetic",
        ),
        (
            "time at the budget",
            "s",
            [round(each / BUDGET, 1) for each in a_watcher],
            f"bytes a watcher by {BUDGET} B a second: arithmetic",
        ),
    ]
    return [
        Point(f"start {name}", measure, unit, "rows", rows, values, "; ".join(filter(None, [note, more])))
        for measure, unit, values, more in found
    ]


async def measure(
    watchers: list[int], rows: list[int], runs: int, told: Callable[[str], None]
) -> list[Point]:
    """All of it, one after another; `told` hears of each part as it ends."""
    found: list[Point] = []
    for count in watchers:
        found += change_points(count, await changes(count, runs), 2000)
        told(f"changes, {count} watchers")
    most = max(watchers)
    for name, share in CUTS.items():
        count, costs = await cut_and_back(most, share, runs)
        found += cut_points(name, count, costs, most)
        told(f"cut and back, a {name}: {count} watchers")
    for size in rows:
        costs = await start_at_once(list(STARTS.values()), size, runs)
        for name, count in STARTS.items():
            found += start_points(name, count, size, costs[count])
        told(f"starts of {' and '.join(STARTS)}, {size} rows")
    return found


def main(words: list[str]) -> None:
    """What a part's process runs: `feed ROWS` or `watch`."""
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(feed(int(words[1])) if words[0] == "feed" else watch())


if __name__ == "__main__":
    main(sys.argv[1:])
