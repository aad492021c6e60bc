"""How a new process resumes the timeline from the anchor of the previous one, and who may read the clocks."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

import limelatch
from limelatch.interface import SECOND
from limelatch.relay.anchor_file import ANCHOR_FILE, AnchorFile
from limelatch.relay.clock import (
    Anchor,
    AnchorError,
    ClockReading,
    Resumption,
    resume_after_bad_anchor,
    resume_timeline,
)

UPTIME = 5_000 * SECOND
WALL = 1_700_000_000 * SECOND
HOUR = 3600 * SECOND
STEPS = [-HOUR, -60 * SECOND, -3 * SECOND, -SECOND // 2, 0, SECOND // 2, 3 * SECOND, 60 * SECOND, HOUR]
BEFORE = ClockReading("boot-1", UPTIME, WALL)


def anchor_at(reading, timeline, wall_ahead=0):
    """The anchor that a process with this timeline saves at that moment."""
    return Anchor(reading.boot, reading.monotonic, timeline.offset, wall_ahead, timeline.certain_from)


def now(timeline, reading):
    return reading.monotonic + timeline.offset


def test_a_first_start_takes_the_time_of_the_wall_clock():
    first = resume_timeline(None, BEFORE)
    assert (now(first, BEFORE), first.certain_from, first.resumption) == (WALL, 0, Resumption.FIRST)


@pytest.mark.parametrize("step", STEPS)
def test_on_the_same_boot_the_timeline_follows_the_monotonic_clock_only(step):
    first = resume_timeline(None, BEFORE)
    later = ClockReading("boot-1", UPTIME + 7 * SECOND, WALL + 7 * SECOND + step)
    found = resume_timeline(anchor_at(BEFORE, first), later)
    assert now(found, later) == WALL + 7 * SECOND
    assert (found.certain_from, found.resumption) == (0, Resumption.SAME_BOOT)


@pytest.mark.parametrize("step", STEPS)
def test_after_a_reboot_the_timeline_follows_the_wall_clock_less_its_known_lead(step):
    """The wall clock was stepped before the reboot, and the step was recorded in the anchor."""
    first = resume_timeline(None, BEFORE)
    later = ClockReading("boot-2", 20 * SECOND, WALL + 90 * SECOND + step)
    found = resume_timeline(anchor_at(BEFORE, first, wall_ahead=step), later)
    assert now(found, later) == WALL + 90 * SECOND
    assert (found.certain_from, found.resumption) == (WALL + 90 * SECOND, Resumption.OTHER_BOOT)


def test_after_a_reboot_the_timeline_never_runs_back():
    first = resume_timeline(None, BEFORE)
    later = ClockReading("boot-2", 20 * SECOND, WALL - HOUR)
    found = resume_timeline(anchor_at(BEFORE, first), later)
    assert now(found, later) == WALL and found.certain_from == WALL


def test_uncertain_spans_stay_uncertain_over_another_restart():
    first = resume_timeline(None, BEFORE)
    rebooted = ClockReading("boot-2", 20 * SECOND, WALL + 90 * SECOND)
    second = resume_timeline(anchor_at(BEFORE, first), rebooted)
    again = ClockReading("boot-2", 21 * SECOND, WALL)
    third = resume_timeline(anchor_at(rebooted, second), again)
    assert third.resumption is Resumption.SAME_BOOT and third.certain_from == second.certain_from
    assert now(third, again) == WALL + 91 * SECOND


@pytest.mark.parametrize("boots", [("", ""), ("boot-1", ""), ("", "boot-1")])
def test_a_boot_without_an_identifier_counts_as_another_boot(boots):
    reading = ClockReading(boots[0], UPTIME, WALL)
    found = resume_timeline(
        anchor_at(reading, resume_timeline(None, reading)),
        ClockReading(boots[1], UPTIME + SECOND, WALL + SECOND),
    )
    assert found.resumption is Resumption.OTHER_BOOT


def test_a_monotonic_clock_behind_the_anchor_counts_as_another_boot():
    found = resume_timeline(
        anchor_at(BEFORE, resume_timeline(None, BEFORE)),
        ClockReading("boot-1", UPTIME - SECOND, WALL + SECOND),
    )
    assert found.resumption is Resumption.OTHER_BOOT


def test_a_saved_anchor_is_loaded_unchanged(tmp_path):
    file = AnchorFile(str(tmp_path))
    clock = file.load_clock()
    assert clock.resumption is Resumption.FIRST and file.save(clock)
    again = file.load_clock()
    assert again.resumption is Resumption.SAME_BOOT
    assert again.anchor().offset == clock.anchor().offset
    assert [each.name for each in tmp_path.iterdir()] == [ANCHOR_FILE]


@pytest.mark.parametrize(
    "content", [b"", b"{", b"{} 1\n", b'{"boot":"x"} 3\n', b"\xff\xfe 12\n", b"x" * 4096]
)
def test_an_invalid_anchor_makes_all_earlier_spans_uncertain(tmp_path, content):
    with pytest.raises(AnchorError):
        Anchor.decode(content)
    (tmp_path / ANCHOR_FILE).write_bytes(content)
    clock = AnchorFile(str(tmp_path)).load_clock()
    assert clock.resumption is Resumption.UNKNOWN
    assert 0 <= clock.now() - clock.certain_from < SECOND


def test_an_anchor_with_values_of_a_wrong_type_is_refused_despite_its_checksum():
    line = Anchor("boot-1", 1, 2, 3).encode().replace(b'"monotonic":1', b'"monotonic":"1"')
    with pytest.raises(AnchorError):
        Anchor.decode(line)
    assert resume_after_bad_anchor(BEFORE).certain_from == WALL


def test_the_error_of_an_unreadable_anchor_file_names_the_path(tmp_path):
    (tmp_path / ANCHOR_FILE).mkdir()
    with pytest.raises(OSError, match=ANCHOR_FILE):
        AnchorFile(str(tmp_path)).load_clock()


CLOCKS = {"time", "time_ns", "monotonic", "monotonic_ns", "perf_counter", "clock_gettime", "now", "utcnow"}
ALLOWED_MODULES = {"clock.py", "reactor.py"}


def clock_readings(path):
    """Uses of the standard library's clocks in a module."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            if node.value.id in ("time", "datetime") and node.attr in CLOCKS:
                yield f"{path.name}:{node.lineno} {node.value.id}.{node.attr}"
        if isinstance(node, ast.ImportFrom) and node.module in ("time", "twisted.internet"):
            names = {each.name for each in node.names} & (CLOCKS | {"reactor"})
            yield from (f"{path.name}:{node.lineno} {node.module}.{name}" for name in names)


def test_only_the_clock_and_the_reactor_read_the_machine_s_clocks():
    """Guards against relays that stall when the wall clock is stepped: in pre-production, spans were measured
    by the wall clock, or by a reactor that runs on it."""
    root = Path(limelatch.__file__).parent
    modules = [root / name for name in ("policy.py", "policy_state.py", "storage_gate.py", "logs.py")]
    modules += [*(root / "relay").glob("*.py"), *(root / "membership").glob("*.py")]
    found = [line for path in modules if path.name not in ALLOWED_MODULES for line in clock_readings(path)]
    assert found == []


def test_the_reactor_runs_on_the_monotonic_clock():
    """Runs in another process, because a process can install only one reactor."""
    program = (
        "from limelatch.relay.reactor import reactor; import time; print(reactor.seconds is time.monotonic)"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert done.stdout == "True\n", done.stderr
