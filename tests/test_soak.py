"""Tests of the soak: its plans, timelines, mutants and command, and a short soak of fixed seeds."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from limelatch.lab import record as rec
from limelatch.lab.bad_clients import Shape
from limelatch.lab.checker import Breach, Rule
from limelatch.lab.play import head_of
from limelatch.lab.soak import mutants, plan
from limelatch.lab.soak.plan import ACTION_WEIGHTS, DRAWN_FAULTS, MAX_PAUSE, draw_plan
from limelatch.lab.soak.run import HERE, error_lines
from limelatch.lab.soak.surplus import SurplusForm
from limelatch.lab.soak.timeline import timeline
from limelatch.lab.stages.real import ALLOWANCES, STAGE

ROOT = Path(__file__).parent.parent
SHORT_SEEDS = "7,19,23,29,32,37"  # plans with few relays and short validity periods: a minute in all
SHORT_SECONDS = 12
PLAY_TIMEOUT = 120  # seconds for a short soak
POLL_INTERVAL = 0.2  # seconds


def soak(*args, **options):
    """Run the command `limelatch lab soak` with these arguments and wait for its end."""
    return subprocess.run(
        [sys.executable, "-m", "limelatch", "lab", "soak", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PLAY_TIMEOUT,
        check=False,
        **options,
    )


def test_plans_are_reproducible_and_the_seeds_cover_all_kinds_of_faults():
    plans = [draw_plan(seed, 40) for seed in range(1, 61)]
    assert plans == [draw_plan(seed, 40) for seed in range(1, 61)]
    kinds = {kind for each in plans for kind in each.count()}
    wanted = {kind.value for kind in ACTION_WEIGHTS} | {what.value for what in DRAWN_FAULTS} | {"crowd"}
    wanted |= {f"surplus-{form.value}" for form in SurplusForm} | {"notices-unkept"}
    wanted |= {f"bad-{shape.value}" for shape in Shape}
    assert wanted <= kinds and {"machine-step", "machine-write", "machine-recv"} <= kinds
    assert {each.scenario.relays.count for each in plans} == {1, 2, 3, 4, 6}
    assert all(action.pause <= MAX_PAUSE for each in plans for action in each.actions)
    assert any(min(action.at for action in each.actions) > 20 for each in plans)  # begins without faults


def test_sigkill_follows_sigterm_no_earlier_than_the_protocol_allows():
    assert plan.KILL_AFTER >= 3.7


def test_a_timeline_holds_texts_signals_and_log_lines_in_order_of_the_stage_time(tmp_path):
    record, log = tmp_path / "soak.record", tmp_path / "relay-0.log"
    head = head_of(draw_plan(1, 10).scenario, "", STAGE, 1, "program", ALLOWANCES)
    with rec.Writer(record, head) as writer:
        for event in (
            rec.Submitted(10_000, 0, "t1", "t1", 0, 1, 0, "7", 90_000, 0),
            rec.Submitted(10_500, 0, "t2", "t2", 0, 1, 0, "8", 90_000, 0),
            rec.Answered(11_000, "t1", 0, 0),
            rec.Relay(12_000, 0, "upgrade"),
            rec.Relay(12_500, 1, "killed"),
            rec.Called(13_000, 13_000, 5, 0, 2, ["t1"]),
            rec.GaveUp(14_000, 5),
            rec.RunEnded(90_000, True),
        ):
            writer.add(event)
    log.write_text('13100 {"event":"submit-going","text":"t1"}\n13200 {"event":"mode"}\nno time\n')
    breach = Breach(Rule.ORDER, 15_000, "key 7", "text t1 was sent before its turn", [])
    assert timeline(breach, record, [log]) == [
        "1s client submits t1 to relay 0, key 7, attempt 1",
        "1.1s client of t1 gets: taken",
        "1.2s relay 0: upgrade",
        "1.3s host 2: call 5 of relay 0 with t1",
        '1.31s relay-0 logs {"event":"submit-going","text":"t1"}',
        "1.4s call 5 is abandoned by its relay",
    ]


def test_error_lines_in_the_relays_logs_are_found(tmp_path):
    (tmp_path / "relay-0.log").write_text(
        '{"event":"serving"}\n{"event": "fault"}\nTraceback (most recent)\n'
    )
    assert list(error_lines(tmp_path)) == [
        'relay-0.log: {"event": "fault"}',
        "relay-0.log: Traceback (most recent)",
    ]


@pytest.mark.parametrize("mutant", mutants.MUTANTS, ids=lambda mutant: mutant.name)
def test_each_mutant_applies_to_the_code_and_compiles(mutant, tmp_path):
    mutants.write_mutant(mutant, HERE, tmp_path / "tree")
    written = (tmp_path / "tree" / "limelatch" / mutant.path).read_text()
    compile(written, mutant.path, "exec")
    assert written != (HERE / "limelatch" / mutant.path).read_text()


@pytest.mark.parametrize(
    "args, message",
    [
        (["--seeds", "5-1"], "'5-1' is no list of seeds"),
        (["--seeds", "one"], "'one' is no list of seeds"),
        (["--seeds", ""], "'' is no list of seeds"),
        (["--seeds", "1-2000"], "names 2000 seeds, 1 to 1000 are wanted"),
        (["--jobs", "0"], "--jobs"),
        (["--seconds", "1"], "--seconds"),
        (["--keep", "/dev/null/there"], "/dev/null/there: Not a directory"),
        (["--subject", "/no/such/checkout"], "/no/such/checkout"),
    ],
)
def test_invalid_arguments_are_reported_and_nothing_is_started(args, message, tmp_path):
    done = soak(*args, env=os.environ | {"TMPDIR": str(tmp_path)})
    assert done.returncode == 2 and message in done.stderr and "Traceback" not in done.stderr
    assert list(tmp_path.iterdir()) == []


def test_a_plan_with_machine_faults_needs_a_compiler(tmp_path):
    seed = next(seed for seed in range(1, 60) if draw_plan(seed, 10).machine_faults)
    args = ["--seed", str(seed), "--seconds", "10"]
    done = soak(*args, env=os.environ | {"TMPDIR": str(tmp_path), "PATH": str(tmp_path)})
    assert done.returncode == 2 and "no C compiler found" in done.stderr
    assert list(tmp_path.iterdir()) == []


def test_a_low_descriptor_limit_is_reported_before_the_start(tmp_path):
    command = f"ulimit -n 400 && exec {sys.executable} -m limelatch lab soak --seeds 1"
    done = subprocess.run(["/bin/sh", "-c", command], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and "descriptors, a process may hold 400" in done.stderr


@pytest.mark.parametrize(
    "args, expected_output",
    [
        (["soak", "--seeds", "1-4", "--jobs", "2"], "0 of 4 seeds played"),
        (["mutants", "--seeds", "1-4", "--jobs", "2"], ""),
    ],
    ids=["soak", "mutants"],
)
def test_sigint_ends_all_processes(tmp_path, args, expected_output):
    """Also as a background job of a shell, where SIGINT is ignored when the command starts."""
    process = subprocess.Popen(
        ["/bin/sh", "-c", 'trap "" INT; exec "$@"', "sh", sys.executable, "-m", "limelatch", "lab", *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    deadline = time.monotonic() + PLAY_TIMEOUT
    while not any(tmp_path.glob("limelatch-soak-*/relay-*-state/ledger")):
        assert time.monotonic() < deadline and process.poll() is None
        time.sleep(POLL_INTERVAL)
    interrupted_at = time.monotonic()
    process.send_signal(signal.SIGINT)
    output, errors = process.communicate(timeout=PLAY_TIMEOUT)
    assert process.returncode == 130 and time.monotonic() - interrupted_at < 3, errors
    assert expected_output in output
    assert not processes_naming(str(tmp_path))


def processes_naming(fragment: str) -> list[str]:
    """Command lines of running processes that contain `fragment`."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            line = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
        except OSError:
            continue
        if fragment in line:
            found.append(line)
    return found


def test_relays_that_restart_after_an_outage_push_no_returning_partner_over():
    done = soak("--seeds", "3", "--seconds", "30", "--jobs", "1")
    assert done.returncode == 0 and "no rule broken" in done.stdout, done.stdout + done.stderr


def test_a_short_soak_of_fixed_seeds_breaks_no_rule(tmp_path):
    args = ["--seeds", SHORT_SEEDS, "--seconds", str(SHORT_SECONDS), "--jobs", "2"]
    done = soak(*args, "--keep", str(tmp_path / "kept"))
    assert done.returncode == 0, done.stdout + done.stderr
    assert "6 of 6 seeds played" in done.stdout and "no rule broken" in done.stdout
    shutil.rmtree(tmp_path / "kept")
