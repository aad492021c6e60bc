"""Relay processes that detect each other's failures over a faulty datagram network, while texts flow.

Timeouts are shorter than the defaults (a pause of 2 s is tolerated), so that the tests take seconds."""

import contextlib
import json
import os
import queue
import signal
import socket
import threading
import time

import pytest
from conftest import Program
from test_operator_server import OperatorClient

from limelatch.lab.membership.forwarder import DatagramNetwork

COUNT = 5
PAUSE_MS = 2000
PERIOD_MS = 250
AGREED = 15  # seconds; a suspicion lasts 3.25 to 6.5 s here, the tolerated pause of 2 s included
FIELDS = ("alive", "suspect", "dead", "left", "unknown", "incarnation")


@contextlib.contextmanager
def reserved_addresses(host, kind, count):
    """Different addresses of the host for this kind of socket, which nothing else can bind in the context."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for each in sockets:
            each.bind((host, 0))
        yield [each.getsockname() for each in sockets]


def free_addresses(host, kind, count):
    """Different free addresses of the host for this kind of socket."""
    with reserved_addresses(host, kind, count) as addresses:
        return addresses


def poll(condition, seconds=AGREED, details=lambda: ""):
    """Wait until the condition holds; return how long that took, in seconds. Fails after `seconds`."""
    began = time.monotonic()
    while not condition():
        assert time.monotonic() < began + seconds, details()
        threading.Event().wait(0.05)
    return time.monotonic() - began


class Relay(Program):
    """The process of one member, with its view as reported to operators."""

    def view(self):
        """The reply to MEMBERS as a dict, with counts as numbers."""
        answer = OperatorClient(self.operator_address).call("MEMBERS")
        assert answer.startswith("+OK "), answer
        words = dict(word.split("=", 1) for word in answer[4:].split())
        return words | {name: int(words[name]) for name in FIELDS if name in words}

    def _read(self, process):
        for line in process.stderr:
            self.log.put(line)
            self.lines.append(line)


class Fleet:
    """The relays, the network between them, and a client that submits texts to each."""

    def __init__(self, folder, agent):
        host = "127.{}.{}.{}".format(*(1 + number % 254 for number in os.urandom(3)))
        with reserved_addresses(host, socket.SOCK_DGRAM, COUNT) as listens:
            self.network = DatagramNetwork([(host, 0)] * COUNT, listens)
        operator_addresses = free_addresses(host, socket.SOCK_STREAM, COUNT)
        peers = ["{}:{}".format(*front) for front in self.network.front_addresses]
        self.relays, self.count = [], 0
        for number in range(COUNT):
            place = folder / f"relay-{number}"
            place.mkdir()
            operator_address = operator_addresses[number]
            relay = Relay(
                place,
                agent,
                operator="{}:{}".format(*operator_address),
                peers=peers,
                membership={
                    "on": True,
                    "address": peers[number],
                    "pause_ms": PAUSE_MS,
                    "probe_period_ms": PERIOD_MS,
                },
                peer_listen="{}:{}".format(*listens[number]),
                seed=f"{number + 1:x}",
            )
            relay.operator_address, relay.lines = operator_address, []
            self.relays.append(relay)
        self.peers = peers

    def start(self):
        """Start all relays and wait until they are alive in all views."""
        for relay in self.relays:
            relay.launch()
        for relay in self.relays:
            relay.wait_for_log("event=serving")
        self.until(lambda: all(view["alive"] == COUNT for view in self.views()))

    def views(self, *excluded):
        """The views of all relays but the excluded ones."""
        return [relay.view() for number, relay in enumerate(self.relays) if number not in excluded]

    def until(self, condition, seconds=AGREED):
        """Wait until the condition holds; a failure shows the views of all running relays."""
        running = [relay for relay in self.relays if relay.process.poll() is None]
        return poll(condition, seconds, lambda: [relay.view() for relay in running])

    def lines(self, event, by, of=None):
        """Log lines of an event at the relay `by`, about the member `of` if given."""
        named = "" if of is None else f"member={self.peers[of]} "
        return [line for line in self.relays[by].lines if f"event={event} " in line and named in line]

    def submit(self, number):
        """Submit one text to a relay, which accepts it."""
        self.count += 1
        client = self.relays[number].client()
        assert client.submit(f"t{self.count}", body=f"t{self.count}".encode()) == "+OK"
        client.socket.close()

    def delivered(self, host):
        """Assert that every text has arrived at the host exactly once."""
        bodies = [host.next().body.decode() for _ in range(self.count)]
        assert sorted(bodies) == sorted(f"t{number + 1}" for number in range(self.count))
        with pytest.raises(queue.Empty):
            host.requests.get(timeout=0.2)


@pytest.fixture
def fleet(tmp_path, agent, make_host, faults):
    """A started fleet; relay 1 runs with the machine faults that a test can control."""
    host = make_host()
    agent.list(host.address)
    fleet = Fleet(tmp_path, agent)
    fleet.relays[1].environment = faults.environment
    fleet.host = host
    with fleet.network:
        try:
            fleet.start()
            yield fleet
        finally:
            for relay in fleet.relays:
                if relay.process is not None:
                    relay.process.send_signal(signal.SIGCONT)
                    relay.kill()


def test_a_killed_relay_is_dead_in_all_views_and_returns_with_a_higher_incarnation(fleet):
    fleet.submit(0)
    before = fleet.relays[1].view()["incarnation"]
    fleet.relays[1].kill()
    fleet.until(lambda: all(view["dead"] == 1 and view["alive"] == COUNT - 1 for view in fleet.views(1)))
    for number in (0, 2, 3, 4):
        assert fleet.lines("member-suspect", number, 1)
        assert f"first={fleet.peers[1]}:dead" in OperatorClient(fleet.relays[number].operator_address).call(
            "MEMBERS"
        )
        fleet.submit(number)
    fleet.relays[1].launch()
    fleet.relays[1].wait_for_log("event=serving")
    fleet.until(lambda: all(view["alive"] == COUNT for view in fleet.views()))
    assert fleet.relays[1].view()["incarnation"] > before
    fleet.submit(1)
    fleet.delivered(fleet.host)


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_relay_whose_wall_clock_is_stepped_stays_alive_and_declares_nobody_dead(fleet, faults, step):
    """Observed for longer than a suspicion lasts, while the relay delivers texts."""
    faults.step(step)
    until = time.monotonic() + 2 * PAUSE_MS / 1000 + 1
    while time.monotonic() < until:
        fleet.submit(1)
        assert all(view["alive"] == COUNT and view["isolated"] == "no" for view in fleet.views())
    assert not any(fleet.lines("member-dead", number) for number in range(COUNT))
    fleet.delivered(fleet.host)


def test_a_killed_process_is_detected_by_its_closed_port_within_5_s(tmp_path, agent, make_host):
    """The relays are connected directly and use the default timeouts."""
    agent.list(make_host().address)
    relays, peers = [], []
    host = "127.{}.{}.{}".format(*(1 + number % 254 for number in os.urandom(3)))
    peers = ["{}:{}".format(*address) for address in free_addresses(host, socket.SOCK_DGRAM, 3)]
    operator_addresses = free_addresses(host, socket.SOCK_STREAM, 3)
    for number, peer in enumerate(peers):
        place = tmp_path / f"relay-{number}"
        place.mkdir()
        operator_address = operator_addresses[number]
        relays.append(
            Relay(
                place,
                agent,
                operator="{}:{}".format(*operator_address),
                peers=peers,
                peer_listen=peer,
                membership={"on": True},
            )
        )
        relays[-1].operator_address, relays[-1].lines = operator_address, []
        relays[-1].launch()
    try:
        for relay in relays:
            relay.wait_for_log("event=serving")
        poll(lambda: all(relay.view()["alive"] == 3 for relay in relays))
        relays[2].kill()
        assert poll(lambda: all(relay.view()["dead"] == 1 for relay in relays[:2])) < 5
        assert any(
            "why=refused" in line
            for relay in relays[:2]
            for line in relay.lines
            if "event=member-dead" in line
        )
        relays[1].process.send_signal(signal.SIGSTOP)  # its port stays open
        threading.Event().wait(4)  # the pause itself
        relays[1].process.send_signal(signal.SIGCONT)
        poll(lambda: relays[0].view()["alive"] == 2)
        assert not [line for line in relays[0].lines if "member-dead" in line and peers[1] in line]
    finally:
        for relay in relays:
            relay.process.send_signal(signal.SIGCONT)
            relay.kill()


def test_a_relay_that_lost_its_stored_incarnation_queries_the_others(fleet):
    before = fleet.relays[2].view()["incarnation"]
    fleet.relays[2].kill()
    (fleet.relays[2].state / "incarnation").unlink()
    fleet.relays[2].launch()
    fleet.until(
        lambda: fleet.relays[2].process.poll() is None and bool(fleet.lines("membership-joined", 2)[1:])
    )
    fleet.until(lambda: all(view["alive"] == COUNT for view in fleet.views()))
    assert fleet.relays[2].view()["incarnation"] > before


def test_a_paused_relay_is_not_declared_dead_unless_the_pause_is_long_and_then_refutes_it(fleet):
    for pause, is_dead in ((PAUSE_MS / 1000, False), (3 * PAUSE_MS / 1000 + 1, True)):
        fleet.relays[3].process.send_signal(signal.SIGSTOP)
        fleet.submit(0)
        if is_dead:
            fleet.until(lambda: all(view["dead"] == 1 for view in fleet.views(3)))
        else:
            threading.Event().wait(pause)  # the pause itself, not a wait for something
        fleet.relays[3].process.send_signal(signal.SIGCONT)
        fleet.until(lambda: all(view["alive"] == COUNT for view in fleet.views()), 5)
        fleet.submit(3)
        assert bool(fleet.lines("member-dead", 0, 3)) is is_dead
    others = (0, 1, 2, 4)
    assert not [line for by in range(COUNT) for of in others for line in fleet.lines("member-dead", by, of)]
    fleet.delivered(fleet.host)


def test_a_clean_end_is_reported_and_causes_no_suspicion(fleet):
    fleet.submit(4)
    fleet.relays[4].terminate()
    fleet.until(lambda: all(view["left"] == 1 for view in fleet.views(4)))
    assert fleet.relays[4].process.wait(10) == 0
    assert not any(fleet.lines("member-suspect", number, 4) for number in range(4))
    fleet.delivered(fleet.host)


def test_one_link_cut_in_one_direction_declares_nobody_dead(fleet):
    fleet.network.cut({0}, {1})
    forwarded = fleet.network.forwarded[1, 0]
    fleet.until(lambda: fleet.network.forwarded[1, 0] > forwarded + 12, 30)  # the other direction works
    fleet.submit(0)
    assert not any(fleet.lines("member-dead", number) for number in range(COUNT))
    fleet.delivered(fleet.host)


@pytest.mark.parametrize("mute, why", [(True, "unanswered"), (False, "deaf")])
def test_a_mute_or_deaf_relay_is_dead_in_other_views_and_reports_its_isolation(fleet, mute, why):
    others = set(range(COUNT)) - {2}
    fleet.network.cut({2} if mute else others, others if mute else {2})
    fleet.until(lambda: all(view["dead"] == 1 for view in fleet.views(2)))
    fleet.until(lambda: fleet.relays[2].view()["isolated"] == why)
    assert not [line for of in others for line in fleet.lines("member-dead", 2, of)]
    fleet.submit(2)
    fleet.network.heal()
    fleet.until(lambda: all(view["alive"] == COUNT and view["isolated"] == "no" for view in fleet.views()))
    fleet.delivered(fleet.host)


def test_both_sides_of_a_partition_agree_and_all_agree_after_it(fleet):
    fleet.network.partition({0, 1})
    fleet.until(lambda: [view["dead"] for view in fleet.views()] == [3, 3, 2, 2, 2])
    for number in range(COUNT):
        fleet.submit(number)
    fleet.network.heal()
    fleet.until(lambda: all(view["alive"] == COUNT for view in fleet.views()))
    fleet.delivered(fleet.host)


def test_lost_duplicated_and_delayed_datagrams_declare_nobody_dead(fleet):
    fleet.network.set_conditions(lost=0.1, duplicated=0.1, delayed=0.1)
    forwarded = fleet.network.forwarded.total()
    for number in range(10):
        fleet.submit(number % COUNT)
    fleet.until(lambda: fleet.network.forwarded.total() > forwarded + 400, 60)
    assert not any(fleet.lines("member-dead", number) for number in range(COUNT))
    fleet.delivered(fleet.host)


def test_a_flood_and_invalid_datagrams_are_dropped_and_affect_no_text(fleet):
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listen = fleet.network.listen_addresses[0]
    for number in range(5000):
        stranger.sendto(bytes([number % 256]) * (number % 300), listen)
    fleet.network.sockets[1].sendto(b"\x01" * 40, listen)  # an invalid datagram from a member's address
    for _ in range(5):
        fleet.submit(0)
    fleet.until(lambda: bool(fleet.lines("datagram-dropped", 0)))
    assert fleet.relays[0].view()["alive"] == COUNT
    assert len(fleet.lines("datagram-dropped", 0)) <= 50
    fleet.delivered(fleet.host)


def test_members_replies_with_an_error_while_membership_is_off(make_program, agent):
    program = make_program()
    [(host, port)] = free_addresses(program.address, socket.SOCK_STREAM, 1)
    program.file.write_text(
        json.dumps(
            json.loads(program.file.read_text())
            | {"operator": f"{host}:{port}", "peer_listen": f"{host}:1", "peers": [f"{host}:1", f"{host}:2"]}
        )
    )
    program.start()
    assert OperatorClient((host, port)).call("MEMBERS") == "-ERR membership is off"
