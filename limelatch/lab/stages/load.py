"""The load of the sockets stage, in a process of its own: it hands in a scenario's texts by the clock.

Started by the stage, which speaks to it over its standard streams, a line a message. It writes its own part
of the record. Open loop: a text goes when it is due, however many wait for their answers.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import sys
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import uvloop

from limelatch.client.pool import Pool
from limelatch.client.wire import AnswerKind, Submission
from limelatch.interface import MS, SECOND, Effect
from limelatch.lab import record as rec
from limelatch.lab.record import Answer
from limelatch.lab.scenario.model import Scenario
from limelatch.lab.stages.real import (
    ALLOWANCES,
    STAGE,
    Begin,
    Done,
    Finish,
    Heartbeat,
    Nacked,
    StageMessage,
    Progressed,
    Ready,
    TextMark,
    Wiped,
    body_of,
    encode_line,
    read_stage_message,
)
from limelatch.lab.world.random_streams import RandomStreams
from limelatch.lab.world.clients import Arrival, Arrivals, ClientBehavior

ANSWERS = {
    AnswerKind.ACCEPTED: Answer.TAKEN,
    AnswerKind.BUSY: Answer.BUSY,
    AnswerKind.ERROR: Answer.ERROR,
    AnswerKind.NO_ANSWER: Answer.SILENT,
    AnswerKind.LOST: Answer.LOST,
}
CONNECTIONS = 256  # to each relay, at most
NOBODY = 100 * MS  # until a text that found no relay is handed in again
NEWS_EACH = 0.2  # seconds
YIELD_EACH = 4  # texts that are due already, before others have their turn
LATE_EACH = 8  # one text in so many tells how late it was sent
HANDED_ON = (500 * MS, 1800 * MS)
REMEMBER = 60 * SECOND


@dataclass(slots=True, eq=False)
class Coming:
    """One handing in of a text."""

    id: str
    first: str
    product: int
    destination: int
    customer: int
    key: int
    until: int
    tries: int
    relay: int
    due: int
    lost: int = 0  # times that no relay was there


class Load:
    """All clients of a run."""

    def __init__(self, begin: Begin, say) -> None:
        self.scenario = msgspec.convert(begin.scenario, Scenario)
        self.origin, self.say, self.play = math.inf, say, begin.play
        self.loop = asyncio.get_running_loop()
        head = rec.Head(rec.VERSION, STAGE, begin.seed, begin.scenario, "", allowances=ALLOWANCES)
        self.writer = rec.Writer(begin.target, head)
        wait = self.scenario.clients.answer_wait / SECOND
        self.pools = []
        for address in begin.relays:
            host, _, port = address.partition(":")
            self.pools.append(Pool(host, int(port), CONNECTIONS, wait))
        self.texts = drawn(Arrivals(self.scenario, begin.seed))
        self.client_behavior = ClientBehavior(self.scenario, begin.seed)
        self.random_streams = RandomStreams(begin.seed)
        self.count = self.open = self.taken = 0
        self.all_came = False
        self.tasks: set[asyncio.Task] = set()
        self.keys: dict[int, deque[Coming]] = {}
        self.held: dict[str, Coming] = {}  # taken on, by id, until nobody asks for it any more
        self.over: list[tuple[int, str]] = []
        self.names = [row.name for row in self.scenario.products]
        self.customers = [row.name for row in self.scenario.customers]

    def now(self) -> int:
        return int(max(0.0, time.monotonic() - self.origin) * SECOND)

    async def run(self) -> None:
        """Hand in every text when it is due."""
        await asyncio.sleep(max(0.0, self.origin - time.monotonic()))
        for arrival in self.texts:
            ahead = arrival.at - self.now()
            if ahead > MS:
                await asyncio.sleep(ahead / SECOND)
            elif self.count % YIELD_EACH == 0:
                await asyncio.sleep(0)
            self.count += 1
            first = f"t{self.count}"
            until = arrival.at + self.scenario.products[arrival.product].validity_period
            self.hand_in(
                Coming(
                    first,
                    first,
                    arrival.product,
                    arrival.destination,
                    arrival.customer,
                    arrival.key,
                    until,
                    0,
                    self.client_behavior.relay(arrival.key),
                    arrival.at,
                )
            )
        self.all_came = True

    def hand_in(self, coming: Coming) -> None:
        """Hand it in; those of one key in turn, each when the one before has its answer."""
        if coming.key:
            waiting = self.keys.setdefault(coming.key, deque())
            waiting.append(coming)
            if len(waiting) > 1:
                return
        self.start(coming)

    def start(self, coming: Coming) -> None:
        task = self.loop.create_task(self.one(coming))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def one(self, coming: Coming) -> None:
        """One text, until it is taken on, nacked or given up; where a relay is not there, another."""
        while (now := self.now()) < coming.until:
            if coming.lost:  # a new handing in has a new id
                self.count += 1
                coming.id = f"{coming.first}.{coming.tries}.{self.count}"
            writer = self.writer
            writer.add(
                rec.Submitted(
                    now,
                    coming.relay,
                    coming.id,
                    coming.first,
                    coming.product,
                    coming.destination,
                    coming.customer,
                    str(coming.key),
                    coming.until,
                    coming.tries + coming.lost,
                )
            )
            if self.count % LATE_EACH == 0 and not coming.lost:
                writer.add(rec.StageLate(now, "load", max(0, now - coming.due)))
            answer = await self.pools[coming.relay].submit(self.text_of(coming, now))
            now = self.now()
            kind = ANSWERS[answer.kind]
            writer.add(rec.Answered(now, coming.id, kind, answer.wait_ms * MS))
            if kind not in (Answer.LOST, Answer.SILENT):
                self.answered(coming, kind, answer.wait_ms * MS, now)
                break
            coming.lost += 1
            coming.relay = (coming.relay + 1) % len(self.pools)
            if coming.lost % len(self.pools) == 0:
                await asyncio.sleep(NOBODY / SECOND)
        self.key_free(coming)

    def text_of(self, coming: Coming, now: int) -> Submission:
        mark = TextMark(coming.product, coming.first, coming.relay, self.play)
        body = body_of(mark, self.scenario.clients.body)
        customer = self.customers[coming.customer] if self.customers else ""
        return Submission(
            self.names[coming.product],
            coming.destination,
            max(1, (coming.until - now) // MS),
            body,
            customer,
            str(coming.key),
            coming.first,
            coming.id,
            coming.tries > 0,
        )

    def answered(self, coming: Coming, kind: Answer, wait: int, now: int) -> None:
        if kind is Answer.TAKEN:
            self.taken += 1
            self.held[coming.id] = coming
            heapq.heappush(self.over, (coming.until + REMEMBER, coming.id))
            while self.over and self.over[0][0] < now:
                self.held.pop(heapq.heappop(self.over)[1], None)
        elif kind is Answer.BUSY:
            self.again(coming, wait, now)

    def again(self, coming: Coming, told: int, now: int) -> None:
        """A nacked text comes again after a while, if its client does so and its time lasts."""
        wait = self.client_behavior.retry_delay(coming.tries, told)
        if wait is not None and now + wait < coming.until:
            self.later(coming, now + wait)

    def later(self, coming: Coming, at: int) -> None:
        self.count += 1
        again = Coming(
            f"{coming.first}.{coming.tries + 1}.{self.count}",
            coming.first,
            coming.product,
            coming.destination,
            coming.customer,
            coming.key,
            coming.until,
            coming.tries + 1,
            self.client_behavior.relay(coming.key),
            at,
        )
        self.open += 1
        self.loop.call_later(max(0.0, (at - self.now()) / SECOND), self._hand_in_again, again)

    def _hand_in_again(self, coming: Coming) -> None:
        self.open -= 1
        self.hand_in(coming)

    def key_free(self, coming: Coming) -> None:
        waiting = self.keys.get(coming.key)
        if waiting and waiting[0] is coming:
            waiting.popleft()
            if waiting:
                self.start(waiting[0])
            else:
                del self.keys[coming.key]

    def order(self, order: StageMessage) -> bool:
        """What the stage tells; False when it is over."""
        if isinstance(order, Nacked):
            coming = self.held.pop(order.text, None)
            if coming is not None:
                self.again(coming, order.wait, self.now())
        elif isinstance(order, Wiped):
            self.hand_on(order)
        return not isinstance(order, Finish)

    def hand_on(self, order: Wiped) -> None:
        """What a lost machine held comes again to others, unless it may have run and may not be repeated."""
        ran, now = set(order.ran), self.now()
        low, high = HANDED_ON
        for coming in [each for each in self.held.values() if each.relay == order.relay and each.until > now]:
            del self.held[coming.id]
            safe = self.scenario.products[coming.product].effect is Effect.RESENDABLE
            if coming.id not in ran or safe:
                self.later(coming, now + low + round((high - low) * self.random_streams.uniform("handed on")))

    @property
    def idle(self) -> bool:
        return self.all_came and not self.tasks and not self.open


def drawn(arrivals: Arrivals) -> Iterator[Arrival]:
    """The texts, with all the drawing done by now."""
    found = iter(arrivals)
    return itertools.chain(list(itertools.islice(found, 1)), found)


async def serve() -> None:
    """Run as the stage's standard streams say."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 28)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    def say(message) -> None:
        sys.stdout.buffer.write(encode_line(message))
        sys.stdout.buffer.flush()

    load = Load(read_stage_message(await reader.readline()), say)
    say(Ready())
    load.origin = read_stage_message(await reader.readline()).origin
    beat = Heartbeat(lambda by: load.writer.add(rec.StageLate(load.now(), "load's loop", by)))
    running = loop.create_task(load.run())
    news = loop.create_task(tell(load, say))
    try:
        while line := await reader.readline():
            if not load.order(read_stage_message(line)):
                break
    finally:
        beat.stop()
        ending = [running, news, *load.tasks]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        load.writer.add(rec.RunEnded(load.now(), True))
        load.writer.close()


async def tell(load: Load, say) -> None:
    """How far it is, and when it is done."""
    seconds = load.scenario.scenario.seconds
    while True:
        await asyncio.sleep(NEWS_EACH)
        load.writer.flush()
        say(Done(load.count) if load.idle else Progressed(min(1.0, load.now() / seconds), load.taken))


def main() -> None:
    uvloop.run(serve())


if __name__ == "__main__":
    main()
