"""The main job on an embedded stand-in: partners, catalog, platform and one relay on loopback, texts flowing.

One partner is steady, one refuses every third call and tells a wait, one dies in the middle and comes back.
What became of each text is counted by the stand-ins, not by the relay.
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
from limelatch.standin.agent import AgentHandler, Notice, HostEntry
from limelatch.standin.host import Call, HostHandler, TextState
from limelatch.standin.http import Server

LOOPBACK = "127.0.0.1"
SEED, RATE = 7, 40.0
SETTLE, STOP_WAIT, READY_WAIT = 6.0, 5.0, 10.0  # seconds
OUTAGE = (0.3, 0.55)  # of the time in which texts come: when the failing partner is down
VALID_MS = 8000
REFUSE_EACH, REFUSE_WAIT = 3, 0.4
LATENCY = (0.02, 0.12)
LOG_LINES = 6
RESULTS = {"bounced": "nacked", "dead": "undeliverable"}


class Habit(Enum):
    """How a partner behaves."""

    STEADY = "steady"
    REFUSES = "refuses every third call"
    FAILS = "fails, and returns"


PARTNERS = {1: Habit.STEADY, 2: Habit.REFUSES, 3: Habit.FAILS}
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
class Fate:
    """What the stand-ins saw of one text that the relay took on."""

    partner: int
    taken: bool = False
    arrivals: int = 0  # calls at a host
    delivered: int = 0
    notices: list[str] = field(default_factory=list)

    @property
    def ends(self) -> int:
        return min(1, self.delivered) + len(self.notices)


@dataclass
class Partner:
    """One destination: its habit, its hosts, and the counts of what came."""

    number: int
    habit: Habit
    servers: list[Server] = field(default_factory=list)
    up: bool = True
    calls: int = 0
    refused: int = 0
    seen_idempotency_keys: set[str] = field(default_factory=set)


class Demo:
    """All that stands around the relay, and what became of each text."""

    def __init__(self, seconds: float, say: Callable[[str], None]) -> None:
        self.seconds, self.say, self.chance = seconds, say, Random(SEED)
        self.flow = max(1.0, seconds - SETTLE)  # seconds in which texts come
        self.agent = AgentHandler(self.noticed)
        self.partners = {number: Partner(number, habit) for number, habit in PARTNERS.items()}
        self.fates: dict[str, Fate] = {}
        self.handed = self.busy = self.other = 0
        self.lines: deque[str] = deque(maxlen=LOG_LINES)
        self.began = 0.0
        self.relay: asyncio.subprocess.Process | None = None

    # What the stand-ins tell.

    def called(self, partner: Partner, call: Call) -> None:
        partner.calls += 1
        for text in call.texts:
            if fate := self.fates.get(text.id):
                fate.arrivals += 1
        if partner.habit is Habit.REFUSES and partner.calls % REFUSE_EACH == 0:
            partner.refused += 1
            call.answer([TextState.REFUSED] * len(call.texts), wait=REFUSE_WAIT)
            return
        asyncio.get_running_loop().call_later(self.chance.uniform(*LATENCY), self.deliver, partner, call)

    def deliver(self, partner: Partner, call: Call) -> None:
        if not call.connection.open:
            return
        for text in call.texts:
            partner.seen_idempotency_keys.add(text.idempotency_key)
            if fate := self.fates.get(text.id):
                fate.delivered += 1
        call.answer([TextState.DELIVERED] * len(call.texts))

    def noticed(self, notice: Notice) -> None:
        if fate := self.fates.get(notice.text):
            fate.notices.append(RESULTS.get(notice.result, notice.result))

    # The course of it.

    async def run(self, folder: str) -> bool:
        """Play it all; whether each text that was taken on got its one end."""
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
        self.say(
            f"relay at {address}, catalog and platform at {agent.address}, "
            f"{len(self.partners)} partners with two hosts each"
        )
        async with Pool(host, int(port)) as pool:
            await self.ready(pool)
            self.began = asyncio.get_running_loop().time()
            outage = asyncio.create_task(self.outage())
            try:
                await self.hand_in(pool)
                await self.settle()
            finally:
                outage.cancel()
        await self.stop_relay()
        return all(fate.ends == 1 for fate in self.fates.values() if fate.taken)

    async def start_relay(self, folder: str, agent: str) -> str:
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
        async for raw in self.relay.stderr:
            line = raw.decode(errors="replace").rstrip()
            self.lines.append(line.partition(" level=")[2].partition(" ")[2] or line)

    async def ready(self, pool: Pool) -> None:
        until = asyncio.get_running_loop().time() + READY_WAIT
        while (await pool.ping()).kind is not AnswerKind.ACCEPTED:
            if self.relay.returncode is not None or asyncio.get_running_loop().time() > until:
                raise RuntimeError("the relay did not start: " + " | ".join(self.lines))
            await asyncio.sleep(0.02)

    async def hand_in(self, pool: Pool) -> None:
        """Texts by the clock, to all partners, of all products."""
        loop, tasks = asyncio.get_running_loop(), set()
        for number in range(int(self.flow * RATE)):
            due = self.began + number / RATE
            await asyncio.sleep(max(0.0, due - loop.time()))
            product = PRODUCTS[self.chance.choices(range(3), (6, 1, 3))[0]]
            partner = self.chance.choice(list(self.partners))
            key = f"k{self.chance.randrange(20)}" if product == "charge" else "0"
            text = Submission(product, partner, VALID_MS, f"text {number}".encode(), key=key)
            text.idempotency_key = text.id
            self.fates[text.id] = Fate(partner)
            task = loop.create_task(self.one(pool, text))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    async def one(self, pool: Pool, text: Submission) -> None:
        self.handed += 1
        answer = await pool.submit(text)
        if answer.kind is AnswerKind.ACCEPTED:
            self.fates[text.id].taken = True
        elif answer.kind is AnswerKind.BUSY:
            self.busy += 1
        else:
            self.other += 1

    async def outage(self) -> None:
        failing = next(each for each in self.partners.values() if each.habit is Habit.FAILS)
        await asyncio.sleep(self.flow * OUTAGE[0])
        failing.up = False
        for server in failing.servers:
            server.down()
        await asyncio.sleep(self.flow * (OUTAGE[1] - OUTAGE[0]))
        for server in failing.servers:
            await server.start()
        failing.up = True

    async def settle(self) -> None:
        """Until every text has its end, or its validity must be over."""
        until = asyncio.get_running_loop().time() + VALID_MS / 1000 + 1
        while any(fate.taken and not fate.ends for fate in self.fates.values()):
            if asyncio.get_running_loop().time() > until:
                return
            await asyncio.sleep(0.05)

    async def stop_relay(self) -> None:
        if self.relay is not None and self.relay.returncode is None:
            self.relay.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.relay.wait(), STOP_WAIT)

    def end(self) -> None:
        """Leave nothing running, whatever happened."""
        if self.relay is not None and self.relay.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.relay.kill()
        for partner in self.partners.values():
            for server in partner.servers:
                server.down()

    # What is shown.

    def row(self, partner: Partner) -> tuple[str, ...]:
        fates = [fate for fate in self.fates.values() if fate.partner == partner.number and fate.taken]
        delivered = sum(fate.delivered > 0 for fate in fates)
        repeated = sum(max(0, fate.arrivals - 1) for fate in fates)
        ends = [end for fate in fates for end in fate.notices]
        held = sum(not fate.ends for fate in fates)
        return (
            str(partner.number),
            partner.habit.value,
            "up" if partner.up else "DOWN",
            str(len(fates)),
            str(delivered),
            str(repeated),
            str(ends.count("nacked")),
            str(ends.count("undeliverable")),
            str(held),
        )

    def rows(self) -> list[tuple[str, ...]]:
        return [self.row(partner) for partner in self.partners.values()]

    def summary(self) -> Iterator[str]:
        taken = [fate for fate in self.fates.values() if fate.taken]
        yield (
            f"{self.handed} texts handed in: {len(taken)} taken on, {self.busy} nacked at once, "
            f"{self.other} otherwise answered"
        )
        for row in self.rows():
            yield (
                f"partner {row[0]} ({row[1]}): {row[3]} taken on, {row[4]} delivered, {row[5]} repeated "
                f"calls, {row[6]} nacked, {row[7]} undeliverable"
            )
        wrong = sum(fate.ends != 1 for fate in taken)
        twice = sum(fate.delivered > 1 for fate in taken)
        yield (
            f"each text got its one end: {'yes' if not wrong else f'NO, {wrong} did not'}"
            + (f"; {twice} were delivered again, by a mark that the partner knows" if twice else "")
        )


COLUMNS = ("partner", "habit", "", "taken on", "delivered", "repeated", "nacked", "undeliverable", "held")


def table_of(demo: Demo):
    """The state of things, for a terminal (rich)."""
    from rich.console import Group
    from rich.table import Table
    from rich.text import Text

    table = Table(title=f"limelatch demo, {demo.handed} texts handed in")
    for name in COLUMNS:
        table.add_column(name, justify="left" if name in ("partner", "habit", "") else "right")
    for row in demo.rows():
        table.add_row(*row, style="red" if row[2] == "DOWN" else "")
    return Group(
        table, Text("the relay's log:", style="dim"), *[Text(line[:150], style="dim") for line in demo.lines]
    )


async def show(demo: Demo, terminal: bool) -> None:
    """A live table on a terminal, a plain line a second elsewhere; until it is cancelled."""
    if terminal:
        from rich.live import Live

        with Live(table_of(demo), refresh_per_second=8) as live:
            while True:
                await asyncio.sleep(0.125)
                live.update(table_of(demo))
    while True:
        await asyncio.sleep(1.0)
        states = "  ".join(f"{row[0]}:{row[2]} delivered {row[4]} held {row[8]}" for row in demo.rows())
        demo.say(f"{demo.handed} handed in  {states}")


async def play(seconds: float, say: Callable[[str], None], terminal: bool) -> bool:
    """The whole demo; whether each text got its one end. Interrupted, it leaves no process and no folder."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    demo = Demo(seconds, say)
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
        say(line)
    return good
