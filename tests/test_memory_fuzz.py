"""Any bytes in any pieces: clients' connections hold what the account says, and it keeps its limit."""

import gc
import logging
import os
import tracemalloc
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_command_budget import Turns
from test_crossings import RunningReactor
from test_parts import SocketPairTransport

from limelatch.interface import SECOND
from limelatch.memory_plan import CONNECTION_SIZE
from limelatch.relay.client_listener import Listener

EXAMPLES = int(os.environ.get("LIMELATCH_FUZZ_EXAMPLES", "60"))
LIMIT = 100_000  # bytes of the account
CLIENTS = 4


class DiscardingTransport(SocketPairTransport):
    """Keeps nothing of what is written."""

    def write(self, data):
        pass


def lines(text):
    return text.replace("|", "\r\n").encode()


WORDS = st.sampled_from(
    [
        b"\r\n",
        b"PING\r\n",
        b"*\r\n",
        b"$-1\r\n",
        *map(lines, ("*1|$4|PING|", "*5|", "*16|", "*99|", "$1|x|", "$3|abc|", "$6|SUBMIT|", "$0||")),
        *map(lines, ("$70000|", "$64000|", "$5000|", "$2000000|", "SUBMIT 0 t1 c=report,d=9000,dest=1 x|")),
        *map(lines, ("*5|$6|SUBMIT|$1|0|$2|t1|$19|c=report,d=9,dest=1|$60000|",)),
    ]
)
RUNS = st.builds(
    lambda unit, count: unit * count,
    st.sampled_from([b"a ", b"x", b"\0", b",", b"\r\n"]),
    st.integers(0, 20_000),
)
INPUTS = st.lists(st.one_of(WORDS, RUNS, st.binary(max_size=40)), max_size=25).map(b"".join)
PIECES = st.lists(st.sampled_from([1, 7, 100, 4096, 16_384]), min_size=1, max_size=6)


HANDLE = SimpleNamespace(cancel=lambda: None)


class QuietTurns(Turns):
    """Turns that allocate nothing for a callback."""

    def after(self, wait, call):
        (self.later if wait else self.due).append(call)
        return HANDLE


def make_listener():
    turns = QuietTurns(RunningReactor())
    plan = SimpleNamespace(client_idle_timeout=2 * SECOND, client_command_timeout=2 * SECOND)
    driver = SimpleNamespace(clock=turns.clock, deadlines=turns, plan=plan)
    driver.submission_received = lambda submission, client: client.answer("-BUSY")
    return Listener(driver, CLIENTS, LIMIT), turns


@pytest.fixture(scope="module", autouse=True)
def quiet_and_warm():
    """Nothing but the connections takes memory: log records are not kept, and first calls are done."""
    logging.disable(logging.CRITICAL)
    listener, turns = make_listener()
    client = listener.buildProtocol(None)
    client.makeConnection(DiscardingTransport())
    client.dataReceived(lines("|PING|BAD|SUBMIT 0 t1 c=report,d=9,dest=1 x|*x|"))
    turns.run()
    client.connectionLost(None)
    yield
    logging.disable(logging.NOTSET)


def cut(data, sizes):
    """The input in pieces of these sizes, again and again; few where they are small."""
    at, index = 0, 0
    while at < len(data):
        size = max(sizes[index % len(sizes)], len(data) // 400)
        yield data[at : at + size]
        at, index = at + size, index + 1


def excess_of(inputs):
    """The most bytes that are held beyond the account and what connections need at rest."""
    listener, turns = make_listener()
    clients = [listener.buildProtocol(None) for _ in inputs]
    for client in clients:
        client.makeConnection(DiscardingTransport())
    gc.collect()
    tracemalloc.start()
    excess = 0
    try:
        before = tracemalloc.get_traced_memory()[0]
        for client, (data, sizes) in zip(clients, inputs, strict=True):
            for piece in cut(data, sizes):
                if client.end_reason is None and client.transport.producerState != "paused":
                    client.dataReceived(piece)
                del piece
                assert listener.memory.total <= LIMIT
                turns.run()
            held = tracemalloc.get_traced_memory()[0] - before
            excess = max(excess, held - listener.memory.total - len(clients) * CONNECTION_SIZE)
    finally:
        tracemalloc.stop()
        for client in clients:
            client.connectionLost(None)
            client.transport.socket.close()
            client.transport.peer.close()
    assert listener.memory.total == 0
    return excess


@settings(max_examples=EXAMPLES, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(st.tuples(INPUTS, PIECES), min_size=1, max_size=CLIENTS))
def test_the_account_covers_what_clients_input_takes(inputs):
    """What connections hold is the same in each run; hypothesis itself allocates in one run alone."""
    assert not (excess_of(inputs) and excess_of(inputs))


@pytest.mark.parametrize("size", [1000, 60_000])
def test_the_account_is_credited_as_soon_as_a_command_is_done(size):
    listener, turns = make_listener()
    client = listener.buildProtocol(None)
    client.makeConnection(DiscardingTransport())
    head = lines("*5|$6|SUBMIT|$1|0|$2|t1|$19|c=report,d=9,dest=1|") + b"$%d\r\n" % size
    whole = head + bytes(size) + b"\r\n"
    for piece in cut(whole[:-100], [4096]):
        client.dataReceived(piece)
    assert listener.memory.total >= size - 100
    client.dataReceived(whole[-100:])
    turns.run()
    assert listener.memory.total <= 1024
    client.connectionLost(None)


def test_a_body_in_very_small_pieces_takes_no_more_than_its_bytes():
    listener, turns = make_listener()
    client = listener.buildProtocol(None)
    client.makeConnection(DiscardingTransport())
    client.dataReceived(lines("*5|$6|SUBMIT|$1|0|$2|t1|$19|c=report,d=9,dest=1|$60000|"))
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(20_000):
            client.dataReceived(b"xy")
            turns.run()
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert held <= listener.memory.total + CONNECTION_SIZE and listener.memory.total <= 2 * 40_000
    client.connectionLost(None)
