"""The demo: one relay with stand-ins for partners, catalog and platform on loopback, and a stream of texts.

One partner works steadily, one refuses every third call with a Retry-After, one goes down in the middle and
returns. The outcome of each text is counted by the stand-ins, not by the relay.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from limelatch.client import AnswerKind, Pool, Submission
from limelatch.standin.agent import AgentHandler, HostEntry, Notice
from limelatch.standin.host import Call, HostHandler, TextState
from limelatch.standin.http import Server

LOOPBACK = "127.0.0.1"
SEED = 7  # of the random numbers, so that each demo hands in the same texts
RATE = 40.0  # texts a second
SETTLE_TIME = 6.0  # seconds at the end in which no new texts are handed in
STOP_TIMEOUT = 5.0  # seconds for the relay to stop in order
READY_TIMEOUT = 10.0  # seconds for the relay to answer its first PING
OUTAGE = (0.3, 0.55)  # begin and end of the outage, as shares of the time in which texts are handed in
VALID_MS = 8000  # the validity period in the configuration below
REFUSE_EACH = 3  # calls
REFUSE_WAIT = 0.4  # seconds of Retry-After
LATENCY = (0.02, 0.12)  # seconds, least and most, for a partner to deliver
LOG_LINES = 6  # the last lines of the relay's log that are shown
RESULTS = {"bounced": "nacked", "dead": "undeliverable"}  # names shown for the results of notices


class Behaviour(Enum):
    """How a partner behaves; the value is shown."""

    STEADY = "steady"
    REFUSES = "refuses every third call"
    FAILS = "fails, and returns"


PARTNERS = {1: Behaviour.STEADY, 2: Behaviour.REFUSES, 3: Behaviour.FAILS}
PRODUCTS = ("notice", "charge", "report")
CONFIGURATION = """
[relay]
name = "demo"
listen = "{listen}"
state = "{state}"

[catalog]
address = "{agent}"

[limits]
slots = 16
texts = 400
advice = "2s"

[rules]
cold_share = 0.3
cold_time = "3s"
fall_multiple = 2.0
fall_time = "1s"
key_rest = "300ms"

[[products]]
name = "notice"
effect = "referenced"
repeat_window = "10s"
sla_time = "1s"
validity_period = "8s"

[[products]]
name = "charge"
effect = "once-only"
in_order = true
sla_time = "2s"
validity_period = "8s"

[[products]]
name = "report"
effect = "resendable"
sla_time = "1s"
validity_period = "8s"

[[kinds]]
name = "partner"

[[floors]]
name = "ground"
"""


@dataclass(slots=True)
class TextRecord:
    """What the stand-ins saw of one text."""

    partner: int
    accepted: bool = False
    arrivals: int = 0  # calls that carried it to a host
    delivered: int = 0
    notices: list[str] = field(default_factory=list)

    @property
    def end_count(self) -> int:
        """How many final answers the text has; deliveries count as one."""
        return min(1, self.delivered) + len(self.notices)


@dataclass
class Partner:
    """One destination: its behaviour, its hosts, and counts of their calls."""

    number: int
    behaviour: Behaviour
    servers: list[Server] = field(default_factory=list)
    up: bool = True
    calls: int = 0
    refused: int = 0
    seen_idempotency_keys: set[str] = field(default_factory=set)


class Demo:
    """The relay and the stand-ins around it, with the record of each text."""

    def __init__(self, seconds: float, write_line: Callable[[str], None]) -> None:
        self.seconds, self.write_line, self.random_source = seconds, write_line, Random(SEED)
        self.submit_time = max(1.0, seconds - SETTLE_TIME)  # seconds in which texts are handed in
        self.agent = AgentHandler(self.noticed)
        self.partners = {number: Partner(number, behaviour) for number, behaviour in PARTNERS.items()}
        self.records: dict[str, TextRecord] = {}
        self.submitted = self.busy = self.other = 0
        self.lines: deque[str] = deque(maxlen=LOG_LINES)
        self.started_at = 0.0
        self.relay: asyncio.subprocess.Process | None = None

    # Callbacks of the stand-ins.

    def called(self, partner: Partner, call: Call) -> None:
        """Refuse a call, or deliver its texts after a random latency."""
        partner.calls += 1
        for text in call.texts:
            if record := self.records.get(text.id):
                record.arrivals += 1
        if partner.behaviour is Behaviour.REFUSES and partner.calls % REFUSE_EACH == 0:
            partner.refused += 1
            call.answer([TextState.REFUSED] * len(call.texts), wait=REFUSE_WAIT)
            return
        asyncio.get_running_loop().call_later(
            self.random_source.uniform(*LATENCY), self.deliver, partner, call
        )

    def deliver(self, partner: Partner, call: Call) -> None:
        """Count the texts of a call as delivered and answer it, if its connection still stands."""
        if not call.connection.open:
            return
        for text in call.texts:
            partner.seen_idempotency_keys.add(text.idempotency_key)
            if record := self.records.get(text.id):
                record.delivered += 1
        call.answer([TextState.DELIVERED] * len(call.texts))

    def noticed(self, notice: Notice) -> None:
        """Record the result in a notice."""
        if record := self.records.get(notice.text):
            record.notices.append(RESULTS.get(notice.result, notice.result))

    # The course of the demo.

    async def run(self, folder: str) -> bool:
        """Run the whole demo, with its files in `folder`.

        Returns whether each accepted text got exactly one final answer. Raises RuntimeError where the relay
        does not start."""
        agent = Server(self.agent, LOOPBACK)
        await agent.start()
        for partner in self.partners.values():
            for name in ("a", "b"):
                handler = HostHandler(lambda call, partner=partner: self.called(partner, call))
                server = Server(handler, LOOPBACK)
                await server.start()
                partner.servers.append(server)
                self.agent.put(
                    HostEntry(
                        f"host-{partner.number}{name}", server.address, "ground", "partner", partner.number
                    )
                )
        address = await self.start_relay(folder, agent.address)
        host, _, port = address.partition(":")
        self.write_line(
            f"relay at {address}, catalog and platform at {agent.address}, "
            f"{len(self.partners)} partners with two hosts each"
        )
        async with Pool(host, int(port)) as pool:
            await self.wait_until_ready(pool)
            self.started_at = asyncio.get_running_loop().time()
            outage = asyncio.create_task(self.outage())
            try:
                await self.hand_in(pool)
                await self.settle()
            finally:
                outage.cancel()
        await self.stop_relay()
        return all(record.end_count == 1 for record in self.records.values() if record.accepted)

    async def start_relay(self, folder: str, agent: str) -> str:
        """Start the relay on a free port; returns its address."""
        probe = await asyncio.get_running_loop().create_server(asyncio.Protocol, LOOPBACK, 0)
        listen = "{}:{}".format(*probe.sockets[0].getsockname())
        probe.close()
        state, path = os.path.join(folder, "state"), os.path.join(folder, "relay.toml")
        os.mkdir(state)
        with open(path, "w", encoding="utf-8") as file:
            file.write(CONFIGURATION.format(listen=listen, state=state, agent=agent))
        self.relay = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limelatch",
            "relay",
            "run",
            "--config",
            path,
            "--tied",
            stdin=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.reader = asyncio.create_task(self.read_log())
        return listen

    async def read_log(self) -> None:
        """Keep the last lines of the relay's log, without time and level."""
        async for raw in self.relay.stderr:
            line = raw.decode(errors="replace").rstrip()
            self.lines.append(line.partition(" level=")[2].partition(" ")[2] or line)

    async def wait_until_ready(self, pool: Pool) -> None:
        """Wait until the relay answers PING. Raises RuntimeError where it ends or takes too long."""
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        while (await pool.ping()).kind is not AnswerKind.ACCEPTED:
            if self.relay.returncode is not None or asyncio.get_running_loop().time() > until:
                raise RuntimeError("the relay did not start: " + " | ".join(self.lines))
            await asyncio.sleep(0.02)

    async def hand_in(self, pool: Pool) -> None:
        """Hand in texts at a fixed rate, for random partners and products, and wait for the answers."""
        loop, tasks = asyncio.get_running_loop(), set()
        for number in range(int(self.submit_time * RATE)):
            due = self.started_at + number / RATE
            await asyncio.sleep(max(0.0, due - loop.time()))
            product = PRODUCTS[self.random_source.choices(range(3), (6, 1, 3))[0]]
            partner = self.random_source.choice(list(self.partners))
            key = f"k{self.random_source.randrange(20)}" if product == "charge" else "0"
            text = Submission(product, partner, VALID_MS, f"text {number}".encode(), key=key)
            text.idempotency_key = text.id
            self.records[text.id] = TextRecord(partner)
            task = loop.create_task(self.submit(pool, text))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    async def submit(self, pool: Pool, text: Submission) -> None:
        """Hand in one text and count the answer."""
        self.submitted += 1
        answer = await pool.submit(text)
        if answer.kind is AnswerKind.ACCEPTED:
            self.records[text.id].accepted = True
        elif answer.kind is AnswerKind.BUSY:
            self.busy += 1
        else:
            self.other += 1

    async def outage(self) -> None:
        """Take the hosts of the failing partner down for a while."""
        failing = next(each for each in self.partners.values() if each.behaviour is Behaviour.FAILS)
        await asyncio.sleep(self.submit_time * OUTAGE[0])
        failing.up = False
        for server in failing.servers:
            server.down()
        await asyncio.sleep(self.submit_time * (OUTAGE[1] - OUTAGE[0]))
        for server in failing.servers:
            await server.start()
        failing.up = True

    async def settle(self) -> None:
        """Wait until every accepted text has its final answer, or its validity period must have ended."""
        until = asyncio.get_running_loop().time() + VALID_MS / 1000 + 1
        while any(record.accepted and not record.end_count for record in self.records.values()):
            if asyncio.get_running_loop().time() > until:
                return
            await asyncio.sleep(0.05)

    async def stop_relay(self) -> None:
        """Stop the relay by SIGTERM and wait for its end, at most STOP_TIMEOUT."""
        if self.relay is not None and self.relay.returncode is None:
            self.relay.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.relay.wait(), STOP_TIMEOUT)

    def end(self) -> None:
        """Kill the relay if it still runs, and take all servers down."""
        if self.relay is not None and self.relay.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.relay.kill()
        for partner in self.partners.values():
            for server in partner.servers:
                server.down()

    # Output.

    def row(self, partner: Partner) -> tuple[str, ...]:
        """A partner's cells in the order of COLUMNS."""
        records = [
            record for record in self.records.values() if record.partner == partner.number and record.accepted
        ]
        delivered = sum(record.delivered > 0 for record in records)
        repeated = sum(max(0, record.arrivals - 1) for record in records)
        ends = [end for record in records for end in record.notices]
        held = sum(not record.end_count for record in records)
        return (
            str(partner.number),
            partner.behaviour.value,
            "up" if partner.up else "DOWN",
            str(len(records)),
            str(delivered),
            str(repeated),
            str(ends.count("nacked")),
            str(ends.count("undeliverable")),
            str(held),
        )

    def rows(self) -> list[tuple[str, ...]]:
        """A row for each partner."""
        return [self.row(partner) for partner in self.partners.values()]

    def summary(self) -> Iterator[str]:
        """The lines that end the demo."""
        accepted = [record for record in self.records.values() if record.accepted]
        yield (
            f"{self.submitted} texts handed in: {len(accepted)} taken on, {self.busy} nacked at once, "
            f"{self.other} otherwise answered"
        )
        for row in self.rows():
            yield (
                f"partner {row[0]} ({row[1]}): {row[3]} taken on, {row[4]} delivered, {row[5]} repeated "
                f"calls, {row[6]} nacked, {row[7]} undeliverable"
            )
        wrong = sum(record.end_count != 1 for record in accepted)
        twice = sum(record.delivered > 1 for record in accepted)
        yield (
            "each accepted text got exactly one final answer: "
            f"{'yes' if not wrong else f'NO, {wrong} did not'}"
            + (
                f"; {twice} were delivered again, with an idempotency key that the partner knows"
                if twice
                else ""
            )
        )


COLUMNS = ("partner", "habit", "", "taken on", "delivered", "repeated", "nacked", "undeliverable", "held")


def table_of(demo: Demo):
    """The current counts and the end of the relay's log, as a rich table."""
    from rich.console import Group
    from rich.table import Table
    from rich.text import Text

    table = Table(title=f"limelatch demo, {demo.submitted} texts handed in")
    for name in COLUMNS:
        table.add_column(name, justify="left" if name in ("partner", "habit", "") else "right")
    for row in demo.rows():
        table.add_row(*row, style="red" if row[2] == "DOWN" else "")
    return Group(
        table, Text("the relay's log:", style="dim"), *[Text(line[:150], style="dim") for line in demo.lines]
    )


async def show(demo: Demo, terminal: bool) -> None:
    """Show the state until cancelled: a live table on a terminal, else a plain line every second."""
    if terminal:
        from rich.live import Live

        with Live(table_of(demo), refresh_per_second=8) as live:
            while True:
                await asyncio.sleep(0.125)
                live.update(table_of(demo))
    while True:
        await asyncio.sleep(1.0)
        states = "  ".join(f"{row[0]}:{row[2]} delivered {row[4]} held {row[8]}" for row in demo.rows())
        demo.write_line(f"{demo.submitted} handed in  {states}")


async def play(seconds: float, write_line: Callable[[str], None], terminal: bool) -> bool:
    """Run the demo for so many seconds; returns whether each accepted text got exactly one final answer.

    SIGINT, SIGTERM and SIGHUP end it with CancelledError, once the relay has ended and the folder is removed.
    """
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    demo = Demo(seconds, write_line)
    with tempfile.TemporaryDirectory(prefix="limelatch-demo-") as folder:
        shown = asyncio.create_task(show(demo, terminal))
        try:
            good = await demo.run(folder)
        finally:
            demo.end()
            shown.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await shown
            if demo.relay is not None:
                await demo.relay.wait()
    for line in demo.summary():
        write_line(line)
    return good
