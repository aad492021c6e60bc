"""Runs measurement cells: each is one fault, failure detector (way), fleet size and seed."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from random import Random

import msgspec

from limelatch.interface import MS, SECOND
from limelatch.lab.membership.baselines import Heartbeats, PlainSwim
from limelatch.lab.membership.fleet import WINDOW, Fleet, SimulatedMember
from limelatch.lab.membership.network import Conditions
from limelatch.membership.member import Member
from limelatch.membership.messages import State

WAYS: dict[str, Callable[..., SimulatedMember]] = {
    "member": Member,
    "plain-swim": PlainSwim,
    "heartbeats": Heartbeats,
}
SETTLE_TIME = 3 * WINDOW  # simulated time at which faults begin
AGREEMENT_TIMEOUT = 40 * SECOND  # simulated time for all members to agree
PAUSES = (500 * MS, SECOND, 2 * SECOND, 5 * SECOND)


class Outcome(msgspec.Struct, frozen=True):
    """Results of one cell. Durations in seconds; -1 if not reached within 40 s."""

    cell: str
    way: str
    members: int
    seed: int
    agreed: float = -1.0  # until all live members have the true state of the others
    healed: float = -1.0  # until all agree again after the fault's end
    wrong: int = 0  # members declared dead by own probes although they ran and were reachable
    bytes_most: float = 0.0  # per second, maximum over members and windows of ten seconds
    bytes_mean: float = 0.0  # per second
    processor: float = 0.0  # of one core, per member and simulated second
    simulated: float = 0.0  # seconds simulated during the cell
    bytes_held: int = 0  # memory per member, if measured


def addresses(members: int) -> list[str]:
    """Distinct addresses for the members of a fleet."""
    return [f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7946" for number in range(members)]


def settled_fleet(way: str, members: int, seed: int) -> Fleet:
    """A fleet whose members all know each other, as after running for hours."""
    peers, member_type = addresses(members), WAYS[way]

    def make(number: int, incarnation: int, random: Random, now: int) -> SimulatedMember:
        return member_type(peers, number, incarnation, random, now)

    fleet = Fleet(members, seed, make)
    fleet.start_all(SECOND).run(SECOND)
    for process in fleet.processes:
        mark_all_known(process.member, members)
    fleet.run(SETTLE_TIME)
    fleet.verdicts.clear()
    return fleet


def mark_all_known(member: SimulatedMember, members: int) -> None:
    """Set all unknown members as alive in a member's view."""
    for other in range(members):
        if not member.view.is_known(other):
            member.view.set_state(other, 1, State.ALIVE)


def seconds(span: int | None) -> float:
    """Convert tenths of a millisecond to seconds; None becomes -1."""
    return -1.0 if span is None else span / SECOND


def kill(fleet: Fleet, machine: bool) -> tuple[int | None, int | None]:
    """One process, or its whole machine, ends."""
    fleet.kill(3, machine)
    return fleet.run_until_agreed([3], State.DEAD, AGREEMENT_TIMEOUT), None


def pauses(fleet: Fleet) -> tuple[int | None, int | None]:
    """Four members are paused, the longest for 5 s."""
    for number, span in enumerate(PAUSES):
        fleet.pause(number, span)
    fleet.run(fleet.now + 20 * SECOND)
    return None, None


def long_pause(fleet: Fleet, span: int) -> tuple[int | None, int | None]:
    """One member is paused for longer than is tolerated, and resumes."""
    others = [number for number in range(fleet.count) if number != 3]
    fleet.pause(3, span)
    began = fleet.now
    agreed = fleet.run_until_agreed([3], State.DEAD, span - SECOND, by=others)
    fleet.run(began + span)
    return agreed, fleet.run_until_agreed(list(range(fleet.count)), State.ALIVE, AGREEMENT_TIMEOUT)


def loss(fleet: Fleet, share: float, span: int) -> tuple[int | None, int | None]:
    """Datagrams are lost, duplicated and delayed for a while."""
    fleet.network.conditions = Conditions(share, share, share)
    fleet.run(fleet.now + span)
    return None, None


def cut(fleet: Fleet, parts: list[list[int]], span: int) -> tuple[int | None, int | None]:
    """A network partition into these parts."""
    part_of = {number: part for part, members in enumerate(parts) for number in members}
    fleet.network.cuts.append(lambda sender, receiver: part_of[sender] != part_of[receiver])
    began, agreed = fleet.now, None
    while fleet.now < began + span:
        fleet.run(fleet.now + SECOND // 2)
        if agreed is None and all(
            fleet.all_hold([n for n in range(fleet.count) if part_of[n] != part], State.DEAD, by=members)
            for part, members in enumerate(parts)
        ):
            agreed = fleet.now - began
    fleet.network.cuts.clear()
    return agreed, fleet.run_until_agreed(list(range(fleet.count)), State.ALIVE, AGREEMENT_TIMEOUT)


def kill_share(fleet: Fleet, share: float) -> tuple[int | None, int | None]:
    """A share of the machines fails at the same time, and later returns at the same time."""
    lost = list(range(int(fleet.count * share)))
    for number in lost:
        fleet.kill(number, machine=True)
    agreed = fleet.run_until_agreed(lost, State.DEAD, AGREEMENT_TIMEOUT, step=SECOND // 2)
    for number in lost:
        fleet.start(number)
    return agreed, fleet.run_until_agreed(
        list(range(fleet.count)), State.ALIVE, AGREEMENT_TIMEOUT, step=SECOND // 2
    )


def halves(fleet: Fleet) -> list[list[int]]:
    """Two halves of the fleet."""
    middle = fleet.count // 2
    return [list(range(middle)), list(range(middle, fleet.count))]


def zone_and_others(fleet: Fleet) -> list[list[int]]:
    """A seventh of the fleet, and the others."""
    size = max(2, fleet.count // 7)
    return [list(range(size)), list(range(size, fleet.count))]


CELLS: dict[str, Callable[[Fleet], tuple[int | None, int | None]]] = {
    "kill": lambda fleet: kill(fleet, False),
    "machine": lambda fleet: kill(fleet, True),
    "pauses": pauses,
    "pause-20s": lambda fleet: long_pause(fleet, 20 * SECOND),
    "loss-10": lambda fleet: loss(fleet, 0.1, 60 * SECOND),
    "loss-20": lambda fleet: loss(fleet, 0.2, 60 * SECOND),
    "loss-30": lambda fleet: loss(fleet, 0.3, 60 * SECOND),
    "halves": lambda fleet: cut(fleet, halves(fleet), 30 * SECOND),
    "zone-off": lambda fleet: cut(fleet, zone_and_others(fleet), 30 * SECOND),
    "third-gone": lambda fleet: kill_share(fleet, 1 / 3),
    "rest": lambda fleet: (None, fleet.run(fleet.now + 20 * SECOND) and None),
}


def play(cell: str, way: str, members: int, seed: int) -> Outcome:
    """Run one cell. Raises InvariantError if an invariant does not hold."""
    fleet = settled_fleet(way, members, seed)
    began, processor = fleet.now, time.process_time()
    agreed, healed = CELLS[cell](fleet)
    spent = (time.process_time() - processor) / members / ((fleet.now - began) / SECOND)
    fleet.run((fleet.now // WINDOW + 1) * WINDOW)
    loads = fleet.bytes_per_second(began, fleet.now)
    wrong = sum(verdict.wrong for verdict in fleet.verdicts)
    return Outcome(
        cell,
        way,
        members,
        seed,
        seconds(agreed),
        seconds(healed),
        wrong,
        max(loads),
        sum(loads) / len(loads),
        spent,
        (fleet.now - began) / SECOND,
    )


def memory_per_member(way: str, members: int) -> int:
    """Memory of one member that knows all others, in bytes."""
    peers = addresses(members)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    member = WAYS[way](peers, 0, 1, Random(1), 0)
    mark_all_known(member, members)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size
