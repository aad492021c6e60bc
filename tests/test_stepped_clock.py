"""A machine's wall clock is stepped while the relay is at work: spans of real time stay what they are."""

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

ENDS_WITHIN = 1.0  # seconds from a relay's last word to its process's end, on a machine with load too
SLACK = 0.3  # seconds after a text's time within which it must have its end, as the protocol allows
CLIENT_WAIT = 0.4  # seconds that a client waits for the answer to its handing in


def answered(client, text, **more):
    """The relay's answer, which comes within the time that a client waits for it."""
    asked = time.monotonic()
    answer = client.submit(text, **more)
    assert time.monotonic() - asked < CLIENT_WAIT, f"{text} was answered too late"
    return answer


def test_a_wall_clock_stepped_back_delays_no_answer_no_repeat_and_no_end(
    make_faulty_program, faults, agent, make_host
):
    """The incident's machine n4: 17 s back while a text waits to be tried again, another is out."""
    program = make_faulty_program()
    host = make_host(lambda request: (429,) if request.headers["X-Txn"] == "refused" else (200,))
    silent = make_host(lambda request: request.hang())
    agent.list(host.address)
    agent.list(silent.address, "s-2", dest=2)
    client = program.start()
    assert answered(client, "refused", d=5000) == "+OK"
    assert host.next().headers["X-Txn"] == "refused"
    assert answered(client, "out", dest=2, d=1500) == "+OK"
    taken = time.monotonic()
    silent.next()
    host.reply = lambda request: (200,)
    faults.step(-17)  # nothing else happens until the due time that the relay's timer is set to has passed
    assert agent.notice()["ref"] == "out" and time.monotonic() - taken < 1.5 + SLACK
    assert host.next().headers["X-Txn"] == "refused"
    assert answered(client, "after", d=5000) == "+OK" and host.next().headers["X-Txn"] == "after"
    faults.step(+20)
    assert answered(client, "later") == "+OK" and host.next().headers["X-Txn"] == "later"


STEPS = [-3600, -60, -3, -0.5, 0.5, 3, 60, 3600]  # seconds
WINDOW = 2.0  # seconds in which the hosts here know a repeat
NOTICE, *OTHERS = SETTINGS["classes"]
SHORT = SETTINGS | {"classes": [NOTICE | {"dedupWindow": WINDOW * 1000, "group": "all"}, *OTHERS]}
WIDE = SETTINGS | {"classes": [NOTICE | {"dedupWindow": 8000, "group": "all"}, *OTHERS]}


def hang(request):
    request.hang()


def wait_until(moment):
    """Until the monotonic clock has come to it."""
    threading.Event().wait(max(0.0, moment - time.monotonic()))


def ends_in_time(agent, text, taken, valid):
    """The text's notice comes at its time by the monotonic clock: neither early nor late."""
    assert agent.notice()["ref"] == text
    passed = time.monotonic() - taken
    assert valid - 0.5 < passed < valid + SLACK, f"{text} ended after {passed:.3f} s of {valid}"


@pytest.mark.parametrize("step", STEPS)
def test_a_step_while_texts_wait_moves_no_end_no_told_wait_and_no_repeat(
    make_faulty_program, faults, agent, make_host, step
):
    program = make_faulty_program()
    host = make_host(lambda request: request.answer(429, Retry_After="0.8"))
    silent = make_host(hang)
    agent.list(host.address)
    agent.list(silent.address, "s-2", dest=2)
    client = program.start()
    assert answered(client, "told", d=6000) == "+OK"
    refused = host.next()
    assert answered(client, "out", dest=2, d=1500) == "+OK"
    taken = time.monotonic()
    silent.next()
    host.reply = lambda request: (200,)
    faults.step(step)
    again = host.next()
    assert again.headers["X-Txn"] == "told" and 0.8 <= again.at - refused.at < 2.5
    ends_in_time(agent, "out", taken, 1.5)
    assert answered(client, "after") == "+OK" and host.next().headers["X-Txn"] == "after"
    told = program.wait_for_log("event=clock-stepped")
    assert abs(int(re.search(r"by_ms=(-?\d+)", told)[1]) - step * 1000) < 20


@pytest.mark.parametrize("step", STEPS)
def test_a_step_between_a_kill_and_the_restart_moves_no_text_s_time(make_faulty_program, faults, agent, step):
    program = make_faulty_program()
    agent.list("127.0.0.1:1", status="leaving")  # nobody takes texts for this destination
    client = program.start()
    taken = time.monotonic()
    assert client.submit("t1", d=2500) == "+OK"
    program.kill()
    faults.step(step)
    program.start()
    assert "by=same-boot" in next(line for line in program.log_lines[::-1] if "event=clock-resumed" in line)
    ends_in_time(agent, "t1", taken, 2.5)


@pytest.mark.parametrize("step", STEPS)
def test_a_step_between_a_kill_and_the_restart_moves_no_repeat_window(
    make_faulty_program, faults, agent, make_host, step
):
    """Back after the window: a clock that was set back must not have the text repeated."""
    program, host = make_faulty_program(settings=SHORT), make_host(hang)
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
def test_a_restart_within_the_window_repeats_whatever_the_step(
    make_faulty_program, faults, agent, make_host, step
):
    program, host = make_faulty_program(settings=WIDE), make_host(hang)
    agent.list(host.address)
    program.start().submit("t1", "notice", d=20_000)
    host.next()
    program.kill()
    faults.step(step)
    host.reply = lambda request: (200,)
    program.start()
    assert host.next().headers["X-Txn"] == "t1"


@pytest.mark.parametrize("step", [-3600, -3, 3, 3600])
def test_a_step_between_the_two_processes_of_an_upgrade_moves_no_text_s_time(
    make_faulty_program, faults, agent, step
):
    program = make_faulty_program()
    agent.list("127.0.0.1:1", status="leaving")
    client = program.start()
    taken = time.monotonic()
    assert client.submit("t1", d=3000) == "+OK"
    old = program.process
    faults.step(step)
    program.start()
    old.kill()
    old.wait(WAIT_TIMEOUT)
    program.wait_for_log("event=taken-over")
    ends_in_time(agent, "t1", taken, 3.0)


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_reboot_goes_on_by_the_wall_clock_and_repeats_nothing_that_may_have_run(
    make_faulty_program, faults, agent, make_host, step
):
    """The wall clock was stepped while the machine was up, and seen to be: it counts for nothing after."""
    program, host = make_faulty_program(settings=SHORT), make_host(hang)
    agent.list(host.address)
    agent.list("127.0.0.1:1", "s-2", dest=2, status="leaving")
    client = program.start()
    faults.step(step)
    program.wait_for_log("event=clock-stepped")
    taken = time.monotonic()
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
    ends_in_time(agent, "held", taken, 3.0)
    client = program.client()
    assert client.submit("new") == "+OK" and host.next().headers["X-Txn"] == "new" and host.requests.empty()


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_step_at_sighup_and_in_a_stop_leaves_their_spans(
    make_faulty_program, faults, agent, make_host, step
):
    program, host = make_faulty_program(stop_ms=1500), make_host(hang)
    agent.list(host.address)
    client = program.start()
    faults.step(step)
    program.configure()
    program.wait_for_log("event=configured")
    assert answered(client, "t1", d=9000) == "+OK"
    host.next()
    program.terminate()
    program.wait_for_log("event=stopping")
    began = time.monotonic()
    faults.step(-step)
    program.wait_for_log("event=stopped")
    assert time.monotonic() - began < 1.5 + SLACK
    assert program.process.wait(WAIT_TIMEOUT) == 0
    assert time.monotonic() - began < 1.5 + SLACK + ENDS_WITHIN


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_step_moves_neither_a_drain_nor_the_silence_of_a_client_or_the_catalog(
    make_faulty_program, faults, agent, step
):
    with socket.create_server(("127.0.0.1", 0)) as spare:
        door_port = spare.getsockname()[1]
    program = make_faulty_program(operator=f"127.0.0.1:{door_port}", silence_ms=1000)
    agent.list("127.0.0.1:1")
    client = program.start()
    agent.watches.get(timeout=WAIT_TIMEOUT)
    half = program.client()
    half.socket.sendall(b"*3\r\n$6\r\nSUB")
    faults.step(step)
    began = time.monotonic()
    agent.watches.get(timeout=WAIT_TIMEOUT)  # the silent watch is opened anew
    assert time.monotonic() - began < 1.0 + SLACK
    assert half.lines.read() == b"-ERR the command did not come whole in its time\r\n"
    assert time.monotonic() - began < 3.5
    with socket.create_connection(("127.0.0.1", door_port), timeout=WAIT_TIMEOUT) as operator:
        operator.sendall(b"PAUSE\n")
        assert operator.recv(100).startswith(b"+OK")
        paused = time.monotonic()
        assert client.lines.read() == b""  # a resting connection is closed after a second's grace
        assert time.monotonic() - paused < 1.0 + SLACK


def test_the_ledger_command_tells_real_spans_on_a_stepped_machine(make_faulty_program, faults, agent):
    program = make_faulty_program()
    agent.list("127.0.0.1:1", status="leaving")
    assert program.start().submit("t1", d=9000) == "+OK"
    faults.step(3600)
    words = [sys.executable, "-m", "limelatch", "ledger", "list", str(program.state)]
    listed = subprocess.run(words, env=os.environ | faults.environment, capture_output=True, text=True)
    row = next(line for line in listed.stdout.splitlines() if line.startswith("t1"))
    assert 5.0 < float(row.split()[-3]) <= 9.0, listed.stdout
