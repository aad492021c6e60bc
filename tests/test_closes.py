"""A request that was completely written is answered, whatever closes the client's connection."""

import errno
import threading
import time

import pytest
from conftest import WAIT_TIMEOUT

PARTS = 40  # clients, whose requests are completed at different moments around the close
COMMAND_MS = 150  # time limit of a command
MANY_COMMANDS = 140  # of 59 KB each, more than any memory limit leaves for commands


def request(text, body=b"hello"):
    arguments = [b"SUBMIT", b"0000", text.encode(), b"c=report,t=acme,d=9000,k=5c0f,dest=1", body]
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in arguments)


def read_reply(client):
    """The line that the client reads, or the error as text, such as a reset."""
    try:
        return client.lines.readline()
    except OSError as error:
        return repr(error)


def test_a_command_completed_as_its_time_limit_passes_is_answered(make_program, agent, make_host):
    """The last byte is written around the moment when an incomplete command is closed."""
    program, host = make_program(client_command_ms=COMMAND_MS), make_host()
    agent.list(host.address)
    program.start()
    clients = [program.client() for _ in range(PARTS)]
    started_at = time.monotonic()
    for number, client in enumerate(clients):
        whole = request(f"t{number}")
        client.socket.sendall(whole[:30])
        client.rest = whole[30:]
    answers = {}
    for number, client in enumerate(clients):
        due = started_at + (COMMAND_MS + 100 * number / PARTS) / 1000  # the relay checks within 100 ms
        threading.Event().wait(max(0.0, due - time.monotonic()))
        try:
            client.socket.sendall(client.rest)
        except OSError:
            answers[number] = b"closed before"  # its last byte was never written
    for number, client in enumerate(clients):
        answers.setdefault(number, read_reply(client))
    assert all(isinstance(each, bytes) and each[:1] in (b"+", b"-", b"c") for each in answers.values()), (
        answers
    )


@pytest.mark.parametrize("more", [b"x" * 100, b"x" * 15_000])
def test_an_error_reply_is_readable_whatever_follows_the_invalid_input(program, agent, more):
    """A close with unread bytes resets the connection, and the answer is lost."""
    agent.list("127.0.0.1:1")
    program.start()
    for _ in range(20):
        client = program.client()
        client.socket.settimeout(WAIT_TIMEOUT)
        client.socket.sendall(b"*x\r\n" + more)
        assert read_reply(client).startswith(b"-ERR Protocol error")
        for _ in range(3):
            client.socket.sendall(more)  # a reset would be seen here
            threading.Event().wait(0.01)
        assert read_reply(client) == b""


def test_of_a_client_that_sends_without_end_one_command_s_size_is_discarded(program, agent):
    agent.list("127.0.0.1:1")
    program.start()
    client = program.client()
    client.socket.sendall(b"*x\r\n")
    assert read_reply(client).startswith(b"-ERR")
    with pytest.raises(OSError):
        for _ in range(400):  # 6 MB, sent within half a second
            client.socket.sendall(b"x" * 15_000)


def test_a_client_closed_for_lack_of_memory_gets_busy_although_it_goes_on_writing(make_program, agent):
    program = make_program(limits={"memory_mb": 64, "sockets": 1024, "disk_mb": 3})
    client = program.start()
    half = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nt1\r\n$20\r\nc=report,d=9000,dest\r\n$65000\r\n"
    large, others = program.client(), [program.client() for _ in range(MANY_COMMANDS)]
    large.socket.sendall(half + bytes(64_000))
    for each in others:
        each.socket.sendall(half + bytes(59_000))
    large.socket.sendall(bytes(900))  # the command is not whole, whichever connection the relay reads first
    assert read_reply(large) == b"-BUSY\r\n" and read_reply(large) == b""
    assert client.ask("PING") == "+PONG"


def test_a_command_being_received_at_a_stop_is_answered(make_program, agent):
    """No text is unfinished, so that the relay could stop at once."""
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
    assert read_reply(client) == b"-BUSY\r\n"
    assert program.process.wait(WAIT_TIMEOUT) == 0


def test_pipelined_commands_are_all_answered_before_a_stop_closes_the_connection(
    make_program, agent, make_host
):
    program, host = make_program(stop_least_ms=50), make_host()
    agent.list(host.address)
    program.start()
    clients = [program.client() for _ in range(8)]
    for number, client in enumerate(clients):
        client.socket.sendall(b"".join(request(f"c{number}-{each}") for each in range(10)))
    program.terminate()
    for client in clients:
        answers = [read_reply(client) for _ in range(10)]
        assert all(isinstance(each, bytes) for each in answers)
        replies = [each for each in answers if each]
        assert all(each in (b"+OK\r\n", b"-BUSY\r\n") for each in replies), answers
        assert len(replies) == 10, answers


def test_a_lingering_connection_is_closed_within_half_a_second(make_program, agent):
    program = make_program(client_command_ms=COMMAND_MS)
    agent.list("127.0.0.1:1")
    program.start()
    client = program.client()
    client.socket.sendall(b"*2\r\n$6\r\nSUB")
    assert read_reply(client).startswith(b"-ERR") and client.lines.readline() == b""
    until = time.monotonic() + 2.0
    with pytest.raises(OSError) as ended:
        while time.monotonic() < until:  # it goes on writing and never closes
            client.socket.sendall(b"x")
            threading.Event().wait(0.02)
    assert ended.value.errno in (errno.ECONNRESET, errno.EPIPE)
    assert program.client().ask("PING") == "+PONG"
