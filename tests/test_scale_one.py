"""The measurement of one relay by size, in its small form: a real process, counts alone and no times."""

import asyncio
import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from limelatch.command import USAGE_ERROR, main
from limelatch.lab.scale import one, process
from limelatch.lab.scale import session as session_module
from limelatch.lab.scale.partners import row_of
from limelatch.lab.scale.process import NotServing
from limelatch.lab.scale.results import Point, load
from limelatch.lab.scale.session import Session

TREE = Path(__file__).parent.parent
COUNT = 300  # destinations
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_LINE = b"1\r\n\n\r\n"


def chunk(size: int) -> int:
    """Bytes on the wire of a chunk of so many."""
    return size + len(b"%x\r\n\r\n" % size)


def beside_empty_lines(sent: int, expected: int) -> bool:
    """Whether only empty lines, one every 2 s, came to what was expected; few, in a test of seconds."""
    lines, rest = divmod(sent - expected, len(EMPTY_LINE))
    return rest == 0 and 0 <= lines <= 15


def test_a_relay_over_hundreds_asks_once_and_delivers_what_it_took_on():
    async def play() -> None:
        async with Session(TREE, range(1, COUNT + 1)) as session:
            await session.serve(30.0)
            whole = len(session.list.list_bytes())
            assert (session.list.whole, session.list.watched) == (1, 1)
            assert session.delivered() == session.here.calls == 3  # first, middle, last
            heads = len(ANSWER_HEAD % whole) + len(WATCH_HEAD)
            assert beside_empty_lines(session.control.sent, heads + whole)

            # One change costs its own bytes, is in force for the next text, and no list is asked for again.
            asked, sent = session.control.received, session.control.sent
            told = session.move([7])
            row = len(row_of(8, session.servers[1].address))
            assert told == chunk(len(b'{"index":2,"snapshot":false,"endpoints":[') + row + len(b"]}\n"))
            assert await session.in_force([7]) == 1
            assert beside_empty_lines(session.control.sent - sent, told)

            # A burst, and a whole new list on the watch.
            session.move(list(range(100, 200)))
            assert await session.in_force([100, 150, 199]) == 3
            assert session.relist([7, 250]) == chunk(len(session.list.list_bytes()))
            assert await session.in_force([7, 250]) == 2
            assert session.control.received == asked
            assert (session.list.whole, session.list.watched, session.list.notices) == (1, 1, 0)

            # Idle ones woken at once: each text once, at the host where it belongs.
            calls = session.here.calls + session.moved.calls
            said, came = await session.wake(session.numbers[20:220], 30.0)
            assert said == {"+OK": 200} and came == 200
            assert session.here.calls + session.moved.calls == calls + 200

    asyncio.run(play())


def test_texts_for_shut_destinations_are_held_and_others_go_past_them():
    async def play() -> None:
        async with Session(TREE, range(1, 17), range(17, 37)) as session:
            await session.serve(30.0, probes=[1])
            assert await session.hold(60) == {"+OK": 60}
            assert await session.steady(session.numbers * 2, 100.0) == 32
            assert session.shut.calls == 20  # one each: its answer told to wait, and it was waited
            assert (session.list.notices, session.delivered()) == (0, 33)

    asyncio.run(play())


def test_texts_go_past_destinations_that_refuse_connections():
    async def play() -> None:
        async with Session(TREE, range(1, 17), down=range(17, 37)) as session:
            await session.serve(30.0, probes=[1])
            assert (await session.wake(session.down_ones, 0.0))[0] == {"+OK": 20}
            assert await session.steady(session.numbers, 100.0) == 16
            assert session.delivered() == session.here.calls == 17

    asyncio.run(play())


def test_a_trickling_list_is_read_and_one_that_never_comes_is_said():
    async def play() -> None:
        async with Session(TREE, range(1, COUNT + 1), trickle=0.5) as session:
            await session.serve(30.0)
            assert (session.list.whole, session.list.whole_sent, session.delivered()) == (1, 1, 3)
        async with Session(TREE, range(1, COUNT + 1), trickle=600.0) as session:
            with pytest.raises(NotServing, match="delivered 0 of 3"):
                await session.serve(2.5)

    asyncio.run(play())


def test_a_measurement_gives_every_run_of_every_scenario_a_value(monkeypatch):
    short = {
        "REST": 0.2,
        "STEADY": 16,
        "CHANGES_MORE": 20,
        "CHANGE_EACH": 0.01,
        "DOWN": (5,),
        "BACKLOG": (50,),
    }
    for name, value in short.items():
        monkeypatch.setattr(one, name, value)
    monkeypatch.setattr(session_module, "IDLE_TIME", 0.05)
    monkeypatch.setattr(process, "CALM_LOOK", 0.1)
    kept: list[int] = []
    scenarios = "start", "rest", "change", "list", "wake", "beside", "backlog"
    points = asyncio.run(
        one.measure(TREE, [COUNT], 1, scenarios, lambda line: None, lambda points: kept.append(len(points)))
    )
    counts = {(each.scenario, each.measure): each.values for each in points}
    assert counts["change", "in force"] == counts["change", "in force at work"] == [20.0]
    assert (counts["list", "in force"], counts["list", "whole lists asked for"]) == ([1.0], [0.0])
    assert counts["wake", "delivered"] == [COUNT / 2]
    assert counts["beside", "delivered"] == counts["backlog", "delivered"] == [16.0]
    assert (counts["beside", "held"], counts["backlog", "held"]) == ([5.0], [50.0])
    assert {len(each.values) for each in points} == {1} and kept == [len(points)]
    assert {each.scenario for each in points} == set(scenarios)


def test_what_the_program_does_not_do_is_a_point_without_values(monkeypatch):
    monkeypatch.setattr(one, "NUMBERS", (10_000_000_000,))  # of more digits than a command takes
    monkeypatch.setattr(session_module, "REFUSED_LONG", 0.3)
    points = asyncio.run(one.measure(TREE, [40], 1, ("walls",), lambda line: None, lambda points: None))
    number, listed = sorted(points, key=lambda each: each.x, reverse=True)
    assert (number.axis, number.values) == (one.NUMBER, [])
    assert "10000000000: -ERR" in number.note and "delivered 1 of 2" in number.note
    assert (listed.axis, len(listed.values)) == (one.DESTINATIONS, 1)


def test_the_command_stores_points_beside_those_of_other_scenarios(tmp_path, monkeypatch):
    out = tmp_path / "results" / "relay.json"

    async def measured(tree, sizes, runs, scenarios, progress, keep, other):
        keep(points := [Point(scenarios[0], "memory", "MB", one.DESTINATIONS, float(sizes[0]), [1.0] * runs)])
        return points

    def command(*words: str) -> int:
        return (
            CliRunner()
            .invoke(
                main, ["lab", "scale", "relay", "--tree", str(TREE), "--out", str(out), "--quiet", *words]
            )
            .exit_code
        )

    monkeypatch.setattr(one, "measure", measured)
    assert command("--scenarios", "start", "--sizes", "200") == 0
    assert command("--scenarios", "rest", "--sizes", "300", "--runs", "2") == 0
    assert command("--scenarios", "rest", "--sizes", "300", "--runs", "3") == 0
    results = load(out)
    assert [(each.scenario, each.x, len(each.values)) for each in results.points] == [
        ("start", 200.0, 1),
        ("rest", 300.0, 3),
    ]
    assert results.command.count("; ") == 2 and str(tmp_path) not in out.read_text()
    before = out.read_bytes()
    assert (
        command("--scenarios", "rest", "--subject", "another") == USAGE_ERROR and out.read_bytes() == before
    )
    assert command("--scenarios", "nonsense") == USAGE_ERROR and command("--sizes", "39") == USAGE_ERROR
    assert command("--scenarios", "pair") == USAGE_ERROR  # against what?
    assert json.loads(before)["subject"] == "this tree"
