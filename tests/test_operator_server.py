"""The operators' door, over real loopback sockets, on the relay's process."""

import copy
import json
import socket
import time

import pytest
from conftest import WAIT_TIMEOUT


class OperatorClient:
    """An operator on one connection of the door."""

    def __init__(self, address):
        self.socket = socket.create_connection(address, timeout=WAIT_TIMEOUT)
        self.lines = self.socket.makefile("rb")

    def call(self, line: bytes | str) -> str:
        self.socket.sendall(line if isinstance(line, bytes) else line.encode() + b"\n")
        return self.lines.readline().strip().decode()


@pytest.fixture
def relay(make_program):
    """A relay with a door; it is started by the test."""
    program = make_program()
    with socket.create_server((program.address, 0)) as spare:
        port = spare.getsockname()[1]
    program.file.write_text(
        json.dumps(json.loads(program.file.read_text()) | {"operator": f"{program.address}:{port}"})
    )
    program.operator_address = (program.address, port)
    return program


def test_each_call_is_answered_and_each_bad_one_gets_an_error_on_a_usable_connection(relay, agent, make_host):
    agent.list(make_host().address, "s-1")
    relay.start()
    caller = OperatorClient(relay.operator_address)
    assert caller.call("STATUS").startswith("+OK serving")
    assert caller.call("SUSPEND").startswith("-ERR SUSPEND takes an id")
    assert caller.call("PAUSE now").startswith("-ERR PAUSE takes nothing")
    assert caller.call("RESTORE s-9").startswith("-ERR no host 's-9'")
    assert caller.call("DANCE").startswith("-ERR unknown call")
    assert caller.call(b"STATUS \xff\n").startswith("-ERR a call is a line of plain text")
    assert caller.call(b"S" * 300 + b"\n").startswith("-ERR a call holds 256 bytes")
    assert caller.call("").startswith("-ERR a call is wanted")
    assert caller.call("status\r").startswith("+OK serving")


def test_a_silent_caller_and_one_with_half_a_call_delay_nobody(relay, agent):
    relay.start()
    callers = [
        OperatorClient(relay.operator_address),
        OperatorClient(relay.operator_address),
    ]  # the first says nothing
    callers[1].socket.sendall(b"STAT")
    assert OperatorClient(relay.operator_address).call("STATUS").startswith("+OK")


def test_a_host_suspended_twice_is_drained_until_one_restore(relay, agent, make_host):
    first, second = make_host(), make_host()
    agent.list(first.address, "s-1")
    agent.list(second.address, "s-2")
    client = relay.start()
    caller = OperatorClient(relay.operator_address)
    assert caller.call("SUSPEND s-1").startswith("+OK s-1 out")
    assert caller.call("SUSPEND s-1").startswith("+OK s-1 out, 2")
    for number in range(4):
        assert client.submit(f"t{number}") == "+OK"
        assert second.next().headers["X-Txn"] == f"t{number}"
    assert first.requests.empty()
    assert json.loads((relay.state / "out").read_text()) == {"s-1": 2}
    assert caller.call("RESTORE s-1") == "+OK s-1 back"
    assert json.loads((relay.state / "out").read_text()) == {}


@pytest.mark.parametrize("told", [0, 1])
def test_a_host_suspended_at_one_process_of_an_upgrade_is_drained_by_both(relay, agent, make_host, told):
    first, second = make_host(), make_host()
    agent.list(first.address, "s-1")
    agent.list(second.address, "s-2")
    client = relay.start()
    assert client.submit("t0") == "+OK"
    beside = copy.copy(relay)
    beside.process = None
    with socket.create_server((relay.address, 0)) as spare:
        port = spare.getsockname()[1]
    beside.configure_file(operator=f"{relay.address}:{port}")
    try:
        beside.start()
        callers = OperatorClient(relay.operator_address), OperatorClient((relay.address, port))
        assert callers[told].call("SUSPEND s-1").startswith("+OK")
        time.sleep(1.0)  # from then on it holds, by the operators' page
        while not first.requests.empty():
            first.requests.get()
        for number in range(30):
            assert relay.client().submit(f"t{number + 1}") == "+OK"
            assert second.next().headers["X-Txn"]
        assert first.requests.empty()
        assert callers[1 - told].call("SUSPEND s-2").startswith("+OK")
        assert callers[1 - told].call("RESTORE s-1").startswith("+OK")
        time.sleep(1.0)
        assert relay.client().submit("last") == "+OK"
        while first.next().headers["X-Txn"] != "last":
            pass
        relay.kill()
        beside.wait_for_log("event=taken-over")
        assert json.loads((relay.state / "out").read_text()) == {"s-2": 1}
    finally:
        beside.kill()


def test_hosts_out_outlast_the_process(relay, agent, make_host):
    first, second = make_host(), make_host()
    agent.list(first.address, "s-1")
    agent.list(second.address, "s-2")
    (relay.state / "out").write_text('{"s-1": 1}')
    client = relay.start()
    assert client.submit("t1") == "+OK" and second.next().headers["X-Txn"] == "t1"
    assert first.requests.empty()


def test_a_pause_says_no_to_ping_closes_resting_connections_and_resume_says_yes(relay, agent, make_host):
    host = make_host()
    agent.list(host.address, "s-1")
    client = relay.start()
    caller = OperatorClient(relay.operator_address)
    assert caller.call("PAUSE").startswith("+OK paused")
    assert client.ask("PING").startswith("-ERR")
    assert client.submit("t1") == "+OK"  # a text on an open connection is still taken
    assert client.lines.readline() == b""  # and the connection is closed after the grace
    assert caller.call("RESUME") == "+OK serving"
    assert relay.client().ask("PING") == "+PONG"


def test_a_new_process_serves_beside_the_old_and_takes_over_what_it_owed(program, agent, make_host):
    asked = []

    def reply(request):
        asked.append(request.headers["X-Txn"])
        if len(asked) == 1:  # the first stays out while the old process lives
            request.hang()
            return None
        return (200,)

    host = make_host(reply)
    agent.list(host.address, "s-1")
    client = program.start()
    assert client.submit("t1", product="report") == "+OK"
    twin = copy.copy(program)
    twin.process = None
    try:
        twin.start()  # same file: the same address and folder
        program.kill()  # as the old one is at the latest
        assert "adopted=1" in twin.wait_for_log("event=taken-over")
        assert twin.client().submit("t2") == "+OK"
        until = time.monotonic() + WAIT_TIMEOUT
        while not {"t1", "t2"} <= set(asked) and time.monotonic() < until:
            host.next()
        assert {"t1", "t2"} <= set(asked)
        assert not (program.state / "next" / "ledger").exists()
    finally:
        twin.kill()


def ping(program):
    try:
        return program.client().ask("PING")
    except ConnectionResetError:  # one that came while the old port closed
        return "reset"


def test_an_old_process_told_to_stop_leaves_new_clients_to_its_successor(make_program, agent, make_host):
    agent.list(make_host().address, "s-1")
    program = make_program(stop_least_ms=3000)  # so that it is still there for the clients that come
    program.start()
    twin = copy.copy(program)
    twin.process = None
    try:
        twin.start()
        program.terminate()
        assert "handed_over=true" in program.wait_for_log("event=stopping")
        answers = [ping(program) for _ in range(20)]
        assert "-ERR stopping" not in answers and answers.count("+PONG") >= 18
        assert program.process.wait(WAIT_TIMEOUT) == 0
    finally:
        twin.kill()
