"""The load tool: submits texts to a relay over RESP2 at increasing rates until its answers are too late.

It measures what a client sees: the answers of the relay and how long they take. What happens to the texts
afterwards is measured by the stages.
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

MAX_STEPS = 1000  # protects against an endless sequence of rates


@dataclass(frozen=True)
class Shape:
    """The texts that are submitted. `size`: bytes of a body; `zipf`: exponent of the destinations' shares."""

    product: str
    destinations: tuple[int, ...]
    zipf: float = 0.0
    customer: str = ""
    valid_for_ms: float = 24_000
    size: int = 200
    seed: int = 1


@dataclass(frozen=True)
class Step:
    """The result at one rate, in texts per second."""

    rate: float
    summary: Summary
    sla_ms: float

    @property
    def sla_share(self) -> float:
        """The share of the texts accepted within the SLA time, measured from when each was due to be sent."""
        summary = self.summary
        if not summary.count:
            return 0.0
        return summary.within_sla / summary.count

    @property
    def late_ms(self) -> float:
        """99th percentile of the delay of the tool itself."""
        return self.summary.percentiles(self.summary.send_delay)[99.0]


def text_factory(shape: Shape) -> Callable[[int], Submission]:
    """Return a function that makes texts, each with a new id and a destination by Zipf's law."""
    generator = RandomStreams(shape.seed).generator("destinations")
    weights = zipf_weights(len(shape.destinations), shape.zipf)
    draws = BatchedDraws(lambda count: generator.choice(np.array(shape.destinations), count, p=weights))
    body = b"." * shape.size

    def make_text(number: int) -> Submission:
        text = Submission(shape.product, int(draws.next()), shape.valid_for_ms, body, shape.customer)
        text.idempotency_key = text.id
        return text

    return make_text


def rates(first: float, step: float, last: float, times: float) -> Iterator[float]:
    """The rates from `first` up to `last`, each larger by `step`, or by the factor `times` if above 1."""
    rate = first
    for _ in range(MAX_STEPS):
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
    rate_steps: Iterator[float],
    seconds: float,
    sla_ms: float,
    min_sla_share: float,
    connections: int,
    on_step: Callable[[Step], None],
    progress: Callable[[float, int, int], None],
) -> list[Step]:
    """Submit texts at each rate for `seconds`, until the SLA share falls below `min_sla_share`."""
    steps: list[Step] = []
    make_text = text_factory(shape)
    async with Pool(host, port, connections, max(sla_ms / 1000, 1.0)) as pool:
        for rate in rate_steps:
            count = max(1, round(rate * seconds))
            answered = 0

            def on_answer(text: Submission, answer: object, rate: float = rate, count: int = count) -> None:
                nonlocal answered
                answered += 1
                if answered % 50 == 0 or answered == count:
                    progress(rate, answered, count)

            summary = await submit_all(pool, make_text, count, rate, on_answer, sla_ms)
            step = Step(rate, summary, sla_ms)
            steps.append(step)
            on_step(step)
            if step.sla_share < min_sla_share:
                break
            await asyncio.sleep(0.2)
    return steps
