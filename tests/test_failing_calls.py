"""System calls fail with the errors of their man pages, briefly and for a time, while texts are delivered."""

import errno
import os
import socket
import time

import pytest
from conftest import WAIT_TIMEOUT
from faults.flow import Flow, drain

from limelatch.relay.client_listener import MAX_ACCEPTS_PER_TURN

SPAN = 0.25  # seconds for which a call fails, with each errno in turn
LONG = 5.0  # seconds
RECOVERY_TIMEOUT = (
    3.0  # seconds until texts are accepted again: hosts that could not be reached are probed first
)
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
    """The port whose connections a fault applies to; 0 for all."""
    return {
        "clients": flow.program.port,
        "hosts": flow.host_port,
        "agent": flow.agent_port,
        "all": 0,
    }[place]


@pytest.mark.parametrize("place, call", CELLS)
def test_a_call_that_fails_briefly_or_for_a_time_breaks_no_rule(flow, faults, place, call):
    """Every errno in turn, first three times, then for a time; accepted texts are finished in time."""
    for name in ERRORS[call].split():
        for bounds in ({"times": 3}, {"seconds": SPAN}):
            rule = faults.fail(call, getattr(errno, name), port=port_at(flow, place), **bounds)
            flow.client = None  # so that a new connection meets the fault too
            began = time.monotonic()
            while time.monotonic() < began + bounds.get("seconds", 0.0):
                flow.submit_text(within=RECOVERY_TIMEOUT)
            flow.submit_text(within=RECOVERY_TIMEOUT)
            rule.end()
    flow.settle()
    assert flow.check() == []
    flow.submit_text(within=RECOVERY_TIMEOUT)


@pytest.mark.parametrize("place", ["clients", "hosts", "agent"])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_short_reads_and_writes_change_nothing(make_faulty_program, faults, agent, make_host, place, call):
    """One byte a call, from the start on: host list, watch, commands, calls, answers and notices."""
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
def test_a_listener_that_cannot_accept_pauses_while_connected_clients_are_served(flow, faults, call, error):
    """Without a busy loop; clients that wait for a connection are served afterwards."""
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
    """Processor time that the process has used."""
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("call", ["recv", "send"])
def test_a_connection_survives_a_lack_of_kernel_buffers(flow, faults, call, error):
    """Connections of clients and hosts stay open, so no text that may run only once is given up."""
    for _ in range(3):
        flow.submit_text()
    flow.settle()
    rule = faults.fail(call, error, times=6)
    texts = [flow.submit_text() for _ in range(6)]
    flow.settle()
    assert rule.hits == 6
    assert flow.check() == [] and all(text.delivered for text in texts)


@pytest.mark.parametrize("call", ["socket", "bind", "listen", "setsockopt"])
def test_a_port_that_cannot_be_opened_briefly_delays_a_start(
    make_faulty_program, faults, agent, make_host, call
):
    made = Flow(make_faulty_program(), agent, make_host)
    faults.fail(call, errno.ENOBUFS, seconds=2.0, port=0 if call == "socket" else made.program.port)
    made.start()
    made.submit_text(within=RECOVERY_TIMEOUT)
    made.settle()
    assert made.check() == []


@pytest.mark.parametrize("name", "ENETUNREACH EHOSTUNREACH ETIMEDOUT ENOMEM ENOBUFS ECONNREFUSED EIO".split())
def test_a_membership_socket_recovers_from_failed_reads_and_writes(
    make_faulty_program, faults, agent, make_host, name
):
    """A datagram of an unknown sender is dropped with a log line, which shows that it was read."""
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
        deadline = time.monotonic() + WAIT_TIMEOUT
        while rule.hits < 3 and time.monotonic() < deadline:
            stranger.sendto(b"noise", (host, port))
            flow.submit_text(within=RECOVERY_TIMEOUT)
        drain(flow.program.log)
        began = time.monotonic()
        while (
            "datagram-dropped" not in "".join(flow.program.log_lines[-20:]) or time.monotonic() < began + 1.2
        ):
            stranger.sendto(b"noise", (host, port))
            flow.submit_text(within=RECOVERY_TIMEOUT)
            assert time.monotonic() < began + WAIT_TIMEOUT
        flow.program.wait_for_log("event=datagram-dropped")
    flow.settle()
    assert flow.check() == []
