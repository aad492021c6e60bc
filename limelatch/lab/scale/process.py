"""One real relay process seen from outside: its start, its gauges in /proc, and clients that hand in.

Nothing of the measured program is imported for it, so that one command measures any tree of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import hiredis

from limelatch.client.wire import NO_KEY, new_id
from limelatch.configuration.model import Catalog as CatalogTable
from limelatch.configuration.model import Floor, Identity, Installation, Kind, Limits, Product
from limelatch.configuration.platform_form import write_platform
from limelatch.interface import SECOND, Effect
from limelatch.lab.scale.partners import FLOOR, KIND, LOOPBACK

STOP_WAIT = 6.0  # seconds from SIGTERM, then SIGKILL
LOOK, CALM_LOOK = 0.02, 0.25  # seconds between two tries to connect, two looks at the processor time
MEMORY, DISK = 4_000_000_000, 1_000_000_000  # so that neither binds; all else is the relay's own default
PRODUCT, VALID_MS = "notice", 7_200_000
PING = hiredis.pack_command(("PING",))


class NotServing(Exception):
    """The relay did not do what the measurement needs; the words say what it did."""


@dataclass(frozen=True, slots=True)
class Gauges:
    """`memory`, `peak`: resident, bytes; `processor`: seconds so far, to the nanosecond; and descriptors."""

    memory: int
    peak: int
    processor: float
    descriptors: int


def processor(pid: int) -> float:
    """Seconds of processor time of all threads, from /proc/PID/task/*/schedstat (ns, of both modes).

    Not utime and stime of /proc/PID/stat: these come in ticks of 10 ms, more than many changes take."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def gauges(pid: int) -> Gauges:
    """All gauges now; OSError where the process has ended."""
    lines = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    memory, peak = (int(lines[name].split()[0]) * 1024 for name in ("VmRSS", "VmHWM"))
    return Gauges(memory, peak, processor(pid), len(os.listdir(f"/proc/{pid}/fd")))


def free_port() -> int:
    with socket.socket() as one:
        one.bind((LOOPBACK, 0))
        return one.getsockname()[1]


def installation(listen: str, catalog: str, state: str, texts: int) -> Installation:
    """The measured relay's configuration: room for `texts`, memory and disk that don't bind; else the relay's
    own defaults."""
    return Installation(
        relay=Identity(listen=listen, state=state),
        catalog=CatalogTable(address=catalog),
        limits=Limits(memory=MEMORY, disk=DISK, texts=texts),
        products=[Product(name=PRODUCT, effect=Effect.RESENDABLE, sla_time=3 * SECOND)],
        kinds=[Kind(name=KIND)],
        floors=[Floor(name=FLOOR)],
    )


class RelayProcess:
    """A relay of the program in `tree`, in `folder`, which outlasts its starts."""

    def __init__(self, tree: Path, folder: Path, catalog: str, texts: int) -> None:
        self.tree, self.folder, self.port = tree.resolve(), folder, free_port()
        self.state, self.path = folder / "state", folder / "relay.json"
        self.state.mkdir(parents=True, exist_ok=True)
        self.path.write_text(
            json.dumps(
                write_platform(installation(f"{LOOPBACK}:{self.port}", catalog, str(self.state), texts))
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        self.began = 0.0

    @property
    def pid(self) -> int:
        return self.process.pid

    def processor(self) -> float:
        return processor(self.pid)

    def gauges(self) -> Gauges:
        return gauges(self.pid)

    def folder_bytes(self) -> int:
        """What the lasting folder holds now, in bytes."""
        return sum(path.stat().st_size for path in self.state.rglob("*") if path.is_file())

    async def start(self, seconds: float) -> None:
        """Start it and wait until PING is answered; NotServing where it ends or `seconds` pass before."""
        surroundings = {name: word for name, word in os.environ.items() if not name.startswith("RELAY_")}
        surroundings |= {"RELAY_CONFIG": str(self.path), "PYTHONPATH": str(self.tree)}
        self.began = time.monotonic()
        with open(self.folder / "relay.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "limelatch.relay",
                cwd=self.tree,
                env=surroundings,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
        while True:
            if self.process.returncode is not None:
                raise NotServing(f"the process ended with {self.process.returncode}")
            if time.monotonic() > self.began + seconds:
                raise NotServing(f"PING was not answered within {seconds:g} s")
            with contextlib.suppress(OSError):
                hand = await Hand.to(self.port)
                try:
                    if await hand.ask(PING, seconds) == b"PONG":
                        return
                finally:
                    hand.close()
            await asyncio.sleep(LOOK)

    async def stop(self, sent: int = signal.SIGTERM) -> None:
        """End this process, by its id, and wait for it."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(sent)
            try:
                await asyncio.wait_for(self.process.wait(), STOP_WAIT)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()

    async def settle(self, seconds: float = 60.0, busy: float = 0.1) -> None:
        """Wait until it uses less than `busy` of a core in two looks running."""
        until, calm, before = time.monotonic() + seconds, 0, self.processor()
        while calm < 2 and time.monotonic() < until:
            await asyncio.sleep(CALM_LOOK)
            now = self.processor()
            calm, before = calm + 1 if now - before < CALM_LOOK * busy else 0, now


class Hand:
    """One connection of a client; commands may be pipelined, answers come in order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer, self._replies = reader, writer, hiredis.Reader()

    @classmethod
    async def to(cls, port: int) -> Hand:
        return cls(*await asyncio.open_connection(LOOPBACK, port))

    async def ask(self, raw: bytes, seconds: float) -> object:
        """Write commands and wait for one answer; NotServing where none comes."""
        self._writer.write(raw)
        return await self.answer(seconds)

    def write(self, raw: bytes) -> None:
        self._writer.write(raw)

    async def answer(self, seconds: float) -> object:
        """The next answer, an error as a ReplyError; NotServing where the connection ends or is silent."""
        until = time.monotonic() + seconds
        while (reply := self._replies.gets()) is False:
            try:
                data = await asyncio.wait_for(self._reader.read(65536), max(0.01, until - time.monotonic()))
            except (TimeoutError, ConnectionError) as error:
                raise NotServing(f"no answer to a command: {type(error).__name__}") from None
            if not data:
                raise NotServing("the relay closed a client's connection")
            self._replies.feed(data)
        return reply

    def close(self) -> None:
        self._writer.close()


def submit(destination: int) -> bytes:
    """The bytes that hand in a text, without a body, that stays valid for longer than any measurement."""
    names = f"c={PRODUCT},t=,d={VALID_MS},dest={destination}"
    return hiredis.pack_command(("SUBMIT", NO_KEY, new_id(), names, b""))


def words_of(reply: object) -> str:
    """What a relay answered, as the protocol writes it."""
    word = reply.decode(errors="replace") if isinstance(reply, bytes) else str(reply)
    return f"-{word}" if isinstance(reply, hiredis.ReplyError) else f"+{word}"


async def hand_in(
    port: int, destinations: list[int], hands: int = 16, seconds: float = 120.0
) -> Counter[str]:
    """Hand in a text for each destination, pipelined over `hands` connections; the answers, counted."""

    async def one(share: list[int]) -> Counter[str]:
        hand, said = await Hand.to(port), Counter()
        try:
            for at in range(0, len(share), 64):  # as many as a relay's ring of inbound bytes takes at once
                part = share[at : at + 64]
                hand.write(b"".join(submit(number) for number in part))
                for _ in part:
                    said[words_of(await hand.answer(seconds))] += 1
        finally:
            hand.close()
        return said

    shares = [share for each in range(hands) if (share := destinations[each::hands])]
    return sum(await asyncio.gather(*(one(share) for share in shares)), Counter())


async def trickle_in(port: int, destinations: list[int], rate: float) -> int:
    """Hand in a text for each destination on one connection, `rate` a second; how many were taken on."""
    hand, taken, loop = await Hand.to(port), 0, asyncio.get_running_loop()
    began = loop.time()
    try:
        for place, number in enumerate(destinations):
            await asyncio.sleep(max(0.0, began + place / rate - loop.time()))
            taken += words_of(await hand.ask(submit(number), 30.0)) == "+OK"
    finally:
        hand.close()
    return taken
