"""System calls fail in the ways that their man pages name, for a moment and for a span, while texts flow."""

import errno
import os
import socket
import time

import pytest
from conftest import WAIT_TIMEOUT
from faults.flow import Flow, drain

from limelatch.relay.clients import MAX_ACCEPTS_PER_TURN

SPAN = 0.25  # seconds that a call fails for, with each errno in turn
LONG = 5.0
BACK = 3.0  # seconds within which texts are taken on again: hosts that could not be reached are tried first
BROKEN = "ECONNRESET ETIMEDOUT EHOSTUNREACH ENETUNREACH EPIPE"
SHORT = "ENOBUFS ENOMEM EINTR"
ERRORS = {
    "socket": "EMFILE ENFILE ENOBUFS ENOMEM EACCES",
    "accept": "ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EPROTO EPERM ENETDOWN ENETUNREACH EHOSTUNREACH "
    "EHOSTDOWN ENONET ENOPROTOOPT EOPNOTSUPP ETIMEDOUT EINTR EAGAIN",
    "connect": "ECONNREFUSED ETIMEDOUT EHOSTUNREACH ENETUNREACH EADDRNOTAVAIL EADDRINUSE EAGAIN EINTR "
    "ENOBUFS EACCES EPERM",
    "getsockopt": "ECONNREFUSED ETIMEDOUT EHOSTUNREACH ENETUNREACH ECONNRESET EADDRNOTAVAIL",
    "setsockopt": "ENOBUFS ENOMEM EINVAL ENOPROTOOPT EDOM",
    "epoll_wait": "EINTR",
    "recv": f"{BROKEN} {SHORT} ECONNREFUSED ENOTCONN",
    "send": f"{BROKEN} {SHORT} EACCES ENOTCONN",
    "shutdown": "ENOTCONN ENOBUFS",
    "close": "EIO EINTR ENOSPC EDQUOT",
}
PLACES = {
    "clients": "accept recv send setsockopt shutdown close",
    "hosts": "connect getsockopt recv send setsockopt shutdown close",
    "agent": "connect getsockopt recv send setsockopt",
    "all": "socket epoll_wait",
}
CELLS = [(place, call) for place, calls in PLACES.items() for call in calls.split()]


@pytest.fixture
def flow(make_faulty_program, agent, make_host):
    made = Flow(make_faulty_program(), agent, make_host)
    made.start()
    return made


def port_at(flow, place):
    return {
        "clients": flow.program.port,
        "hosts": flow.host_port,
        "agent": flow.agent_port,
        "all": 0,
    }[place]


@pytest.mark.parametrize("place, call", CELLS)
def test_a_call_that_fails_for_a_moment_or_a_span_breaks_no_rule(flow, faults, place, call):
    """Every errno in turn: three times on end, then for a span; what is taken on has its end in time."""
    for name in ERRORS[call].split():
        for bounds in ({"times": 3}, {"seconds": SPAN}):
            rule = faults.fail(call, getattr(errno, name), port=port_at(flow, place), **bounds)
            flow.client = None  # a new connection meets it too
            began = time.monotonic()
            while time.monotonic() < began + bounds.get("seconds", 0.0):
                flow.submit_text(within=BACK)
            flow.submit_text(within=BACK)
            rule.end()
    flow.settle()
    assert flow.check() == []
    flow.submit_text(within=BACK)


@pytest.mark.parametrize("place", ["clients", "hosts", "agent"])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_reads_and_writes_that_come_short_change_nothing(
    make_faulty_program, faults, agent, make_host, place, call
):
    """A byte a call, from the start on: the list, the watch, commands, calls, answers and notices."""
    flow = Flow(make_faulty_program(), agent, make_host)
    rule = faults.rule(call, most=1, port=port_at(flow, place))
    flow.start()
    for _ in range(9):
        flow.submit_text()
    assert rule.hits
    rule.end()
    flow.settle()
    assert flow.check() == [] and all(text.delivered for text in flow.texts.values())


@pytest.mark.parametrize("call, error", [("accept", errno.ENFILE), ("accept", errno.ECONNABORTED)])
def test_a_port_that_accepts_nobody_for_long_rests_and_serves_those_that_it_has(flow, faults, call, error):
    """Clients that are there are served; the processor does not spin; those that wait are served then."""
    flow.submit_text()
    rule = faults.fail(call, error, port=flow.program.port, seconds=LONG)
    late, before = flow.program.client(), processor_seconds(flow.program)
    began = time.monotonic()
    while time.monotonic() < began + LONG:
        flow.submit_text()
        time.sleep(0.1)
    assert rule.hits < 100 * LONG * 1.5 * (1 if error == errno.ENFILE else MAX_ACCEPTS_PER_TURN)
    assert processor_seconds(flow.program) - before < 0.3 * LONG
    late.socket.settimeout(WAIT_TIMEOUT)
    assert late.ask("PING") == "+PONG"
    flow.settle()
    assert flow.check() == []


def processor_seconds(program):
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_a_connection_outlives_a_kernel_without_buffers(flow, faults, call, error):
    """Neither a client's nor a host's connection is closed for it: no text that may run once is given up."""
    for _ in range(3):
        flow.submit_text()
    flow.settle()
    rule = faults.fail(call, error, times=6)
    texts = [flow.submit_text() for _ in range(6)]
    flow.settle()
    assert rule.hits == 6
    assert flow.check() == [] and all(text.delivered for text in texts)


@pytest.mark.parametrize("call", ["socket", "bind", "listen", "setsockopt"])
def test_a_port_that_cannot_be_opened_for_a_moment_delays_a_start(
    make_faulty_program, faults, agent, make_host, call
):
    made = Flow(make_faulty_program(), agent, make_host)
    faults.fail(call, errno.ENOBUFS, seconds=2.0, port=0 if call == "socket" else made.program.port)
    made.start()
    made.submit_text(within=BACK)
    made.settle()
    assert made.check() == []


@pytest.mark.parametrize("name", "ENETUNREACH EHOSTUNREACH ETIMEDOUT ENOMEM ENOBUFS ECONNREFUSED EIO".split())
def test_a_membership_socket_whose_read_or_write_fails_hears_and_speaks_again(
    make_faulty_program, faults, agent, make_host, name
):
    """A datagram that nobody could have sent is dropped with a line: it has been read."""
    host = "127.{}.{}.{}".format(*(1 + number % 254 for number in os.urandom(3)))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as spare:
        spare.bind((host, 0))
        port = spare.getsockname()[1]
    own, other = f"{host}:{port}", f"{host}:1"
    membership = {"on": True, "address": own}
    flow = Flow(
        make_faulty_program(peers=[own, other], peer_listen=own, membership=membership), agent, make_host
    )
    flow.start()
    flow.program.wait_for_log("event=membership-joined")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(b"noise", (host, port))
        flow.program.wait_for_log("event=datagram-dropped")
        rule = faults.fail("recv", getattr(errno, name), times=3, port=port)
        faults.fail("send", getattr(errno, name), times=3, port=port)
        until = time.monotonic() + WAIT_TIMEOUT
        while rule.hits < 3 and time.monotonic() < until:
            stranger.sendto(b"noise", (host, port))
            flow.submit_text(within=BACK)
        drain(flow.program.log)
        heard = time.monotonic()
        while (
            "datagram-dropped" not in "".join(flow.program.log_lines[-20:]) or time.monotonic() < heard + 1.2
        ):
            stranger.sendto(b"noise", (host, port))
            flow.submit_text(within=BACK)
            assert time.monotonic() < heard + WAIT_TIMEOUT
        flow.program.wait_for_log("event=datagram-dropped")
    flow.settle()
    assert flow.check() == []
