"""Fleets of members on a virtual clock, short: the faults by seed, invariants checked at every step."""

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
BYTES_MOST = 3000


def fleet(count, seed, stored=True, all_know=False):
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


def wrong(one):
    return [verdict for verdict in one.verdicts if verdict.wrong]


@EACH
@SIZES
def test_a_process_that_is_gone_is_dead_in_every_view_in_time(count, seed):
    one = fleet(count, seed)
    one.kill(3)
    assert one.run_until_agreed([3], State.DEAD, 5 * SECOND if count == 10 else 12 * SECOND)
    one.kill(5, machine=True)  # nothing refuses then
    assert one.run_until_agreed([5], State.DEAD, 12 * SECOND)
    assert {verdict.on for verdict in one.verdicts} == {3, 5} and not wrong(one)


@EACH
@SIZES
def test_pauses_that_are_to_be_borne_are_no_verdict(count, seed):
    one = fleet(count, seed)
    for number, span in enumerate((5, 10, 20, 50)):  # tenths of a second
        one.pause(number, span * SECOND // 10)
    one.run(one.now + 20 * SECOND)
    assert one.verdicts == [] and one.all_hold(list(range(count)), State.ALIVE)


@EACH
@pytest.mark.parametrize("seconds", [20, 60])
def test_a_longer_pause_is_dead_and_refuted_soon_after_waking(seed, seconds):
    one = fleet(20, seed)
    one.pause(3, seconds * SECOND)
    assert one.run_until_agreed([3], State.DEAD, seconds * SECOND, by=[n for n in range(20) if n != 3])
    while one.processes[3].paused:
        one.run(one.now + SECOND // 10)
    assert one.run_until_agreed(list(range(20)), State.ALIVE, 5 * SECOND)
    assert {verdict.on for verdict in one.verdicts} == {3} and not wrong(one)


@EACH
@SIZES
@pytest.mark.parametrize("share", [0.05, 0.1])
def test_lost_doubled_and_late_datagrams_are_no_verdict(count, seed, share):
    one = fleet(count, seed)
    one.network.conditions = Conditions(lost=share, duplicated=share, delayed=share)
    one.run(one.now + 120 * SECOND)
    assert one.verdicts == []
    one.network.conditions = Conditions()
    one.run(one.now + 15 * SECOND)
    assert one.all_hold(list(range(count)), State.ALIVE)


@EACH
def test_one_link_cut_in_one_direction_is_no_verdict(seed):
    one = fleet(10, seed)
    one.network.cuts.append(lambda sender, receiver: (sender, receiver) == (3, 4))
    one.run(one.now + 60 * SECOND)
    assert one.verdicts == [] and not any(each.isolated for each in one.processes)


@EACH
@pytest.mark.parametrize("count", [4, 5, 8, 20])
@pytest.mark.parametrize("mute, why", [(True, Isolation.UNANSWERED), (False, Isolation.DEAF)])
def test_a_mute_or_deaf_member_is_dead_to_others_knows_it_and_judges_nobody(count, seed, mute, why):
    one = fleet(count, seed)
    told = []
    check = one._check
    one._check = lambda number, event: (told.append((number, event)), check(number, event))
    one.network.cuts.append(lambda sender, receiver: (sender if mute else receiver) == 3)
    others = [number for number in range(count) if number != 3]
    assert one.run_until_agreed([3], State.DEAD, 15 * SECOND, by=others)
    one.run(one.now + 30 * SECOND)
    reasons = [event.why for number, event in told if number == 3 and isinstance(event, IsolationChanged)]
    assert reasons == [why] and {verdict.by for verdict in one.verdicts} <= set(others)
    one.network.cuts.clear()
    assert one.run_until_agreed(list(range(count)), State.ALIVE, 15 * SECOND)
    one.run(one.now + SECOND)  # it looks at its next tick
    assert not one.processes[3].isolated and not wrong(one)


@EACH
@pytest.mark.parametrize("parts", [2, 3])
def test_each_side_of_a_cut_agrees_and_all_agree_after_it_without_a_storm(seed, parts):
    count = 30
    one = fleet(count, seed)
    began = one.now
    one.network.cuts.append(lambda sender, receiver: sender % parts != receiver % parts)
    sides = [[number for number in range(count) if number % parts == part] for part in range(parts)]
    others = [[number for number in range(count) if number % parts != part] for part in range(parts)]
    one.run(one.now + 15 * SECOND)
    assert all(one.all_hold(away, State.DEAD, by=side) for side, away in zip(sides, others, strict=True))
    one.network.cuts.clear()
    assert one.run_until_agreed(list(range(count)), State.ALIVE, 15 * SECOND)
    one.run(one.now + 10 * SECOND)
    assert max(one.bytes_per_second(began, one.now)) < BYTES_MOST and not wrong(one)


@EACH
def test_a_third_that_goes_at_once_is_found_and_its_return_too(seed):
    one = fleet(30, seed)
    began, lost = one.now, list(range(10))
    for number in lost:
        one.kill(number, machine=True)
    assert one.run_until_agreed(lost, State.DEAD, 15 * SECOND)
    for number in lost:
        one.start(number)
    assert one.run_until_agreed(lost, State.ALIVE, 15 * SECOND)
    one.run(one.now + 10 * SECOND)
    assert max(one.bytes_per_second(began, one.now)) < BYTES_MOST and not wrong(one)


@EACH
@pytest.mark.parametrize("stored", [True, False])
def test_a_restarted_process_is_told_apart_from_its_earlier_one(seed, stored):
    one = fleet(10, seed, stored=stored)
    before = one.processes[3].member.incarnation
    one.kill(3)
    one.run(one.now + SECOND)
    one.start(3)
    one.run(one.now + 10 * SECOND)
    after = one.processes[3].member.incarnation
    assert after > before and one.all_hold(list(range(10)), State.ALIVE)
    assert all(one.processes[number].member.view.incarnations[3] == after for number in range(10))


@EACH
def test_a_member_just_started_knows_all_others_soon_though_there_is_news(seed):
    """It asked for pages once in ten seconds as soon as it knew half: 220 others took it over 20 s."""
    count = 220
    one = fleet(count, seed, all_know=True)
    one.kill(3)
    one.run(one.now + 5 * SECOND)
    one.start(3)
    assert one.run_until_agreed(
        [number for number in range(count) if number != 3], State.ALIVE, 10 * SECOND, [3]
    )


@EACH
def test_a_clean_end_is_taken_at_once_with_no_suspicion(seed):
    one = fleet(40, seed)
    one.end(3)
    assert one.run_until_agreed([3], State.LEFT, 3 * SECOND) and one.verdicts == []
    assert (3, 1) not in one.suspected


@EACH
def test_members_that_do_not_speak_are_unknown_and_the_others_work(seed):
    peers = [f"10.0.0.{number}:7946" for number in range(20)]
    one = Fleet(
        20, seed, lambda number, incarnation, random, now: Member(peers, number, incarnation, random, now)
    )
    for number in range(0, 20, 2):
        one.at(number, one.start, number)
    one.run(60 * SECOND)
    speaking, silent = list(range(0, 20, 2)), list(range(1, 20, 2))
    assert one.all_hold(speaking, State.ALIVE) and one.all_hold(silent, None) and one.verdicts == []
    one.kill(4, machine=True)
    assert one.run_until_agreed([4], State.DEAD, 15 * SECOND)


def test_the_same_seed_gives_the_same_run():
    runs = []
    for _ in range(2):
        one = fleet(10, 5)
        one.network.conditions = Conditions(lost=0.3, duplicated=0.1, delayed=0.2)
        one.kill(3)
        one.run(one.now + 30 * SECOND)
        runs.append((list(one.trace), one.verdicts, [each.bytes_by_window for each in one.processes]))
    assert runs[0] == runs[1]


def test_a_broken_invariant_ends_the_run_with_its_last_events():
    one = fleet(10, 1)
    with pytest.raises(InvariantError) as error:
        one._check(2, MemberChanged(3, State.DEAD, 1, "unanswered"))
    assert "member 3 is dead to 2 and was suspect to nobody" in str(error.value)
    one.suspected.add((3, 1))
    one._check(2, IsolationChanged(Isolation.DEAF))
    with pytest.raises(InvariantError, match="gives a verdict while it is isolated"):
        one._check(2, MemberChanged(3, State.DEAD, 1, "unanswered"))


@EACH
def test_one_that_is_dead_is_tried_by_turns_and_its_address_is_not_flooded(seed):
    """Every member tried the only dead one each second: 27 kB/s at the address of one of 700."""
    one = fleet(40, seed)
    one.kill(3, machine=True)
    assert one.run_until_agreed([3], State.DEAD, 15 * SECOND)
    one.run((one.now // WINDOW + 1) * WINDOW)
    window = one.now // WINDOW
    one.run(one.now + WINDOW)
    tries_a_second = one.processes[3].bytes_by_window.get(window, 0) * SECOND / WINDOW / 60
    assert 0.5 < tries_a_second < 6
