"""One relay of a soak: one process after another, and at times two beside each other."""

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
from limelatch.lab.soak.plan import KILL_AFTER, Act, ActKind
from limelatch.lab.stages.sockets import RelayProcess, Sockets

START_PAUSE = 0.6  # seconds from SIGKILL to the next start, by the protocol
READY_MOST = 10.0  # seconds until a process has to serve
READY_GIVEN_UP = 20.0
LOOK = 0.02  # between two looks whether it does
SIGNAL_PAUSE = 0.01  # between signals in quick succession
DONE = 0
BLOCK = 512  # bytes in which files count


@dataclass
class ProcessLife:
    """One process of a relay, from its start to its end."""

    process: asyncio.subprocess.Process
    operator: str
    told_to_end: bool = False  # by SIGTERM or SIGKILL

    @property
    def runs(self) -> bool:
        return self.process.returncode is None

    def send(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.told_to_end = True
        if self.runs:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class SoakRelay(RelayProcess):
    """Carries out acts one after another; what is wrong with its processes goes to `wrongs`."""

    def __init__(self, number: int, stage: Sockets, folder: Path, listen: str) -> None:
        super().__init__(number, stage, folder, listen)
        self.operator = ""
        self.lives: list[ProcessLife] = []
        self.turn = asyncio.Lock()
        self.turned_round = False  # products and customers in another order
        self.wrongs: list[str] = []
        self.over: set[str] = set()  # limits that were passed
        self.starts = 0

    def installation(self) -> Installation:
        made = super().installation()
        identity = msgspec.structs.replace(made.relay, operator=self.operator)
        products, customers = made.products, made.customers
        if self.turned_round:
            products, customers = products[::-1], customers[::-1]
        log = msgspec.structs.replace(made.log, parts={"driver": LogLevel.DEBUG})
        return msgspec.structs.replace(made, relay=identity, products=products, customers=customers, log=log)

    def note(self, what: str) -> None:
        """Put it into the record."""
        self.stage.writer.add(rec.Relay(self.stage.clock.now(), self.number, what))

    async def launch(self) -> None:
        """Start a process, as the deploy file does: SIGHUP is ignored until the program hears it."""
        self.operator = f"{self.stage.address.host}:{self.stage.address.port()}"
        self.starts += 1
        await super().launch()
        life = ProcessLife(self.process, self.operator)
        self.lives = [each for each in self.lives if each.runs] + [life]
        self.stage.spawn(self._watch(life))

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        """Each line with the stage's time before it: the relay's own is its wall clock's, and stepped."""
        with open(self.folder / f"{self.name}.log", "ab") as file:
            async for raw in process.stderr:
                file.write(b"%d %s" % (self.stage.clock.now(), raw))

    async def _watch(self, life: ProcessLife) -> None:
        """A process that ends by itself has crashed; one that was stopped in order ends with 0."""
        code = await life.process.wait()
        if not life.told_to_end:
            self.wrongs.append(f"a process ended by itself with {code}")
        elif code not in (DONE, -signal.SIGKILL):
            self.wrongs.append(f"a process that was told to end did so with {code}")

    async def serves(self) -> None:
        """Wait until the newest process says at its operators' address that it serves."""
        life, began = self.lives[-1], time.monotonic()
        while not await says_yes(life.operator):
            if not life.runs:
                return  # it was killed, or `_watch` tells of it
            if time.monotonic() - began > READY_GIVEN_UP:
                self.wrongs.append(f"a process was not ready in {READY_GIVEN_UP:.0f} s")
                return
            await asyncio.sleep(LOOK)
        if (took := time.monotonic() - began) > READY_MOST:
            self.wrongs.append(f"a process took {took:.1f} s to be ready")

    def gauge(self) -> None:
        """The limits see one relay: its processes' descriptors and memory, and its folder, together."""
        descriptors = memory = 0
        for life in self.lives:
            with contextlib.suppress(psutil.Error, ProcessLookupError):
                watch = psutil.Process(life.process.pid)
                descriptors += watch.num_fds()
                memory += watch.memory_info().rss
        keys = self.stage.scenario.relays
        self._within("descriptors", descriptors, keys.sockets)
        self._within("bytes of memory", memory, keys.memory)
        self._within("bytes of disk", size_of(self.state), keys.disk)
        self.stage.writer.add(rec.ResourceUsage(self.stage.clock.now(), self.number, memory, descriptors, 0))

    def _within(self, what: str, held: int, most: int) -> None:
        if held > most and what not in self.over:
            self.over.add(what)
            at = self.stage.clock.now() / SECOND
            self.wrongs.append(f"{held} {what} held at {at:.2f} s, {most} at most")

    async def perform(self, act: Act) -> None:
        """Carry out an act; those of one relay wait for each other."""
        async with self.turn:
            await ACTS[act.kind](self, act)

    async def _kill(self, act: Act) -> None:
        await self._all_end(signal.SIGKILL)
        await self._start_again()

    async def _all_end(self, number: int) -> None:
        """No process of the relay is left."""
        self.note("killed" if number == signal.SIGKILL else "stopping")
        for life in self.lives:
            life.send(number)
        for life in self.lives:
            await self._end_of(life)
        if number != signal.SIGKILL:
            self.note("ended")

    async def _end_of(self, life: ProcessLife, within: float = KILL_AFTER) -> None:
        """It ends by itself in time, or is killed then."""
        try:
            await asyncio.wait_for(life.process.wait(), within)
        except TimeoutError:
            life.send(signal.SIGKILL)
            await life.process.wait()

    async def _start_again(self) -> None:
        await asyncio.sleep(START_PAUSE)
        await self.start()

    async def _restart(self, act: Act) -> None:
        await self._all_end(signal.SIGTERM)
        await self._start_again()

    async def _beside(self, act: Act) -> ProcessLife | None:
        """A process beside the one that runs; the old one, None where none runs."""
        old = next((life for life in self.lives if life.runs), None)
        self.note("upgrade")
        await self.launch()
        await self.serves()
        await asyncio.sleep(act.overlap)
        return old

    async def _upgrade(self, act: Act) -> None:
        if (old := await self._beside(act)) is not None:
            self.note("upgrade: the old process is told to stop")
            old.send(signal.SIGTERM)
            await self._end_of(old)
            self.note(ENDED_DURING_UPGRADE)

    async def _upgrade_kill(self, act: Act) -> None:
        if (old := await self._beside(act)) is not None:
            self.note("upgrade: the old process is killed")
            old.send(signal.SIGKILL)
            await old.process.wait()
            self.note(ENDED_DURING_UPGRADE)

    async def _upgrade_new_dies(self, act: Act) -> None:
        old = await self._beside(act)
        if old is None:
            return
        self.note("upgrade: the new process is killed")
        self.lives[-1].send(signal.SIGKILL)
        await self.lives[-1].process.wait()
        self.note(ENDED_DURING_UPGRADE)
        self.lives = [old]
        self.process = old.process

    async def _upgrade_both_die(self, act: Act) -> None:
        await self._beside(act)
        await self._all_end(signal.SIGKILL)
        await self._start_again()

    async def _upgrade_stop_new_dies(self, act: Act) -> None:
        old = await self._beside(act)
        if old is None:
            return
        self.note("stopping")
        old.send(signal.SIGTERM)
        await asyncio.sleep(act.pause)
        self.lives[-1].send(signal.SIGKILL)
        await self._end_of(old)
        self.note("ended")
        await self._start_again()

    async def _reload(self, act: Act) -> None:
        for _ in range(act.times):
            self.turned_round = not self.turned_round
            self.write()
            self.note("reloads")
            for life in self.lives:
                life.send(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_PAUSE)

    async def _pause(self, act: Act) -> None:
        for life in self.lives:
            life.send(signal.SIGSTOP)
        await asyncio.sleep(act.pause)
        for life in self.lives:
            life.send(signal.SIGCONT)

    async def _signals(self, act: Act) -> None:
        """At a start and in a stop: what comes beside must neither end it early nor keep it from ending."""
        self.note("stopping")
        life = self.lives[-1]
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)[: act.times + 1]:
            life.send(number)
            await asyncio.sleep(SIGNAL_PAUSE)
        await self._all_end(signal.SIGTERM)
        await asyncio.sleep(START_PAUSE)
        await self.launch()
        await asyncio.sleep(act.pause * 2)
        self.lives[-1].send(signal.SIGHUP)
        await self.serves()
        self.note("ready")

    async def close(self) -> None:
        for life in self.lives:
            life.send(signal.SIGKILL)
        for life in self.lives:
            await life.process.wait()
        await super().close()


ACTS = {
    ActKind.KILL: SoakRelay._kill,
    ActKind.RESTART: SoakRelay._restart,
    ActKind.UPGRADE: SoakRelay._upgrade,
    ActKind.UPGRADE_KILL: SoakRelay._upgrade_kill,
    ActKind.UPGRADE_NEW_DIES: SoakRelay._upgrade_new_dies,
    ActKind.UPGRADE_BOTH_DIE: SoakRelay._upgrade_both_die,
    ActKind.UPGRADE_STOP_NEW_DIES: SoakRelay._upgrade_stop_new_dies,
    ActKind.RELOAD: SoakRelay._reload,
    ActKind.PAUSE: SoakRelay._pause,
    ActKind.SIGNALS: SoakRelay._signals,
}


def size_of(folder: Path) -> int:
    """Bytes of a folder's files, each in whole blocks."""
    found = 0
    for path in folder.rglob("*"):
        with contextlib.suppress(OSError):
            if path.is_file():
                found += -(-path.stat().st_size // BLOCK) * BLOCK
    return found


async def says_yes(operator: str) -> bool:
    """Whether the process at this operators' address answers STATUS with +OK."""
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
