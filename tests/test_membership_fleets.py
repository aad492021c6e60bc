"""Short runs of fleets on a virtual clock: faults by seed, with invariants checked at each event."""

import pytest

from limelatch.interface import SECOND
from limelatch.lab.membership.cells import mark_all_known
from limelatch.lab.membership.fleet import WINDOW, InvariantError, Fleet
from limelatch.lab.membership.network import Conditions
from limelatch.membership.member import Member
from limelatch.membership.messages import IsolationChanged, Isolation, MemberChanged, State

SEEDS = (1, 2, 3)
SETTLED = 12 * SECOND
EACH = pytest.mark.parametrize("seed", SEEDS)
SIZES = pytest.mark.parametrize("count", [10, 40])
MAX_BYTES_PER_SECOND = 3000  # of one member


def fleet(count, seed, stored=True, all_know=False):
    """A running fleet whose members know each other, with `all_know` from the start."""
    peers = [f"10.0.{number // 250}.{number % 250}:7946" for number in range(count)]
    made = Fleet(
        count,
        seed,
        lambda number, incarnation, random, now: Member(peers, number, incarnation, random, now),
        stored,
    )
    made.start_all().run(2 * SECOND)
    for process in made.processes if all_know else ():
        mark_all_known(process.member, count)
    made.run(SETTLED)
    assert made.all_hold(list(range(count)), State.ALIVE)
    return made


def wrong(run):
    """The wrong declarations as dead in a run."""
    return [verdict for verdict in run.verdicts if verdict.wrong]


@EACH
@SIZES
def test_a_killed_process_is_dead_in_all_views_in_time(count, seed):
    run = fleet(count, seed)
    run.kill(3)
    assert run.run_until_agreed([3], State.DEAD, 5 * SECOND if count == 10 else 12 * SECOND)
    run.kill(5, machine=True)  # then no kernel refuses datagrams
    assert run.run_until_agreed([5], State.DEAD, 12 * SECOND)
    assert {verdict.on for verdict in run.verdicts} == {3, 5} and not wrong(run)


@EACH
@SIZES
def test_tolerated_pauses_declare_nobody_dead(count, seed):
    run = fleet(count, seed)
    for number, span in enumerate((5, 10, 20, 50)):  # tenths of a second
        run.pause(number, span * SECOND // 10)
    run.run(run.now + 20 * SECOND)
    assert run.verdicts == [] and run.all_hold(list(range(count)), State.ALIVE)


@EACH
@pytest.mark.parametrize("seconds", [20, 60])
def test_a_member_paused_for_longer_is_dead_and_refutes_it_soon_after_resuming(seed, seconds):
    run = fleet(20, seed)
    run.pause(3, seconds * SECOND)
    assert run.run_until_agreed([3], State.DEAD, seconds * SECOND, by=[n for n in range(20) if n != 3])
    while run.processes[3].paused:
        run.run(run.now + SECOND // 10)
    assert run.run_until_agreed(list(range(20)), State.ALIVE, 5 * SECOND)
    assert {verdict.on for verdict in run.verdicts} == {3} and not wrong(run)


@EACH
@SIZES
@pytest.mark.parametrize("share", [0.05, 0.1])
def test_lost_duplicated_and_delayed_datagrams_declare_nobody_dead(count, seed, share):
    run = fleet(count, seed)
    run.network.conditions = Conditions(lost=share, duplicated=share, delayed=share)
    run.run(run.now + 120 * SECOND)
    assert run.verdicts == []
    run.network.conditions = Conditions()
    run.run(run.now + 15 * SECOND)
    assert run.all_hold(list(range(count)), State.ALIVE)


@EACH
def test_one_link_cut_in_one_direction_declares_nobody_dead(seed):
    run = fleet(10, seed)
    run.network.cuts.append(lambda sender, receiver: (sender, receiver) == (3, 4))
    run.run(run.now + 60 * SECOND)
    assert run.verdicts == [] and not any(each.isolated for each in run.processes)


@EACH
@pytest.mark.parametrize("count", [4, 5, 8, 20])
@pytest.mark.parametrize("mute, why", [(True, Isolation.UNANSWERED), (False, Isolation.DEAF)])
def test_a_mute_or_deaf_member_is_dead_in_other_views_and_isolated_and_declares_nobody_dead(
    count, seed, mute, why
):
    run = fleet(count, seed)
    events = []
    check = run._check
    run._check = lambda number, event: (events.append((number, event)), check(number, event))
    run.network.cuts.append(lambda sender, receiver: (sender if mute else receiver) == 3)
    others = [number for number in range(count) if number != 3]
    assert run.run_until_agreed([3], State.DEAD, 15 * SECOND, by=others)
    run.run(run.now + 30 * SECOND)
    reasons = [event.why for number, event in events if number == 3 and isinstance(event, IsolationChanged)]
    assert reasons == [why] and {verdict.by for verdict in run.verdicts} <= set(others)
    run.network.cuts.clear()
    assert run.run_until_agreed(list(range(count)), State.ALIVE, 15 * SECOND)
    run.run(run.now + SECOND)  # it is checked at the next tick
    assert not run.processes[3].isolated and not wrong(run)


@EACH
@pytest.mark.parametrize("parts", [2, 3])
def test_each_side_of_a_partition_agrees_and_all_agree_after_it_within_the_byte_budget(seed, parts):
    count = 30
    run = fleet(count, seed)
    began = run.now
    run.network.cuts.append(lambda sender, receiver: sender % parts != receiver % parts)
    sides = [[number for number in range(count) if number % parts == part] for part in range(parts)]
    others = [[number for number in range(count) if number % parts != part] for part in range(parts)]
    run.run(run.now + 15 * SECOND)
    assert all(run.all_hold(away, State.DEAD, by=side) for side, away in zip(sides, others, strict=True))
    run.network.cuts.clear()
    assert run.run_until_agreed(list(range(count)), State.ALIVE, 15 * SECOND)
    run.run(run.now + 10 * SECOND)
    assert max(run.bytes_per_second(began, run.now)) < MAX_BYTES_PER_SECOND and not wrong(run)


@EACH
def test_a_third_of_the_machines_failing_at_once_is_detected_and_so_is_its_return(seed):
    run = fleet(30, seed)
    began, lost = run.now, list(range(10))
    for number in lost:
        run.kill(number, machine=True)
    assert run.run_until_agreed(lost, State.DEAD, 15 * SECOND)
    for number in lost:
        run.start(number)
    assert run.run_until_agreed(lost, State.ALIVE, 15 * SECOND)
    run.run(run.now + 10 * SECOND)
    assert max(run.bytes_per_second(began, run.now)) < MAX_BYTES_PER_SECOND and not wrong(run)


@EACH
@pytest.mark.parametrize("stored", [True, False])
def test_a_restarted_process_gets_a_higher_incarnation(seed, stored):
    run = fleet(10, seed, stored=stored)
    before = run.processes[3].member.incarnation
    run.kill(3)
    run.run(run.now + SECOND)
    run.start(3)
    run.run(run.now + 10 * SECOND)
    after = run.processes[3].member.incarnation
    assert after > before and run.all_hold(list(range(10)), State.ALIVE)
    assert all(run.processes[number].member.view.incarnations[3] == after for number in range(10))


@EACH
def test_a_newly_started_member_soon_knows_all_others_while_facts_are_queued(seed):
    """Guards against page requests that become rare once half of the members are known: with a request each
    10 s, learning 220 members took over 20 s."""
    count = 220
    run = fleet(count, seed, all_know=True)
    run.kill(3)
    run.run(run.now + 5 * SECOND)
    run.start(3)
    assert run.run_until_agreed(
        [number for number in range(count) if number != 3], State.ALIVE, 10 * SECOND, [3]
    )


@EACH
def test_a_clean_end_is_known_at_once_without_a_suspicion(seed):
    run = fleet(40, seed)
    run.end(3)
    assert run.run_until_agreed([3], State.LEFT, 3 * SECOND) and run.verdicts == []
    assert (3, 1) not in run.suspected


@EACH
def test_members_that_never_start_stay_unknown_and_the_others_work(seed):
    peers = [f"10.0.0.{number}:7946" for number in range(20)]
    run = Fleet(
        20, seed, lambda number, incarnation, random, now: Member(peers, number, incarnation, random, now)
    )
    for number in range(0, 20, 2):
        run.at(number, run.start, number)
    run.run(60 * SECOND)
    running, absent = list(range(0, 20, 2)), list(range(1, 20, 2))
    assert run.all_hold(running, State.ALIVE) and run.all_hold(absent, None) and run.verdicts == []
    run.kill(4, machine=True)
    assert run.run_until_agreed([4], State.DEAD, 15 * SECOND)


def test_the_same_seed_gives_the_same_run():
    runs = []
    for _ in range(2):
        run = fleet(10, 5)
        run.network.conditions = Conditions(lost=0.3, duplicated=0.1, delayed=0.2)
        run.kill(3)
        run.run(run.now + 30 * SECOND)
        runs.append((list(run.trace), run.verdicts, [each.bytes_by_window for each in run.processes]))
    assert runs[0] == runs[1]


def test_a_violated_invariant_ends_the_run_with_its_latest_events():
    run = fleet(10, 1)
    with pytest.raises(InvariantError) as error:
        run._check(2, MemberChanged(3, State.DEAD, 1, "unanswered"))
    assert "member 3 is dead at member 2 but was never suspected" in str(error.value)
    run.suspected.add((3, 1))
    run._check(2, IsolationChanged(Isolation.DEAF))
    with pytest.raises(InvariantError, match="declares a member dead while it is isolated"):
        run._check(2, MemberChanged(3, State.DEAD, 1, "unanswered"))


@EACH
def test_a_dead_member_is_probed_in_turns_so_that_its_address_is_not_flooded(seed):
    """Guards against every member probing the same dead one each second: 27 kB/s at its address with 700
    members."""
    run = fleet(40, seed)
    run.kill(3, machine=True)
    assert run.run_until_agreed([3], State.DEAD, 15 * SECOND)
    run.run((run.now // WINDOW + 1) * WINDOW)
    window = run.now // WINDOW
    run.run(run.now + WINDOW)
    probes_per_second = run.processes[3].bytes_by_window.get(window, 0) * SECOND / WINDOW / 60
    assert 0.5 < probes_per_second < 6
