"""Stand-ins and process control for the cases 6 to 10: hosts, platform with catalog, clients, and one relay.

Standard library only. Every address is on loopback; ports are chosen by the kernel, files are in a temporary
folder. The stand-ins keep to PROTOCOL.md: a host runs a call once its last byte has come, the platform
answers notices with 204 at once, a client waits 400 ms for its answer and then closes the connection.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
ANSWER_WAIT = 0.4  # seconds that a client waits for the answer to a SUBMIT
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 429: "Too Many Requests"}


class NotRunnable(Exception):
    """The case could not be played; the message says why."""


class Record:
    """record.txt: what was sent, answered and run, a line an event, in milliseconds since the start."""

    def __init__(self, path: Path) -> None:
        self.start, self.file = time.monotonic(), open(path, "w", encoding="utf-8", buffering=1)

    def now_ms(self) -> float:
        return (time.monotonic() - self.start) * 1000

    def __call__(self, event: str, /, **fields: object) -> float:
        now = self.now_ms()
        self.file.write(f"{now:9.1f}  {event}" + "".join(f" {k}={v}" for k, v in fields.items()) + "\n")
        return now


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# HTTP/1.1, the server's side.


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


async def read_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Request | None:
    """The next request; None once the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ", 2)
        headers = {name.strip().lower(): value.strip() for name, _, value in (l.partition(":") for l in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body, writer)


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Listens on a loopback port and passes each connection to `serve`."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host, self.port, self.server = host, 0, None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader, writer)) is not None:
                await self.serve(request)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, request: Request) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


@dataclass
class Call:
    """One call at a host, complete; `texts`: pairs of id and idempotency key."""

    host: Host
    texts: list[tuple[str, str]]
    batch: bool
    writer: asyncio.StreamWriter
    at: float

    def answer(self, status: int = 200, state: str = "delivered", **headers: str) -> None:
        body = b""
        if self.batch and status == 200:
            body = json.dumps([{"id": text, "state": state} for text, _ in self.texts]).encode()
        if not self.writer.is_closing():
            self.writer.write(response(status, body, **headers))
        word = status if status != 200 else f"200 {state}"
        self.host.record("host answers", host=self.host.name, ids=",".join(t for t, _ in self.texts), status=word)


class Host(HttpServer):
    """A host of one destination. `behave` gets each call; by default the call runs and is answered after
    `service` seconds, whether or not its connection is still open by then."""

    def __init__(
        self, record: Record, name: str, group: int, kind: str = "main-partner", zone: str = "ground-floor"
    ) -> None:
        super().__init__()
        self.record, self.name, self.group, self.kind, self.zone = record, name, group, kind, zone
        self.service = 0.25
        self.status = "active"
        self.behave: Callable[[Call], Awaitable[None]] = self.run_and_answer
        self.runs: defaultdict[str, list[float]] = defaultdict(list)  # by id, when each run began
        self.arrivals: list[tuple[float, str]] = []
        self.tasks: set[asyncio.Task] = set()

    def row(self) -> dict:
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
            "group": self.group, "status": self.status, "weight": 0.0, "since_ms": 0,
        }  # fmt: skip

    def run(self, call: Call) -> None:
        for text, _ in call.texts:
            self.runs[text].append(self.record("host runs", host=self.name, id=text))

    async def run_and_answer(self, call: Call) -> None:
        self.run(call)
        await asyncio.sleep(self.service)
        call.answer()

    async def serve(self, request: Request) -> None:
        path = urlsplit(request.target).path
        if request.method == "POST" and path == "/v1/messages":
            texts, batch = [(request.headers.get("x-txn", ""), request.headers.get("idempotency-key", ""))], False
        elif request.method == "POST" and path == "/v1/messages:batch":
            rows, batch = json.loads(request.body), True
            texts = [(row["id"], row.get("key", "")) for row in rows]
            for row in rows:
                base64.b64decode(row["body"], validate=True)
        else:
            request.writer.write(response(404))
            return
        at = self.record(
            "call arrives", host=self.name, ids=",".join(t for t, _ in texts), left=request.headers.get("x-remaining")
        )
        self.arrivals += [(at, text) for text, _ in texts]
        # A call that has begun goes on when its connection breaks; the next request comes behind its answer.
        task = asyncio.ensure_future(self.behave(Call(self, texts, batch, request.writer, at)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await asyncio.shield(task)


@dataclass
class Notice:
    at: float
    result: str
    wait_ms: int | None


class Platform(HttpServer):
    """The catalog's list with its watch, and the notices."""

    def __init__(self, record: Record, name: str = "platform") -> None:
        super().__init__()
        self.record, self.name, self.index = record, name, 1
        self.rows: dict[str, dict] = {}
        self.changes: list[tuple[int, dict]] = []
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.notices: defaultdict[str, list[Notice]] = defaultdict(list)
        self._beat: asyncio.Task | None = None

    async def start(self) -> None:
        await super().start()
        self._beat = asyncio.ensure_future(self._keep_alive())

    async def _keep_alive(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in list(self.watches):
                self._chunk(writer, b"\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, raw: bytes) -> None:
        if not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(raw), raw))

    def _page(self, rows: list[dict], whole: bool) -> bytes:
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": rows}).encode() + b"\n"

    def put(self, *rows: dict) -> None:
        """Add or change hosts; `left` takes one off. Told to all open watches at once."""
        self.index += 1
        for row in rows:
            self.changes.append((self.index, row))
            if row["status"] == "left":
                self.rows.pop(row["name"], None)
            else:
                self.rows[row["name"]] = row
            self.record("list changes", name=row["name"], status=row["status"], index=self.index)
        for writer in list(self.watches):
            if writer.is_closing():
                del self.watches[writer]
            else:
                self._chunk(writer, self._page(list(rows), False))
                self.watches[writer] = self.index

    async def serve(self, request: Request) -> None:
        parts = urlsplit(request.target)
        if request.method == "POST" and parts.path == "/reports":
            for line in request.body.splitlines():
                row = json.loads(line)
                at = self.record("notice", id=row["ref"], result=row["result"], wait_ms=row.get("wait_ms"))
                self.notices[row["ref"]].append(Notice(at, row["result"], row.get("wait_ms")))
            request.writer.write(response(204))
        elif parts.path == "/catalog/members":
            query = parse_qs(parts.query)
            if query.get("stream") != ["1"]:
                request.writer.write(response(200, self._page(list(self.rows.values()), True)))
                return
            request.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            index = int(query.get("index", ["-1"])[0])
            if not 0 <= index <= self.index:
                self._chunk(request.writer, self._page(list(self.rows.values()), True))
            elif index < self.index:
                changed = {row["name"]: row for at, row in self.changes if at > index}
                self._chunk(request.writer, self._page(list(changed.values()), False))
            self.watches[request.writer] = self.index
        else:
            request.writer.write(response(404))

    def stop(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        super().stop()


# Clients, RESP2.


def encode(*words: str | bytes) -> bytes:
    raw = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in raw)


def new_id() -> str:
    return secrets.token_hex(8)


@dataclass
class Text:
    """One message as a client handed it in."""

    id: str
    product: str
    key: str
    dest: int
    valid_ms: int
    sent_at: float = 0.0
    answer: str | None = None  # +OK, -BUSY ..., -...; None: no answer
    answered_at: float = 0.0

    @property
    def taken(self) -> bool:
        return self.answer is not None and self.answer.startswith("+")


class Client:
    """One connection to the relay, kept between requests; one request at a time."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record, self.address = record, address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def _ask(self, command: bytes) -> str | None:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.write(command)
        line = await self.reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("closed")
        return line.decode().strip()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, command: bytes) -> str | None:
        """The answer within 400 ms, else None. On a kept connection that turns out closed, the request is sent
        once more on a new one."""
        kept = self.writer is not None
        try:
            async with asyncio.timeout(ANSWER_WAIT):
                try:
                    return await self._ask(command)
                except (ConnectionError, OSError):
                    self.close()
                    if not kept:
                        return None
                    return await self._ask(command)
        except (TimeoutError, ConnectionError, OSError):
            self.close()
            return None

    async def submit(
        self, product: str, dest: int, key: str = "0" * 16, valid_ms: int = 28000, mark: str = "",
        body: bytes = b"x" * 200, tenant: str = "narmada-univ",
    ) -> Text:  # fmt: skip
        text = Text(new_id(), product, key, dest, valid_ms)
        names = f"c={product},t={tenant},d={valid_ms},dest={dest}" + (f",k={mark}" if mark else "")
        text.sent_at = self.record("client sends", id=text.id, key=key, c=product, dest=dest, d=valid_ms)
        text.answer = await self.ask(encode("SUBMIT", key, text.id, names, body))
        text.answered_at = self.record("client hears", id=text.id, answer=text.answer)
        return text


# The relay, by the command of the deploy file.


@dataclass
class RelayProcess:
    process: asyncio.subprocess.Process
    operator: int
    pid: int


@dataclass
class Rig:
    """One relay with its folder, configuration and processes, and the stand-ins round it."""

    record: Record
    folder: Path
    platform: Platform
    hosts: list[Host] = field(default_factory=list)
    processes: list[RelayProcess] = field(default_factory=list)
    listen: int = field(default_factory=free_port)
    settings: dict = field(default_factory=dict)
    discovery: str = ""
    extra: dict = field(default_factory=dict)
    clients: list[Client] = field(default_factory=list)

    @property
    def config_path(self) -> Path:
        return self.folder / "config.json"

    def write_config(self, operator: int | None = None) -> None:
        config = {
            "name": "n1", "listen": f"127.0.0.1:{self.listen}", "discovery": self.discovery or self.platform.address,
            "state": str(self.folder / "state"), "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {}, "settings": self.settings,
        }  # fmt: skip
        if operator is not None:
            config["operator"] = f"127.0.0.1:{operator}"
        config |= self.extra
        temporary = self.folder / "config.json.new"
        temporary.write_text(json.dumps(config))
        os.replace(temporary, self.config_path)

    async def start_relay(self, with_operator: bool = False, ready_within: float = 20.0) -> RelayProcess:
        operator = free_port() if with_operator else 0
        self.write_config(operator or None)
        number = len(self.processes)
        temporary = self.folder / f"tmp{number}"
        temporary.mkdir()
        (self.folder / "state").mkdir(exist_ok=True)
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary), "LANG": "C.UTF-8",
            "RELAY_NAME": "n1", "RELAY_LISTEN": f"127.0.0.1:{self.listen}",
            "RELAY_DISCOVERY": self.discovery or self.platform.address,
            "RELAY_STATE": str(self.folder / "state"), "RELAY_CONFIG": str(self.config_path),
        }  # fmt: skip
        if operator:
            environment["RELAY_OPERATOR"] = f"127.0.0.1:{operator}"
        log = open(self.folder / f"relay{number}.log", "wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=log, start_new_session=True,
        )  # fmt: skip
        log.close()
        relay = RelayProcess(process, operator, process.pid)
        self.processes.append(relay)
        self.record("relay started", number=number)
        until = time.monotonic() + ready_within
        while not await self.is_ready(relay):
            if process.returncode is not None or time.monotonic() > until:
                raise NotRunnable(f"relay {number} is not ready, exit code {process.returncode}")
            await asyncio.sleep(0.02)
        self.record("relay ready", number=number)
        return relay

    async def is_ready(self, relay: RelayProcess) -> bool:
        if relay.operator:
            return (await self.operate(relay, "STATUS") or "").startswith("+OK")
        client = self.client()
        answer = await client.ask(encode("PING"))
        client.close()
        return answer == "+PONG"

    async def operate(self, relay: RelayProcess, line: str) -> str | None:
        """One operator's call on a connection of its own."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", relay.operator)
                writer.write(line.encode() + b"\n")
                answer = (await reader.readline()).decode().strip()
                writer.close()
        except (OSError, TimeoutError):
            return None
        if line != "STATUS":
            self.record("operator", call=line.replace(" ", "_"), answer=answer)
        return answer

    def client(self) -> Client:
        client = Client(self.record, ("127.0.0.1", self.listen))
        self.clients.append(client)
        return client

    def signal(self, relay: RelayProcess, number: signal.Signals) -> None:
        self.record("signal", number=self.processes.index(relay), signal=number.name)
        os.kill(relay.pid, number)

    async def kill(self, relay: RelayProcess) -> None:
        self.signal(relay, signal.SIGKILL)
        await relay.process.wait()

    async def host(self, name: str, group: int, **more: str) -> Host:
        host = Host(self.record, name, group, **more)
        await host.start()
        self.hosts.append(host)
        return host

    async def end(self) -> None:
        for client in self.clients:
            client.close()
        for relay in self.processes:
            if relay.process.returncode is None:
                relay.process.kill()
                await relay.process.wait()
        for host in self.hosts:
            host.stop()
        self.platform.stop()

    def crashes(self) -> list[str]:
        """Processes that ended with another code than that of a signal or of an orderly end."""
        return [
            f"relay {number} ended with {relay.process.returncode}"
            for number, relay in enumerate(self.processes)
            if relay.process.returncode not in (None, 0, -signal.SIGKILL, -signal.SIGTERM)
        ]

    def runs_of(self, text: str) -> list[float]:
        return sorted(at for host in self.hosts for at in host.runs.get(text, ()))


NOTICE_CLASS = {
    "name": "report-notice", "credit": 2.0, "onTime": 3000.0, "deadline": 24000.0, "lateValue": 0.5,
    "effect": "token", "group": "zone", "dedupWindow": 10000.0, "stream": False,
}  # fmt: skip
CHARGE_CLASS = {
    "name": "usage-charge", "credit": 1.0, "onTime": 2500.0, "deadline": 28000.0, "lateValue": 0.3,
    "effect": "side_effect", "group": "all", "dedupWindow": 5000.0, "oneAtATime": True, "stream": False,
}  # fmt: skip


def small_settings(classes: list[dict] | None = None) -> dict:
    """Settings like those of the main office's deployment, small; in the platform's names."""
    return {
        "classes": classes if classes is not None else [NOTICE_CLASS, CHARGE_CLASS],
        "clients": {"marksRetry": True},
        "countedBy": "request",
        "discovery": "automatic",
        "family": "deliver",
        "familyInfo": {
            "batchByKind": [5, 1, 1], "carriage": [0.01, 0.04, 0.04], "losesWorth": "halves", "notes": "",
            "refusalCost": 0.0, "reportX0": "", "reportX1": "", "routesApart": [False, False, True], "slots": 15,
        },
        "index": 0,
        "limits": {
            "connIdle": 15000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeout": 1000.0,
            "maxAttempts": 8, "maxOpen": 117, "maxRetryAfter": 2000.0, "mayCancel": True, "mayTell": True,
            "multiplex": 1, "probes": True, "retryAfter": True, "secondCopies": False,
        },
        "myZone": 0,
        "overShareWorth": 0.05,
        "peersTotal": 3,
        "projects": [
            {"name": "narmada-univ", "portion": 0.6, "quotaPerS": 15.0},
            {"name": "shreeji-college", "portion": 0.4, "quotaPerS": 12.0},
        ],
        "rules": {
            "answerSlack": 20.0, "askEvery": 10000.0, "cold": 12000.0, "coldShare": 0.14, "drainGrace": 250.0,
            "fallMultiple": 2.5, "tipAfter": 2000.0, "turnGap": 300.0,
        },
        "skus": ["main-partner", "second-partner", "other-partner"],
        "stages": ["partners"],
        "stats": {"fields": ["x0", "x1"], "how": "inline"},
        "tick": 5.0,
        "tier": 0,
        "weightSource": "off",
        "zones": ["ground-floor", "first-floor", "second-floor"],
    }  # fmt: skip


def play(case_file: str, scene: Callable[[Rig, bool], Awaitable[list[str]]], limit: float = 100.0) -> int:
    """Play a scene and return the exit code. The scene gets the rig and whether there is trouble, and returns
    what broke the rule, a line each."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(Path(case_file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("begin", trouble=int(trouble))

    async def main() -> list[str]:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # all that was started ends then too
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        platform = Platform(record)
        rig = Rig(record, folder, platform)
        rig.settings = small_settings()
        try:
            await platform.start()
            async with asyncio.timeout(limit):
                broken = await scene(rig, trouble)
                return broken + rig.crashes()
        finally:
            await rig.end()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        record("not run", why=repr(error))
        traceback.print_exc()
        for log in sorted(folder.glob("relay*.log")):
            sys.stderr.write(f"--- {log.name}\n" + log.read_text(errors="replace")[-3000:])
        return NOT_RUN
    finally:
        if keep := os.environ.get("KEEP"):  # for a look at the relay's logs
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        record("RULE BROKEN", what=line)
        print(line)
    record("end", verdict="broken" if broken else "held")
    print("rule broken" if broken else "rule held")
    return BROKEN if broken else HELD
