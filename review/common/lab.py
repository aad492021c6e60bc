"""Stand-ins and helpers for the cases: a relay process, discovery with notices, hosts, clients, a record.

Only the standard library is used. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NO_ORDER = "0" * 16  # the key of a text that is in no order
LOOPBACK = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run: what was sent, answered and run, with times in seconds since its start."""

    def __init__(self, path: Path) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def __call__(self, who: str, what: str) -> None:
        self.file.write(f"{self.now():8.3f} {who:10} {what}\n")
        self.file.flush()


class HttpPeer(asyncio.Protocol):
    """One connection to a stand-in server; calls `on_request(peer, method, target, headers, body)`."""

    def __init__(self, on_request: Callable, on_close: Callable, peers: set) -> None:
        self.on_request, self.on_close, self.peers = on_request, on_close, peers
        self.raw, self.open, self.requests = b"", False, 0
        self.is_watch = False

    def connection_made(self, transport) -> None:
        self.transport, self.open = transport, True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.peers.add(self)

    def connection_lost(self, error) -> None:
        self.open = False
        self.peers.discard(self)
        self.on_close(self)

    def data_received(self, data: bytes) -> None:
        self.raw += data
        while self.open and (end := self.raw.find(b"\r\n\r\n")) >= 0:
            lines = self.raw[:end].decode("latin-1").split("\r\n")
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines[1:])
            }
            length = int(headers.get("content-length", "0"))
            if len(self.raw) < end + 4 + length:
                return
            body, self.raw = self.raw[end + 4 : end + 4 + length], self.raw[end + 4 + length :]
            method, target, _ = lines[0].split(" ", 2)
            self.requests += 1
            self.on_request(self, method, target, headers, body)

    def write(self, raw: bytes) -> None:
        """Send bytes, if the connection is open."""
        if self.open:
            self.transport.write(raw)

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a whole response."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def chunk(self, raw: bytes) -> None:
        """Send a chunk of a response that stays open."""
        self.write(b"%x\r\n%s\r\n" % (len(raw), raw))

    def close(self) -> None:
        """Close in an orderly way."""
        if self.open:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.open:
            self.transport.abort()


class HttpServer:
    """A stand-in server on a loopback port."""

    def __init__(self) -> None:
        self.peers: set[HttpPeer] = set()
        self.port, self.server = 0, None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: HttpPeer(self.on_request, self.on_close, self.peers), LOOPBACK, port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def on_request(self, peer: HttpPeer, method: str, target: str, headers: dict, body: bytes) -> None:
        """A whole request has come."""
        raise NotImplementedError

    def on_close(self, peer: HttpPeer) -> None:
        """A connection has ended."""

    def stop_listening(self) -> None:
        """Accept no new connection; open ones stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def close(self) -> None:
        """End it, with its connections."""
        self.stop_listening()
        for peer in list(self.peers):
            peer.reset()


@dataclass
class Notices:
    """The notices that the platform has had, over all addresses: by text, times and results."""

    record: Record
    by_text: dict[str, list[tuple[float, str]]] = field(default_factory=dict)


class Agent(HttpServer):
    """Discovery and the platform's address for notices."""

    def __init__(self, name: str, record: Record, notices: Notices) -> None:
        super().__init__()
        self.name, self.record, self.notices = name, record, notices
        self.index, self.rows, self.keepalive = 40, {}, None
        self.silent = False  # discovery is down: lists and watches are not answered
        self.waiting: list[tuple] = []  # requests to answer at its return

    async def start(self, port: int = 0) -> None:
        await super().start(port)
        self.keepalive = asyncio.create_task(self._keep_alive())

    async def _keep_alive(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for peer in self.peers:
                if peer.is_watch and not self.silent:
                    peer.chunk(b"\n")

    def set_silent(self, silent: bool) -> None:
        """Begin or end an outage of discovery; notices are answered all the same."""
        self.record(self.name, "discovery is down" if silent else "discovery is up")
        self.silent, waiting, self.waiting = silent, self.waiting, []
        for peer, *request in waiting if not silent else ():
            if peer.open:
                self.on_request(peer, *request)

    def page(self) -> dict:
        """The whole list, in discovery's form."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}

    def put(self, *rows: dict) -> None:
        """Add or change hosts, and tell the watches; not while discovery is down."""
        self.index += 1
        for row in rows:
            self.rows[row["name"]] = row
            if row["status"] == "left":
                del self.rows[row["name"]]
        for peer in self.peers:
            if peer.is_watch:
                peer.chunk(self._page(list(rows), False))

    def _page(self, rows: list[dict], whole: bool) -> bytes:
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": rows}).encode() + b"\n"

    def on_request(self, peer: HttpPeer, method: str, target: str, headers: dict, body: bytes) -> None:
        if method == "POST" and target == "/reports":
            rows = [json.loads(line) for line in body.splitlines() if line.strip()]
            for row in rows:
                self.notices.by_text.setdefault(row["ref"], []).append((self.record.now(), row["result"]))
                self.record(self.name, f"notice {row['ref']} {row['result']}")
            peer.answer(204)
        elif self.silent:
            self.waiting.append((peer, method, target, headers, body))
        elif method == "GET" and target.startswith("/catalog/members?stream=1"):
            peer.is_watch = True
            self.record(self.name, f"watch opened: {target}")
            peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            match = re.search(r"index=(\d+)", target)
            if match is None or int(match[1]) != self.index:
                peer.chunk(self._page(list(self.rows.values()), True))
        elif method == "GET" and target == "/catalog/members":
            self.record(self.name, "whole list asked for")
            peer.answer(200, self._page(list(self.rows.values()), True))
        else:
            peer.answer(404)

    def close(self) -> None:
        super().close()
        if self.keepalive is not None:
            self.keepalive.cancel()


def host_row(name: str, address: str, group: int, zone: str, kind: str) -> dict:
    """A row of the list of hosts."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": kind,
        "group": group,
        "status": "active",
        "weight": 50.0,
        "since_ms": 0,
    }


@dataclass
class HostCall:
    """One call at a host."""

    host: Host
    peer: HttpPeer
    texts: list[tuple[str, str, bytes]]  # id, idempotency key, body
    batch: bool
    at: float


class Host(HttpServer):
    """A host; `on_call` gets each whole call and answers it."""

    def __init__(self, name: str, record: Record, on_call: Callable[[HostCall], None]) -> None:
        super().__init__()
        self.name, self.record, self.on_call = name, record, on_call

    def on_request(self, peer: HttpPeer, method: str, target: str, headers: dict, body: bytes) -> None:
        if method == "POST" and target == "/v1/messages":
            texts = [(headers["x-txn"], headers.get("idempotency-key", ""), body)]
        elif method == "POST" and target == "/v1/messages:batch":
            texts = [
                (row["id"], row.get("key", ""), base64.b64decode(row["body"])) for row in json.loads(body)
            ]
        else:
            peer.answer(404)
            return
        self.record(self.name, "call " + " ".join(f"{text}/{key}" for text, key, _ in texts))
        self.on_call(HostCall(self, peer, texts, target.endswith("batch"), self.record.now()))


def answer_call(call: HostCall, status: int = 200) -> None:
    """Answer a call; all of its texts fare alike."""
    if call.batch and status == 200:
        rows = [{"id": text, "state": "delivered"} for text, _, _ in call.texts]
        call.peer.answer(200, json.dumps(rows).encode())
    else:
        call.peer.answer(status)
    call.host.record(call.host.name, f"answer {status} " + " ".join(text for text, _, _ in call.texts))


class Client:
    """One client connection in RESP2, one request at a time."""

    def __init__(self, port: int, record: Record, name: str = "client") -> None:
        self.port, self.record, self.name = port, record, name
        self.reader = self.writer = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)

    async def request(self, *words: bytes, wait: float = 0.4) -> str | None:
        """Send a command; its answer, None without one in time."""
        if self.writer is None:
            await self.connect()
        raw = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        try:
            self.writer.write(raw)
            line = await asyncio.wait_for(self.reader.readline(), wait)
        except (TimeoutError, OSError):
            line = b""
        if not line:
            self.close()
            return None
        return line.decode().strip()

    async def submit(
        self,
        text: str,
        product: str,
        customer: str,
        valid_ms: int,
        key: str,
        dest: int,
        order: str = "0" * 16,
    ) -> str | None:
        """Hand in a text; the relay's answer."""
        names = f"c={product},t={customer},d={valid_ms},k={key},dest={dest}"
        self.record(self.name, f"SUBMIT {order} {text} {names}")
        answer = await self.request(b"SUBMIT", order.encode(), text.encode(), names.encode(), b"hello")
        if answer is None:  # a resting connection may have been closed: once more on a new one
            self.record(self.name, f"no answer for {text}")
            answer = await self.request(b"SUBMIT", order.encode(), text.encode(), names.encode(), b"hello")
        self.record(self.name, f"answer {text} {answer}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Relay:
    """One relay process, started as the deploy file says."""

    def __init__(self, record: Record, folder: Path, config: dict) -> None:
        self.record, self.folder, self.config = record, folder, config
        self.state, self.config_path = folder / "state", folder / "config.json"
        self.state.mkdir(exist_ok=True)
        (folder / "tmp").mkdir(exist_ok=True)
        self.port = int(config["listen"].rpartition(":")[2])
        self.write_config(config)
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self.run_line = tomllib.load(file)["run"]
        self.process: subprocess.Popen | None = None
        self.log = open(folder / "relay.log", "ab")

    def write_config(self, config: dict | str) -> None:
        """Replace the configuration file, whole."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(config if isinstance(config, str) else json.dumps(config), encoding="utf-8")
        os.replace(temporary, self.config_path)

    def start(self, discovery: str) -> None:
        """Start the process, with the variables of the deploy page."""
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "TMPDIR": str(self.folder / "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": discovery,
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(self.config_path),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self.run_line],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.record("relay", "process started")

    async def ready(self, limit: float = 20.0) -> None:
        """Wait until PING is answered with PONG."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the relay ended with {self.process.returncode}")
            client = Client(self.port, self.record, "probe")
            try:
                if await client.request(b"PING") == "+PONG":
                    self.record("relay", "ready")
                    return
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.1)
        raise CannotRun("the relay did not get ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record("relay", f"{number.name} sent")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it is there."""
        if self.process is not None and self.process.poll() is None:
            os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()
        self.log.close()


def run_case(folder: Path, play: Callable) -> int:
    """Play a case: `play(record, temporary folder)` returns what broke the rule, empty if it held."""
    record = Record(folder / "record.txt")
    record("case", f"trouble {'on' if TROUBLE else 'off'}")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))  # what was started is ended
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, temporary), 110))
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not be played
        record("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return NOT_RUN
    finally:
        log = temporary / "relay.log"
        if os.environ.get("KEEP_LOG") and log.exists():
            shutil.copy(log, folder / "relay.log")
        shutil.rmtree(temporary, ignore_errors=True)
    for line in broken:
        record("case", f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record("case", "the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
