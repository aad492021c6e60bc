"""Hands in many texts at a fixed rate and summarises the answers.

This is an open-loop load: a text's latency counts from when it was due, not from when it was sent, so that a
relay which stalls is charged for the texts that it delayed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable

from hdrh.histogram import HdrHistogram

from limelatch.client.pool import Pool
from limelatch.client.wire import Answer, AnswerKind, Submission

TICKS_PER_SECOND = 10_000  # resolution of the histograms
MAX_TICKS = 3600 * TICKS_PER_SECOND  # longer times are counted as this one
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
TIMER_RESOLUTION = 0.001  # seconds; a text that is due sooner is sent at once, as no timer is finer


class Summary:
    """Counts answers by kind, and records their latency from when each text was due.

    `within_sla` counts the texts that were accepted within `sla_ms` milliseconds."""

    def __init__(self, sla_ms: float = 0.0) -> None:
        self.sla_ms, self.within_sla = sla_ms, 0
        self.count_by_kind: Counter[AnswerKind] = Counter()
        self.messages: Counter[str] = Counter()  # of the answers that did not accept the text
        self.latency = HdrHistogram(1, MAX_TICKS, 3)
        self.send_delay = HdrHistogram(1, MAX_TICKS, 3)  # how late the sender itself was
        self.started_at = self.ended_at = 0.0

    def add(self, answer: Answer, due: float, sent: float, now: float) -> None:
        """Record one answer; the three times are seconds of the event loop's clock."""
        self.count_by_kind[answer.kind] += 1
        if answer.kind is not AnswerKind.ACCEPTED:
            self.messages[answer.message] += 1
        elif (now - due) * 1000 <= self.sla_ms:
            self.within_sla += 1
        self.latency.record_value(min(MAX_TICKS, max(1, round((now - due) * TICKS_PER_SECOND))))
        self.send_delay.record_value(min(MAX_TICKS, max(1, round((sent - due) * TICKS_PER_SECOND))))
        self.ended_at = now

    @property
    def count(self) -> int:
        """How many answers have been recorded."""
        return sum(self.count_by_kind.values())

    def percentiles(self, of: HdrHistogram | None = None) -> dict[float, float]:
        """Milliseconds by percentile, of the latency or another histogram; 100 is the maximum."""
        histogram = of or self.latency
        found = {each: histogram.get_value_at_percentile(each) / 10 for each in PERCENTILES}
        return found | {100.0: histogram.get_max_value() / 10}

    def lines(self) -> Iterable[str]:
        """The summary as lines of text."""
        span = max(self.ended_at - self.started_at, 1e-9)
        counts = ", ".join(
            f"{self.count_by_kind[each]} {each.value}" for each in AnswerKind if self.count_by_kind[each]
        )
        yield f"{self.count} texts in {span:.1f} s, {self.count / span:.1f} a second: {counts or 'none'}"
        if self.count:
            spread = "  ".join(
                f"p{each:g} {ms:.1f}" if each < 100 else f"max {ms:.1f}"
                for each, ms in self.percentiles().items()
            )
            yield f"answered after (ms from when it was due): {spread}"
            delays = self.percentiles(self.send_delay)
            yield (
                f"sent late by (ms): p50 {delays[50.0]:.1f}  p99 {delays[99.0]:.1f}  max {delays[100.0]:.1f}"
            )
        for message, count in self.messages.most_common(5):
            yield f"  {count} x {message}"


async def due_times(count: int, rate: float | None) -> AsyncIterator[float]:
    """Yield the due time of each of `count` texts, by the loop's clock, once it has come.

    Without a rate all are due at once."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for number in range(count):
        due = started_at + (number / rate if rate else 0.0)
        if due - loop.time() > TIMER_RESOLUTION:
            await asyncio.sleep(due - loop.time())
        yield due


async def submit_all(
    pool: Pool,
    texts: Callable[[int], Submission],
    count: int,
    rate: float | None,
    on_answer: Callable[[Submission, Answer], None] = lambda text, answer: None,
    sla_ms: float = 0.0,
) -> Summary:
    """Hand in `count` texts at `rate` a second, each when it is due, even if earlier ones are unanswered.

    `texts` makes the text of a number; `on_answer` is called with each text and its answer."""
    loop, summary, tasks = asyncio.get_running_loop(), Summary(sla_ms), set()

    async def submit_one(text: Submission, due: float) -> None:
        sent = loop.time()
        answer = await pool.submit(text)
        summary.add(answer, due, sent, loop.time())
        on_answer(text, answer)

    summary.started_at = summary.ended_at = loop.time()
    number = 0
    async for due in due_times(count, rate):
        task = loop.create_task(submit_one(texts(number), due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
    while tasks:
        await asyncio.wait(tasks)
    return summary
