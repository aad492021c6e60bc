"""Requests whose client has gone, and ids that come again."""

import copy
import signal
import socket

import pytest
from test_closes import request
from test_crossings import wait_until

from limelatch.relay.inspection import inspect_ledger

MANY = 200  # requests on one connection; they fit into the kernel's buffers
LONG = 20_000  # milliseconds of validity
REPEATS = (
    "delivered",
    "killed and started again",
    "at the new process",
    "at the old process",
    "old one ended",
)


@pytest.fixture
def relay_pair(make_program):
    """A relay, and a function that starts a further process of it."""
    program, further = make_program(client_idle_ms=20_000), []

    def upgrade():
        new = copy.copy(program)
        new.process = None
        further.append(new)
        new.launch()
        new.wait_for_log("event=serving")
        return new

    yield program, upgrade
    for each in further:
        if each.process is not None:
            each.kill()


def leave(client):
    """Close the connection; the file made from the socket would keep it open."""
    client.lines.close()
    client.socket.close()


def half_close(client):
    """Close the sending side alone."""
    client.socket.shutdown(socket.SHUT_WR)


def client_of(ledger, program, texts):
    """A connection to the process with this ledger, while two accept clients; `texts`: ids to try with."""
    for number in range(200):
        client, text = program.client(), f"{texts}{number}"
        if client.submit(text, d=LONG) == "+OK" and text.encode() in ledger.read_bytes():
            return client
        client.socket.close()
    raise AssertionError(f"no connection came to the process of {ledger}")


def client_of_new(program, texts):
    return client_of(program.state / "next" / "ledger", program, texts)


def client_of_old(program, texts):
    return client_of(program.state / "ledger", program, texts)


@pytest.mark.parametrize("end", [leave, half_close])
def test_requests_behind_a_client_s_close_are_not_sent_on(program, agent, make_host, end):
    """The first is taken on: the relay reads it before it can see the close."""
    host = make_host()
    agent.list(host.address)
    program.start().socket.close()
    client = program.client()
    assert client.ask("PING") == "+PONG"
    program.process.send_signal(signal.SIGSTOP)  # everything, the close too, comes before the relay reads
    client.socket.sendall(b"".join(request(f"t{number}") for number in range(MANY)))
    end(client)
    program.process.send_signal(signal.SIGCONT)
    other = program.client()
    assert other.submit("last", d=LONG) == "+OK"
    wait_until(lambda: any(each.headers["X-Txn"] == "last" for each in list(host.requests.queue)))
    wait_until(lambda: not inspect_ledger(str(program.state)).entries)
    calls = sorted(each.headers["X-Txn"] for each in host.requests.queue)
    assert calls == ["last", "t0"], f"{len(calls) - 1} of {MANY} requests of a client that had gone were sent"


@pytest.mark.parametrize("product", ["charge", "report"])
@pytest.mark.parametrize("repeat", REPEATS)
def test_an_id_that_comes_again_is_not_run_again(relay_pair, agent, make_host, repeat, product):
    program, upgrade = relay_pair
    host = make_host()
    agent.list(host.address)
    client = program.start()
    if repeat == "at the old process":
        upgrade()
        client = client_of_new(program, "new")
    assert client.submit("again", product, d=LONG) == "+OK"
    leave(client)
    wait_until(lambda: any(each.headers["X-Txn"] == "again" for each in list(host.requests.queue)))
    wait_until(lambda: b"again" not in inspect_ledger(str(program.state)).entries)
    if repeat == "killed and started again":
        program.kill()
        second = program.start()
    elif repeat == "at the new process":
        upgrade()
        second = client_of_new(program, "new")
    elif repeat == "at the old process":
        second = client_of_old(program, "old")
    elif repeat == "old one ended":
        new = upgrade()
        program.kill()
        wait_until(lambda: not (program.state / "next" / "ledger").exists())
        second = new.client()
    else:
        second = program.client()
    answer = second.submit("again", product, d=LONG)
    assert second.submit("last", "report", d=LONG) == "+OK"
    wait_until(lambda: any(each.headers["X-Txn"] == "last" for each in list(host.requests.queue)))
    runs = sum(each.headers["X-Txn"] == "again" for each in list(host.requests.queue))
    assert runs == 1, f"ran {runs} times, the second submission was answered {answer}"


def test_a_client_that_half_closes_behind_many_requests_reads_answers_and_an_end(program, agent, make_host):
    """A close over unread bytes would reset the connection, and the answers with it."""
    agent.list(make_host().address)
    program.start().socket.close()
    client = program.client()
    program.process.send_signal(signal.SIGSTOP)
    client.socket.sendall(b"".join(request(f"t{number}", bytes(300)) for number in range(MANY)))
    half_close(client)
    program.process.send_signal(signal.SIGCONT)
    assert client.lines.read() == b"+OK\r\n-BUSY\r\n"
