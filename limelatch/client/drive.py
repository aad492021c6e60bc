"""Hands in many texts at a rate that the clock keeps, and sums up what became of them.

Open loop: a text's time counts from when it was due, not from when it could be sent, so that a relay which
stalls is not spared the texts that it held up.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable

from hdrh.histogram import HdrHistogram

from limelatch.client.pool import Pool
from limelatch.client.wire import Answer, Ending, HandedText

TICKS = 10_000  # of a second, in the histograms
LONGEST = 3600 * TICKS
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
AHEAD = 0.001  # seconds: a text due so soon goes now, since a timer is no finer


class Summary:
    """What became of texts, and how long their answers took from when they were due.

    `in_time` counts those taken on within `sla_ms`."""

    def __init__(self, sla_ms: float = 0.0) -> None:
        self.sla_ms, self.in_time = sla_ms, 0
        self.endings: Counter[Ending] = Counter()
        self.words: Counter[str] = Counter()  # of the answers that are not taken
        self.latency = HdrHistogram(1, LONGEST, 3)
        self.lateness = HdrHistogram(1, LONGEST, 3)  # of the sender itself
        self.began = self.ended = 0.0

    def add(self, answer: Answer, due: float, sent: float, now: float) -> None:
        self.endings[answer.ending] += 1
        if answer.ending is not Ending.TAKEN:
            self.words[answer.words] += 1
        elif (now - due) * 1000 <= self.sla_ms:
            self.in_time += 1
        self.latency.record_value(min(LONGEST, max(1, round((now - due) * TICKS))))
        self.lateness.record_value(min(LONGEST, max(1, round((sent - due) * TICKS))))
        self.ended = now

    @property
    def count(self) -> int:
        return sum(self.endings.values())

    def percentiles(self, of: HdrHistogram | None = None) -> dict[float, float]:
        """Milliseconds by percentile; 100 is the largest."""
        histogram = of or self.latency
        found = {each: histogram.get_value_at_percentile(each) / 10 for each in PERCENTILES}
        return found | {100.0: histogram.get_max_value() / 10}

    def lines(self) -> Iterable[str]:
        """For people."""
        span = max(self.ended - self.began, 1e-9)
        endings = ", ".join(f"{self.endings[each]} {each.value}" for each in Ending if self.endings[each])
        yield f"{self.count} texts in {span:.1f} s, {self.count / span:.1f} a second: {endings or 'none'}"
        if self.count:
            spread = "  ".join(
                f"p{each:g} {ms:.1f}" if each < 100 else f"max {ms:.1f}"
                for each, ms in self.percentiles().items()
            )
            yield f"answered after (ms from when it was due): {spread}"
            late = self.percentiles(self.lateness)
            yield f"sent late by (ms): p50 {late[50.0]:.1f}  p99 {late[99.0]:.1f}  max {late[100.0]:.1f}"
        for words, times in self.words.most_common(5):
            yield f"  {times} x {words}"


async def paced(count: int, rate: float | None) -> AsyncIterator[float]:
    """When each of `count` texts is due, by the loop's clock; without a rate, all at once."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    for number in range(count):
        due = began + (number / rate if rate else 0.0)
        if due - loop.time() > AHEAD:
            await asyncio.sleep(due - loop.time())
        yield due


async def drive(
    pool: Pool,
    texts: Callable[[int], HandedText],
    count: int,
    rate: float | None,
    told: Callable[[HandedText, Answer], None] = lambda text, answer: None,
    sla_ms: float = 0.0,
) -> Summary:
    """Hand in `count` texts at `rate` a second, each as it is due, answered or not."""
    loop, summary, tasks = asyncio.get_running_loop(), Summary(sla_ms), set()

    async def one(text: HandedText, due: float) -> None:
        sent = loop.time()
        answer = await pool.submit(text)
        summary.add(answer, due, sent, loop.time())
        told(text, answer)

    summary.began = summary.ended = loop.time()
    number = 0
    async for due in paced(count, rate):
        task = loop.create_task(one(texts(number), due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
    while tasks:
        await asyncio.wait(tasks)
    return summary
