"""The folder that lasts fails for a while, kills and restarts within: what was taken on is still owed."""

import errno
import threading
import time

import pytest
from conftest import WAIT_TIMEOUT
from faults.flow import Flow

from limelatch.storage_gate import StorageGate
from limelatch.interface import SECOND
from limelatch.relay import operator_server
from limelatch.relay.operator_server import SuspendedHosts
from limelatch.relay.ledger import FILE, STANDBY_DIR, Ledger

SPANS = [0.4, 3.0]  # seconds
OTHER_CELLS = [("open", "ENOSPC"), ("write", "EIO"), ("rename", "EROFS"), ("unlink", "EIO")]
BACK = 2.0  # seconds after a span within which texts are taken on again
LEDGER = "state/ledger"
WRITE_CELLS = [("write", name, most) for name in ("ENOSPC", "EIO", "EDQUOT", "EROFS") for most in (0, 5)]


@pytest.fixture
def flow(make_faulty_program, agent, make_host):
    made = Flow(make_faulty_program(), agent, make_host)
    made.start()
    return made


def hand_in_for(flow, seconds):
    """A client that comes again and again while nothing, or little, is taken on."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            flow.submit_text()
        except AssertionError:
            threading.Event().wait(0.02)


def held_over_a_kill(flow):
    """A text that is open at a kill has its end after the restart: its records can be read."""
    flow.host.reply = lambda request: request.hang()
    held = flow.submit_text(within=BACK)
    flow.program.kill()
    flow.host.reply = flow._called
    flow.restart()
    flow.settle()
    assert held.ended, "a text that was held is gone with the kill"


@pytest.mark.parametrize("span", SPANS)
@pytest.mark.parametrize("call, name, most", WRITE_CELLS)
def test_a_ledger_that_cannot_be_written_for_a_span(flow, faults, call, name, most, span):
    """Whole and in part; the cut of a torn record fails as well. Texts go on once it can be written."""
    for _ in range(3):
        flow.submit_text()
    bounds = {"path": LEDGER, "seconds": span}
    faults.fail(call, getattr(errno, name), most=most, **bounds)
    faults.fail("ftruncate", getattr(errno, name), **bounds)
    hand_in_for(flow, span)
    for _ in range(3):
        flow.submit_text(within=BACK)
    flow.program.wait_for_log("event=folder-mended")
    held_over_a_kill(flow)
    assert flow.check() == []


@pytest.mark.parametrize("moment", ["taken", "going", "ended", "owed"])
@pytest.mark.parametrize("span", [0.0, 1.0])
@pytest.mark.parametrize("most", [0, 5])
def test_a_kill_within_a_failing_span_loses_repeats_and_reorders_nothing(flow, faults, moment, span, most):
    """The n-th record of the ledger fails, and all after it; then the process is killed and started again."""
    skip = {"taken": 0, "going": 1, "ended": 2, "owed": 3}[moment]
    flow.submit_text()
    flow.settle()
    faults.fail("write", errno.ENOSPC, path=LEDGER, skip=skip, most=most)
    faults.fail("ftruncate", errno.EIO, path=LEDGER)
    hand_in_for(flow, 0.3 + span)
    flow.program.kill()
    faults.clear_all()
    flow.restart()
    for _ in range(4):
        flow.submit_text(within=BACK)
    flow.settle()
    assert flow.check() == []


def test_texts_wait_while_the_folder_fails_and_use_up_no_attempt(flow, faults, agent):
    """A span longer than all waits of the four submits that a text has."""
    flow.valid = 15.0
    flow.host.reply = lambda request: (503,)
    text = flow.submit_text()
    threading.Event().wait(0.05)
    faults.fail("write", errno.EIO, path=LEDGER, seconds=8.0)
    flow.host.reply = flow._called
    threading.Event().wait(8.0)
    flow.settle()
    assert text.delivered and text.notice is None and flow.check() == []


def test_an_early_end_is_told_only_once_a_restart_would_know_it(
    make_faulty_program, faults, agent, make_host
):
    """Told to wait beyond its time, it ends at once; neither outcome nor end is written before the kill, and
    the restart knows of no wait."""
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


def test_an_end_before_its_time_waits_for_its_record_and_a_due_one_does_not(
    make_faulty_program, faults, agent, make_host
):
    flow = Flow(make_faulty_program(), agent, make_host)
    flow.host.reply = lambda request: (500,) if request.headers["X-Txn"] == "t2" else request.hang()
    flow.start()
    early = flow.submit_text()  # t1, notice: out at a host that hangs until its time is up
    flow.submit_text()  # t2, charge: it may have run, and ends at once
    faults.fail("write", errno.EIO, path=LEDGER, seconds=20.0)
    flow.settle()
    assert early.notice is not None and flow.check() == []


@pytest.mark.parametrize(
    "call, name", [("open", "EMFILE"), ("open", "ENOSPC"), ("write", "ENOSPC"), ("rename", "EIO")]
)
def test_a_compaction_that_fails_leaves_the_ledger_and_is_tried_again(flow, faults, call, name):
    """The new file can't be made, written, put in its place, nor removed."""
    faults.fail(call, getattr(errno, name), path="ledger.new" if call != "rename" else LEDGER, seconds=2.0)
    faults.fail("unlink", errno.EIO, path="ledger.new", seconds=2.0)
    body = b"x" * 60_000
    until, number = time.monotonic() + 3.0, 0
    while time.monotonic() < until:  # 3 MB of disk: some 40 texts fill the file
        number += 1
        assert flow.client.submit(f"big{number}", body=body) in ("+OK", "-BUSY", "-BUSY 250")
    flow.submit_text(within=BACK)
    flow.settle()
    assert flow.check() == [] and number > 60


@pytest.mark.parametrize(
    "call, name", [("open", "EMFILE"), ("flock", "EIO"), ("write", "ENOSPC"), ("unlink", "EIO")]
)
def test_a_take_over_that_the_folder_refuses_is_tried_again(flow, faults, call, name):
    old, before = flow.program.process, flow.submit_text()
    flow.settle()
    flow.host.reply = lambda request: request.hang()
    flow.valid = 6.0
    held = flow.submit_text()
    flow.program.start()
    flow.host.reply = flow._called
    rule = faults.fail(call, getattr(errno, name), path="state", seconds=1.5)
    old.kill()
    old.wait(WAIT_TIMEOUT)
    flow.client = None
    flow.program.wait_for_log("event=taken-over")
    rule.end()
    for _ in range(3):
        flow.submit_text(within=BACK)
    flow.settle()
    assert before.delivered and held.ended and flow.check() == []
    seat = flow.program.state / STANDBY_DIR / FILE
    assert not seat.exists() or seat.stat().st_size == 0


START_CELLS = [("open", "EIO"), ("open", "EACCES"), ("read", "EIO"), ("flock", "EIO"), ("open", "EROFS")]


@pytest.mark.parametrize("call, name", START_CELLS)
def test_a_folder_that_cannot_be_read_at_a_start_is_named_and_left_as_it_is(flow, faults, call, name):
    flow.submit_text()
    flow.settle()
    flow.program.kill()
    before = {each: each.read_bytes() for each in flow.program.state.iterdir() if each.is_file()}
    faults.fail(call, getattr(errno, name), path="state" if call == "flock" else LEDGER)
    flow.program.launch()
    assert flow.program.process.wait(WAIT_TIMEOUT) == 2
    told = "".join(flow.program.log_lines[-3:])
    assert (
        call in told and "state" in told and errno.errorcode[getattr(errno, name)] in told or "Errno" in told
    )
    assert {each: each.read_bytes() for each in flow.program.state.iterdir() if each.is_file()} == before


@pytest.mark.parametrize(
    "call, name", [("open", "EIO"), ("open", "EMFILE"), ("read", "EIO"), ("flock", "EIO")]
)
@pytest.mark.parametrize("path", ["state/ledger", "state/clock", "state/out"])
def test_a_folder_that_fails_for_a_moment_at_a_start_delays_it(flow, faults, path, call, name):
    """A host that is out by hand stays out: nothing is sent to it."""
    host = b"s-1"
    flow.program.kill()
    SuspendedHosts(str(flow.program.state)).suspend(host)
    faults.fail(call, getattr(errno, name), path=path, seconds=1.0)
    flow.restart()
    assert flow.client.submit("t0", d=300) in ("+OK", "-BUSY 2000")
    threading.Event().wait(0.5)
    assert flow.host.requests.empty() and flow.check() == []


def test_a_torn_tail_that_cannot_be_cut_at_a_start_is_cut_before_the_first_write(flow, faults):
    text = flow.submit_text()
    flow.settle()
    flow.program.kill()
    with open(flow.program.state / "ledger", "ab") as file:
        file.write(b"\0\0\1\0torn")
    rule = faults.fail("ftruncate", errno.EIO, path=LEDGER)
    flow.restart()
    hand_in_for(flow, 0.5)
    rule.end()
    taken = [flow.submit_text(within=BACK) for _ in range(3)]
    held_over_a_kill(flow)
    assert text.delivered and all(each.ended for each in taken) and flow.check() == []


@pytest.mark.parametrize("path", ["state/clock", "state/list"])
@pytest.mark.parametrize("call, name", OTHER_CELLS)
def test_the_folder_s_other_files_fail_without_harm(flow, faults, agent, path, call, name):
    """Both are written meanwhile: the wall clock is stepped, a host comes. A restart finds the timeline."""
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
    flow.submit_text(within=BACK)
    flow.settle()
    assert flow.check() == []


def test_a_host_taken_out_by_hand_is_out_only_where_the_folder_keeps_it(tmp_path, monkeypatch):
    out = operator_server.SuspendedHosts(str(tmp_path))

    def refuse(path, content):
        raise OSError(errno.ENOSPC, "No space left on device", path)

    monkeypatch.setattr(operator_server, "replace_file", refuse)
    with pytest.raises(operator_server.OperatorError, match="not done"):
        out.suspend(b"s-1")
    assert out.counts == {}


def test_the_gate_lets_submits_wait_from_the_first_failure_to_the_next_success():
    gate = StorageGate()
    assert gate.may_submit and gate.write_succeeded(0) is None
    gate.write_failed(100)
    gate.write_failed(200)
    assert not gate.may_submit
    assert gate.write_succeeded(5 * SECOND) == 5 * SECOND - 100 and gate.may_submit


def test_a_notice_waits_for_its_record_until_its_text_is_over():
    gate = StorageGate()
    assert gate.notice_due(5, 90, recorded=True) == 5
    assert gate.notice_due(5, 90, recorded=False) == 90 and gate.notice_due(95, 90, recorded=False) == 95


def test_a_rename_that_fails_and_was_done_counts_as_done(tmp_path, monkeypatch):
    """Else later records would go to a file that no folder has."""
    ledger = Ledger(str(tmp_path), 100_000, 10_000_000)
    taken = {"key": "", "mark": "", "dest": 1, "product": "notice", "customer": "", "until": 9}
    assert ledger.record_accepted(b"a", b"x", **taken)
    from limelatch.relay import ledger as module

    def done_and_failed(source, target, real=module.os.replace):
        real(source, target)
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(module.os, "replace", done_and_failed)
    assert ledger.compact()
    monkeypatch.undo()
    assert ledger.record_accepted(b"b", b"y", **taken)
    ledger.close()
    again = Ledger(str(tmp_path), 100_000, 10_000_000)
    assert list(again.entries) == [b"a", b"b"]
