"""Searches the capacity of one relay: the highest rate at which it keeps a given SLA share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limelatch.lab.figures import Figures

RELATIVE_PRECISION = 0.05  # the search ends when the bounds differ by less
MAX_TRIALS = 14


@dataclass
class Capacity:
    """The result of a search, in texts per second.

    `rate`: highest rate that passed; `upper_bound`: lowest rate that failed; `why`: why the search went no
    higher; `trials`: every rate with its figures."""

    rate: float = 0.0
    upper_bound: float = float("inf")
    why: str = ""
    trials: list[tuple[float, Figures]] = field(default_factory=list)


def search(
    run_trial: Callable[[float], Figures],
    min_sla_share: float,
    first_rate: float,
    max_rate: float,
    on_trial: Callable[[float, Figures], None],
) -> Capacity:
    """Search the capacity: double the rate until a trial fails, then bisect.

    A trial fails if it breaks a rule or its SLA share is too low. A trial in which the stage itself was late
    proves nothing about the relay: its rate bounds the result too, and `why` states it."""
    capacity, rate = Capacity(), first_rate
    for _ in range(MAX_TRIALS):
        figures = run_trial(rate)
        capacity.trials.append((rate, figures))
        on_trial(rate, figures)
        if not figures.usable:
            capacity.upper_bound, capacity.why = rate, f"at {rate:.0f} the stage itself was late"
        elif figures.kept and figures.sla_share >= min_sla_share:
            capacity.rate = rate
            if rate >= max_rate:
                capacity.why = "higher rates were not tried"
                break
        else:
            capacity.upper_bound = rate
            capacity.why = f"at {rate:.0f} " + (
                "the SLA share was too low" if figures.kept else "a rule was broken"
            )
        if capacity.upper_bound <= capacity.rate * (1 + RELATIVE_PRECISION):
            break
        rate = (
            min(max_rate, rate * 2)
            if capacity.upper_bound == float("inf")
            else (capacity.rate + capacity.upper_bound) / 2
        )
        if not capacity.rate and capacity.upper_bound <= 1:
            break
    return capacity
