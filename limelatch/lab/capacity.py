"""How much one relay carries: the highest rate at which it keeps a stated SLA share, found by halving."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limelatch.lab.figures import Figures

ENOUGH = 0.05  # the part of the rate to which the answer is found
TRIES_MOST = 14


@dataclass
class Capacity:
    """What was found; `bound` is the rate that was too much, `why` in a word."""

    rate: float = 0.0
    bound: float = float("inf")
    why: str = ""
    tries: list[tuple[float, Figures]] = field(default_factory=list)


def search(
    trial: Callable[[float], Figures],
    least: float,
    first: float,
    most: float,
    told: Callable[[float, Figures], None],
) -> Capacity:
    """Double the rate until it is too much, then halve what lies between.

    A trial in which the stage itself was late says nothing of the relay; its rate bounds the answer, and
    `why` says so."""
    found, rate = Capacity(), first
    for _ in range(TRIES_MOST):
        figures = trial(rate)
        found.tries.append((rate, figures))
        told(rate, figures)
        if not figures.usable:
            found.bound, found.why = rate, f"at {rate:.0f} the stage itself was late"
        elif figures.kept and figures.sla_share >= least:
            found.rate = rate
            if rate >= most:
                found.why = "no more was tried"
                break
        else:
            found.bound = rate
            found.why = f"at {rate:.0f} " + ("the share fell" if figures.kept else "a rule was broken")
        if found.bound <= found.rate * (1 + ENOUGH):
            break
        rate = min(most, rate * 2) if found.bound == float("inf") else (found.rate + found.bound) / 2
        if not found.rate and found.bound <= 1:
            break
    return found
