"""Generates a soak plan from a seed: fleet, partners, clients, faults, and actions on the relay processes.

The same seed generates the same plan.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, replace
from enum import Enum

from msgspec import structs

from limelatch.configuration.model import RepeatScope
from limelatch.interface import MS, SECOND, Effect
from limelatch.lab.soak.crowds import CrowdPlan, draw_crowds
from limelatch.lab.soak.surplus import SurplusPlan, draw_surplus
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

PLAN_VERSION = 1  # part of the random seed: another version generates other plans from the same seeds
MIN_SECONDS = 10  # shortest duration of a plan
KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL: the earliest that the protocol allows
MAX_PAUSE = 0.15  # seconds for which a relay process may be suspended or delayed
QUIET_START_RATIO = 0.15  # of the plans: no faults in the first 60 % of the time
COINCIDING_FAULT_RATIO = 0.6  # of the faults: begin within a second of a process action
IDLE_CLIENTS_RATIO = 0.2  # of the plans: idle clients at each relay
TRANSIENT_ERRORS = (  # system calls that fail for a moment and are then retried, with the error
    ("accept", errno.EMFILE),
    ("recv", errno.EINTR),
    ("send", errno.ENOBUFS),
    ("socket", errno.ENFILE),
    ("connect", errno.EADDRNOTAVAIL),
    ("epoll_wait", errno.EINTR),
)
VALIDITY_PERIODS = (600 * MS, 1500 * MS, 3 * SECOND, 6 * SECOND, 12 * SECOND, 28 * SECOND)
RETRY_WINDOWS = (SECOND, 2 * SECOND, 5 * SECOND, 10 * SECOND)
KEY_COOLDOWNS = (0, 100 * MS, 300 * MS, SECOND)
DRAWN_FAULTS = (
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


class ActionKind(Enum):
    """An action on the processes of one relay."""

    KILL = "kill"  # SIGKILL, then a start
    RESTART = "restart"  # SIGTERM, SIGKILL 3.7 s later, then a start
    UPGRADE = "upgrade"  # a second process; the old one is stopped as in a restart
    UPGRADE_KILL = "upgrade-kill"  # a second process; the old one is killed with SIGKILL
    UPGRADE_NEW_DIES = "upgrade-new-dies"  # a second process, which is killed
    UPGRADE_BOTH_DIE = "upgrade-both-die"  # a second process; both are killed, and a third one starts
    UPGRADE_STOP_NEW_DIES = "upgrade-stop-new-dies"  # the new one is killed while the old one stops
    RELOAD = "reload"  # one or several SIGHUP, with products and customers in reversed order
    PAUSE = "pause"  # SIGSTOP and SIGCONT
    SIGNALS = "signals"  # several signals in quick succession, the last one SIGTERM; then a start


UPGRADES = (
    ActionKind.UPGRADE,
    ActionKind.UPGRADE_KILL,
    ActionKind.UPGRADE_NEW_DIES,
    ActionKind.UPGRADE_BOTH_DIE,
    ActionKind.UPGRADE_STOP_NEW_DIES,
)
ACTION_WEIGHTS = {
    ActionKind.KILL: 3,
    ActionKind.RESTART: 2,
    ActionKind.UPGRADE: 6,
    ActionKind.UPGRADE_KILL: 3,
    ActionKind.UPGRADE_NEW_DIES: 3,
    ActionKind.UPGRADE_BOTH_DIE: 2,
    ActionKind.UPGRADE_STOP_NEW_DIES: 2,
    ActionKind.RELOAD: 2,
    ActionKind.PAUSE: 3,
    ActionKind.SIGNALS: 2,
}


@dataclass(frozen=True)
class Action:
    """One action on a relay's processes.

    Times are in seconds. `overlap`: for how long both processes of an upgrade serve; `times`: signals or
    reloads in a row; `pause`: duration of a suspension, or delay before a signal."""

    at: float
    relay: int
    kind: ActionKind
    overlap: float = 0.0
    times: int = 1
    pause: float = 0.0


@dataclass(frozen=True)
class MachineFault:
    """One fault of a relay's machine.

    `at`: seconds from the start; `step`: seconds by which the wall clock is stepped. If `step` is 0, the
    other fields are a rule for the system call `call`, as in limelatch.lab.machine.faults.Faults.rule."""

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
    """Everything that is generated from a seed.

    `surplus`: surplus responses of hosts, platform and catalog. `idle_clients`: their number at each relay;
    `faulty_client_rate`: clients per second and relay that send
    half a command, or disconnect before the reply."""

    seed: int
    scenario: Scenario
    actions: list[Action]
    machine_faults: list[MachineFault]
    idle_clients: int
    faulty_client_rate: float
    surplus: SurplusPlan | None = None
    crowds: CrowdPlan | None = None  # of bad clients

    def count(self) -> dict[str, int]:
        """The number of faults and actions of each kind."""
        found: dict[str, int] = {}
        kinds = [fault.what.value for fault in self.scenario.faults] + [
            action.kind.value for action in self.actions
        ]
        kinds += [f"machine-{fault.call or 'step'}" for fault in self.machine_faults]
        if self.surplus is not None:
            kinds += [f"surplus-{form.value}" for form in self.surplus.forms]
            kinds += ["notices-unkept"] * bool(self.surplus.unkept)
        if self.crowds is not None:
            kinds += [f"bad-{crowd.shape.value}" for crowd in self.crowds.crowds]
        for kind in kinds + ["crowd"] * bool(self.idle_clients):
            found[kind] = found.get(kind, 0) + 1
        return dict(sorted(found.items()))


class PlanGenerator:
    """Generates the plan of one seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.seed, self.seconds = seed, max(MIN_SECONDS, seconds)
        self.random = random.Random(seed * 1009 + PLAN_VERSION)
        self.relays = self.random.choice((1, 1, 2, 2, 3, 4, 6))
        quiet = self.random.random() < QUIET_START_RATIO
        self.fault_start = self.seconds * (0.6 if quiet else 0.1)

    def plan(self) -> SoakPlan:
        """The whole plan; to be called once, since each call draws other random numbers."""
        actions = self._actions()
        idle_clients = self.random.choice((20, 60)) if self.random.random() < IDLE_CLIENTS_RATIO else 0
        faulty_client_rate = self.random.choice((0.0, 2.0, 10.0))
        scenario, machine_faults = self._scenario(actions), self._machine_faults(actions)
        surplus = draw_surplus(self.seed)
        if surplus is not None and surplus.is_alone:
            scenario, machine_faults = structs.replace(scenario, faults=[]), []
        has_upgrades = any(action.kind in UPGRADES for action in actions)
        crowds = draw_crowds(self.seed, self.seconds, self.relays, has_upgrades)
        if crowds is not None:
            relays = structs.replace(scenario.relays, memory=crowds.memory)
            scenario = structs.replace(scenario, relays=relays)
        return SoakPlan(
            self.seed, scenario, actions, machine_faults, idle_clients, faulty_client_rate, surplus, crowds
        )

    def _machine_faults(self, actions: list[Action]) -> list[MachineFault]:
        """The machine faults, in half of the plans; each begins at most a second before an action."""
        if self.random.random() < 0.5:
            return []
        made = []
        for _ in range(self.random.randint(1, 6)):
            action = self.random.choice(actions)
            at = max(0.0, action.at - self.random.uniform(0.0, 1.0))
            made.append(replace(self._machine_fault(), at=round(at, 3), relay=action.relay))
        return made

    def _machine_fault(self) -> MachineFault:
        """A temporary fault under which a relay must keep all its guarantees (docs/faults.md)."""
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
            return MachineFault(0, 0, call=call, delay=draw.uniform(0.02, MAX_PAUSE), times=2, seconds=5.0)
        call, error = draw.choice(TRANSIENT_ERRORS)
        return MachineFault(0, 0, call=call, error=error, seconds=draw.choice((0.05, 0.3)))

    def _actions(self) -> list[Action]:
        kinds, weights = list(ACTION_WEIGHTS), list(ACTION_WEIGHTS.values())
        actions = []
        for relay in range(self.relays):
            at = self.fault_start + self.random.uniform(0.0, 4.0)
            while at < self.seconds * 0.95:
                kind = self.random.choices(kinds, weights)[0]
                overlap = self.random.choice((0.0, 0.05, 0.5, 1.5, 4.0))
                pause = self.random.uniform(0.02, MAX_PAUSE)
                actions.append(
                    Action(round(at, 3), relay, kind, overlap, self.random.randint(1, 4), round(pause, 3))
                )
                at += self.random.choice((0.0, 1.0, 4.0, 8.0, 12.0)) + self.random.uniform(0.0, 2.0)
        return sorted(actions, key=lambda action: (action.at, action.relay))

    def _scenario(self, actions: list[Action]) -> Scenario:
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
            rules=RuleKeys(key_rest=self.random.choice(KEY_COOLDOWNS)),
            clients=self._clients(),
            customers=[CustomerKeys(name="north", share=3.0), CustomerKeys(name="south")],
            kinds=[
                KindKeys(name="single"),
                KindKeys(name="batching", texts_per_call=self.random.randint(2, 5)),
                KindKeys(name="apart", routes_apart=True),
            ],
            floors=[FloorKeys(name="ground"), FloorKeys(name="first")],
            faults=self._faults(actions, partners),
        )

    def _products(self) -> list[ProductKeys]:
        draw = self.random
        known_by = draw.choice((RepeatScope.FLOOR, RepeatScope.DESTINATION))
        keys = draw.choice((3, 10, 40))
        rows = [
            ProductKeys(
                name="report", effect=Effect.RESENDABLE, validity_period=draw.choice(VALIDITY_PERIODS)
            ),
            ProductKeys(
                name="notice",
                effect=Effect.REFERENCED,
                repeat_window=draw.choice(RETRY_WINDOWS),
                repeat_known=known_by,
                validity_period=draw.choice(VALIDITY_PERIODS),
                in_order=draw.random() < 0.4,
                keys=keys,
            ),
            ProductKeys(
                name="charge",
                effect=Effect.ONCE_ONLY,
                validity_period=draw.choice(VALIDITY_PERIODS),
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

    def _faults(self, actions: list[Action], partners: list[PartnerKeys]) -> list[FaultKeys]:
        draw = self.random
        return [self._fault(actions, partners) for _ in range(draw.randint(3, 8))]

    def _fault(self, actions: list[Action], partners: list[PartnerKeys]) -> FaultKeys:
        """A scenario fault; many begin within a second of an action on a relay's processes."""
        draw = self.random
        if actions and draw.random() < COINCIDING_FAULT_RATIO:
            at = max(0.0, draw.choice(actions).at + draw.uniform(-1.0, 1.0))
        else:
            at = draw.uniform(self.fault_start, self.seconds * 0.9)
        what = draw.choice(DRAWN_FAULTS)
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
    """The plan of a seed. Texts are submitted for `seconds`, at least MIN_SECONDS."""
    return PlanGenerator(seed, seconds).plan()
