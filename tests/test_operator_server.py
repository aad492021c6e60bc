"""The operators' port of a running relay, over real loopback sockets."""

import copy
import errno
import json
import socket
import time

import pytest
from conftest import WAIT_TIMEOUT


class OperatorClient:
    """One operator's connection to a relay."""

    def __init__(self, address):
        self.socket = socket.create_connection(address, timeout=WAIT_TIMEOUT)
        self.lines = self.socket.makefile("rb")

    def call(self, line: bytes | str) -> str:
        self.socket.sendall(line if isinstance(line, bytes) else line.encode() + b"\n")
        return self.lines.readline().strip().decode()


@pytest.fixture
def relay(make_program):
    """A relay with an operators' port; the test starts it."""
    program = make_program()
    with socket.create_server((program.address, 0)) as spare:
        port = spare.getsockname()[1]
    program.file.write_text(
        json.dumps(json.loads(program.file.read_text()) | {"operator": f"{program.address}:{port}"})
    )
    program.operator_address = (program.address, port)
    return program


def test_each_command_is_answered_and_an_invalid_one_leaves_the_connection_usable(relay, agent, make_host):
    agent.list(make_host().address, "s-1")
    relay.start()
    operator = OperatorClient(relay.operator_address)
    assert operator.call("STATUS").startswith("+OK serving")
    assert operator.call("SUSPEND").startswith("-ERR SUSPEND takes an id")
    assert operator.call("PAUSE now").startswith("-ERR PAUSE takes nothing")
    assert operator.call("RESTORE s-9").startswith("-ERR no host 's-9'")
    assert operator.call("DANCE").startswith("-ERR unknown call")
    assert operator.call(b"STATUS \xff\n").startswith("-ERR a call is a line of plain text")
    assert operator.call(b"S" * 300 + b"\n").startswith("-ERR a call holds 256 bytes")
    assert operator.call("").startswith("-ERR a call is wanted")
    assert operator.call("status\r").startswith("+OK serving")


def test_a_silent_connection_and_one_with_a_partial_command_delay_no_other(relay, agent):
    relay.start()
    operators = [
        OperatorClient(relay.operator_address),
        OperatorClient(relay.operator_address),
    ]  # the first stays silent
    operators[1].socket.sendall(b"STAT")
    assert OperatorClient(relay.operator_address).call("STATUS").startswith("+OK")


def test_a_host_suspended_twice_is_drained_until_one_restore(relay, agent, make_host):
    first, second = make_host(), make_host()
    agent.list(first.address, "s-1")
    agent.list(second.address, "s-2")
    client = relay.start()
    operator = OperatorClient(relay.operator_address)
    assert operator.call("SUSPEND s-1").startswith("+OK s-1 out")
    assert operator.call("SUSPEND s-1").startswith("+OK s-1 out, 2")
    for number in range(4):
        assert client.submit(f"t{number}") == "+OK"
        assert second.next().headers["X-Txn"] == f"t{number}"
    assert first.requests.empty()
    assert json.loads((relay.state / "out").read_text()) == {"s-1": 2}
    assert operator.call("RESTORE s-1") == "+OK s-1 back"
    assert json.loads((relay.state / "out").read_text()) == {}


@pytest.mark.parametrize("told", [0, 1])
def test_a_host_suspended_at_one_process_of_an_upgrade_is_drained_by_both(relay, agent, make_host, told):
    first, second = make_host(), make_host()
    agent.list(first.address, "s-1")
    agent.list(second.address, "s-2")
    client = relay.start()
    assert client.submit("t0") == "+OK"
    standby = copy.copy(relay)
    standby.process = None
    with socket.create_server((relay.address, 0)) as spare:
        port = spare.getsockname()[1]
    standby.configure_file(operator=f"{relay.address}:{port}")
    try:
        standby.start()
        operators = OperatorClient(relay.operator_address), OperatorClient((relay.address, port))
        assert operators[told].call("SUSPEND s-1").startswith("+OK")
        time.sleep(1.0)  # then it is in force in both processes, as documented for operators
        while not first.requests.empty():
            first.requests.get()
        for number in range(30):
            assert relay.client().submit(f"t{number + 1}") == "+OK"
            assert second.next().headers["X-Txn"]
        assert first.requests.empty()
        assert operators[1 - told].call("SUSPEND s-2").startswith("+OK")
        assert operators[1 - told].call("RESTORE s-1").startswith("+OK")
        time.sleep(1.0)
        assert relay.client().submit("last") == "+OK"
        while first.next().headers["X-Txn"] != "last":
            pass
        relay.kill()
        standby.wait_for_log("event=taken-over")
        assert json.loads((relay.state / "out").read_text()) == {"s-2": 1}
    finally:
        standby.kill()


def test_suspended_hosts_stay_suspended_after_a_restart(relay, agent, make_host):
    first, second = make_host(), make_host()
    agent.list(first.address, "s-1")
    agent.list(second.address, "s-2")
    (relay.state / "out").write_text('{"s-1": 1}')
    client = relay.start()
    assert client.submit("t1") == "+OK" and second.next().headers["X-Txn"] == "t1"
    assert first.requests.empty()


def test_pause_fails_pings_and_closes_idle_connections_and_resume_serves_again(relay, agent, make_host):
    host = make_host()
    agent.list(host.address, "s-1")
    client = relay.start()
    operator = OperatorClient(relay.operator_address)
    assert operator.call("PAUSE").startswith("+OK paused")
    assert client.ask("PING").startswith("-ERR")
    assert client.submit("t1") == "+OK"  # a text on an open connection is still accepted
    assert client.lines.readline() == b""  # and the connection is closed after the grace period
    assert operator.call("RESUME") == "+OK serving"
    assert relay.client().ask("PING") == "+PONG"


def add_operator_port(program):
    """Give the program's next process an operators' address of its own, and return it."""
    with socket.create_server((program.address, 0)) as spare:
        address = program.address, spare.getsockname()[1]
    program.configure_file(operator="{}:{}".format(*address))
    return address


@pytest.fixture
def upgrade(relay, agent, make_host):
    """A function that starts a new process beside the relay's; returns an operator's client of it."""
    agent.list(make_host().address, "s-1")
    started = []

    def start():
        standby = copy.copy(relay)
        standby.process = None
        standby.operator_address = add_operator_port(standby)
        started.append(standby)
        standby.start()
        return standby, OperatorClient(standby.operator_address)

    yield start
    for each in started:
        if each.process is not None:
            each.kill()


def pings(program):
    """The answers to PING on so many connections that both processes of an upgrade are asked."""
    return {program.client().ask("PING") for _ in range(30)}


def wait_for_pings(program, answer):
    """Wait until every process gives this answer; AssertionError after WAIT_TIMEOUT seconds."""
    until = time.monotonic() + WAIT_TIMEOUT
    while (answers := pings(program)) != {answer}:
        assert time.monotonic() < until, answers


def test_a_drained_relay_stays_drained_over_an_upgrade(relay, upgrade):
    """Guards against a new process that says yes to PING, for a relay that an operator has drained."""
    relay.start()
    assert OperatorClient(relay.operator_address).call("PAUSE").startswith("+OK paused")
    standby, operator = upgrade()
    assert pings(relay) == {"-ERR paused"}
    assert "paused=yes" in operator.call("STATUS")
    relay.terminate()
    assert relay.process.wait(WAIT_TIMEOUT) == 0
    standby.wait_for_log("event=taken-over")
    assert pings(relay) == {"-ERR paused"}
    assert operator.call("RESUME") == "+OK serving"
    assert pings(relay) == {"+PONG"}


@pytest.mark.parametrize("told", [0, 1])
def test_a_drain_begun_or_ended_at_one_process_of_an_upgrade_holds_for_both(relay, upgrade, told):
    """Guards against a drain that half of the new connections do not meet."""
    relay.start()
    operators = OperatorClient(relay.operator_address), upgrade()[1]
    assert operators[told].call("PAUSE").startswith("+OK paused")
    wait_for_pings(relay, "-ERR paused")
    assert operators[1 - told].call("RESUME") == "+OK serving"
    wait_for_pings(relay, "+PONG")


def test_a_drain_outlasts_both_processes_until_it_is_ended(relay, upgrade):
    relay.start()
    standby, operator = upgrade()
    assert operator.call("PAUSE").startswith("+OK paused")
    relay.kill()
    standby.kill()
    assert relay.start().ask("PING") == "-ERR paused"
    assert OperatorClient(standby.operator_address).call("RESUME") == "+OK serving"
    assert relay.client().ask("PING") == "+PONG"
    relay.kill()
    assert relay.start().ask("PING") == "+PONG"


def test_a_new_process_serves_alongside_the_old_and_takes_over_its_open_texts(program, agent, make_host):
    called = []

    def reply(request):
        called.append(request.headers["X-Txn"])
        if len(called) == 1:  # the first call stays in flight while the old process runs
            request.hang()
            return None
        return (200,)

    host = make_host(reply)
    agent.list(host.address, "s-1")
    client = program.start()
    assert client.submit("t1", product="report") == "+OK"
    successor = copy.copy(program)
    successor.process = None
    try:
        successor.start()  # same configuration file: the same address and state directory
        program.kill()  # an upgrade kills the old process at the latest
        assert "adopted=1" in successor.wait_for_log("event=taken-over")
        assert successor.client().submit("t2") == "+OK"
        until = time.monotonic() + WAIT_TIMEOUT
        while not {"t1", "t2"} <= set(called) and time.monotonic() < until:
            host.next()
        assert {"t1", "t2"} <= set(called)
        assert not (program.state / "next" / "ledger").exists()
    finally:
        successor.kill()


def ping(program):
    try:
        return program.client().ask("PING")
    except ConnectionResetError:  # the connection came while the old port was closing
        return "reset"


def test_an_old_process_that_stops_leaves_new_clients_to_its_successor(make_program, agent, make_host):
    agent.list(make_host().address, "s-1")
    program = make_program(stop_least_ms=3000)  # so that it still runs while the clients connect
    program.start()
    successor = copy.copy(program)
    successor.process = None
    try:
        successor.start()
        program.terminate()
        assert "handed_over=true" in program.wait_for_log("event=stopping")
        answers = [ping(program) for _ in range(20)]
        assert "-ERR stopping" not in answers and answers.count("+PONG") >= 18
        assert program.process.wait(WAIT_TIMEOUT) == 0
    finally:
        successor.kill()


def test_a_start_waits_until_the_machine_has_a_descriptor_for_the_operators_port(
    make_faulty_program, faults, agent
):
    program = make_faulty_program()
    agent.list("127.0.0.1:1")
    with socket.create_server((program.address, 0)) as spare:
        address = spare.getsockname()[:2]
    program.configure_file(operator="{}:{}".format(*address))
    rule = faults.fail("socket", errno.ENFILE, times=6)
    program.launch()
    assert "listen={}:{}".format(*address) in program.wait_for_log("event=port-taken")
    program.wait_for_log("event=serving")
    assert rule.hits == 6 and OperatorClient(address).call("STATUS").startswith("+OK serving")


def test_a_start_ends_with_a_usage_error_where_the_operators_port_stays_taken(program, agent):
    agent.list("127.0.0.1:1")
    with socket.create_server((program.address, 0)) as taken:
        program.configure_file(operator="{}:{}".format(*taken.getsockname()[:2]))
        program.launch()
        program.wait_for_log("event=not-serving")
        assert program.process.wait(WAIT_TIMEOUT) == 2
