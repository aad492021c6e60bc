"""What the process holds, as it is measured and logged."""

import logging
from types import SimpleNamespace

import pytest
from test_crossings import RunningReactor

from limelatch.interface import SECOND
from limelatch.logs import LimitedLog, logger
from limelatch.memory_trim import MAX_TRIM_INTERVAL, TrimSchedule
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.process_memory import ProcessMemory, parse_status, process_memory
from limelatch.relay.resource_monitor import Holdings, ResourceMonitor

STATUS = b"""Name:\tpython
VmHWM:\t  36000 kB
VmRSS:\t  35000 kB
RssAnon:\t 24000 kB
RssShmem:\t    4 kB
Threads:\t1
"""
MB = 1_000_000
HOLDINGS = Holdings(clients=3, open_clients=4, client_bytes=5, texts=6, text_bytes=7, calls=8)


def test_the_kernel_s_sizes_are_read_in_bytes():
    memory = parse_status(STATUS)
    assert memory == ProcessMemory(35000 * 1024, 36000 * 1024, 24000 * 1024, 4096)
    assert memory.private == 24004 * 1024


def test_this_process_has_resident_memory_and_a_missing_file_has_none(tmp_path):
    assert 0 < process_memory().private <= process_memory().resident <= process_memory().peak
    assert process_memory(str(tmp_path / "missing")) == ProcessMemory()


@pytest.fixture
def lines(caplog):
    caplog.set_level(logging.INFO, logger="limelatch.driver")
    return lambda: [record.pairs for record in caplog.records if record.msg == "resources"]


@pytest.mark.parametrize(("resident", "state", "count"), [(50, "ok", 3), (90, "high", 31)])
def test_resources_are_logged_each_10_seconds_and_each_second_near_the_limit(lines, resident, state, count):
    clock = RunningReactor()
    monitor = ResourceMonitor(
        Deadlines(clock, clock), 100 * MB, lambda: HOLDINGS, lambda: ProcessMemory(resident * MB)
    )
    monitor.start()
    clock.pump([0.25] * 120)
    assert abs(len(lines()) - count) <= 1
    assert all(line["memory"] == state and line["resident_mb"] == resident for line in lines())
    assert lines()[0]["open"] == 4 and lines()[0]["calls"] == 8


def test_the_longest_delay_of_a_timer_is_told_once():
    clock = RunningReactor()
    deadlines = Deadlines(clock, clock)
    deadlines.after(SECOND // 10, lambda: None)
    clock.advance(0.5)
    assert deadlines.take_max_delay() == pytest.approx(4 * SECOND // 10, abs=2)
    assert deadlines.take_max_delay() == 0


def test_lines_are_limited_by_reason_and_each_reason_tells_its_own_count(caplog):
    clock = SimpleNamespace(now=lambda: now[0])
    now, limited = (
        [SECOND],
        LimitedLog(logger("clients"), clock, max_per_second=2, by_reason=("client-ended",)),
    )
    caplog.set_level(logging.INFO, logger="limelatch.clients")
    for _ in range(9):
        limited("client-ended", why="silent")
    limited("client-ended", why="memory")
    now[0] += SECOND
    limited("client-ended", why="memory")
    limited("client-ended", why="silent")
    assert [record.pairs for record in caplog.records] == [
        {"why": "silent"},
        {"why": "silent"},
        {"why": "memory"},
        {"why": "memory"},
        {"why": "silent", "left_out": 7},
    ]


def test_free_memory_is_looked_for_above_rest_and_less_often_while_there_is_none():
    schedule, now, trims = TrimSchedule(rest=36 * MB), 0, []
    assert not schedule.is_due(now, 39 * MB)
    for _ in range(4 * 300):
        now += SECOND // 4
        if schedule.is_due(now, 50 * MB):
            trims.append(now)
            schedule.trimmed(now, 50 * MB, 50 * MB)
    gaps = [after - before for before, after in zip(trims, trims[1:], strict=False)]
    assert gaps[0] <= 4 * SECOND and gaps == sorted(gaps) and gaps[-1] == MAX_TRIM_INTERVAL
    assert schedule.is_due(now + 2 * SECOND, 52 * MB)  # it has grown since


def test_a_process_that_has_grown_gives_freed_memory_back():
    clock, sizes, trims = RunningReactor(), [36 * MB], []

    def trim():
        trims.append(clock.now())
        sizes[0] = 38 * MB

    monitor = ResourceMonitor(
        Deadlines(clock, clock), 100 * MB, lambda: HOLDINGS, lambda: ProcessMemory(sizes[0]), trim
    )
    monitor.start()
    clock.pump([0.25] * 20)
    assert not trims
    sizes[0] = 60 * MB
    clock.pump([0.25] * 20)
    assert len(trims) == 1 and monitor.memory.resident == 38 * MB


def test_lines_of_other_events_are_limited_by_the_event_alone(caplog):
    limited = LimitedLog(logger("clients"), SimpleNamespace(now=lambda: SECOND), max_per_second=2)
    caplog.set_level(logging.INFO, logger="limelatch.clients")
    for number in range(9):
        limited("command-bad", why=f"reason {number}")
    assert len(caplog.records) == 2
