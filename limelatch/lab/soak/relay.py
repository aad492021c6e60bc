"""One relay of a soak: its successive processes, two at a time during an upgrade."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import psutil

from limelatch.configuration.model import Installation, LogLevel
from limelatch.interface import SECOND
from limelatch.lab import record as rec
from limelatch.lab.checker import ENDED_DURING_UPGRADE
from limelatch.lab.soak.plan import KILL_AFTER, Action, ActionKind
from limelatch.lab.stages.sockets import RelayProcess, Sockets
from limelatch.relay.process_memory import parse_status

RESTART_DELAY = 0.6  # seconds from SIGKILL to the next start, as the protocol states
MAX_READY_TIME = 10.0  # seconds within which a process has to serve
READY_TIMEOUT = 20.0  # seconds after which the wait for a process ends
READY_POLL_INTERVAL = 0.02  # seconds
SIGNAL_INTERVAL = 0.01  # seconds between signals in quick succession
EXIT_SUCCESS = 0
DISK_BLOCK_BYTES = 512  # file sizes are rounded up to whole blocks


@dataclass
class RelayInstance:
    """One process of a relay, with its operator address."""

    process: asyncio.subprocess.Process
    operator: str
    stop_requested: bool = False  # SIGTERM or SIGKILL was sent

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.returncode is None

    def send_signal(self, number: int) -> None:
        """Send the signal `number` if the process has not ended."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.stop_requested = True
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class SoakRelay(RelayProcess):
    """A relay whose actions are carried out one after another; process failures are listed in `problems`."""

    def __init__(self, number: int, stage: Sockets, folder: Path, listen: str) -> None:
        super().__init__(number, stage, folder, listen)
        self.operator = ""
        self.instances: list[RelayInstance] = []
        self.action_lock = asyncio.Lock()
        self.is_order_reversed = False  # products and customers
        self.problems: list[str] = []
        self.exceeded_limits: set[str] = set()  # each is reported once
        self.starts = 0

    def installation(self) -> Installation:
        """The configuration for the next start or reload."""
        settings = super().installation()
        identity = msgspec.structs.replace(settings.relay, operator=self.operator)
        products, customers = settings.products, settings.customers
        if self.is_order_reversed:
            products, customers = products[::-1], customers[::-1]
        log = msgspec.structs.replace(settings.log, parts={"driver": LogLevel.DEBUG})
        return msgspec.structs.replace(
            settings, relay=identity, products=products, customers=customers, log=log
        )

    def note(self, what: str) -> None:
        """Write an event of this relay to the record."""
        self.stage.writer.add(rec.Relay(self.stage.clock.now(), self.number, what))

    async def launch(self) -> None:
        """Start a process as the deploy file does: SIGHUP is ignored until the program handles it."""
        self.operator = f"{self.stage.address.host}:{self.stage.address.port()}"
        self.starts += 1
        await super().launch()
        instance = RelayInstance(self.process, self.operator)
        self.instances = [each for each in self.instances if each.is_running] + [instance]
        self.stage.spawn(self._watch(instance))

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        """Copy the log with the stage's time before each line: the relay's wall clock may be stepped."""
        with open(self.folder / f"{self.name}.log", "ab") as file:
            async for raw in process.stderr:
                file.write(b"%d %s" % (self.stage.clock.now(), raw))

    async def _watch(self, instance: RelayInstance) -> None:
        """Report a process that ends without a signal, or with another exit code than 0 after SIGTERM."""
        code = await instance.process.wait()
        if not instance.stop_requested:
            self.problems.append(f"a process ended unexpectedly with exit code {code}")
        elif code not in (EXIT_SUCCESS, -signal.SIGKILL):
            self.problems.append(f"a process that got a stop signal ended with exit code {code}")

    async def serves(self) -> None:
        """Wait until the newest process reports at its operator address that it serves."""
        instance, started_at = self.instances[-1], time.monotonic()
        while not await is_serving(instance.operator):
            if not instance.is_running:
                return  # it was killed, or `_watch` reports its end
            if time.monotonic() - started_at > READY_TIMEOUT:
                self.problems.append(f"a process was not ready in {READY_TIMEOUT:.0f} s")
                return
            await asyncio.sleep(READY_POLL_INTERVAL)
        if (ready_time := time.monotonic() - started_at) > MAX_READY_TIME:
            self.problems.append(f"a process took {ready_time:.1f} s to be ready")

    def gauge(self) -> None:
        """Record the resource usage of the relay; a limit applies to the sum over all its processes."""
        descriptors = memory = peak = 0
        for instance in self.instances:
            with contextlib.suppress(psutil.Error, OSError):
                usage = psutil.Process(instance.process.pid)
                descriptors += usage.num_fds()
                memory += usage.memory_info().rss
                status = Path(f"/proc/{instance.process.pid}/status").read_bytes()
                peak = max(peak, parse_status(status).peak)  # also between two measurements
        keys = self.stage.scenario.relays
        self._check_limit("descriptors", descriptors, keys.sockets)
        self._check_limit("bytes of memory", max(memory, peak), keys.memory)
        self._check_limit("bytes of disk", size_of(self.state), keys.disk)
        self.stage.writer.add(rec.ResourceUsage(self.stage.clock.now(), self.number, memory, descriptors, 0))

    def _check_limit(self, what: str, used: int, limit: int) -> None:
        """Report usage above a limit, once for each kind of resource."""
        if used > limit and what not in self.exceeded_limits:
            self.exceeded_limits.add(what)
            at = self.stage.clock.now() / SECOND
            self.problems.append(f"{used} {what} in use at {at:.2f} s, {limit} at most")

    async def perform(self, action: Action) -> None:
        """Carry out an action, after the earlier ones of this relay have ended."""
        async with self.action_lock:
            await ACTION_METHODS[action.kind](self, action)

    async def _kill(self, action: Action) -> None:
        await self._stop_all(signal.SIGKILL)
        await self._start_after_delay()

    async def _stop_all(self, number: int) -> None:
        """End all processes of the relay with the signal `number`."""
        self.note("killed" if number == signal.SIGKILL else "stopping")
        for instance in self.instances:
            instance.send_signal(number)
        for instance in self.instances:
            await self._wait_or_kill(instance)
        if number != signal.SIGKILL:
            self.note("ended")

    async def _wait_or_kill(self, instance: RelayInstance, within: float = KILL_AFTER) -> None:
        """Wait for the end of a process; kill it after `within` seconds."""
        try:
            await asyncio.wait_for(instance.process.wait(), within)
        except TimeoutError:
            instance.send_signal(signal.SIGKILL)
            await instance.process.wait()

    async def _start_after_delay(self) -> None:
        await asyncio.sleep(RESTART_DELAY)
        await self.start()

    async def _restart(self, action: Action) -> None:
        await self._stop_all(signal.SIGTERM)
        await self._start_after_delay()

    async def _start_second(self, action: Action) -> RelayInstance | None:
        """Start another process; return the one that was running before, or None."""
        old = next((instance for instance in self.instances if instance.is_running), None)
        self.note("upgrade")
        await self.launch()
        await self.serves()
        await asyncio.sleep(action.overlap)
        return old

    async def _upgrade(self, action: Action) -> None:
        if (old := await self._start_second(action)) is not None:
            self.note("upgrade: the old process gets SIGTERM")
            old.send_signal(signal.SIGTERM)
            await self._wait_or_kill(old)
            self.note(ENDED_DURING_UPGRADE)

    async def _upgrade_kill(self, action: Action) -> None:
        if (old := await self._start_second(action)) is not None:
            self.note("upgrade: the old process is killed")
            old.send_signal(signal.SIGKILL)
            await old.process.wait()
            self.note(ENDED_DURING_UPGRADE)

    async def _upgrade_new_dies(self, action: Action) -> None:
        old = await self._start_second(action)
        if old is None:
            return
        self.note("upgrade: the new process is killed")
        self.instances[-1].send_signal(signal.SIGKILL)
        await self.instances[-1].process.wait()
        self.note(ENDED_DURING_UPGRADE)
        self.instances = [old]
        self.process = old.process

    async def _upgrade_both_die(self, action: Action) -> None:
        await self._start_second(action)
        await self._stop_all(signal.SIGKILL)
        await self._start_after_delay()

    async def _upgrade_stop_new_dies(self, action: Action) -> None:
        old = await self._start_second(action)
        if old is None:
            return
        self.note("stopping")
        old.send_signal(signal.SIGTERM)
        await asyncio.sleep(action.pause)
        self.instances[-1].send_signal(signal.SIGKILL)
        await self._wait_or_kill(old)
        self.note("ended")
        await self._start_after_delay()

    async def _reload(self, action: Action) -> None:
        for _ in range(action.times):
            self.is_order_reversed = not self.is_order_reversed
            self.write()
            self.note("reloads")
            for instance in self.instances:
                instance.send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL)

    async def _pause(self, action: Action) -> None:
        for instance in self.instances:
            instance.send_signal(signal.SIGSTOP)
        await asyncio.sleep(action.pause)
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)

    async def _signals(self, action: Action) -> None:
        """Send further signals during a stop and a start: neither may be cut short or prevented by them."""
        self.note("stopping")
        instance = self.instances[-1]
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)[: action.times + 1]:
            instance.send_signal(number)
            await asyncio.sleep(SIGNAL_INTERVAL)
        await self._stop_all(signal.SIGTERM)
        await asyncio.sleep(RESTART_DELAY)
        await self.launch()
        await asyncio.sleep(action.pause * 2)
        self.instances[-1].send_signal(signal.SIGHUP)
        await self.serves()
        self.note("ready")

    async def close(self) -> None:
        """Kill all processes and release what the relay holds."""
        for instance in self.instances:
            instance.send_signal(signal.SIGKILL)
        for instance in self.instances:
            await instance.process.wait()
        await super().close()


ACTION_METHODS = {
    ActionKind.KILL: SoakRelay._kill,
    ActionKind.RESTART: SoakRelay._restart,
    ActionKind.UPGRADE: SoakRelay._upgrade,
    ActionKind.UPGRADE_KILL: SoakRelay._upgrade_kill,
    ActionKind.UPGRADE_NEW_DIES: SoakRelay._upgrade_new_dies,
    ActionKind.UPGRADE_BOTH_DIE: SoakRelay._upgrade_both_die,
    ActionKind.UPGRADE_STOP_NEW_DIES: SoakRelay._upgrade_stop_new_dies,
    ActionKind.RELOAD: SoakRelay._reload,
    ActionKind.PAUSE: SoakRelay._pause,
    ActionKind.SIGNALS: SoakRelay._signals,
}


def size_of(folder: Path) -> int:
    """Total size of the files in a folder in bytes, each rounded up to whole blocks."""
    total = 0
    for path in folder.rglob("*"):
        with contextlib.suppress(OSError):
            if path.is_file():
                total += -(-path.stat().st_size // DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES
    return total


async def is_serving(operator: str) -> bool:
    """Whether the process at this operator address replies to STATUS with +OK."""
    host, _, port = operator.partition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"STATUS\n")
                return (await reader.readline()).startswith(b"+OK")
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
