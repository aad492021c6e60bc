"""Shared fixtures: a decision module that a test drives directly, and the relay's process with stub peers."""

import copy
import http.server
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

import pytest

from limelatch.interface import (
    Effect,
    HostEntry,
    HostKind,
    Listing,
    PolicySettings,
    Product,
    Result,
    Submit,
    SubmitReport,
    Text,
)
from limelatch.lab.machine.faults import Faults, build
from limelatch.policy import Policy

pytest_plugins = ["known_red"]

S = 10_000  # one second in the units of limelatch.interface
NOW = 1_000 * S
# Products of the fixture `policy_settings`.
NOTICE = 0  # referenced
CHARGE = 1  # once-only, in order
REPORT = 2  # resendable
# Names of hosts.
HOST = b"hosta1"
OTHER_HOST = b"hostb1"
ROUTE = b"route1"


class PolicyHarness:
    """A decision module and short ways to pass it events; times are in the units of limelatch.interface."""

    def __init__(self, policy):
        self.policy, self.next_id = policy, 100

    def accept_text(self, product=NOTICE, now=NOW, key=0, valid=24 * S, dest=1, customer=0):
        """Have a client submit a text; return its id."""
        self.next_id += 1
        self.policy.text_accepted(now, Text(self.next_id, dest, product, now + valid, customer, key))
        return self.next_id

    def end_submit(self, text, result, now=NOW, host=HOST, took=1000, **more):
        """End the text's submit with this result."""
        self.policy.submit_ended(now, SubmitReport(text, host, result, took, **more))

    def decide(self, kind=None, now=NOW):
        """The actions of a decision, only those of the type `kind` if it is given."""
        actions = self.policy.decide(now)
        return [action for action in actions if kind is None or isinstance(action, kind)]

    def sent_texts(self, now=NOW):
        """The texts that a decision sends, each with its host."""
        return {action.text: action.host for action in self.decide(Submit, now)}

    def list_hosts(
        self, *hosts, dest=1, now=NOW, listing=Listing.READY, zone=0, kind=0, rate=0.0, whole=False
    ):
        """Pass these hosts as lines of the host list."""
        entries = [HostEntry(host, dest, zone, kind, rate, listing) for host in hosts]
        self.policy.hosts_listed(now, entries, whole)

    def send_text(self, text, result=None, now=NOW, **more):
        """Send the text, end its submit if a result is given, and return the host."""
        host = self.sent_texts(now)[text]
        if result is not None:
            self.end_submit(text, result, now, host=host, **more)
        return host

    def host(self, name=HOST):
        return self.policy.hosts[name]

    def pending(self, text):
        return self.policy.texts[text]


@pytest.fixture
def policy_settings():
    products = [
        Product(Effect.REFERENCED, 3 * S, 24 * S, 2.0, 0.5, True, 10 * S, retry_anywhere=False),
        Product(Effect.ONCE_ONLY, 25 * S // 10, 28 * S, 1.0, 0.3, True, in_order=True),
        Product(Effect.RESENDABLE, 3 * S, 16 * S, 2.0, 0.4, False),
    ]
    return PolicySettings(
        seed=7,
        relays=3,
        slots=8,
        max_texts=50,
        max_submits=4,
        max_advice=2 * S,
        products=products,
        kinds=[HostKind(), HostKind(texts_per_call=5), HostKind(routes_apart=True)],
        cold_share=0.2,
        cold_time=12 * S,
        fall_multiple=2.5,
        fall_time=2 * S,
        key_cooldown=3000,
        connection_idle_limit=9 * S,
    )


@pytest.fixture
def relay(policy_settings):
    harness = PolicyHarness(Policy(policy_settings, NOW))
    harness.list_hosts(HOST)
    return harness


@pytest.fixture
def fleet_relay(policy_settings):
    """One relay of a fleet of 200, whose host list comes on request."""
    harness = PolicyHarness(
        Policy(replace(policy_settings, relays=200, list_on_request=True, ask_within=10 * S), NOW)
    )
    harness.list_hosts(HOST)
    return harness


FAILURES = (Result.ERROR, Result.MALFORMED, Result.TIMEOUT, Result.RESET)

# For tests that start the relay's process: stub servers on sockets and a client of the relay.

WAIT_TIMEOUT = 10  # seconds after which a test gives up waiting
SETTINGS = {
    "classes": [
        {"name": "notice", "effect": "token", "group": "zone", "dedupWindow": 10000, "deadline": 24000},
        {"name": "charge", "effect": "side_effect", "oneAtATime": True, "deadline": 28000},
        {"name": "report", "effect": "pure", "deadline": 16000},
    ],
    "familyInfo": {"slots": 8, "batchByKind": [1, 5, 1], "routesApart": [False, False, True]},
    "limits": {"maxOpen": 50, "maxAttempts": 4, "maxRetryAfter": 2000, "retryAfter": True, "connIdle": 9000},
    "peersTotal": 1,
    "projects": [{"name": "acme"}],
    "skus": ["single", "batching", "apart"],
    "zones": ["a", "b"],
    "rules": {"cold": 12000, "coldShare": 0.2, "fallMultiple": 2.5, "tipAfter": 2000, "turnGap": 300},
}


class HttpStub(http.server.ThreadingHTTPServer):
    """An HTTP server in place of a peer of the relay.

    Puts each request into `requests` and answers with what `reply` returns for it; None: no answer."""

    daemon_threads = True

    def __init__(self, reply):
        super().__init__(("127.0.0.1", 0), HttpStubHandler)
        self.reply, self.requests, self.released = reply, queue.Queue(), threading.Event()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def next(self):
        """The next request; queue.Empty after WAIT_TIMEOUT seconds."""
        return self.requests.get(timeout=WAIT_TIMEOUT)

    def handle_error(self, request, client_address):
        pass  # the relay may close a connection at any time


class HttpStubHandler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the stub server and sends its answer."""

    protocol_version, disable_nagle_algorithm = "HTTP/1.1", True

    def handle_any(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request = ReceivedRequest(self.path, self.headers, body, time.monotonic(), self)
        self.server.requests.put(request)
        answer = self.server.reply(request)
        if answer is not None:
            request.answer(*answer)

    do_GET = do_POST = handle_any

    def log_message(self, *words):
        pass


class ReceivedRequest(NamedTuple):
    """One request to a stub server."""

    path: str
    headers: object
    body: bytes
    at: float
    handler: HttpStubHandler

    def answer(self, status, body=b"", **headers):
        self.handler.send_response_only(status)
        for name, value in headers.items():
            self.handler.send_header(name.replace("_", "-"), value)
        if status != 204:
            self.handler.send_header("Content-Length", str(len(body)))
        self.handler.end_headers()
        self.handler.wfile.write(body)

    def hang(self):
        """Leave the request without an answer until the stub is released."""
        self.handler.server.released.wait(WAIT_TIMEOUT)
        self.handler.close_connection = True

    def cut(self):
        """Close the connection without an answer."""
        self.handler.close_connection = True
        self.handler.connection.shutdown(socket.SHUT_RDWR)


class Agent(HttpStub):
    """Service discovery and platform: keeps the host list, sends changes to watches, takes notices."""

    def __init__(self):
        self.rows, self.index, self.watches, self.notices = {}, 1, queue.Queue(), queue.Queue()
        self.notice_status, self.changes = 204, {}
        super().__init__(self.act)

    def list(self, address, name="s-1", dest=1, kind="single", zone="a", status="active"):
        self.index += 1
        self.rows[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": kind,
            "group": dest,
            "status": status,
            "weight": 50.0,
            "since_ms": 0,
        }
        self.changes[self.index] = self.rows[name]

    def page(self, rows, whole):
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": rows}).encode() + b"\n"

    def act(self, request):
        if request.path == "/reports":
            for line in request.body.splitlines():
                self.notices.put(json.loads(line))
            return (self.notice_status,)
        if "stream=1" not in request.path:
            return 200, self.page(list(self.rows.values()), True)
        request.handler.send_response_only(200)
        request.handler.send_header("Transfer-Encoding", "chunked")
        request.handler.end_headers()
        watch = request, int(request.path.rpartition("=")[2])
        if watch[1] < self.index:  # by the protocol the first object holds the changes since the index
            self.tell(watch)
        self.watches.put(watch)  # from now on the test writes to it
        request.hang()
        return None

    def tell(self, watch, raw=None):
        """Send the watch what changed since its index, or the bytes `raw`."""
        request, index = watch
        rows = [row for number, row in self.changes.items() if number > index]
        raw = self.page(rows, False) if raw is None else raw
        request.handler.wfile.write(b"%x\r\n%s\r\n" % (len(raw), raw))

    def notice(self):
        """The next notice that the relay has reported; queue.Empty after WAIT_TIMEOUT seconds."""
        return self.notices.get(timeout=WAIT_TIMEOUT)


class Client:
    """A client of the relay, on one connection."""

    def __init__(self, address):
        self.socket = socket.create_connection(address, timeout=WAIT_TIMEOUT)
        self.lines, self.count = self.socket.makefile("rb"), 0

    def ask(self, *words):
        """Send a command and return the first line of its reply."""
        self.write(*words)
        return self.lines.readline().strip().decode()

    def write(self, *words):
        """Send a command as an array of bulk strings, without reading a reply."""
        words = [word if isinstance(word, bytes) else word.encode() for word in words]
        self.socket.sendall(b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words))

    def submit(self, text, product="report", body=b"hello", key="0000", dest=1, d=8000, mark="5c0f"):
        return self.ask("SUBMIT", key, text, f"c={product},t=acme,d={d},k={mark},dest={dest}", body)


def without(raw: dict, path: tuple) -> dict:
    """Return a copy of an object without the key at the path."""
    changed = copy.deepcopy(raw)
    parent = changed
    for name in path[:-1]:
        parent = parent[name]
    del parent[path[-1]]
    return changed


def with_value(raw: dict, path: tuple, value: object) -> dict:
    """Return a copy of an object with another value at the path."""
    changed = copy.deepcopy(raw)
    parent = changed
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return changed


class Program:
    """The relay as a process, started from a configuration file."""

    def __init__(self, folder, agent, **more):
        self.address = "127.{}.{}.{}".format(*(1 + number % 254 for number in os.urandom(3)))
        with socket.create_server((self.address, 0)) as spare:
            self.port = spare.getsockname()[1]
        self.state, self.file = folder / "state", folder / "relay.json"
        self.state.mkdir()
        plan = {
            "listen": f"{self.address}:{self.port}",
            "discovery": agent.address,
            "seed": "7",
            "state": str(self.state),
            "limits": {"disk_mb": 3},
            "settings": SETTINGS,
            "notice_ms": 300,
            "reconnect_ms": 20,
            "stop_least_ms": 50,
        } | more
        self.file.write_text(json.dumps(plan))
        self.process, self.environment = None, {}
        self.log_lines = []  # of all processes that this object has started

    def start(self):
        """Start the process, wait until it logs that it serves, and return a client."""
        self.launch()
        self.wait_for_log("event=serving")
        return self.client()

    def launch(self):
        """Start the process without waiting for it."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "limelatch.relay"],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"RELAY_CONFIG": str(self.file)} | self.environment,
            cwd=Path(__file__).parent.parent,
        )
        self.log = queue.Queue()
        threading.Thread(target=self._read, args=(self.process,), daemon=True).start()

    def client(self):
        return Client((self.address, self.port))

    def _read(self, process):
        for line in process.stderr:
            self.log_lines.append(f"{time.monotonic():.3f} {line}")
            self.log.put(line)

    def wait_for_log(self, words):
        """Wait for a log line that contains `words` and return it; queue.Empty after WAIT_TIMEOUT seconds."""
        until = time.monotonic() + WAIT_TIMEOUT
        while words not in (line := self.log.get(timeout=max(0.0, until - time.monotonic()))):
            pass
        return line

    def kill(self):
        self.process.kill()
        self.process.wait(WAIT_TIMEOUT)

    def configure_file(self, **more):
        """Replace keys of the configuration file, for processes started later."""
        self.file.write_text(json.dumps(json.loads(self.file.read_text()) | more))

    def configure(self, **more):
        """Replace keys of the configuration file and have the process read it."""
        self.configure_file(**more)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)


@pytest.fixture
def interruptible():
    """Processes that the test starts get SIGINT, also where the shell ignores it."""
    before = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, before)


@pytest.fixture
def agent():
    agent = Agent()
    yield agent
    agent.released.set()
    agent.shutdown()


other_agent = agent  # a second one at another address


@pytest.fixture
def make_host():
    """A function that starts a stub host."""
    made = []

    def make(reply=lambda request: (200,)):
        made.append(HttpStub(reply))
        return made[-1]

    yield make
    for each in made:
        each.released.set()
        each.shutdown()


@pytest.fixture
def make_program(tmp_path, agent):
    """A function that makes a relay's `Program`; its keywords replace keys of the configuration."""
    made = []

    def make(**more):
        made.append(Program(tmp_path, agent, **more))
        return made[-1]

    yield make
    for each in made:
        if each.process is not None:
            each.kill()


@pytest.fixture(scope="session")
def faults_library(tmp_path_factory):
    """The preloaded library of limelatch/lab/machine, compiled once a session."""
    return build(tmp_path_factory.mktemp("faults"))


@pytest.fixture
def faults(faults_library, tmp_path):
    """The machine faults of the relay under test; their record is printed where the test fails."""
    made = Faults(faults_library, tmp_path / "faults")
    yield made
    print("\n".join(made.record))


@pytest.fixture
def make_faulty_program(make_program, faults):
    """Like `make_program`, with `faults` acting on the process; its log is printed where the test fails."""
    made = []

    def make(**more):
        made.append(make_program(**more))
        made[-1].environment = faults.environment
        return made[-1]

    yield make
    print("".join(line for each in made for line in each.log_lines))


@pytest.fixture
def program(make_program):
    return make_program()
