"""Draws a seed's plan: fleet, partners, clients, their faults, and what befalls the relays' processes.

The same seed draws the same plan.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, replace
from enum import Enum

from limelatch.configuration.model import RepeatScope
from limelatch.interface import MS, SECOND, Effect
from limelatch.lab.scenario.model import (
    CatalogKeys,
    ClientKeys,
    CustomerKeys,
    FaultKeys,
    FloorKeys,
    Head,
    KindKeys,
    LimitForm,
    LimitKeys,
    PartnerKeys,
    ProductKeys,
    Relays,
    RuleKeys,
    Scenario,
    Shape,
    What,
)

FORM = 1  # of the drawing: another one draws other plans from the same seeds
SECONDS_LEAST = 10
KILL_AFTER = 3.7  # seconds after SIGTERM, at the earliest by the protocol
PAUSE_MOST = 0.15  # seconds for which a relay may be held up
QUIET_SHARE, TOGETHER_SHARE, CROWD_SHARE = 0.15, 0.6, 0.2
PASSING = (  # calls that fail for a moment and are made again
    ("accept", errno.EMFILE),
    ("recv", errno.EINTR),
    ("send", errno.ENOBUFS),
    ("socket", errno.ENFILE),
    ("connect", errno.EADDRNOTAVAIL),
    ("epoll_wait", errno.EINTR),
)
VALIDITY = (600 * MS, 1500 * MS, 3 * SECOND, 6 * SECOND, 12 * SECOND, 28 * SECOND)
WINDOWS = (SECOND, 2 * SECOND, 5 * SECOND, 10 * SECOND)
RESTS = (0, 100 * MS, 300 * MS, SECOND)
NAMELESS_FAULTS = (
    What.HANG,
    What.SILENT,
    What.DOWN,
    What.ERRORS,
    What.SHUT,
    What.SLOW,
    What.RESET,
    What.GARBLE,
    What.LOSS,
    What.LIMIT,
    What.DRAIN,
    What.LIST_LATE,
    What.LIST_SILENT,
    What.CUT_OFF,
    What.CLUMP,
)


class ActKind(Enum):
    """What befalls the processes of one relay."""

    KILL = "kill"  # SIGKILL, and a start
    RESTART = "restart"  # SIGTERM, SIGKILL 3.7 s later, and a start
    UPGRADE = "upgrade"  # a second process; the old one is stopped as in a restart
    UPGRADE_KILL = "upgrade-kill"  # a second process; the old one is killed outright
    UPGRADE_NEW_DIES = "upgrade-new-dies"  # a second process, which is killed
    UPGRADE_BOTH_DIE = "upgrade-both-die"  # a second process; both are killed, and a third one starts
    UPGRADE_STOP_NEW_DIES = "upgrade-stop-new-dies"  # the new one is killed while the old one stops
    RELOAD = "reload"  # SIGHUP, some in a row, with products and customers in another order
    PAUSE = "pause"  # SIGSTOP and SIGCONT
    SIGNALS = "signals"  # several signals in quick succession, the last one SIGTERM; then a start


ACT_WEIGHTS = {
    ActKind.KILL: 3,
    ActKind.RESTART: 2,
    ActKind.UPGRADE: 6,
    ActKind.UPGRADE_KILL: 3,
    ActKind.UPGRADE_NEW_DIES: 3,
    ActKind.UPGRADE_BOTH_DIE: 2,
    ActKind.UPGRADE_STOP_NEW_DIES: 2,
    ActKind.RELOAD: 2,
    ActKind.PAUSE: 3,
    ActKind.SIGNALS: 2,
}


@dataclass(frozen=True)
class Act:
    """One thing that befalls a relay. Times in seconds; `overlap`: for which both processes serve."""

    at: float
    relay: int
    kind: ActKind
    overlap: float = 0.0
    times: int = 1
    pause: float = 0.0


@dataclass(frozen=True)
class MachineFault:
    """One fault of a relay's machine, in seconds from the start. `step`: of its wall clock, else what befalls
    the system call `call`, as limelatch.lab.machine.faults has it."""

    at: float
    relay: int
    step: float = 0.0
    call: str = ""
    error: int = 0
    seconds: float = 0.0
    times: int = 0
    most: int = 0
    delay: float = 0.0
    path: str = ""


@dataclass(frozen=True)
class SoakPlan:
    """All that a seed draws. `crowd`: idle clients at each relay; `nuisances`: clients a second that send
    half a command, or leave before their answer."""

    seed: int
    scenario: Scenario
    acts: list[Act]
    machine: list[MachineFault]
    crowd: int
    nuisances: float

    def count(self) -> dict[str, int]:
        """Faults and acts by kind."""
        found: dict[str, int] = {}
        kinds = [fault.what.value for fault in self.scenario.faults] + [act.kind.value for act in self.acts]
        kinds += [f"machine-{fault.call or 'step'}" for fault in self.machine]
        for kind in kinds + ["crowd"] * bool(self.crowd):
            found[kind] = found.get(kind, 0) + 1
        return dict(sorted(found.items()))


class Draw:
    """One seed's drawing."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.seed, self.seconds = seed, max(SECONDS_LEAST, seconds)
        self.random = random.Random(seed * 1009 + FORM)
        self.relays = self.random.choice((1, 1, 2, 2, 3, 4, 6))
        quiet = self.random.random() < QUIET_SHARE
        self.begin = self.seconds * (0.6 if quiet else 0.1)

    def plan(self) -> SoakPlan:
        acts = self._acts()
        crowd = self.random.choice((20, 60)) if self.random.random() < CROWD_SHARE else 0
        nuisances = self.random.choice((0.0, 2.0, 10.0))
        return SoakPlan(self.seed, self._scenario(acts), acts, self._machine(acts), crowd, nuisances)

    def _machine(self, acts: list[Act]) -> list[MachineFault]:
        """In half of the seeds: at any time, and often within a second before an act."""
        if self.random.random() < 0.5:
            return []
        made = []
        for _ in range(self.random.randint(1, 6)):
            act = self.random.choice(acts)
            at = max(0.0, act.at - self.random.uniform(0.0, 1.0))
            made.append(replace(self._machine_fault(), at=round(at, 3), relay=act.relay))
        return made

    def _machine_fault(self) -> MachineFault:
        """What a machine may do for a while with no rule broken (docs/faults.md)."""
        draw = self.random
        kind = draw.choice(("step", "folder", "short", "delay", "passing"))
        if kind == "step":
            return MachineFault(0, 0, step=draw.choice((-3600.0, -17.0, -0.5, 0.5, 3.0, 3600.0)))
        if kind == "folder":
            error = draw.choice((errno.ENOSPC, errno.EIO))
            return MachineFault(
                0, 0, call="write", error=error, seconds=draw.choice((0.1, 0.4)), path="ledger"
            )
        if kind == "short":
            return MachineFault(
                0, 0, call=draw.choice(("recv", "send")), most=draw.choice((1, 50)), seconds=1.0
            )
        if kind == "delay":
            call = draw.choice(("send", "write", "epoll_wait"))
            return MachineFault(0, 0, call=call, delay=draw.uniform(0.02, PAUSE_MOST), times=2, seconds=5.0)
        call, error = draw.choice(PASSING)
        return MachineFault(0, 0, call=call, error=error, seconds=draw.choice((0.05, 0.3)))

    def _acts(self) -> list[Act]:
        kinds, weights = list(ACT_WEIGHTS), list(ACT_WEIGHTS.values())
        acts = []
        for relay in range(self.relays):
            at = self.begin + self.random.uniform(0.0, 4.0)
            while at < self.seconds * 0.95:
                kind = self.random.choices(kinds, weights)[0]
                overlap = self.random.choice((0.0, 0.05, 0.5, 1.5, 4.0))
                pause = self.random.uniform(0.02, PAUSE_MOST)
                acts.append(
                    Act(round(at, 3), relay, kind, overlap, self.random.randint(1, 4), round(pause, 3))
                )
                at += self.random.choice((0.0, 1.0, 4.0, 8.0, 12.0)) + self.random.uniform(0.0, 2.0)
        return sorted(acts, key=lambda act: (act.at, act.relay))

    def _scenario(self, acts: list[Act]) -> Scenario:
        products = self._products()
        longest = max(row.validity_period for row in products)
        head = Head(
            name=f"soak-{self.seed}",
            about="drawn from a seed",
            seconds=int(self.seconds * SECOND),
            settle=longest + 4 * SECOND,
        )
        partners = self._partners()
        return Scenario(
            scenario=head,
            products=products,
            partners=partners,
            relays=self._relays(),
            catalog=CatalogKeys(lag=self.random.choice((100 * MS, 500 * MS))),
            rules=RuleKeys(key_rest=self.random.choice(RESTS)),
            clients=self._clients(),
            customers=[CustomerKeys(name="north", share=3.0), CustomerKeys(name="south")],
            kinds=[
                KindKeys(name="single"),
                KindKeys(name="batching", texts_per_call=self.random.randint(2, 5)),
                KindKeys(name="apart", routes_apart=True),
            ],
            floors=[FloorKeys(name="ground"), FloorKeys(name="first")],
            faults=self._faults(acts, partners),
        )

    def _products(self) -> list[ProductKeys]:
        draw = self.random
        known = draw.choice((RepeatScope.FLOOR, RepeatScope.DESTINATION))
        keys = draw.choice((3, 10, 40))
        rows = [
            ProductKeys(name="report", effect=Effect.RESENDABLE, validity_period=draw.choice(VALIDITY)),
            ProductKeys(
                name="notice",
                effect=Effect.REFERENCED,
                repeat_window=draw.choice(WINDOWS),
                repeat_known=known,
                validity_period=draw.choice(VALIDITY),
                in_order=draw.random() < 0.4,
                keys=keys,
            ),
            ProductKeys(
                name="charge",
                effect=Effect.ONCE_ONLY,
                validity_period=draw.choice(VALIDITY),
                in_order=draw.random() < 0.8,
                keys=keys,
                share=2.0,
            ),
        ]
        draw.shuffle(rows)
        return rows

    def _relays(self) -> Relays:
        draw = self.random
        return Relays(
            count=self.relays,
            slots=draw.choice((4, 8, 16)),
            texts=draw.choice((12, 50, 300)),
            submits=draw.choice((2, 4, 8)),
            sockets=draw.choice((160, 1024)),
            disk=draw.choice((1_000_000, 3_000_000)),
        )

    def _clients(self) -> ClientKeys:
        draw = self.random
        return ClientKeys(
            rate=self.relays * draw.choice((4.0, 10.0, 20.0)),
            shape=draw.choice((Shape.POISSON, Shape.BURSTS)),
            retries=draw.choice((0, 3)),
            hot_key=draw.choice((0.0, 0.3)),
            body=draw.choice((50, 200, 4000)),
        )

    def _partners(self) -> list[PartnerKeys]:
        draw = self.random
        made = []
        for kind in ("single", "batching", "apart"):
            form = draw.choice((LimitForm.NONE, LimitForm.RATE, LimitForm.WINDOW))
            made.append(
                PartnerKeys(
                    name=kind,
                    kind=kind,
                    count=draw.randint(1, 2),
                    endpoints=draw.randint(1, 3),
                    capacity=self.relays * draw.choice((8.0, 20.0)),
                    latency=draw.choice((20 * MS, 100 * MS, 300 * MS)),
                    idle_time=draw.choice((500 * MS, 3 * SECOND, 15 * SECOND)),
                    reports=form is not LimitForm.NONE,
                    limit=LimitKeys(form=form, tells_wait=True, of_capacity=draw.choice((0.6, 1.0))),
                )
            )
        return made

    def _faults(self, acts: list[Act], partners: list[PartnerKeys]) -> list[FaultKeys]:
        draw = self.random
        return [self._fault(acts, partners) for _ in range(draw.randint(3, 8))]

    def _fault(self, acts: list[Act], partners: list[PartnerKeys]) -> FaultKeys:
        """Often one that begins just before a relay's processes are at a passage."""
        draw = self.random
        if acts and draw.random() < TOGETHER_SHARE:
            at = max(0.0, draw.choice(acts).at + draw.uniform(-1.0, 1.0))
        else:
            at = draw.uniform(self.begin, self.seconds * 0.9)
        what = draw.choice(NAMELESS_FAULTS)
        lasts = draw.choice((0.5, 2.0, 5.0, 10.0))
        return FaultKeys(
            what=what,
            at=int(at * SECOND),
            lasts=int(lasts * SECOND),
            partners=[f"{draw.choice(partners).name}-*"] if draw.random() < 0.6 else [],
            part=draw.choice((0.5, 1.0)),
            share=draw.choice((0.3, 0.8)),
            runs=draw.choice((0.0, 0.5, 1.0)),
            times={What.LIMIT: 0.4, What.CLUMP: 1.0}.get(what, draw.choice((3.0, 8.0))),
            wait=draw.choice((0, 500 * MS, 3 * SECOND)),
            period=2 * SECOND,
            texts=draw.choice((10, 40)) if what is What.CLUMP else 0,
        )


def draw_plan(seed: int, seconds: float) -> SoakPlan:
    """The plan of a seed; texts come for `seconds`."""
    return Draw(seed, seconds).plan()
