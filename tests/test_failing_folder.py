"""The state directory fails for a time, also over kills; accepted texts are still finished."""

import errno
import os
import threading
import time
from types import SimpleNamespace

import pytest
from conftest import WAIT_TIMEOUT
from faults.flow import Flow

from limelatch.storage_gate import StorageGate
from limelatch.interface import SECOND
from limelatch.relay import suspended_hosts
from limelatch.relay.drain_state import DrainState
from limelatch.relay.operations import Operations
from limelatch.relay.operator_error import OperatorError
from limelatch.relay.suspended_hosts import SuspendedHosts
from limelatch.relay.ledger import FILE, STANDBY_DIR, Ledger

SPANS = [0.4, 3.0]  # seconds
OTHER_CELLS = [("open", "ENOSPC"), ("write", "EIO"), ("rename", "EROFS"), ("unlink", "EIO")]
RECOVERY_TIMEOUT = 2.0  # seconds after a fault until texts are accepted again
LEDGER = "state/ledger"
WRITE_CELLS = [("write", name, most) for name in ("ENOSPC", "EIO", "EDQUOT", "EROFS") for most in (0, 5)]


@pytest.fixture
def flow(make_faulty_program, agent, make_host):
    made = Flow(make_faulty_program(), agent, make_host)
    made.start()
    return made


def submit_for(flow, seconds):
    """A client that submits texts again and again while none, or few, are accepted."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            flow.submit_text()
        except AssertionError:
            threading.Event().wait(0.02)


def check_open_text_over_a_kill(flow):
    """A text that is open at a kill is finished after the restart, so its records can be read."""
    flow.host.reply = lambda request: request.hang()
    text = flow.submit_text(within=RECOVERY_TIMEOUT)
    flow.program.kill()
    flow.host.reply = flow._called
    flow.restart()
    flow.settle()
    assert text.ended, "an open text was lost with the kill"


@pytest.mark.parametrize("span", SPANS)
@pytest.mark.parametrize("call, name, most", WRITE_CELLS)
def test_a_ledger_that_cannot_be_written_for_a_time(flow, faults, call, name, most, span):
    """Writes fail whole or in part, partial records can't be cut off. Texts are accepted again afterwards."""
    for _ in range(3):
        flow.submit_text()
    bounds = {"path": LEDGER, "seconds": span}
    faults.fail(call, getattr(errno, name), most=most, **bounds)
    faults.fail("ftruncate", getattr(errno, name), **bounds)
    submit_for(flow, span)
    for _ in range(3):
        flow.submit_text(within=RECOVERY_TIMEOUT)
    flow.program.wait_for_log("event=folder-mended")
    check_open_text_over_a_kill(flow)
    assert flow.check() == []


@pytest.mark.parametrize("moment", ["taken", "going", "ended", "owed"])
@pytest.mark.parametrize("span", [0.0, 1.0])
@pytest.mark.parametrize("most", [0, 5])
def test_a_kill_while_writes_fail_loses_repeats_and_reorders_nothing(flow, faults, moment, span, most):
    """The n-th record of the ledger and all later ones fail; then the process is killed and restarted."""
    skip = {"taken": 0, "going": 1, "ended": 2, "owed": 3}[moment]
    flow.submit_text()
    flow.settle()
    faults.fail("write", errno.ENOSPC, path=LEDGER, skip=skip, most=most)
    faults.fail("ftruncate", errno.EIO, path=LEDGER)
    submit_for(flow, 0.3 + span)
    flow.program.kill()
    faults.clear_all()
    flow.restart()
    for _ in range(4):
        flow.submit_text(within=RECOVERY_TIMEOUT)
    flow.settle()
    assert flow.check() == []


def test_texts_wait_while_the_state_directory_fails_and_use_up_no_submit(flow, faults, agent):
    """For longer than all waits between the four submits of a text."""
    flow.valid = 15.0
    flow.host.reply = lambda request: (503,)
    text = flow.submit_text()
    threading.Event().wait(0.05)
    faults.fail("write", errno.EIO, path=LEDGER, seconds=8.0)
    flow.host.reply = flow._called
    threading.Event().wait(8.0)
    flow.settle()
    assert text.delivered and text.notice is None and flow.check() == []


def test_an_early_final_answer_is_sent_only_once_a_restart_would_know_it(
    make_faulty_program, faults, agent, make_host
):
    """A text whose host asks for a wait beyond its validity period is finished at once. Neither the outcome
    nor the end is recorded before the kill, so the restart knows of no wait."""
    flow = Flow(make_faulty_program(), agent, make_host)
    flow.host.reply = lambda request: request.answer(429, Retry_After="30")
    flow.start()
    faults.fail("write", errno.EIO, path=LEDGER, skip=2)
    flow.submit_text()
    flow.host.next()
    threading.Event().wait(0.6)
    flow.program.kill()
    faults.clear_all()
    flow.host.reply = flow._called
    flow.restart()
    flow.host.next()
    flow.settle()
    assert flow.check() == []


def test_an_early_final_answer_waits_for_its_record_and_a_due_one_does_not(
    make_faulty_program, faults, agent, make_host
):
    flow = Flow(make_faulty_program(), agent, make_host)
    flow.host.reply = lambda request: (500,) if request.headers["X-Txn"] == "t2" else request.hang()
    flow.start()
    early = flow.submit_text()  # t1, notice: in flight at a host that hangs until the text's time is up
    flow.submit_text()  # t2, charge: it may have run, so it is finished at once
    faults.fail("write", errno.EIO, path=LEDGER, seconds=20.0)
    flow.settle()
    assert early.notice is not None and flow.check() == []


@pytest.mark.parametrize(
    "call, name", [("open", "EMFILE"), ("open", "ENOSPC"), ("write", "ENOSPC"), ("rename", "EIO")]
)
def test_a_failed_compaction_leaves_the_ledger_and_is_tried_again(flow, faults, call, name):
    """The new file can't be created, written, renamed or removed."""
    faults.fail(call, getattr(errno, name), path="ledger.new" if call != "rename" else LEDGER, seconds=2.0)
    faults.fail("unlink", errno.EIO, path="ledger.new", seconds=2.0)
    body = b"x" * 60_000
    deadline, number = time.monotonic() + 3.0, 0
    while time.monotonic() < deadline:  # 3 MB of disk: some 40 texts fill the file
        number += 1
        assert flow.client.submit(f"big{number}", body=body) in ("+OK", "-BUSY", "-BUSY 250")
    flow.submit_text(within=RECOVERY_TIMEOUT)
    flow.settle()
    assert flow.check() == [] and number > 60


@pytest.mark.parametrize(
    "call, name", [("open", "EMFILE"), ("flock", "EIO"), ("write", "ENOSPC"), ("unlink", "EIO")]
)
def test_a_takeover_that_fails_in_the_state_directory_is_tried_again(flow, faults, call, name):
    old, before = flow.program.process, flow.submit_text()
    flow.settle()
    flow.host.reply = lambda request: request.hang()
    flow.valid = 6.0
    open_text = flow.submit_text()
    flow.program.start()
    flow.host.reply = flow._called
    rule = faults.fail(call, getattr(errno, name), path="state", seconds=1.5)
    old.kill()
    old.wait(WAIT_TIMEOUT)
    flow.client = None
    flow.program.wait_for_log("event=taken-over")
    rule.end()
    for _ in range(3):
        flow.submit_text(within=RECOVERY_TIMEOUT)
    flow.settle()
    assert before.delivered and open_text.ended and flow.check() == []
    standby = flow.program.state / STANDBY_DIR / FILE
    assert not standby.exists() or standby.stat().st_size == 0


START_CELLS = [("open", "EIO"), ("open", "EACCES"), ("read", "EIO"), ("flock", "EIO"), ("open", "EROFS")]


@pytest.mark.parametrize("call, name", START_CELLS)
def test_a_state_directory_that_cannot_be_read_at_a_start_is_named_and_left_unchanged(
    flow, faults, call, name
):
    flow.submit_text()
    flow.settle()
    flow.program.kill()
    before = {each: each.read_bytes() for each in flow.program.state.iterdir() if each.is_file()}
    faults.fail(call, getattr(errno, name), path="state" if call == "flock" else LEDGER)
    flow.program.launch()
    assert flow.program.process.wait(WAIT_TIMEOUT) == 2
    logged = "".join(flow.program.log_lines[-3:])
    assert (
        call in logged
        and "state" in logged
        and errno.errorcode[getattr(errno, name)] in logged
        or "Errno" in logged
    )
    assert {each: each.read_bytes() for each in flow.program.state.iterdir() if each.is_file()} == before


@pytest.mark.parametrize(
    "call, name", [("open", "EIO"), ("open", "EMFILE"), ("read", "EIO"), ("flock", "EIO")]
)
@pytest.mark.parametrize("path", ["state/ledger", "state/clock", "state/out"])
def test_a_state_directory_that_fails_briefly_at_a_start_delays_it(flow, faults, path, call, name):
    """A host that an operator has suspended stays suspended: nothing is sent to it."""
    host = b"s-1"
    flow.program.kill()
    SuspendedHosts(str(flow.program.state)).suspend(host)
    faults.fail(call, getattr(errno, name), path=path, seconds=1.0)
    flow.restart()
    assert flow.client.submit("t0", d=300) in ("+OK", "-BUSY 2000")
    threading.Event().wait(0.5)
    assert flow.host.requests.empty() and flow.check() == []


def test_a_partial_record_that_cannot_be_cut_off_at_a_start_is_cut_before_the_first_write(flow, faults):
    text = flow.submit_text()
    flow.settle()
    flow.program.kill()
    with open(flow.program.state / "ledger", "ab") as file:
        file.write(b"\0\0\1\0torn")
    rule = faults.fail("ftruncate", errno.EIO, path=LEDGER)
    flow.restart()
    submit_for(flow, 0.5)
    rule.end()
    accepted = [flow.submit_text(within=RECOVERY_TIMEOUT) for _ in range(3)]
    check_open_text_over_a_kill(flow)
    assert text.delivered and all(each.ended for each in accepted) and flow.check() == []


@pytest.mark.parametrize("path", ["state/clock", "state/list"])
@pytest.mark.parametrize("call, name", OTHER_CELLS)
def test_failures_of_the_other_files_do_no_harm(flow, faults, agent, path, call, name):
    """Both are written meanwhile, for a clock step and a new host. A restart finds its timeline."""
    watch = agent.watches.get(timeout=WAIT_TIMEOUT)
    rules = [faults.fail(each, getattr(errno, name), path=path) for each in {call, "unlink"}]
    faults.step(5)
    agent.list("127.0.0.1:1", "s-9", dest=9)
    agent.tell(watch)
    flow.program.wait_for_log("event=clock-stepped")
    for _ in range(3):
        flow.submit_text()
    for rule in rules:
        rule.end()
    flow.program.kill()
    flow.restart()
    assert "by=same-boot" in "".join(flow.program.log_lines[-4:])
    flow.submit_text(within=RECOVERY_TIMEOUT)
    flow.settle()
    assert flow.check() == []


def test_a_host_is_suspended_only_if_that_can_be_stored(tmp_path, monkeypatch):
    suspended = SuspendedHosts(str(tmp_path))

    def refuse(path, content):
        raise OSError(errno.ENOSPC, "No space left on device", path)

    monkeypatch.setattr(suspended_hosts, "replace_file", refuse)
    with pytest.raises(OperatorError, match="not done"):
        suspended.suspend(b"s-1")
    assert suspended.counts == {}


@pytest.mark.parametrize("command, call", [("pause", "open"), ("resume", "remove")])
def test_a_drain_begins_and_ends_only_if_that_can_be_stored(tmp_path, monkeypatch, command, call):
    """Guards against a confirmed command that the next process knows nothing of."""
    drain_state = DrainState(str(tmp_path))
    listener = SimpleNamespace(pause=lambda: pytest.fail("paused"), resume=lambda: pytest.fail("resumed"))
    if command == "resume":
        drain_state.begin()

    def refuse(path, *more):
        raise OSError(errno.EIO, "Input/output error", path)

    monkeypatch.setattr(os, call, refuse)
    operations = Operations(SimpleNamespace(listener=listener, accepted={}), None, drain_state)
    with pytest.raises(OperatorError, match="not done"):
        getattr(operations, command)()
    assert DrainState(str(tmp_path)).is_drained is drain_state.is_drained is (command == "resume")


def test_a_state_directory_that_cannot_tell_of_a_drain_ends_the_start(tmp_path, monkeypatch):
    """Guards against a drained relay that serves clients; the start tries again."""

    def refuse(path):
        raise OSError(errno.EIO, "Input/output error", path)

    monkeypatch.setattr(os, "stat", refuse)
    with pytest.raises(OSError, match="drained"):
        DrainState(str(tmp_path))


def test_the_gate_blocks_submits_from_the_first_failure_to_the_next_success():
    gate = StorageGate()
    assert gate.may_submit and gate.write_succeeded(0) is None
    gate.write_failed(100)
    gate.write_failed(200)
    assert not gate.may_submit
    assert gate.write_succeeded(5 * SECOND) == 5 * SECOND - 100 and gate.may_submit


def test_a_notice_waits_for_its_record_until_the_validity_period_ends():
    gate = StorageGate()
    assert gate.notice_due(5, 90, recorded=True) == 5
    assert gate.notice_due(5, 90, recorded=False) == 90 and gate.notice_due(95, 90, recorded=False) == 95


def test_a_rename_that_was_done_but_reports_an_error_counts_as_done(tmp_path, monkeypatch):
    """Guards against later records in a file that is in no directory any more."""
    ledger = Ledger(str(tmp_path), 100_000, 10_000_000)
    fields = {"key": "", "mark": "", "dest": 1, "product": "notice", "customer": "", "until": 9}
    assert ledger.record_accepted(b"a", b"x", **fields)
    from limelatch.relay import ledger as module

    def done_and_failed(source, target, real=module.os.replace):
        real(source, target)
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(module.os, "replace", done_and_failed)
    assert ledger.compact()
    monkeypatch.undo()
    assert ledger.record_accepted(b"b", b"y", **fields)
    ledger.close()
    again = Ledger(str(tmp_path), 100_000, 10_000_000)
    assert list(again.entries) == [b"a", b"b"]
