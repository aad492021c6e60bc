"""Crowds of bad clients in a soak, drawn from the seed: each is a process of `limelatch.lab.bad_clients`."""

from __future__ import annotations

import random
from dataclasses import dataclass

from limelatch.lab.bad_clients import Shape

CROWDS_RATIO = 0.5  # of the plans: with crowds
MAX_CROWDS = 4  # for all relays of a plan
UNKNOWN_NAMES = "c=nosuch,t=nosuch,d=8000,dest=1"  # no text of a crowd may reach the stage's partners
MEMORY_LIMITS = (64_000_000, 96_000_000, 192_000_000)  # bytes, of a relay that has one process at a time
UPGRADE_MEMORY_LIMITS = (96_000_000, 192_000_000)  # two processes need their memory at rest twice


@dataclass(frozen=True)
class Crowd:
    """Bad clients of one shape at one relay. `at`, `seconds`: in seconds; `pace`: bytes written at once, or 0
    for as many as possible."""

    at: float
    relay: int
    shape: Shape
    clients: int
    waves: int
    seconds: float
    pace: int
    reconnects: bool
    seed: int

    def arguments(self, listen: str) -> list[str]:
        """The arguments of the process that plays the crowd against the relay at this address."""
        arguments = [listen, "--shape", self.shape.value, "--names", UNKNOWN_NAMES]
        numbers = {
            "--clients": self.clients,
            "--waves": self.waves,
            "--seconds": self.seconds,
            "--pace": self.pace,
            "--seed": self.seed,
        }
        for name, value in numbers.items():
            arguments += [name, str(value)]
        return arguments + ["--reconnect"] * self.reconnects


@dataclass(frozen=True)
class CrowdPlan:
    """All crowds of a seed, and the memory limit of each relay in bytes."""

    crowds: tuple[Crowd, ...]
    memory: int


def draw_crowds(seed: int, seconds: float, relays: int, has_upgrades: bool) -> CrowdPlan | None:
    """The crowds of a seed, or None; the same arguments draw the same ones."""
    draw = random.Random(seed * 3001 + 1)
    if draw.random() >= CROWDS_RATIO:
        return None
    return CrowdPlan(
        crowds=tuple(_draw_crowd(draw, seconds, relays) for _ in range(draw.randint(1, MAX_CROWDS))),
        memory=draw.choice(UPGRADE_MEMORY_LIMITS if has_upgrades else MEMORY_LIMITS),
    )


def _draw_crowd(draw: random.Random, seconds: float, relays: int) -> Crowd:
    return Crowd(
        at=round(draw.uniform(0.1, 0.9) * seconds, 3),
        relay=draw.randrange(relays),
        shape=draw.choice(list(Shape)),
        clients=draw.choice((1, 20, 100, 300)),
        waves=draw.choice((1, 1, 2)),
        seconds=draw.choice((2.0, 4.0)),
        pace=draw.choice((0, 0, 200, 1300)),
        reconnects=draw.random() < 0.3,
        seed=draw.randrange(1 << 30),
    )
