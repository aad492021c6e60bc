"""Whatever closes a client's connection, a request whose last byte was written to it is answered first."""

import errno
import threading
import time

import pytest
from conftest import WAIT_TIMEOUT

PARTS = 40  # places at which the request is cut: the rest comes in the moment of the close
COMMAND_MS = 150


def request(text, body=b"hello"):
    words = [b"SUBMIT", b"0000", text.encode(), b"c=report,t=acme,d=9000,k=5c0f,dest=1", body]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in words)


def answer(client):
    """The line that the client reads; a reset where it has none."""
    try:
        return client.lines.readline()
    except OSError as error:
        return repr(error)


def test_the_rest_of_a_command_that_comes_as_its_time_is_over_is_answered(make_program, agent, make_host):
    """A whole request, its last byte written round the moment in which half a command is closed."""
    program, host = make_program(client_command_ms=COMMAND_MS), make_host()
    agent.list(host.address)
    program.start()
    clients = [program.client() for _ in range(PARTS)]
    began = time.monotonic()
    for number, client in enumerate(clients):
        whole = request(f"t{number}")
        client.socket.sendall(whole[:30])
        client.rest = whole[30:]
    answers = {}
    for number, client in enumerate(clients):
        due = began + (COMMAND_MS + 100 * number / PARTS) / 1000  # a look comes within 100 ms
        threading.Event().wait(max(0.0, due - time.monotonic()))
        try:
            client.socket.sendall(client.rest)
        except OSError:
            answers[number] = b"closed before"  # its last byte was never written
    for number, client in enumerate(clients):
        answers.setdefault(number, answer(client))
    assert all(isinstance(each, bytes) and each[:1] in (b"+", b"-", b"c") for each in answers.values()), (
        answers
    )


@pytest.mark.parametrize("more", [b"x" * 100, b"x" * 15_000])
def test_an_error_is_read_whatever_still_comes_behind_what_is_wrong(program, agent, more):
    """A close over unread bytes resets the connection and takes the answer with it."""
    agent.list("127.0.0.1:1")
    program.start()
    for _ in range(20):
        client = program.client()
        client.socket.settimeout(WAIT_TIMEOUT)
        client.socket.sendall(b"*x\r\n" + more)
        assert answer(client).startswith(b"-ERR Protocol error")
        for _ in range(3):
            client.socket.sendall(more)  # a reset would be told here
            threading.Event().wait(0.01)
        assert answer(client) == b""


def test_a_client_that_sends_without_end_is_read_past_for_a_command_s_length(program, agent):
    agent.list("127.0.0.1:1")
    program.start()
    client = program.client()
    client.socket.sendall(b"*x\r\n")
    assert answer(client).startswith(b"-ERR")
    with pytest.raises(OSError):
        for _ in range(400):  # 6 MB, which half a second takes
            client.socket.sendall(b"x" * 15_000)


def test_a_client_that_gives_way_for_memory_hears_so_though_it_goes_on_writing(make_program, agent):
    program = make_program(limits={"memory_mb": 1})  # of which an eighth
    client = program.start()
    half = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nt1\r\n$20\r\nc=report,d=9000,dest\r\n$60000\r\n"
    large, others = program.client(), [program.client() for _ in range(2)]
    large.socket.sendall(half + bytes(59000))
    for each in others:
        each.socket.sendall(half + bytes(40000))
    large.socket.sendall(bytes(1000) + b"\r\n")
    assert answer(large) == b"-BUSY\r\n" and answer(large) == b""
    assert client.ask("PING") == "+PONG"


def test_a_command_on_its_way_at_a_stop_is_answered(make_program, agent):
    """Nothing is owed, and the relay could end at once."""
    program = make_program(stop_least_ms=100)
    agent.list("127.0.0.1:1")
    program.start()
    client, whole = program.client(), request("t1")
    client.socket.sendall(whole[:30])
    threading.Event().wait(0.1)
    program.terminate()
    program.wait_for_log("event=stopping")
    threading.Event().wait(0.25)
    client.socket.sendall(whole[30:])
    assert answer(client) == b"-BUSY\r\n"
    assert program.process.wait(WAIT_TIMEOUT) == 0


def test_several_commands_at_once_are_all_answered_before_a_stop_closes(make_program, agent, make_host):
    program, host = make_program(stop_least_ms=50), make_host()
    agent.list(host.address)
    program.start()
    clients = [program.client() for _ in range(8)]
    for number, client in enumerate(clients):
        client.socket.sendall(b"".join(request(f"c{number}-{each}") for each in range(10)))
    program.terminate()
    for client in clients:
        answers = [answer(client) for _ in range(10)]
        assert all(isinstance(each, bytes) for each in answers)
        told = [each for each in answers if each]
        assert all(each in (b"+OK\r\n", b"-BUSY\r\n") for each in told), answers
        assert len(told) == 10, answers


def test_a_client_that_lingers_holds_its_descriptor_no_longer_than_half_a_second(make_program, agent):
    program = make_program(client_command_ms=COMMAND_MS)
    agent.list("127.0.0.1:1")
    program.start()
    bad = program.client()
    bad.socket.sendall(b"*2\r\n$6\r\nSUB")
    assert answer(bad).startswith(b"-ERR") and bad.lines.readline() == b""
    until = time.monotonic() + 2.0
    with pytest.raises(OSError) as ended:
        while time.monotonic() < until:  # it goes on writing, and never closes
            bad.socket.sendall(b"x")
            threading.Event().wait(0.02)
    assert ended.value.errno in (errno.ECONNRESET, errno.EPIPE)
    assert program.client().ask("PING") == "+PONG"
