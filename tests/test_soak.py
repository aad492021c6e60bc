"""The soak: its plans, what it judges, its command, and a short one of fixed seeds."""

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
from limelatch.lab.checker import Breach, Rule
from limelatch.lab.play import head_of
from limelatch.lab.soak import mutants, plan
from limelatch.lab.soak.plan import ACT_WEIGHTS, NAMELESS_FAULTS, PAUSE_MOST, draw_plan
from limelatch.lab.soak.run import HERE, bad_lines
from limelatch.lab.soak.timeline import timeline
from limelatch.lab.stages.real import ALLOWANCES, STAGE

ROOT = Path(__file__).parent.parent
SHORT_SEEDS, SHORT_SECONDS = "7,19,23,29,32,37", 12  # few relays, short texts: a minute
PLAY_WAIT = 120  # seconds for a short soak
GAP = 0.2


def soak(*words, **more):
    return subprocess.run(
        [sys.executable, "-m", "limelatch", "lab", "soak", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PLAY_WAIT,
        check=False,
        **more,
    )


def test_a_seed_draws_the_same_plan_and_the_seeds_draw_all_there_is():
    plans = [draw_plan(seed, 40) for seed in range(1, 61)]
    assert plans == [draw_plan(seed, 40) for seed in range(1, 61)]
    kinds = {kind for each in plans for kind in each.count()}
    wanted = {kind.value for kind in ACT_WEIGHTS} | {what.value for what in NAMELESS_FAULTS} | {"crowd"}
    assert wanted <= kinds and {"machine-step", "machine-write", "machine-recv"} <= kinds
    assert {each.scenario.relays.count for each in plans} == {1, 2, 3, 4, 6}
    assert all(act.pause <= PAUSE_MOST for each in plans for act in each.acts)
    assert any(min(act.at for act in each.acts) > 20 for each in plans)  # a quiet time first


def test_a_kill_comes_no_earlier_after_sigterm_than_the_protocol_has_it():
    assert plan.KILL_AFTER >= 3.7


def test_a_breach_is_told_with_its_texts_signals_faults_and_log_lines_by_the_stage_s_time(tmp_path):
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
        "1s client hands t1 in at relay 0, key 7, try 1",
        "1.1s client of t1: taken",
        "1.2s relay 0: upgrade",
        "1.3s host 2: call 5 of relay 0 with t1",
        '1.31s relay-0 says {"event":"submit-going","text":"t1"}',
        "1.4s host: call 5 is given up by its relay",
    ]


def test_faults_in_the_relays_logs_are_found(tmp_path):
    (tmp_path / "relay-0.log").write_text(
        '{"event":"serving"}\n{"event": "fault"}\nTraceback (most recent)\n'
    )
    assert list(bad_lines(tmp_path)) == [
        'relay-0.log: {"event": "fault"}',
        "relay-0.log: Traceback (most recent)",
    ]


@pytest.mark.parametrize("mutant", mutants.MUTANTS, ids=lambda mutant: mutant.name)
def test_each_mutant_has_its_place_in_the_code(mutant, tmp_path):
    mutants.write_mutant(mutant, HERE, tmp_path / "tree")
    written = (tmp_path / "tree" / "limelatch" / mutant.path).read_text()
    compile(written, mutant.path, "exec")
    assert written != (HERE / "limelatch" / mutant.path).read_text()


@pytest.mark.parametrize(
    "words, says",
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
def test_bad_words_are_named_in_a_line_and_start_nothing(words, says, tmp_path):
    done = soak(*words, env=os.environ | {"TMPDIR": str(tmp_path)})
    assert done.returncode == 2 and says in done.stderr and "Traceback" not in done.stderr
    assert list(tmp_path.iterdir()) == []


def test_without_a_compiler_a_plan_with_machine_faults_is_not_played(tmp_path):
    seed = next(seed for seed in range(1, 60) if draw_plan(seed, 10).machine)
    words = ["--seed", str(seed), "--seconds", "10"]
    done = soak(*words, env=os.environ | {"TMPDIR": str(tmp_path), "PATH": str(tmp_path)})
    assert done.returncode == 2 and "no C compiler found" in done.stderr
    assert list(tmp_path.iterdir()) == []


def test_too_few_descriptors_are_named_before_anything_starts(tmp_path):
    command = f"ulimit -n 400 && exec {sys.executable} -m limelatch lab soak --seeds 1"
    done = subprocess.run(["/bin/sh", "-c", command], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and "descriptors, a process may hold 400" in done.stderr


@pytest.mark.parametrize(
    "words, code_says",
    [
        (["soak", "--seeds", "1-4", "--jobs", "2"], "0 of 4 seeds played"),
        (["mutants", "--seeds", "1-4", "--jobs", "2"], ""),
    ],
    ids=["soak", "mutants"],
)
def test_ctrl_c_ends_all_that_was_started_and_leaves_no_folder(tmp_path, words, code_says):
    """Also in a shell's background, where SIGINT is ignored: nothing here sets it for the command."""
    process = subprocess.Popen(
        ["/bin/sh", "-c", 'trap "" INT; exec "$@"', "sh", sys.executable, "-m", "limelatch", "lab", *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    until = time.monotonic() + PLAY_WAIT
    while not any(tmp_path.glob("limelatch-soak-*/relay-*-state/ledger")):
        assert time.monotonic() < until and process.poll() is None
        time.sleep(GAP)
    began = time.monotonic()
    process.send_signal(signal.SIGINT)
    said, wrong = process.communicate(timeout=PLAY_WAIT)
    assert process.returncode == 130 and time.monotonic() - began < 3, wrong
    assert code_says in said
    assert not running_with(str(tmp_path))


def running_with(words: str) -> list[str]:
    """Command lines of processes that name the words."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            line = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
        except OSError:
            continue
        if words in line:
            found.append(line)
    return found


def test_a_short_soak_of_fixed_seeds_breaks_no_rule(tmp_path):
    words = ["--seeds", SHORT_SEEDS, "--seconds", str(SHORT_SECONDS), "--jobs", "2"]
    done = soak(*words, "--keep", str(tmp_path / "kept"))
    assert done.returncode == 0, done.stdout + done.stderr
    assert "6 of 6 seeds played" in done.stdout and "no rule broken" in done.stdout
    shutil.rmtree(tmp_path / "kept")
