"""The stage "sockets": the world behind loopback sockets, relays as processes by the ordinary command, real
time.

One process is the emulator (endpoints, catalogs, platform), another the load; relays are started, killed,
restarted and told to reload as the time-line says. Each relay has an address of its own for each endpoint
and for its catalog, so that whoever calls is known. It measures its own lateness: a run in which it was late
can't be used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import resource
import shutil
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import psutil

from limelatch.client.pool import Pool
from limelatch.client.wire import AnswerKind
from limelatch.configuration.model import Catalog as CatalogTable
from limelatch.configuration.model import (
    Clients,
    Customer,
    Floor,
    Hosts,
    Identity,
    Installation,
    Kind,
    Limits,
    Log,
    LogForm,
    Membership,
    Product,
    Rules,
    Stop,
)
from limelatch.configuration.platform_form import write_platform
from limelatch.interface import MS, SECOND, Listing
from limelatch.lab import record as rec
from limelatch.lab.membership.forwarder import DatagramNetwork
from limelatch.lab.record import NEVER_RAN, Condition, Fate
from limelatch.lab.scenario.model import FaultKeys, Scenario, What
from limelatch.lab.stages.address import PlayAddress
from limelatch.lab.stages.errors import StageError
from limelatch.lab.stages.real import (
    Begin,
    Done,
    Finish,
    Go,
    Heartbeat,
    Nacked,
    ForeignText,
    Progressed,
    RealClock,
    Wiped,
    encode_line,
    read_body,
    read_load_message,
)
from limelatch.lab.stages.terms import idle_time, policy_settings_of
from limelatch.lab.world.endpoint import Endpoint, Reply, Route, WorldCall, WorldText
from limelatch.lab.world.world import World
from limelatch.standin.agent import AgentHandler, HostEntry, Notice
from limelatch.standin.host import Call, HostHandler, TextState
from limelatch.standin.http import Connection, Handler, Server

READY_WAIT, STOP_WAIT, START_PAUSE = 15.0, 4.0, 0.6  # seconds
GAUGE_EACH, SWEEP_EACH = 0.5, 0.5
HEAD_START = 0.1  # for the load to hear of it
OLD_ADDRESS = 1.5  # seconds for which a catalog that moved keeps its old connections
LISTENERS_MOST = 6000
STATUS = {Listing.READY: "active", Listing.DRAINING: "leaving", Listing.GONE: "left"}
LISTED = {Listing.READY: 0, Listing.DRAINING: 1, Listing.GONE: 2}
STATE_OF = {
    Fate.DELIVERED: TextState.DELIVERED,
    Fate.FAILED: TextState.FAILED,
    Fate.REFUSED: TextState.REFUSED,
    Fate.OVER: TextState.OVER,
    Fate.SPENT: TextState.SPENT,
}
GARBAGE = b"\x00\xff garbage \r\n\r\n"
NAMELESS = "any"  # a scenario without kinds or floors has one of each
REMEMBER = 60 * SECOND
SPOILT_SHARE = 0.1  # of the relays' datagrams, for each kind of fault


class Doors:
    """One endpoint's addresses, one a relay, and the calls that are out at each connection."""

    def __init__(self, endpoint: Endpoint, stage: Sockets) -> None:
        self.endpoint, self.stage = endpoint, stage
        self.servers: list[Server] = []
        self.out: dict[Connection, WorldCall] = {}
        self.rested: dict[Connection, int] = {}
        self.caught: set[Connection] = set()  # that spoke to a silent endpoint
        self.count = 0

    async def open(self) -> None:
        for relay in range(self.stage.scenario.relays.count):
            handler = HostHandler(
                lambda call, relay=relay: self.called(relay, call), self.closed, self.came, self.bad
            )
            server = self.stage.server(handler)
            self.servers.append(server)
            await server.start()

    def came(self, connection: Connection) -> None:
        self.count += 1
        self.rested[connection] = self.stage.clock.now()

    def bad(self, why: str) -> None:
        self.stage.oddities += 1

    def closed(self, connection: Connection) -> None:
        self.count -= 1
        self.rested.pop(connection, None)
        self.caught.discard(connection)
        if (call := self.out.pop(connection, None)) is not None:
            call.gone = True
            self.stage.writer.add(rec.GaveUp(self.stage.clock.now(), call.number))

    def called(self, relay: int, call: Call) -> None:
        """A whole call has come over this relay's address."""
        stage, endpoint, connection = self.stage, self.endpoint, call.connection
        self.rested.pop(connection, None)
        if endpoint.silent or endpoint.number in stage.cut[relay]:
            self.caught.add(connection)
            return
        if call.is_probe:
            connection.answer(503 if endpoint.out else 200)
            return
        texts = []
        for text in call.texts:
            try:
                mark = read_body(text.body, stage.address.host)
            except ForeignText as error:
                connection.answer(400)
                stage.foreign_call(endpoint, str(error))
                return
            texts.append(WorldText(text.id, mark.first, mark.product))
        now = stage.clock.now()
        stage.calls += 1
        stage.writer.add(
            rec.Called(now, now, stage.calls, relay, endpoint.number, [each.id for each in texts])
        )
        world = WorldCall(relay, texts, lambda reply: self.respond(call, world, reply), stage.calls)
        self.out[connection] = world
        for each in texts if stage.remembers else ():
            stage.ran_at[each.id] = now
        if self.count > endpoint.destination.group.connections:
            world.reply(Reply([Fate.REFUSED] * len(texts), by_status=True))
        else:
            endpoint.arrive(world)

    def respond(self, call: Call, world: WorldCall, reply: Reply) -> None:
        """The endpoint's answer, as bytes on the connection, if it still stands."""
        connection, stage = call.connection, self.stage
        if not connection.open or self.out.get(connection) is not world:
            return
        now, fates = stage.clock.now(), [int(each) for each in reply.fates]
        first = reply.fates[0]
        stage.writer.add(rec.Responded(now, now, world.number, fates, reply.wait))
        del self.out[connection]
        if stage.remembers and all(each in NEVER_RAN for each in fates):
            for each in world.texts:
                stage.ran_at.pop(each.id, None)
        if first != Fate.DELIVERED:
            stage.writer.add(rec.CallFailed(now, world.relay, self.endpoint.number))
        if first == Fate.RESET:
            connection.reset()
        elif first == Fate.GARBLED:
            connection.write(GARBAGE)
        else:
            states = [STATE_OF[Fate(each)] for each in reply.fates]
            status = None
            if reply.by_status:
                status = 500 if first == Fate.FAILED else 429 if reply.wait else 503
            report = {"x0": reply.left, "x1": reply.rate} if reply.rate else None
            call.answer(states, reply.wait / SECOND if reply.wait else None, report, status)
            self.rested[connection] = now

    def reachable(self) -> None:
        """Whether connections come up follows the endpoint's state."""
        endpoint = self.endpoint
        if endpoint.down or endpoint.leaving:
            for server in self.servers:
                server.down()
        elif endpoint.silent:
            for server in self.servers:
                server.stop_accepting()
        else:
            for connection in list(self.caught):
                connection.reset()
            for server in self.servers:
                self.stage.spawn(server.start())

    def uncut(self, relay: int) -> None:
        """A relay reaches it again: what it had said meanwhile is reset."""
        for connection in list(self.caught):
            if connection in self.servers[relay].connections:
                connection.reset()

    def sweep(self, now: int) -> None:
        """Close connections that have stood idle for the endpoint's time."""
        least = now - self.endpoint.destination.group.idle_time
        for connection, since in list(self.rested.items()):
            if since < least:
                connection.close()


class RelayProcess:
    """One relay: its configuration, its folder, its catalog, its process."""

    def __init__(self, number: int, stage: Sockets, folder: Path, listen: str) -> None:
        self.number, self.stage, self.folder, self.listen = number, stage, folder, listen
        self.name = f"relay-{number}"
        self.path, self.state = folder / f"{self.name}.json", folder / f"{self.name}-state"
        self.state.mkdir()
        self.agent = AgentHandler(lambda notice: stage.noticed(number, notice))
        self.server = stage.server(self.agent)
        self.process: asyncio.subprocess.Process | None = None
        self.watch: psutil.Process | None = None
        self.busy = False  # being stopped or started again
        self.cpu_before = self.cpu = 0
        self.lag, self.last_news, self.factor = 0, 0, 1.0
        self.untold: list[tuple[int, Listing]] = []  # news that its silent catalog keeps
        self.reader: asyncio.Task | None = None
        self.environment: dict[str, str] = {}  # beside the stage's own

    def write(self) -> None:
        """Write its configuration, for the next process or SIGHUP."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(write_platform(self.installation())))
        os.replace(temporary, self.path)

    def installation(self) -> Installation:
        """Its configuration by the scenario."""
        installation = installation_of(
            self.stage.scenario,
            self.stage.seed,
            self.number,
            self.listen,
            self.server.address,
            str(self.state),
        )
        return msgspec.structs.replace(installation, membership=self.stage.membership_of(self.number))

    async def start(self) -> None:
        """Start the process, and wait until it serves."""
        await self.launch()
        await self.serves()
        self.stage.writer.add(rec.Relay(self.stage.clock.now(), self.number, "ready"))

    async def launch(self) -> None:
        """Start a process, which is the relay's newest one."""
        self.write()
        limit = self.stage.scenario.relays.sockets
        self.process = await asyncio.create_subprocess_exec(
            *self.stage.command,
            "relay",
            "run",
            "--config",
            str(self.path),
            "--tied",
            stdin=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
            env=os.environ | self.environment,
        )
        with contextlib.suppress(OSError):
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        self.watch = psutil.Process(self.process.pid)
        self.reader = self.stage.spawn(self.read_log(self.process))

    async def serves(self) -> None:
        """Wait until the newest process answers PING. Raises StageError where it ends, or takes too long."""
        host, _, port = self.listen.partition(":")
        until = time.monotonic() + READY_WAIT
        async with Pool(host, int(port), 1) as pool:
            while (await pool.ping()).kind is not AnswerKind.ACCEPTED:
                if self.process.returncode is not None or time.monotonic() > until:
                    raise StageError(f"{self.name} did not start: see {self.folder / (self.name + '.log')}")
                await asyncio.sleep(0.02)

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        with open(self.folder / f"{self.name}.log", "ab") as file:
            async for raw in process.stderr:
                file.write(raw)
                with contextlib.suppress(ValueError, KeyError):
                    line = json.loads(raw)
                    if line["event"] == "mode":
                        self.stage.believes(self.number, line["host"], line["change"])

    def gauge(self) -> None:
        """Memory, descriptors and CPU time of the process."""
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(psutil.Error):
            with self.watch.oneshot():
                times, memory = self.watch.cpu_times(), self.watch.memory_info().rss
                descriptors = self.watch.num_fds()
            self.cpu = round((times.user + times.system) * 1e6)
            self.stage.writer.add(
                rec.ResourceUsage(
                    self.stage.clock.now(), self.number, memory, descriptors, self.cpu_before + self.cpu
                )
            )

    async def end(self, sent: int, what: str) -> None:
        """Kill it, or stop it in order."""
        note = self.stage.writer.add
        self.gauge()
        if sent == signal.SIGTERM:
            note(rec.Relay(self.stage.clock.now(), self.number, "stopping"))
        else:
            note(rec.Relay(self.stage.clock.now(), self.number, what))
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(sent)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_WAIT)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if sent == signal.SIGTERM:
            note(rec.Relay(self.stage.clock.now(), self.number, what, self.process.returncode or 0))
        self.cpu_before += self.cpu
        self.cpu = 0

    async def again(self, fault: FaultKeys) -> None:
        """Down and up again, as a fault of the time-line says."""
        if self.busy:
            return
        self.busy = True
        try:
            if fault.what is What.RESTART:
                await self.end(signal.SIGTERM, "ended")
            elif fault.what is What.KILL:
                await self.end(signal.SIGKILL, "killed")
            else:
                await self.end(signal.SIGKILL, "wiped")
                shutil.rmtree(self.state)
                self.state.mkdir()
                self.stage.wiped(self.number)
            await asyncio.sleep(START_PAUSE)
            await self.start()
        finally:
            self.busy = False

    async def reload(self) -> None:
        """Its catalog moves to another address; SIGHUP."""
        if self.busy or self.process.returncode is not None:
            return
        old, self.server = self.server, self.stage.server(self.agent)
        await self.server.start()
        self.write()
        self.stage.writer.add(rec.Relay(self.stage.clock.now(), self.number, "reloads"))
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_ADDRESS)
        old.down()

    async def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await self.reader
        self.server.down()


class Sockets:
    """All of a run on sockets."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        writer: rec.Writer,
        folder: Path,
        part: Path,
        progress: Callable[[float], None],
        command: list[str] | None = None,
    ) -> None:
        self.scenario, self.seed, self.writer, self.folder, self.part = scenario, seed, writer, folder, part
        self.progress = progress
        self.command = command or [sys.executable, "-m", "limelatch"]
        self.clock = RealClock(math.inf)  # it begins with the first text
        self.doors: dict[int, Doors] = {}
        self.relays: list[RelayProcess] = []
        self.numbers: dict[str, int] = {}
        self.cut: list[set[int]] = [set() for _ in range(scenario.relays.count)]
        self.calls = self.oddities = self.foreign = 0
        self.address = PlayAddress()
        self.datagrams = self._datagrams() if scenario.relays.membership else None
        self.remembers = any(fault.what is What.WIPE for fault in scenario.faults)
        self.ran_at: dict[str, int] = {}  # texts that may have run, and when they were called
        self.tasks: set[asyncio.Task] = set()
        self.load: asyncio.subprocess.Process | None = None
        self.load_done = False
        self.failed: BaseException | None = None
        self.world = World(scenario, seed, self.clock, self)

    def _datagrams(self) -> DatagramNetwork:
        """Between the relays: each has an address there and one at which it listens."""
        host, count = self.address.host, self.scenario.relays.count
        fronts, listens = ([(host, self.address.port()) for _ in range(count)] for _ in range(2))
        made = DatagramNetwork(fronts, listens, self.seed)
        made.set_conditions(lost=SPOILT_SHARE, duplicated=SPOILT_SHARE, delayed=SPOILT_SHARE)
        return made

    def membership_of(self, relay: int) -> Membership:
        """A relay's part among the others; off where the scenario does not have it."""
        if self.datagrams is None:
            return Membership()
        peers, listens = (
            [f"{host}:{port}" for host, port in addresses]
            for addresses in (self.datagrams.front_addresses, self.datagrams.listen_addresses)
        )
        return Membership(on=True, listen=listens[relay], peers=peers, address=peers[relay])

    def server(self, handler: Handler) -> Server:
        """A server for a party of this play, at a port of its own that stays its own."""
        return Server(handler, self.address.host, self.address.port())

    def foreign_call(self, endpoint: Endpoint, why: str) -> None:
        """A call that is none of this play's: it is counted and told, and no rule is judged by it."""
        self.foreign += 1
        self.writer.add(rec.ForeignCall(self.clock.now(), endpoint.number, why))

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and self.failed is None:
            self.failed = task.exception()

    async def run(self) -> None:
        """Everything up, the time-line, everything down."""
        count = len(self.world.endpoints) * self.scenario.relays.count
        if count > LISTENERS_MOST:
            raise StageError(
                f"{count} addresses of endpoints would be needed, {LISTENERS_MOST} at most; "
                f"the fleet stage plays this size"
            )
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        if self.datagrams is not None:
            self.datagrams.start()
        try:
            for endpoint in self.world.endpoints:
                self.doors[endpoint.number] = Doors(endpoint, self)
                await self.doors[endpoint.number].open()
            await self._start_relays()
            await self._play()
        finally:
            await self._close()

    async def _start_relays(self) -> None:
        keys, generator = self.scenario.catalog, self.world.random_streams
        for number in range(self.scenario.relays.count):
            relay = self.make_relay(number)
            relay.lag = round(keys.lag * (1 + keys.spread * (2 * generator.uniform("lag") - 1)))
            await relay.server.start()
            relay.agent.put(*[self.row(each, number, Listing.READY) for each in self.world.endpoints])
            self.relays.append(relay)
        await asyncio.gather(*[relay.start() for relay in self.relays])

    def make_relay(self, number: int) -> RelayProcess:
        """One relay of the play, not started yet."""
        return RelayProcess(number, self, self.folder, f"{self.address.host}:{self.address.port()}")

    def begin(self) -> None:
        """Put all that is to happen on the clock."""
        self.world.begin()

    async def _play(self) -> None:
        """The clock of the scenario begins here."""
        self.load = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limelatch.lab.stages.load",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
            limit=1 << 24,
        )
        self.load.stdin.write(
            encode_line(
                Begin(
                    msgspec.to_builtins(self.scenario),
                    self.seed,
                    [relay.listen for relay in self.relays],
                    str(self.part),
                    self.address.host,
                )
            )
        )
        async with asyncio.timeout(READY_WAIT):
            await self.load.stdout.readline()  # it is ready
        self.clock.origin = time.monotonic() + HEAD_START
        self.load.stdin.write(encode_line(Go(self.clock.origin)))
        for relay in range(len(self.relays)):
            self.writer.add(rec.Relay(0, relay, "ready"))
        self.begin()
        beat = Heartbeat(lambda by: self.writer.add(rec.StageLate(self.clock.now(), "emulator", by)))
        news = self.spawn(self._hear_load())
        gauges, sweeps = self.spawn(self._gauge()), self.spawn(self._sweep())
        end = self.scenario.scenario.seconds + self.scenario.scenario.settle
        try:
            while self.clock.now() < end:
                await asyncio.sleep(0.05)
                if self.failed is not None:
                    raise self.failed
                if self.load.returncode is not None:
                    raise StageError(f"the load ended with {self.load.returncode}")
                if self.load_done and self.clock.now() >= self.scenario.scenario.seconds and not self.owed():
                    break
        finally:
            for task in (gauges, sweeps, news):
                task.cancel()
            beat.stop()
            if self.load.returncode is None:
                with contextlib.suppress(ConnectionError, TimeoutError):
                    self.load.stdin.write(encode_line(Finish()))
                    await asyncio.wait_for(self.load.wait(), 5)

    def owed(self) -> int:
        """Texts that the relays' ledgers still hold, as far as they can be read beside them."""
        from limelatch.relay.inspection import NoLedger, inspect_ledger

        found = 0
        for relay in self.relays:
            with contextlib.suppress(NoLedger):
                found += len(inspect_ledger(str(relay.state)).entries)
        return found

    async def _hear_load(self) -> None:
        async for line in self.load.stdout:
            news = read_load_message(line)
            if isinstance(news, Progressed):
                self.progress(news.part)
                self.load_done = False
            elif isinstance(news, Done):
                self.load_done = True

    async def _gauge(self) -> None:
        while True:
            for relay in self.relays:
                relay.gauge()
            self.writer.flush()
            await asyncio.sleep(GAUGE_EACH)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_EACH)
            now = self.clock.now()
            for doors in list(self.doors.values()):
                doors.sweep(now)
            for text in [each for each, at in self.ran_at.items() if at < now - REMEMBER]:
                del self.ran_at[text]

    async def _close(self) -> None:
        if self.load is not None and self.load.returncode is None:
            self.load.kill()
            await self.load.wait()
        for relay in self.relays:
            relay.gauge()
            await relay.close()
        for task in list(self.tasks):
            task.cancel()
        for doors in self.doors.values():
            for server in doors.servers:
                server.down()
        if self.datagrams is not None:
            self.datagrams.stop()

    def row(self, endpoint: Endpoint, relay: int, listing: Listing) -> HostEntry:
        """An endpoint as this relay's catalog tells it."""
        doors, destination = self.doors[endpoint.number], endpoint.destination
        floors = [each.name for each in self.scenario.floors] or [NAMELESS]
        kind = self.world.kinds[destination.kind] if self.world.kinds else NAMELESS
        return HostEntry(
            endpoint.name,
            doors.servers[relay].address,
            floors[endpoint.floor],
            kind,
            destination.number,
            STATUS[listing],
            round(self.world.weight(endpoint), 3),
        )

    # What relays and the platform tell.

    def believes(self, relay: int, name: str, words: str) -> None:
        self.writer.add(rec.BeliefChanged(self.clock.now(), relay, self.numbers.get(name, -1), words))
        if words.startswith("sick") and name in self.numbers:  # it may have been refused a connection there
            self.writer.add(rec.CallFailed(self.clock.now(), relay, self.numbers[name]))

    def noticed(self, relay: int, notice: Notice) -> None:
        nacked, wait = notice.result == "bounced", (notice.wait_ms or 0) * MS
        self.writer.add(rec.NoticeAnswered(self.clock.now(), relay, notice.text, nacked, wait))
        if nacked and self.load is not None and self.load.returncode is None:
            self.load.stdin.write(encode_line(Nacked(notice.text, wait)))

    def wiped(self, relay: int) -> None:
        if self.load is not None and self.load.returncode is None:
            self.load.stdin.write(encode_line(Wiped(relay, list(self.ran_at))))

    # What the world tells.

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        self.writer.add(rec.EffectTaken(self.clock.now(), endpoint.number, text.id, text.first, known))

    def host(self, endpoint: Endpoint) -> None:
        self.numbers[endpoint.name] = endpoint.number
        self.writer.add(
            rec.Host(
                self.clock.now(),
                endpoint.number,
                endpoint.name,
                endpoint.destination.number,
                endpoint.route.number,
                endpoint.floor,
                endpoint.capacity,
            )
        )

    def condition(self, endpoint: Endpoint, condition: Condition) -> None:
        self.writer.add(rec.ConditionChanged(self.clock.now(), endpoint.number, int(condition)))

    def reachable(self, endpoint: Endpoint) -> None:
        if endpoint.number in self.doors:
            self.doors[endpoint.number].reachable()

    def route_overloaded(self, route: Route, max_load: float, load: dict[int, int]) -> None:
        self.writer.add(rec.RouteOverloaded(self.clock.now(), route.number, max_load, load))

    def listed(self, endpoint: Endpoint, listing: Listing) -> None:
        self.spawn(self._listed(endpoint, listing))

    async def _listed(self, endpoint: Endpoint, listing: Listing) -> None:
        if endpoint.number not in self.doors:
            doors = Doors(endpoint, self)
            await doors.open()
            self.doors[endpoint.number] = doors
        for relay in self.relays:
            lag = round(relay.lag * relay.factor)
            relay.last_news = max(relay.last_news, self.clock.now() + lag)  # news never overtake each other
            self.clock.at(relay.last_news, self._tell, relay, endpoint, listing)

    def _tell(self, relay: RelayProcess, endpoint: Endpoint, listing: Listing) -> None:
        relay.agent.put(self.row(endpoint, relay.number, listing))
        if relay.agent.silent:
            relay.untold.append((endpoint.number, listing))
        else:
            self.writer.add(
                rec.ListingReceived(self.clock.now(), relay.number, endpoint.number, LISTED[listing])
            )

    def fault(self, number: int, on: bool, endpoints: list[Endpoint]) -> None:
        self.writer.add(rec.Fault(self.clock.now(), number, on, [each.number for each in endpoints]))

    def relay_fault(self, fault: FaultKeys, number: int) -> None:
        relay = self.relays[number]
        self.spawn(relay.reload() if fault.what is What.RELOAD else relay.again(fault))

    def cut_off(self, relays: list[int], endpoints: list[Endpoint], on: bool) -> None:
        for relay in relays:
            for endpoint in endpoints:
                if on:
                    self.cut[relay].add(endpoint.number)
                else:
                    self.cut[relay].discard(endpoint.number)
                    self.doors[endpoint.number].uncut(relay)

    def list_lag(self, fault: FaultKeys, relays: list[int], on: bool) -> None:
        for number in relays:
            relay = self.relays[number]
            if fault.what is What.LIST_LATE:
                relay.factor = fault.times if on else 1.0
            else:
                relay.agent.set_silent(on)
                untold, relay.untold = relay.untold, []
                for host, listing in untold:
                    self.writer.add(
                        rec.ListingReceived(self.clock.now(), relay.number, host, LISTED[listing])
                    )


def installation_of(
    scenario: Scenario, seed: int, relay: int, listen: str, agent: str, state: str
) -> Installation:
    """A relay's configuration for a scenario."""
    keys, rules = scenario.relays, scenario.rules
    return Installation(
        relay=Identity(
            listen=listen,
            state=state,
            name=f"relay-{relay}",
            relays=keys.count,
            seed=f"{policy_settings_of(scenario, seed, relay, 0).seed & (1 << 64) - 1:x}",
        ),
        catalog=CatalogTable(address=agent, rates=scenario.catalog.rates),
        log=Log(form=LogForm.JSON),
        clients=Clients(command_wait=5 * SECOND, idle_wait=60 * SECOND),
        hosts=Hosts(
            connect_wait=scenario.network.connect_wait,
            idle_time=idle_time(scenario),
            report_fields=["x0", "x1"],
        ),
        stop=Stop(),
        limits=Limits(
            memory=keys.memory,
            sockets=keys.sockets,
            disk=keys.disk,
            slots=keys.slots,
            texts=keys.texts,
            submits=keys.submits,
            advice=keys.advice,
        ),
        rules=Rules(
            cold_share=rules.cold_share,
            cold_time=rules.cold_time,
            fall_multiple=rules.fall_multiple,
            fall_time=rules.fall_time,
            key_rest=rules.key_rest,
        ),
        revenue=scenario.revenue,
        products=[
            Product(
                name=row.name,
                effect=row.effect,
                sla_time=row.sla_time,
                validity_period=row.validity_period,
                revenue=row.revenue,
                late_share=row.late_share,
                repeat_window=row.repeat_window,
                repeat_known=row.repeat_known,
                in_order=row.in_order,
            )
            for row in scenario.products
        ],
        customers=[Customer(name=row.name) for row in scenario.customers],
        kinds=[
            Kind(name=row.name, texts_per_call=row.texts_per_call, routes_apart=row.routes_apart)
            for row in scenario.kinds
        ]
        or [Kind(name=NAMELESS)],
        floors=[Floor(name=row.name) for row in scenario.floors] or [Floor(name=NAMELESS)],
    )
