"""The load of the sockets stage: a process that submits a scenario's texts in real time.

The stage starts it and exchanges messages with it over its standard streams, one per line. It writes its own
part of the record. The loop is open: a text is sent when it is due, however many wait for their answers.
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
MAX_CONNECTIONS = 256  # to each relay
NO_RELAY_DELAY = 100 * MS  # ticks until a text that found no relay is submitted again
PROGRESS_INTERVAL = 0.2  # seconds between two reports to the stage
YIELD_INTERVAL = 4  # texts that are due, between two yields to the event loop
DELAY_SAMPLING = 8  # the delay of one text in so many is recorded
RESUBMIT_DELAYS = (500 * MS, 1800 * MS)  # ticks until the texts of a lost relay are resubmitted
RETENTION_TIME = 60 * SECOND  # ticks for which a text is kept after its validity period


@dataclass(slots=True, eq=False)
class TextAttempt:
    """One submission of a text."""

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
    failed_attempts: int = 0  # times that no relay was there


class Load:
    """All clients of a run, and their part of the record."""

    def __init__(self, begin: Begin, send) -> None:
        self.scenario = msgspec.convert(begin.scenario, Scenario)
        self.origin, self.send, self.play = math.inf, send, begin.play
        self.loop = asyncio.get_running_loop()
        head = rec.Head(rec.VERSION, STAGE, begin.seed, begin.scenario, "", allowances=ALLOWANCES)
        self.writer = rec.Writer(begin.target, head)
        wait = self.scenario.clients.answer_wait / SECOND
        self.pools = []
        for address in begin.relays:
            host, _, port = address.partition(":")
            self.pools.append(Pool(host, int(port), MAX_CONNECTIONS, wait))
        self.texts = pregenerated(Arrivals(self.scenario, begin.seed))
        self.client_behavior = ClientBehavior(self.scenario, begin.seed)
        self.random_streams = RandomStreams(begin.seed)
        self.count = self.pending_retries = self.accepted_count = 0
        self.all_submitted = False
        self.tasks: set[asyncio.Task] = set()
        self.keys: dict[int, deque[TextAttempt]] = {}
        self.accepted: dict[str, TextAttempt] = {}  # by id, until the retention time is over
        self.expiries: list[tuple[int, str]] = []
        self.names = [row.name for row in self.scenario.products]
        self.customers = [row.name for row in self.scenario.customers]

    def now(self) -> int:
        """Returns the time in ticks since the origin."""
        return int(max(0.0, time.monotonic() - self.origin) * SECOND)

    async def run(self) -> None:
        """Submits every text when it is due."""
        await asyncio.sleep(max(0.0, self.origin - time.monotonic()))
        for arrival in self.texts:
            ahead = arrival.at - self.now()
            if ahead > MS:
                await asyncio.sleep(ahead / SECOND)
            elif self.count % YIELD_INTERVAL == 0:
                await asyncio.sleep(0)
            self.count += 1
            first = f"t{self.count}"
            until = arrival.at + self.scenario.products[arrival.product].validity_period
            self.submit_text(
                TextAttempt(
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
        self.all_submitted = True

    def submit_text(self, submission: TextAttempt) -> None:
        """Submits a text; texts of one key wait until the one before has its answer."""
        if submission.key:
            waiting = self.keys.setdefault(submission.key, deque())
            waiting.append(submission)
            if len(waiting) > 1:
                return
        self.start(submission)

    def start(self, submission: TextAttempt) -> None:
        """Starts the task that submits a text."""
        task = self.loop.create_task(self.submit_until_answered(submission))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def submit_until_answered(self, submission: TextAttempt) -> None:
        """Submits a text until it has an answer or expires; tries the next relay after a failure."""
        while (now := self.now()) < submission.until:
            if submission.failed_attempts:  # each attempt has a new id
                self.count += 1
                submission.id = f"{submission.first}.{submission.tries}.{self.count}"
            writer = self.writer
            writer.add(
                rec.Submitted(
                    now,
                    submission.relay,
                    submission.id,
                    submission.first,
                    submission.product,
                    submission.destination,
                    submission.customer,
                    str(submission.key),
                    submission.until,
                    submission.tries + submission.failed_attempts,
                )
            )
            if self.count % DELAY_SAMPLING == 0 and not submission.failed_attempts:
                writer.add(rec.StageLate(now, "load", max(0, now - submission.due)))
            answer = await self.pools[submission.relay].submit(self.text_of(submission, now))
            now = self.now()
            kind = ANSWERS[answer.kind]
            writer.add(rec.Answered(now, submission.id, kind, answer.wait_ms * MS))
            if kind not in (Answer.LOST, Answer.SILENT):
                self.answered(submission, kind, answer.wait_ms * MS, now)
                break
            submission.failed_attempts += 1
            submission.relay = (submission.relay + 1) % len(self.pools)
            if submission.failed_attempts % len(self.pools) == 0:
                await asyncio.sleep(NO_RELAY_DELAY / SECOND)
        self.release_key(submission)

    def text_of(self, submission: TextAttempt, now: int) -> Submission:
        """Returns the text for the client library."""
        mark = TextMark(submission.product, submission.first, submission.relay, self.play)
        body = body_of(mark, self.scenario.clients.body)
        customer = self.customers[submission.customer] if self.customers else ""
        return Submission(
            self.names[submission.product],
            submission.destination,
            max(1, (submission.until - now) // MS),
            body,
            customer,
            str(submission.key),
            submission.first,
            submission.id,
            submission.tries > 0,
        )

    def answered(self, submission: TextAttempt, kind: Answer, wait: int, now: int) -> None:
        """Handles a relay's answer."""
        if kind is Answer.TAKEN:
            self.accepted_count += 1
            self.accepted[submission.id] = submission
            heapq.heappush(self.expiries, (submission.until + RETENTION_TIME, submission.id))
            while self.expiries and self.expiries[0][0] < now:
                self.accepted.pop(heapq.heappop(self.expiries)[1], None)
        elif kind is Answer.BUSY:
            self.resubmit(submission, wait, now)

    def resubmit(self, submission: TextAttempt, retry_after: int, now: int) -> None:
        """Schedules the resubmission of a nacked text, if its client retries and there is time."""
        wait = self.client_behavior.retry_delay(submission.tries, retry_after)
        if wait is not None and now + wait < submission.until:
            self.schedule_resubmission(submission, now + wait)

    def schedule_resubmission(self, submission: TextAttempt, at: int) -> None:
        """Schedules a new submission of a text for time `at`."""
        self.count += 1
        resubmission = TextAttempt(
            f"{submission.first}.{submission.tries + 1}.{self.count}",
            submission.first,
            submission.product,
            submission.destination,
            submission.customer,
            submission.key,
            submission.until,
            submission.tries + 1,
            self.client_behavior.relay(submission.key),
            at,
        )
        self.pending_retries += 1
        self.loop.call_later(max(0.0, (at - self.now()) / SECOND), self._resubmit_now, resubmission)

    def _resubmit_now(self, submission: TextAttempt) -> None:
        self.pending_retries -= 1
        self.submit_text(submission)

    def release_key(self, submission: TextAttempt) -> None:
        """Lets the next text of the key be submitted."""
        waiting = self.keys.get(submission.key)
        if waiting and waiting[0] is submission:
            waiting.popleft()
            if waiting:
                self.start(waiting[0])
            else:
                del self.keys[submission.key]

    def handle_message(self, message: StageMessage) -> bool:
        """Handles a message of the stage; returns False at the end of the run."""
        if isinstance(message, Nacked):
            submission = self.accepted.pop(message.text, None)
            if submission is not None:
                self.resubmit(submission, message.wait, self.now())
        elif isinstance(message, Wiped):
            self.resubmit_lost(message)
        return not isinstance(message, Finish)

    def resubmit_lost(self, message: Wiped) -> None:
        """Resubmits the texts of a lost relay, except those that may have run and may not be repeated."""
        ran, now = set(message.ran), self.now()
        low, high = RESUBMIT_DELAYS
        for submission in [
            each for each in self.accepted.values() if each.relay == message.relay and each.until > now
        ]:
            del self.accepted[submission.id]
            safe = self.scenario.products[submission.product].effect is Effect.RESENDABLE
            if submission.id not in ran or safe:
                self.schedule_resubmission(
                    submission, now + low + round((high - low) * self.random_streams.uniform("handed on"))
                )

    @property
    def is_idle(self) -> bool:
        """Whether all texts have been submitted and none waits for an answer or a retry."""
        return self.all_submitted and not self.tasks and not self.pending_retries


def pregenerated(arrivals: Arrivals) -> Iterator[Arrival]:
    """Returns the texts; reading the first one here generates them all before the run begins."""
    found = iter(arrivals)
    return itertools.chain(list(itertools.islice(found, 1)), found)


async def serve() -> None:
    """Runs the load as the messages on standard input say."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 28)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    def send(message) -> None:
        sys.stdout.buffer.write(encode_line(message))
        sys.stdout.buffer.flush()

    load = Load(read_stage_message(await reader.readline()), send)
    send(Ready())
    load.origin = read_stage_message(await reader.readline()).origin
    heartbeat = Heartbeat(lambda by: load.writer.add(rec.StageLate(load.now(), "load's loop", by)))
    load_task = loop.create_task(load.run())
    progress = loop.create_task(report_progress(load, send))
    try:
        while line := await reader.readline():
            if not load.handle_message(read_stage_message(line)):
                break
    finally:
        heartbeat.stop()
        tasks = [load_task, progress, *load.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        load.writer.add(rec.RunEnded(load.now(), True))
        load.writer.close()


async def report_progress(load: Load, send) -> None:
    """Reports progress to the stage, and when all texts are done."""
    seconds = load.scenario.scenario.seconds
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL)
        load.writer.flush()
        send(
            Done(load.count)
            if load.is_idle
            else Progressed(min(1.0, load.now() / seconds), load.accepted_count)
        )


def main() -> None:
    """Runs the load process."""
    uvloop.run(serve())


if __name__ == "__main__":
    main()
