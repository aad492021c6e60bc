"""The load tool: drives any relay over RESP2, by the clock, at rates that step up until its answers are too
late.

It sees what a client sees: how long a relay takes to answer, and what it answers. What becomes of the texts
afterwards is for the stages to show.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import numpy as np

from limelatch.client.drive import Summary, submit_all
from limelatch.client.pool import Pool
from limelatch.client.wire import Submission
from limelatch.lab.world.random_streams import BatchedDraws, RandomStreams
from limelatch.lab.world.world import zipf_weights

STEPS_MOST = 1000


@dataclass(frozen=True)
class Shape:
    """What is handed in."""

    product: str
    destinations: tuple[int, ...]
    zipf: float = 0.0
    customer: str = ""
    valid_for_ms: float = 24_000
    size: int = 200
    seed: int = 1


@dataclass(frozen=True)
class Step:
    """One rate that was tried."""

    rate: float
    summary: Summary
    sla_ms: float

    @property
    def sla_share(self) -> float:
        """The share of the texts that were taken on within the SLA time, from when they were due."""
        summary = self.summary
        if not summary.count:
            return 0.0
        return summary.within_sla / summary.count

    @property
    def late_ms(self) -> float:
        """By how much the tool itself was late, at the 99th percentile."""
        return self.summary.percentiles(self.summary.send_delay)[99.0]


def texts_of(shape: Shape) -> Callable[[int], Submission]:
    """Makes the texts, each with a new id, its destination by the law of Zipf."""
    generator = RandomStreams(shape.seed).generator("destinations")
    weights = zipf_weights(len(shape.destinations), shape.zipf)
    drawn = BatchedDraws(lambda count: generator.choice(np.array(shape.destinations), count, p=weights))
    body = b"." * shape.size

    def made(number: int) -> Submission:
        text = Submission(shape.product, int(drawn.next()), shape.valid_for_ms, body, shape.customer)
        text.idempotency_key = text.id
        return text

    return made


def rates(first: float, step: float, last: float, times: float) -> Iterator[float]:
    """`first`, then more by `step` or by `times`, up to `last`."""
    rate = first
    for _ in range(STEPS_MOST):
        if rate > last * (1 + 1e-9):
            return
        yield rate
        rate = rate * times if times > 1 else rate + step
        if not step and times <= 1:
            return


async def climb(
    host: str,
    port: int,
    shape: Shape,
    wanted: Iterator[float],
    seconds: float,
    sla_ms: float,
    least: float,
    connections: int,
    told: Callable[[Step], None],
    progress: Callable[[float, int, int], None],
) -> list[Step]:
    """Try each rate for so long, until the SLA share falls under `least`."""
    found: list[Step] = []
    made = texts_of(shape)
    async with Pool(host, port, connections, max(sla_ms / 1000, 1.0)) as pool:
        for rate in wanted:
            count = max(1, round(rate * seconds))
            done = 0

            def one(text: Submission, answer: object, rate: float = rate, count: int = count) -> None:
                nonlocal done
                done += 1
                if done % 50 == 0 or done == count:
                    progress(rate, done, count)

            summary = await submit_all(pool, made, count, rate, one, sla_ms)
            step = Step(rate, summary, sla_ms)
            found.append(step)
            told(step)
            if step.sla_share < least:
                break
            await asyncio.sleep(0.2)
    return found
