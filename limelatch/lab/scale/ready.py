"""How long relays that were killed with full folders take until they serve again, as discovery is silent.

Real processes on loopback: all start with a folder full of texts, seven in ten are killed at once and started
anew 0.6 s later; discovery then takes calls in silence, and after some seconds answers late and closes some.
A relay's time is counted as on a machine that gives it its share of a core: the processor time that it used,
divided by the share, and what it waited for anything but a processor."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from random import Random

from limelatch.interface import MS, SECOND
from limelatch.lab.scale.results import Point
from limelatch.relay.ledger import Ledger

RESTART_AFTER, LONGEST, SHARE = 0.6, 60.0, 0.4  # seconds; until a start has failed; of a core, a relay's
LATE_MOST, CLOSED = 2.0, 0.3  # of an overbooked discovery: seconds to an answer; calls closed without one
BODY, DISK_MB, VALID = b"x" * 600, 3, 300 * SECOND
SETTINGS = {
    "classes": [
        {"name": "report", "effect": "pure", "deadline": VALID // MS},
        {"name": "charge", "effect": "side_effect", "oneAtATime": True, "deadline": VALID // MS},
    ],
    "familyInfo": {"slots": 16, "batchByKind": [1], "routesApart": [False]},
    "limits": {
        "maxOpen": 10_000,
        "maxAttempts": 8,
        "maxRetryAfter": 2000,
        "retryAfter": True,
        "connIdle": 9000,
    },
    "projects": [{"name": "acme"}],
    "skus": ["single"],
    "zones": ["a"],
    "rules": {"cold": 12000, "coldShare": 0.2, "fallMultiple": 2.5, "tipAfter": 2000, "turnGap": 300},
}


@dataclass
class Start:
    """One start of a relay: what it said of it, and what it took until it served."""

    texts: int = 0  # that its folder held
    waits: list[str] = field(default_factory=list)  # what its log says that it waits for
    fresh_list: bool | None = None  # whether discovery had told it the list when it served
    waited: float = 0.0  # seconds between having read its folder and serving, by its log
    wall: float = 0.0
    processor: float = 0.0
    queued: float = 0.0  # ready to run, without a processor

    def at_share(self, share: float) -> float:
        """Seconds to ready where it gets this share of a core."""
        return self.processor / share + max(0.0, self.wall - self.processor - self.queued)


def fill(folder: str, memory_mb: int = 64) -> int:
    """Write texts that are not over until the ledger takes no more; how many.

    Of four one is untried, one was refused, one is out and one has run without an answer."""
    ledger = Ledger(folder, DISK_MB << 20, memory_mb << 20)
    now, count, held = int(time.time() * SECOND), 0, len(ledger.entries)
    while ledger.has_room(len(BODY)):
        text, once = b"%016x" % (now + count), count % 4 == 2
        if not ledger.record_accepted(
            text,
            BODY,
            key=f"k{count % 97}" if once else "",
            mark="",
            dest=1,
            product="charge" if once else "report",
            until=now + VALID,
            customer="acme",
        ):
            break
        if count % 4:
            ledger.record_submit(text, now, 0)
        if count % 4 in (1, 3):
            ledger.record_submit_end(text, may_have_run=count % 4 == 3)
        count += 1
    ledger.close()
    return held + count


class Discovery:
    """Discovery and platform: silent, then overbooked; notices are answered at once all the while."""

    def __init__(self, chance: Random) -> None:
        self.chance, self.silent, self.overbooked, self.address = chance, False, False, ""
        self.speaks = asyncio.Event()
        self.list = json.dumps(
            {
                "index": 2,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": "s-1",
                        "address": "127.0.0.1:1",
                        "zone": "a",
                        "type": "single",
                        "group": 1,
                        "status": "active",
                        "weight": 50.0,
                        "since_ms": 0,
                    }
                ],
            }
        ).encode()

    async def serve(self) -> asyncio.Server:
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.speaks.set()
        return server

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if length := re.search(rb"(?i)content-length: *(\d+)", head):
                    await reader.readexactly(int(length[1]))
                if head.startswith(b"POST"):
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif not await self._list(head, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # a relay was killed, or the measuring is over
        writer.close()

    async def _list(self, head: bytes, writer: asyncio.StreamWriter) -> bool:
        """The whole list, or a watch that tells nothing new; False where the call is closed."""
        await self.speaks.wait()
        if self.overbooked:
            await asyncio.sleep(self.chance.uniform(0, LATE_MOST))
            if self.chance.random() < CLOSED:
                return False
        if b"stream=1" not in head.split(b"\r\n")[0]:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(self.list), self.list))
            return True
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            writer.write(b"1\r\n\n\r\n")
            await writer.drain()
            await asyncio.sleep(2)


class Relay:
    """One relay's process, one start after another on its folder."""

    def __init__(self, folder: Path, discovery: str, list_ms: int | None) -> None:
        self.state, self.file, self.process = folder / "state", folder / "relay.json", None
        self.state.mkdir(parents=True)
        address = "127.{}.{}.{}".format(*(1 + byte % 254 for byte in os.urandom(3)))  # its own ports
        with socket.create_server((address, 0)) as spare:
            port = spare.getsockname()[1]
        plan = {
            "listen": f"{address}:{port}",
            "discovery": discovery,
            "seed": "7",
            "state": str(self.state),
            "limits": {"disk_mb": DISK_MB, "memory_mb": 64},
            "settings": SETTINGS,
        }
        self.file.write_text(json.dumps(plan | ({} if list_ms is None else {"list_ms": list_ms})))

    async def start(self) -> Start:
        """Until it serves; TimeoutError where it does not in time, RuntimeError where it ends."""
        start, began, line = Start(), time.monotonic(), ""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limelatch.relay",
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 20,
            env=os.environ | {"RELAY_CONFIG": str(self.file)},
            cwd=Path(__file__).parents[3],
        )
        async with asyncio.timeout(LONGEST):
            while raw := await self.process.stderr.readline():
                line = raw.decode()
                said = dict(re.findall(r"(\w+)=(\S+)", line))
                at = datetime.fromisoformat(said["time"]).timestamp() if "time" in said else 0.0
                match said.get("event"):
                    case "started":
                        start.texts, read_at = int(said["owed"]), at
                    case "waiting":
                        start.waits.append(said["on"])
                    case "port-taken":
                        start.waits.append("port")
                    case "serving":
                        start.wall, start.waited = time.monotonic() - began, at - read_at
                        start.processor, start.queued = self._used()
                        start.fresh_list = said["fresh_list"] == "true"
                        self._rest = asyncio.create_task(self._read_on())
                        return start
        raise RuntimeError(f"the relay ended with {await self.process.wait()}: {line.strip()}")

    def _used(self) -> tuple[float, float]:
        """Seconds on a processor, and ready to run without one."""
        used, queued, _ = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        return int(used) / 1e9, int(queued) / 1e9

    async def _read_on(self) -> None:
        while await self.process.stderr.readline():
            pass

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def restarts(
    relays: int, killed: int, silent: float, seed: int, list_ms: int | None = None
) -> list[Start]:
    """Start all, kill so many at once, fill their folders and start them anew; their second starts."""
    with tempfile.TemporaryDirectory() as folder:
        discovery = Discovery(Random(seed))
        server = await discovery.serve()
        fleet = [Relay(Path(folder) / f"n{number}", discovery.address, list_ms) for number in range(relays)]
        try:
            for relay in fleet:
                await relay.start()
            discovery.speaks.clear()
            began = time.monotonic()
            await asyncio.gather(*[relay.kill() for relay in fleet[:killed]])
            for relay in fleet[:killed]:
                fill(str(relay.state))
            await asyncio.sleep(max(0.0, began + RESTART_AFTER - time.monotonic()))
            discovery.overbooked = True
            passed = time.monotonic() - began
            asyncio.get_running_loop().call_later(max(0.0, silent - passed), discovery.speaks.set)
            return await asyncio.gather(*[relay.start() for relay in fleet[:killed]])
        finally:
            await asyncio.gather(*[relay.kill() for relay in fleet])
            server.close()


def points(starts: list[Start], relays: int, share: float) -> list[Point]:
    """The measured distributions, a value a start."""
    waits = sorted({wait for start in starts for wait in start.waits})
    fresh = sum(bool(start.fresh_list) for start in starts)
    note = (
        f"{len(starts)} of {relays} killed at once; {min(s.texts for s in starts)} to"
        f" {max(s.texts for s in starts)} texts in the folder; logged as waited for:"
        f" {', '.join(waits) or 'nothing'}; {fresh} had the list; at {share} of a core"
    )
    rows = [
        ("time to ready", [start.at_share(share) for start in starts]),
        ("processor time to ready", [start.processor for start in starts]),
        ("wait for the list", [start.waited for start in starts]),
        ("wall time to ready", [start.wall for start in starts]),
    ]
    return [
        Point("restart", measure, "s", "relays", relays, [round(each, 3) for each in sorted(values)], note)
        for measure, values in rows
    ]
