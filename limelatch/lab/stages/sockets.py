"""The stage "sockets": relay processes in real time, with the simulated world behind loopback sockets.

One process is the emulator (endpoints, catalogs, platform), another one the load; relays are started, killed,
restarted and reloaded as the scenario's faults require. Each relay has its own address for each endpoint and
for its catalog, which identifies the caller. The stage measures its own delay: a run in which it was late
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
from limelatch.lab.stages.host_record import host_record
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

READY_TIMEOUT = 15.0  # seconds for a process to start
STOP_TIMEOUT = 4.0  # seconds for a process to end, then SIGKILL
RESTART_DELAY = 0.6  # seconds from the end of a process to the next start
MEASURE_INTERVAL = 0.5  # seconds between two measurements of memory, descriptors and CPU time
SWEEP_INTERVAL = 0.5  # seconds between two searches for idle connections
START_LEAD_TIME = 0.1  # seconds before the run begins, so that the load receives the time
OLD_ADDRESS_TIME = 1.5  # seconds for which a catalog with a new address keeps its old connections
MAX_LISTENERS = 6000  # addresses of endpoints
STATUS = {Listing.READY: "active", Listing.DRAINING: "leaving", Listing.GONE: "left"}
LISTING_CODES = {Listing.READY: 0, Listing.DRAINING: 1, Listing.GONE: 2}
STATE_BY_FATE = {
    Fate.DELIVERED: TextState.DELIVERED,
    Fate.FAILED: TextState.FAILED,
    Fate.REFUSED: TextState.REFUSED,
    Fate.OVER: TextState.OVER,
    Fate.SPENT: TextState.SPENT,
}
GARBAGE = b"\x00\xff garbage \r\n\r\n"
DEFAULT_NAME = "any"  # a scenario without kinds or floors has one of each
RETENTION_TIME = 60 * SECOND  # ticks for which a call of a text is remembered
DATAGRAM_FAULT_SHARE = 0.1  # of the relays' datagrams, for each kind of fault


class EndpointServers:
    """The servers of one endpoint, one per relay, and the call in progress on each connection."""

    def __init__(self, endpoint: Endpoint, stage: Sockets) -> None:
        self.endpoint, self.stage = endpoint, stage
        self.servers: list[Server] = []
        self.out: dict[Connection, WorldCall] = {}
        self.idle_since: dict[Connection, int] = {}
        self.unanswered_connections: set[Connection] = set()  # that sent a call to a silent endpoint
        self.count = 0

    async def open(self) -> None:
        """Starts a server for each relay."""
        for relay in range(self.stage.scenario.relays.count):
            handler = HostHandler(
                lambda call, relay=relay: self.called(relay, call),
                self.closed,
                self.opened,
                self.unreadable_input,
            )
            server = self.stage.server(handler)
            self.servers.append(server)
            await server.start()

    def opened(self, connection: Connection) -> None:
        """A connection was opened."""
        self.count += 1
        self.idle_since[connection] = self.stage.clock.now()

    def unreadable_input(self, why: str) -> None:
        """Counts input that is not HTTP."""
        self.stage.oddities += 1

    def closed(self, connection: Connection) -> None:
        """A connection was closed; its call may still run."""
        self.count -= 1
        self.idle_since.pop(connection, None)
        self.unanswered_connections.discard(connection)
        if (call := self.out.pop(connection, None)) is not None:
            call.gone = True
            self.stage.writer.add(rec.GaveUp(self.stage.clock.now(), call.number))

    def called(self, relay: int, call: Call) -> None:
        """A complete call arrived at a relay's address."""
        stage, endpoint, connection = self.stage, self.endpoint, call.connection
        self.idle_since.pop(connection, None)
        if endpoint.silent or endpoint.number in stage.cut[relay]:
            self.unanswered_connections.add(connection)
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
        for each in texts if stage.tracks_runs else ():
            stage.ran_at[each.id] = now
        if self.count > endpoint.destination.group.connections:
            world.reply(Reply([Fate.REFUSED] * len(texts), by_status=True))
        else:
            endpoint.arrive(world)

    def respond(self, call: Call, world: WorldCall, reply: Reply) -> None:
        """Writes the endpoint's answer, if the connection is still open."""
        connection, stage = call.connection, self.stage
        if not connection.open or self.out.get(connection) is not world:
            return
        now, fates = stage.clock.now(), [int(each) for each in reply.fates]
        first = reply.fates[0]
        stage.writer.add(rec.Responded(now, now, world.number, fates, reply.wait))
        del self.out[connection]
        if stage.tracks_runs and all(each in NEVER_RAN for each in fates):
            for each in world.texts:
                stage.ran_at.pop(each.id, None)
        if first != Fate.DELIVERED:
            stage.writer.add(rec.CallFailed(now, world.relay, self.endpoint.number))
        if first == Fate.RESET:
            connection.reset()
        elif first == Fate.GARBLED:
            connection.write(GARBAGE)
        else:
            states = [STATE_BY_FATE[Fate(each)] for each in reply.fates]
            status = None
            if reply.by_status:
                status = 500 if first == Fate.FAILED else 429 if reply.wait else 503
            report = {"x0": reply.left, "x1": reply.rate} if reply.rate else None
            call.answer(states, reply.wait / SECOND if reply.wait else None, report, status)
            self.idle_since[connection] = now

    def reachable(self) -> None:
        """Accepts or refuses connections as the endpoint's state requires."""
        endpoint = self.endpoint
        if endpoint.down or endpoint.leaving:
            for server in self.servers:
                server.down()
        elif endpoint.silent:
            for server in self.servers:
                server.stop_accepting()
        else:
            for connection in list(self.unanswered_connections):
                connection.reset()
            for server in self.servers:
                self.stage.spawn(server.start())

    def reset_unanswered(self, relay: int) -> None:
        """Resets the unanswered connections of a relay that reaches the endpoint again."""
        for connection in list(self.unanswered_connections):
            if connection in self.servers[relay].connections:
                connection.reset()

    def sweep(self, now: int) -> None:
        """Closes connections that have been idle for the endpoint's idle time."""
        earliest = now - self.endpoint.destination.group.idle_time
        for connection, since in list(self.idle_since.items()):
            if since < earliest:
                connection.close()


class RelayProcess:
    """One relay: its configuration, state directory, catalog and process."""

    def __init__(self, number: int, stage: Sockets, folder: Path, listen: str) -> None:
        self.number, self.stage, self.folder, self.listen = number, stage, folder, listen
        self.name = f"relay-{number}"
        self.path, self.state = folder / f"{self.name}.json", folder / f"{self.name}-state"
        self.state.mkdir()
        self.agent = AgentHandler(lambda notice: stage.noticed(number, notice))
        self.server = stage.server(self.agent)
        self.process: asyncio.subprocess.Process | None = None
        self.watch: psutil.Process | None = None
        self.busy = False  # being stopped or restarted
        self.cpu_before = self.cpu = 0
        self.lag, self.last_list_update, self.factor = 0, 0, 1.0
        self.withheld_updates: list[tuple[int, Listing]] = []  # updates withheld while its catalog is silent
        self.reader: asyncio.Task | None = None
        self.environment: dict[str, str] = {}  # in addition to the stage's own

    def write(self) -> None:
        """Writes its configuration, for the next process or SIGHUP."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(write_platform(self.installation())))
        os.replace(temporary, self.path)

    def installation(self) -> Installation:
        """Returns its configuration, derived from the scenario."""
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
        """Starts the process and waits until it serves."""
        await self.launch()
        await self.serves()
        self.stage.writer.add(rec.Relay(self.stage.clock.now(), self.number, "ready"))

    async def launch(self) -> None:
        """Starts a process, which becomes the relay's newest one."""
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
        """Waits until the newest process answers PING. Raises StageError if it ends or takes too long."""
        host, _, port = self.listen.partition(":")
        until = time.monotonic() + READY_TIMEOUT
        async with Pool(host, int(port), 1) as pool:
            while (await pool.ping()).kind is not AnswerKind.ACCEPTED:
                if self.process.returncode is not None or time.monotonic() > until:
                    raise StageError(f"{self.name} did not start: see {self.folder / (self.name + '.log')}")
                await asyncio.sleep(0.02)

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        """Copies the log of a process to a file, and reads changes of its view of hosts from it."""
        with open(self.folder / f"{self.name}.log", "ab") as file:
            async for raw in process.stderr:
                file.write(raw)
                with contextlib.suppress(ValueError, KeyError):
                    line = json.loads(raw)
                    if line["event"] == "mode":
                        self.stage.believes(self.number, line["host"], line["change"])

    def gauge(self) -> None:
        """Records memory, descriptors and CPU time of the process."""
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
        """Kills the process, or stops it by SIGTERM."""
        note = self.stage.writer.add
        self.gauge()
        if sent == signal.SIGTERM:
            note(rec.Relay(self.stage.clock.now(), self.number, "stopping"))
        else:
            note(rec.Relay(self.stage.clock.now(), self.number, what))
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(sent)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if sent == signal.SIGTERM:
            note(rec.Relay(self.stage.clock.now(), self.number, what, self.process.returncode or 0))
        self.cpu_before += self.cpu
        self.cpu = 0

    async def again(self, fault: FaultKeys) -> None:
        """Stops and restarts the relay as a fault requires."""
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
            await asyncio.sleep(RESTART_DELAY)
            await self.start()
        finally:
            self.busy = False

    async def reload(self) -> None:
        """Moves its catalog to another address and sends SIGHUP."""
        if self.busy or self.process.returncode is not None:
            return
        old, self.server = self.server, self.stage.server(self.agent)
        await self.server.start()
        self.write()
        self.stage.writer.add(rec.Relay(self.stage.clock.now(), self.number, "reloads"))
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_ADDRESS_TIME)
        old.down()

    async def close(self) -> None:
        """Kills the process and stops the catalog."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await self.reader
        self.server.down()


class Sockets:
    """A run on sockets: the emulator, the load process and the relay processes."""

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
        self.clock = RealClock(math.inf)  # set when the run begins
        self.servers_by_endpoint: dict[int, EndpointServers] = {}
        self.relays: list[RelayProcess] = []
        self.numbers: dict[str, int] = {}
        self.cut: list[set[int]] = [set() for _ in range(scenario.relays.count)]
        self.calls = self.oddities = self.foreign = 0
        self.address = PlayAddress()
        self.datagrams = self._datagrams() if scenario.relays.membership else None
        self.tracks_runs = any(fault.what is What.WIPE for fault in scenario.faults)
        self.ran_at: dict[str, int] = {}  # time of the call, by text that may have run
        self.tasks: set[asyncio.Task] = set()
        self.load: asyncio.subprocess.Process | None = None
        self.load_done = False
        self.failed: BaseException | None = None
        self.world = World(scenario, seed, self.clock, self)

    def _datagrams(self) -> DatagramNetwork:
        """Creates the faulty network between relays; each has a public and a listening address."""
        host, count = self.address.host, self.scenario.relays.count
        fronts, listens = ([(host, self.address.port()) for _ in range(count)] for _ in range(2))
        made = DatagramNetwork(fronts, listens, self.seed)
        made.set_conditions(
            lost=DATAGRAM_FAULT_SHARE, duplicated=DATAGRAM_FAULT_SHARE, delayed=DATAGRAM_FAULT_SHARE
        )
        return made

    def membership_of(self, relay: int) -> Membership:
        """Returns a relay's membership configuration; off unless the scenario enables it."""
        if self.datagrams is None:
            return Membership()
        peers, listens = (
            [f"{host}:{port}" for host, port in addresses]
            for addresses in (self.datagrams.front_addresses, self.datagrams.listen_addresses)
        )
        return Membership(on=True, listen=listens[relay], peers=peers, address=peers[relay])

    def server(self, handler: Handler) -> Server:
        """Creates a server on a port that is never assigned to another one in this run."""
        return Server(handler, self.address.host, self.address.port())

    def foreign_call(self, endpoint: Endpoint, why: str) -> None:
        """Counts and records a call that does not belong to this run; the checker ignores it."""
        self.foreign += 1
        self.writer.add(rec.ForeignCall(self.clock.now(), endpoint.number, why))

    def spawn(self, work) -> asyncio.Task:
        """Starts a task; its failure ends the run."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and self.failed is None:
            self.failed = task.exception()

    async def run(self) -> None:
        """Starts everything, plays the scenario and stops everything."""
        count = len(self.world.endpoints) * self.scenario.relays.count
        if count > MAX_LISTENERS:
            raise StageError(
                f"{count} addresses of endpoints would be needed, {MAX_LISTENERS} at most; "
                f"the fleet stage plays this size"
            )
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        if self.datagrams is not None:
            self.datagrams.start()
        try:
            for endpoint in self.world.endpoints:
                self.servers_by_endpoint[endpoint.number] = EndpointServers(endpoint, self)
                await self.servers_by_endpoint[endpoint.number].open()
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
        """Creates a relay without starting it."""
        return RelayProcess(number, self, self.folder, f"{self.address.host}:{self.address.port()}")

    def begin(self) -> None:
        """Schedules the faults of the scenario."""
        self.world.begin()

    async def _play(self) -> None:
        """Starts the load and the clock, and runs until the scenario ends."""
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
        async with asyncio.timeout(READY_TIMEOUT):
            await self.load.stdout.readline()  # Ready
        self.clock.origin = time.monotonic() + START_LEAD_TIME
        self.load.stdin.write(encode_line(Go(self.clock.origin)))
        for relay in range(len(self.relays)):
            self.writer.add(rec.Relay(0, relay, "ready"))
        self.begin()
        heartbeat = Heartbeat(lambda by: self.writer.add(rec.StageLate(self.clock.now(), "emulator", by)))
        progress_task = self.spawn(self._read_load_messages())
        gauges, sweeps = self.spawn(self._measure_usage()), self.spawn(self._sweep())
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
            for task in (gauges, sweeps, progress_task):
                task.cancel()
            heartbeat.stop()
            if self.load.returncode is None:
                with contextlib.suppress(ConnectionError, TimeoutError):
                    self.load.stdin.write(encode_line(Finish()))
                    await asyncio.wait_for(self.load.wait(), 5)

    def owed(self) -> int:
        """Returns the number of unfinished texts in the ledgers, as far as they can be read meanwhile."""
        from limelatch.relay.inspection import NoLedger, inspect_ledger

        found = 0
        for relay in self.relays:
            with contextlib.suppress(NoLedger):
                found += len(inspect_ledger(str(relay.state)).entries)
        return found

    async def _read_load_messages(self) -> None:
        async for line in self.load.stdout:
            message = read_load_message(line)
            if isinstance(message, Progressed):
                self.progress(message.part)
                self.load_done = False
            elif isinstance(message, Done):
                self.load_done = True

    async def _measure_usage(self) -> None:
        while True:
            for relay in self.relays:
                relay.gauge()
            self.writer.flush()
            await asyncio.sleep(MEASURE_INTERVAL)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            now = self.clock.now()
            for endpoint_servers in list(self.servers_by_endpoint.values()):
                endpoint_servers.sweep(now)
            for text in [each for each, at in self.ran_at.items() if at < now - RETENTION_TIME]:
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
        for endpoint_servers in self.servers_by_endpoint.values():
            for server in endpoint_servers.servers:
                server.down()
        if self.datagrams is not None:
            self.datagrams.stop()

    def row(self, endpoint: Endpoint, relay: int, listing: Listing) -> HostEntry:
        """Returns an endpoint's row in a relay's catalog."""
        endpoint_servers, destination = self.servers_by_endpoint[endpoint.number], endpoint.destination
        floors = [each.name for each in self.scenario.floors] or [DEFAULT_NAME]
        kind = self.world.kinds[destination.kind] if self.world.kinds else DEFAULT_NAME
        return HostEntry(
            endpoint.name,
            endpoint_servers.servers[relay].address,
            floors[endpoint.floor],
            kind,
            destination.number,
            STATUS[listing],
            round(self.world.weight(endpoint), 3),
        )

    # Events of relays and the platform.

    def believes(self, relay: int, name: str, message: str) -> None:
        """A relay changed its view of a host."""
        self.writer.add(rec.BeliefChanged(self.clock.now(), relay, self.numbers.get(name, -1), message))
        if message.startswith("sick") and name in self.numbers:  # perhaps a refused connection
            self.writer.add(rec.CallFailed(self.clock.now(), relay, self.numbers[name]))

    def noticed(self, relay: int, notice: Notice) -> None:
        """A relay sent a notice to the platform."""
        nacked, wait = notice.result == "bounced", (notice.wait_ms or 0) * MS
        self.writer.add(rec.NoticeAnswered(self.clock.now(), relay, notice.text, nacked, wait))
        if nacked and self.load is not None and self.load.returncode is None:
            self.load.stdin.write(encode_line(Nacked(notice.text, wait)))

    def wiped(self, relay: int) -> None:
        """A relay lost its state directory."""
        if self.load is not None and self.load.returncode is None:
            self.load.stdin.write(encode_line(Wiped(relay, list(self.ran_at))))

    # Events of the world, see WorldListener.

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        """A text was processed at a host."""
        self.writer.add(rec.EffectTaken(self.clock.now(), endpoint.number, text.id, text.first, known))

    def host(self, endpoint: Endpoint) -> None:
        """A host was added."""
        self.numbers[endpoint.name] = endpoint.number
        self.writer.add(host_record(self.clock.now(), endpoint))

    def condition(self, endpoint: Endpoint, condition: Condition) -> None:
        """A host's condition has changed."""
        self.writer.add(rec.ConditionChanged(self.clock.now(), endpoint.number, int(condition)))

    def reachable(self, endpoint: Endpoint) -> None:
        """Whether a host accepts connections has changed."""
        if endpoint.number in self.servers_by_endpoint:
            self.servers_by_endpoint[endpoint.number].reachable()

    def route_overloaded(self, route: Route, max_load: float, load: dict[int, float]) -> None:
        """A cold route went down by overload."""
        self.writer.add(rec.RouteOverloaded(self.clock.now(), route.number, max_load, load))

    def listed(self, endpoint: Endpoint, listing: Listing) -> None:
        """Passes a change of the list on to all catalogs."""
        self.spawn(self._listed(endpoint, listing))

    async def _listed(self, endpoint: Endpoint, listing: Listing) -> None:
        if endpoint.number not in self.servers_by_endpoint:
            endpoint_servers = EndpointServers(endpoint, self)
            await endpoint_servers.open()
            self.servers_by_endpoint[endpoint.number] = endpoint_servers
        for relay in self.relays:
            lag = round(relay.lag * relay.factor)
            relay.last_list_update = max(
                relay.last_list_update, self.clock.now() + lag
            )  # updates never overtake each other
            self.clock.at(relay.last_list_update, self._update_list, relay, endpoint, listing)

    def _update_list(self, relay: RelayProcess, endpoint: Endpoint, listing: Listing) -> None:
        relay.agent.put(self.row(endpoint, relay.number, listing))
        if relay.agent.silent:
            relay.withheld_updates.append((endpoint.number, listing))
        else:
            self.writer.add(
                rec.ListingReceived(self.clock.now(), relay.number, endpoint.number, LISTING_CODES[listing])
            )

    def fault(self, number: int, on: bool, endpoints: list[Endpoint]) -> None:
        """A fault began or ended."""
        self.writer.add(rec.Fault(self.clock.now(), number, on, [each.number for each in endpoints]))

    def relay_fault(self, fault: FaultKeys, number: int) -> None:
        """Kills, restarts, wipes or reloads a relay."""
        relay = self.relays[number]
        self.spawn(relay.reload() if fault.what is What.RELOAD else relay.again(fault))

    def cut_off(self, relays: list[int], endpoints: list[Endpoint], on: bool) -> None:
        """Cuts or restores the connection of relays to endpoints."""
        for relay in relays:
            for endpoint in endpoints:
                if on:
                    self.cut[relay].add(endpoint.number)
                else:
                    self.cut[relay].discard(endpoint.number)
                    self.servers_by_endpoint[endpoint.number].reset_unanswered(relay)

    def list_lag(self, fault: FaultKeys, relays: list[int], on: bool) -> None:
        """Delays or stops the catalogs of relays, or ends that."""
        for number in relays:
            relay = self.relays[number]
            if fault.what is What.LIST_LATE:
                relay.factor = fault.times if on else 1.0
            else:
                relay.agent.set_silent(on)
                withheld_updates, relay.withheld_updates = relay.withheld_updates, []
                for host, listing in withheld_updates:
                    self.writer.add(
                        rec.ListingReceived(self.clock.now(), relay.number, host, LISTING_CODES[listing])
                    )


def installation_of(
    scenario: Scenario, seed: int, relay: int, listen: str, agent: str, state: str
) -> Installation:
    """Returns a relay's configuration for a scenario."""
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
        or [Kind(name=DEFAULT_NAME)],
        floors=[Floor(name=row.name) for row in scenario.floors] or [Floor(name=DEFAULT_NAME)],
    )
