"""Steps of the machine's wall clock while the relay runs must not change its deadlines, waits and windows."""

import os
import re
import socket
import subprocess
import sys
import threading
import time

import pytest
from conftest import SETTINGS, WAIT_TIMEOUT
from msgspec import structs

from limelatch.relay.anchor_file import AnchorFile
from limelatch.relay.clock import Anchor
from limelatch.relay.atomic_file import replace_file

MAX_EXIT_SECONDS = 1.0  # from a relay's last log line to the end of its process, also on a loaded machine
MAX_LATE_SECONDS = 0.3  # after a text's validity period, within which it must end by the protocol
ANSWER_TIMEOUT_SECONDS = 0.4  # that a client waits for the answer to its command


def submit_in_time(client, text, **more):
    """Submit the text and return the answer, which must come before the client's timeout."""
    submitted_at = time.monotonic()
    answer = client.submit(text, **more)
    assert time.monotonic() - submitted_at < ANSWER_TIMEOUT_SECONDS, f"{text} was answered too late"
    return answer


def test_a_wall_clock_stepped_back_delays_no_answer_no_retry_and_no_notice(
    make_faulty_program, faults, agent, make_host
):
    """As on machine n4 in the incident: 17 s back while one text waits for a retry, another is in flight."""
    program = make_faulty_program()
    host = make_host(lambda request: (429,) if request.headers["X-Txn"] == "refused" else (200,))
    silent = make_host(lambda request: request.hang())
    agent.list(host.address)
    agent.list(silent.address, "s-2", dest=2)
    client = program.start()
    assert submit_in_time(client, "refused", d=5000) == "+OK"
    assert host.next().headers["X-Txn"] == "refused"
    assert submit_in_time(client, "out", dest=2, d=1500) == "+OK"
    accepted_at = time.monotonic()
    silent.next()
    host.reply = lambda request: (200,)
    faults.step(-17)  # nothing else happens until the relay's timer has passed its deadline
    assert agent.notice()["ref"] == "out" and time.monotonic() - accepted_at < 1.5 + MAX_LATE_SECONDS
    assert host.next().headers["X-Txn"] == "refused"
    assert submit_in_time(client, "after", d=5000) == "+OK" and host.next().headers["X-Txn"] == "after"
    faults.step(+20)
    assert submit_in_time(client, "later") == "+OK" and host.next().headers["X-Txn"] == "later"


STEPS = [-3600, -60, -3, -0.5, 0.5, 3, 60, 3600]  # seconds
WINDOW = 2.0  # seconds within which the hosts recognize a repeated text
NOTICE, *OTHERS = SETTINGS["classes"]
SHORT_WINDOW = SETTINGS | {"classes": [NOTICE | {"dedupWindow": WINDOW * 1000, "group": "all"}, *OTHERS]}
LONG_WINDOW = SETTINGS | {"classes": [NOTICE | {"dedupWindow": 8000, "group": "all"}, *OTHERS]}


def hang(request):
    request.hang()


def wait_until(moment):
    """Wait until the monotonic clock has reached `moment`."""
    threading.Event().wait(max(0.0, moment - time.monotonic()))


def assert_notice_in_time(agent, text, accepted_at, valid, ready_at=0.0):
    """The notice must come at the end of the text's validity by the monotonic clock, not early, not late.

    `ready_at`: when the process that reports it began to serve; a text that has ended by then is due then."""
    assert agent.notice()["ref"] == text
    passed, due = time.monotonic() - accepted_at, max(valid, ready_at - accepted_at)
    assert valid - 0.5 < passed < due + MAX_LATE_SECONDS, (
        f"{text} ended after {passed:.3f} s, due at {due:.3f}"
    )


@pytest.mark.parametrize("step", STEPS)
def test_a_step_while_texts_wait_moves_no_deadline_no_retry_after_and_no_retry(
    make_faulty_program, faults, agent, make_host, step
):
    program = make_faulty_program()
    host = make_host(lambda request: request.answer(429, Retry_After="0.8"))
    silent = make_host(hang)
    agent.list(host.address)
    agent.list(silent.address, "s-2", dest=2)
    client = program.start()
    assert submit_in_time(client, "told", d=6000) == "+OK"
    refused = host.next()
    assert submit_in_time(client, "out", dest=2, d=1500) == "+OK"
    accepted_at = time.monotonic()
    silent.next()
    host.reply = lambda request: (200,)
    faults.step(step)
    again = host.next()
    assert again.headers["X-Txn"] == "told" and 0.8 <= again.at - refused.at < 2.5
    assert_notice_in_time(agent, "out", accepted_at, 1.5)
    assert submit_in_time(client, "after") == "+OK" and host.next().headers["X-Txn"] == "after"
    line = program.wait_for_log("event=clock-stepped")
    assert abs(int(re.search(r"by_ms=(-?\d+)", line)[1]) - step * 1000) < 20


@pytest.mark.parametrize("step", STEPS)
def test_a_step_between_a_kill_and_the_restart_moves_no_text_s_deadline(
    make_faulty_program, faults, agent, step
):
    program = make_faulty_program()
    agent.list("127.0.0.1:1", status="leaving")  # no host serves this destination
    client = program.start()
    accepted_at = time.monotonic()
    assert client.submit("t1", d=2500) == "+OK"
    program.kill()
    faults.step(step)
    program.start()
    ready_at = time.monotonic()
    assert "by=same-boot" in next(line for line in program.log_lines[::-1] if "event=clock-resumed" in line)
    assert_notice_in_time(agent, "t1", accepted_at, 2.5, ready_at)


@pytest.mark.parametrize("step", STEPS)
def test_a_step_between_a_kill_and_the_restart_moves_no_repeat_window(
    make_faulty_program, faults, agent, make_host, step
):
    """The relay restarts after the window: a wall clock set back must not make it repeat the text."""
    program, host = make_faulty_program(settings=SHORT_WINDOW), make_host(hang)
    agent.list(host.address)
    program.start().submit("t1", "notice", d=20_000)
    first = host.next()
    program.kill()
    faults.step(step)
    wait_until(first.at + WINDOW + 0.2)
    host.reply = lambda request: (200,)
    client = program.start()
    assert agent.notice()["ref"] == "t1"
    assert client.submit("t2") == "+OK" and host.next().headers["X-Txn"] == "t2" and host.requests.empty()


@pytest.mark.parametrize("step", STEPS)
def test_a_restart_within_the_window_repeats_the_text_despite_a_step(
    make_faulty_program, faults, agent, make_host, step
):
    program, host = make_faulty_program(settings=LONG_WINDOW), make_host(hang)
    agent.list(host.address)
    program.start().submit("t1", "notice", d=20_000)
    host.next()
    program.kill()
    faults.step(step)
    host.reply = lambda request: (200,)
    program.start()
    assert host.next().headers["X-Txn"] == "t1"


@pytest.mark.parametrize("step", [-3600, -3, 3, 3600])
def test_a_step_between_the_two_processes_of_an_upgrade_moves_no_deadline(
    make_faulty_program, faults, agent, step
):
    program = make_faulty_program()
    agent.list("127.0.0.1:1", status="leaving")
    client = program.start()
    accepted_at = time.monotonic()
    assert client.submit("t1", d=3000) == "+OK"
    old = program.process
    faults.step(step)
    program.start()
    old.kill()
    old.wait(WAIT_TIMEOUT)
    program.wait_for_log("event=taken-over")
    assert_notice_in_time(agent, "t1", accepted_at, 3.0)


@pytest.mark.parametrize("step", [-3600, 3600])
def test_after_a_reboot_an_earlier_step_moves_no_deadline_and_repeats_no_text_that_may_have_run(
    make_faulty_program, faults, agent, make_host, step
):
    """The step was detected while the machine was up, so it must have no effect after the reboot."""
    program, host = make_faulty_program(settings=SHORT_WINDOW), make_host(hang)
    agent.list(host.address)
    agent.list("127.0.0.1:1", "s-2", dest=2, status="leaving")
    client = program.start()
    faults.step(step)
    program.wait_for_log("event=clock-stepped")
    accepted_at = time.monotonic()
    assert client.submit("held", dest=2, d=3000) == "+OK"
    assert client.submit("ran", "notice", d=20_000) == "+OK"
    host.next()
    program.kill()
    file = AnchorFile(str(program.state))
    with open(file.path, "rb") as kept:
        anchor = Anchor.decode(kept.read())
    replace_file(file.path, structs.replace(anchor, boot="another boot").encode())
    host.reply = lambda request: (200,)
    program.start()
    assert agent.notice()["ref"] == "ran"
    assert_notice_in_time(agent, "held", accepted_at, 3.0)
    client = program.client()
    assert client.submit("new") == "+OK" and host.next().headers["X-Txn"] == "new" and host.requests.empty()


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_step_at_sighup_and_in_a_stop_moves_no_deadline(
    make_faulty_program, faults, agent, make_host, step
):
    program, host = make_faulty_program(stop_ms=1500), make_host(hang)
    agent.list(host.address)
    client = program.start()
    faults.step(step)
    program.configure()
    program.wait_for_log("event=configured")
    assert submit_in_time(client, "t1", d=9000) == "+OK"
    host.next()
    program.terminate()
    program.wait_for_log("event=stopping")
    started_at = time.monotonic()
    faults.step(-step)
    program.wait_for_log("event=stopped")
    assert time.monotonic() - started_at < 1.5 + MAX_LATE_SECONDS
    assert program.process.wait(WAIT_TIMEOUT) == 0
    assert time.monotonic() - started_at < 1.5 + MAX_LATE_SECONDS + MAX_EXIT_SECONDS


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_step_moves_no_timeout_of_a_pause_a_client_or_the_catalog(make_faulty_program, faults, agent, step):
    with socket.create_server(("127.0.0.1", 0)) as spare:
        operator_port = spare.getsockname()[1]
    program = make_faulty_program(operator=f"127.0.0.1:{operator_port}", silence_ms=1000)
    agent.list("127.0.0.1:1")
    client = program.start()
    agent.watches.get(timeout=WAIT_TIMEOUT)
    partial_client = program.client()
    partial_client.socket.sendall(b"*3\r\n$6\r\nSUB")
    faults.step(step)
    started_at = time.monotonic()
    agent.watches.get(timeout=WAIT_TIMEOUT)  # the relay reopens the silent watch
    assert time.monotonic() - started_at < 1.0 + MAX_LATE_SECONDS
    assert partial_client.lines.read() == b"-ERR the command did not come whole in its time\r\n"
    assert time.monotonic() - started_at < 3.5
    with socket.create_connection(("127.0.0.1", operator_port), timeout=WAIT_TIMEOUT) as operator:
        operator.sendall(b"PAUSE\n")
        assert operator.recv(100).startswith(b"+OK")
        paused_at = time.monotonic()
        assert client.lines.read() == b""  # an idle connection is closed one second after PAUSE
        assert time.monotonic() - paused_at < 1.0 + MAX_LATE_SECONDS


def test_the_ledger_command_shows_real_durations_on_a_stepped_machine(make_faulty_program, faults, agent):
    program = make_faulty_program()
    agent.list("127.0.0.1:1", status="leaving")
    assert program.start().submit("t1", d=9000) == "+OK"
    faults.step(3600)
    command = [sys.executable, "-m", "limelatch", "ledger", "list", str(program.state)]
    listed = subprocess.run(command, env=os.environ | faults.environment, capture_output=True, text=True)
    row = next(line for line in listed.stdout.splitlines() if line.startswith("t1"))
    assert 5.0 < float(row.split()[-3]) <= 9.0, listed.stdout
