"""The relay's side of membership: configuration, stored incarnation, closed ports, limits on datagrams."""

import json
import os
import socket
import threading

import pytest
from conftest import SETTINGS

from limelatch.configuration import ConfigurationError
from limelatch.configuration.files import load
from limelatch.configuration.plan import plan_of
from limelatch.interface import MS, SECOND
from limelatch.membership.messages import DropReason, Fact, State
from limelatch.membership.view import MAX_MEMBERS
from limelatch.relay.closed_ports import MAX_CHECKS, REFUSAL_TIMEOUT, ClosedPorts
from limelatch.relay.deadlines import Deadline
from limelatch.relay.incarnation import IncarnationFile
from limelatch.relay.peers import MAX_READS, NOT_LISTENING, READ_INTERVAL, Peers

CONFIGURATION = """[relay]
listen = "127.0.0.1:6379"
state = "."
[catalog]
address = "127.0.0.1:8500"
[[products]]
name = "notice"
[membership]
on = {on}
listen = "10.0.0.4:7946"
peers = {peers}
"""
PEERS = ["10.0.0.3:7946", "10.0.0.4:7946", "10.0.0.5:7946"]
PEERS_LINE = 11


def load_configuration(tmp_path, peers=PEERS, on="true", more=""):
    """The installation that a configuration with this membership section loads as."""
    path = tmp_path / "relay.toml"
    path.write_text(CONFIGURATION.format(on=on, peers=json.dumps(peers)) + more)
    return load(str(path)).installation


def configuration_errors(tmp_path, peers=PEERS, **more):
    """The errors of a configuration that does not load."""
    with pytest.raises(ConfigurationError) as error:
        load_configuration(tmp_path, peers, **more)
    return error.value.errors


def test_a_member_s_plan_has_its_number_its_zones_and_its_timing(tmp_path):
    more = 'zones = ["west", "east", "west"]\npause = "2s"\nprobe_period = "250ms"\n'
    plan = plan_of(load_configuration(tmp_path, more=more)).membership
    assert (plan.number, plan.zones) == (1, [1, 0, 1])
    assert (plan.timing.pause, plan.timing.probe_period) == (2 * SECOND, 250 * MS)
    moved = plan_of(load_configuration(tmp_path, more='address = "10.0.0.5:7946"\n')).membership
    assert moved.number == 2 and str(moved.listen) == "10.0.0.4:7946"


@pytest.mark.parametrize(
    "peers, wanted",
    [
        (PEERS + PEERS[:1], "occurs 2 times"),
        (["10.0.0.3:7946", "10.0.0.5:7946"], "own address 10.0.0.4:7946 is not among them"),
        (["10.0.0.4:7946"], "expected 2 to 1856 addresses, 1 given"),
        ([], "0 given"),
        ([*PEERS, "nowhere"], "'nowhere' is not an address"),
        ([*PEERS, "10.0.0.300:1"], "is not an address"),
        ([f"10.0.{number >> 8}.{number & 255}:7946" for number in range(2000)], "2000 given"),
    ],
)
def test_an_invalid_list_of_peers_is_reported_with_its_key(tmp_path, peers, wanted):
    errors = configuration_errors(tmp_path, peers)
    (error,) = [each for each in errors if wanted in str(each)]
    assert error.path == "membership.peers"
    # the list is not checked while membership is off
    assert load_configuration(tmp_path, peers, on="false").membership.on is False


@pytest.mark.parametrize(
    "more, path",
    [
        ('zones = ["east"]\n', "membership.zones"),
        ('pause = "0s"\n', "membership.pause"),
        ('pause = "2m"\n', "membership.pause"),
        ('probe_period = "10ms"\n', "membership.probe_period"),
        ('perod = "1s"\n', "membership.perod"),
    ],
)
def test_an_invalid_key_or_value_is_reported_with_its_key(tmp_path, more, path):
    assert path in [each.path for each in configuration_errors(tmp_path, more=more)]


def test_the_maximum_count_of_members_is_accepted(tmp_path):
    peers = [f"10.0.{number >> 8}.{number & 255}:7946" for number in range(MAX_MEMBERS)]
    assert plan_of(load_configuration(tmp_path, peers)).membership.number == 4


@pytest.mark.parametrize("peers", [None, "x", 7, [], [7], {"a": 1}, ["10.0.0.4:7946"] * 3])
def test_peers_in_the_platform_s_form_neither_enable_membership_nor_prevent_a_start(tmp_path, peers):
    path = tmp_path / "relay.json"
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": ".", "settings": SETTINGS}
    path.write_text(json.dumps(raw | {"peer_listen": "10.0.0.4:7946", "peers": peers}))
    assert plan_of(load(str(path)).installation).membership is None


def test_the_incarnation_is_stored_in_the_state_directory(tmp_path):
    file = IncarnationFile(str(tmp_path))
    assert file.read() == 0
    file.write(7)
    file.write(8)
    assert IncarnationFile(str(tmp_path)).read() == 8 and os.listdir(tmp_path) == ["incarnation"]


@pytest.mark.parametrize("raw", [b"", b"8", b"8 1", b"\xff\xfe", b"x y", b"-1 2", b"8 1 2", b"9" * 500])
def test_an_invalid_incarnation_file_counts_as_absent(tmp_path, raw):
    (tmp_path / "incarnation").write_bytes(raw)
    assert IncarnationFile(str(tmp_path)).read() == 0


def test_a_truncated_incarnation_file_counts_as_absent(tmp_path):
    file = IncarnationFile(str(tmp_path))
    file.write(1234)
    whole = (tmp_path / "incarnation").read_bytes()
    for length in range(len(whole) - 1):
        (tmp_path / "incarnation").write_bytes(whole[:length])
        assert file.read() == 0


def test_a_failed_write_of_the_incarnation_raises_no_error(tmp_path):
    IncarnationFile(str(tmp_path / "nowhere")).write(3)


def test_a_closed_port_is_detected_and_a_silent_open_port_is_not():
    ports = ClosedPorts()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
        silent.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as gone:
            gone.bind(("127.0.0.1", 0))
            closed = gone.getsockname()
        ports.check(0, 3, closed)
        ports.check(0, 4, silent.getsockname())
        found = []
        for _ in range(100):
            found += ports.refused(1)
            if found:
                break
            threading.Event().wait(0.02)
        assert found == [3] and ports.refused(2) == []
        for member in range(10, 10 + 2 * MAX_CHECKS):
            ports.check(3, member, silent.getsockname())
        assert len(ports._checks) == MAX_CHECKS
        assert ports.refused(REFUSAL_TIMEOUT + 3) == [] and not ports._checks


class FakeEnvironment:
    """The clock, timers, reactor and socket of a Peers, controlled by the test."""

    def __init__(self):
        self.time, self.due, self.reading, self.sent, self.cancelled = SECOND, [], True, [], 0

    def now(self):
        return self.time

    def at(self, when, call):
        self.due.append((when, call))
        return Deadline(when, call, self)

    def listenUDP(self, port, protocol, host, most):
        protocol.transport = self
        return self

    def write(self, data, address):
        self.sent.append((data, address))

    def stopReading(self):
        self.reading = False

    def startReading(self):
        self.reading = True

    def stopListening(self):
        self.reading = False


def test_datagrams_beyond_the_limit_of_an_interval_are_dropped_unread(tmp_path):
    environment = FakeEnvironment()
    plan = plan_of(load_configuration(tmp_path)).membership
    peers = Peers(plan, environment, environment, environment, str(tmp_path), 7)
    peers.start()
    received = []
    peers.member.received = lambda now, data, sender: received.append(sender)
    for number in range(10_000):
        peers.datagramReceived(b"x" * 40, ("10.0.0.3", 7946) if number % 2 else ("10.9.9.9", 1))
    assert len(received) == MAX_READS and set(received) == {None, 0} and not environment.reading
    assert peers.member.drops[DropReason.FLOOD] == 10_000 - MAX_READS
    environment.time += READ_INTERVAL
    [call for when, call in environment.due if when <= environment.time][-1]()
    peers.datagramReceived(b"x" * 40, ("10.0.0.3", 7946))
    assert environment.reading and len(received) == MAX_READS + 1


def test_a_clean_stop_is_announced_to_the_other_members(tmp_path):
    (tmp_path / "incarnation").write_text("4 4088798008\n")
    environment = FakeEnvironment()
    plan = plan_of(load_configuration(tmp_path)).membership
    peers = Peers(plan, environment, environment, environment, str(tmp_path), 7)
    peers.start()
    for number in (0, 2):
        peers.member.registry.learn(environment.time, Fact(number, 1, State.ALIVE), number)
    peers.stop()
    assert {address for _, address in environment.sent} == {("10.0.0.3", 7946), ("10.0.0.5", 7946)}
    assert not environment.reading and peers.members().isolated == NOT_LISTENING
    words = dict(word.split("=") for word in peers.members().line().split())  # as operators' tools split it
    assert words["isolated"] == "not-listening" and words["alive"] == "0" and int(words["unknown"]) > 0
