"""What the relay adds to the failure detector: its configuration, the folder's incarnation, closed ports."""

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
from limelatch.membership.messages import Drop, Fact, State
from limelatch.membership.view import MEMBERS_MOST
from limelatch.relay.closed_ports import ANSWER_WAIT, ASKED_MOST, ClosedPorts
from limelatch.relay.deadlines import Deadline
from limelatch.relay.incarnation import IncarnationFile
from limelatch.relay.peers import NOT_LISTENING, Peers, READ_MOST, READ_SPAN

SMALL = """[relay]
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


def written(tmp_path, peers=PEERS, on="true", more=""):
    path = tmp_path / "relay.toml"
    path.write_text(SMALL.format(on=on, peers=json.dumps(peers)) + more)
    return load(str(path)).installation


def faults_of(tmp_path, peers=PEERS, **more):
    with pytest.raises(ConfigurationError) as error:
        written(tmp_path, peers, **more)
    return error.value.errors


def test_a_relay_that_takes_part_knows_its_number_its_zones_and_its_spans(tmp_path):
    more = 'zones = ["west", "east", "west"]\npause = "2s"\nprobe_period = "250ms"\n'
    plan = plan_of(written(tmp_path, more=more)).membership
    assert (plan.number, plan.zones) == (1, [1, 0, 1])
    assert (plan.timing.pause, plan.timing.period) == (2 * SECOND, 250 * MS)
    moved = plan_of(written(tmp_path, more='address = "10.0.0.5:7946"\n')).membership
    assert moved.number == 2 and str(moved.listen) == "10.0.0.4:7946"


@pytest.mark.parametrize(
    "peers, wanted",
    [
        (PEERS + PEERS[:1], "stands 2 times"),
        (["10.0.0.3:7946", "10.0.0.5:7946"], "own address 10.0.0.4:7946 is not among them"),
        (["10.0.0.4:7946"], "2 to 1856 addresses are wanted, 1 found"),
        ([], "0 found"),
        ([*PEERS, "nowhere"], "'nowhere' is no address"),
        ([*PEERS, "10.0.0.300:1"], "is no address"),
        ([f"10.0.{number >> 8}.{number & 255}:7946" for number in range(2000)], "2000 found"),
    ],
)
def test_a_list_of_peers_that_can_not_be_is_named_with_its_line(tmp_path, peers, wanted):
    faults = faults_of(tmp_path, peers)
    (fault,) = [each for each in faults if wanted in str(each)]
    assert fault.path == "membership.peers"
    assert written(tmp_path, peers, on="false").membership.on is False  # what is off keeps nothing down


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
def test_a_span_or_list_that_can_not_be_is_named(tmp_path, more, path):
    assert path in [each.path for each in faults_of(tmp_path, more=more)]


def test_as_many_as_a_page_request_holds_can_take_part(tmp_path):
    peers = [f"10.0.{number >> 8}.{number & 255}:7946" for number in range(MEMBERS_MOST)]
    assert plan_of(written(tmp_path, peers)).membership.number == 4


@pytest.mark.parametrize("peers", [None, "x", 7, [], [7], {"a": 1}, ["10.0.0.4:7946"] * 3])
def test_what_the_platform_says_of_peers_turns_nothing_on_and_keeps_no_relay_down(tmp_path, peers):
    path = tmp_path / "relay.json"
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": ".", "settings": SETTINGS}
    path.write_text(json.dumps(raw | {"peer_listen": "10.0.0.4:7946", "peers": peers}))
    assert plan_of(load(str(path)).installation).membership is None


def test_the_folder_keeps_the_incarnation(tmp_path):
    file = IncarnationFile(str(tmp_path))
    assert file.read() == 0
    file.write(7)
    file.write(8)
    assert IncarnationFile(str(tmp_path)).read() == 8 and os.listdir(tmp_path) == ["incarnation"]


@pytest.mark.parametrize("raw", [b"", b"8", b"8 1", b"\xff\xfe", b"x y", b"-1 2", b"8 1 2", b"9" * 500])
def test_an_incarnation_that_can_not_be_read_counts_as_none(tmp_path, raw):
    (tmp_path / "incarnation").write_bytes(raw)
    assert IncarnationFile(str(tmp_path)).read() == 0


def test_a_torn_incarnation_counts_as_none_wherever_it_is_cut(tmp_path):
    file = IncarnationFile(str(tmp_path))
    file.write(1234)
    whole = (tmp_path / "incarnation").read_bytes()
    for length in range(len(whole) - 1):
        (tmp_path / "incarnation").write_bytes(whole[:length])
        assert file.read() == 0


def test_a_folder_that_takes_nothing_is_borne(tmp_path):
    IncarnationFile(str(tmp_path / "nowhere")).write(3)


def test_a_closed_port_is_told_and_an_open_one_that_says_nothing_is_not():
    ports = ClosedPorts()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
        silent.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as gone:
            gone.bind(("127.0.0.1", 0))
            closed = gone.getsockname()
        ports.ask(0, 3, closed)
        ports.ask(0, 4, silent.getsockname())
        found = []
        for _ in range(100):
            found += ports.refused(1)
            if found:
                break
            threading.Event().wait(0.02)
        assert found == [3] and ports.refused(2) == []
        for member in range(10, 10 + 2 * ASKED_MOST):
            ports.ask(3, member, silent.getsockname())
        assert len(ports._asked) == ASKED_MOST
        assert ports.refused(ANSWER_WAIT + 3) == [] and not ports._asked


class Moment:
    """The clock, the timer and the socket of a Peers, which this test moves."""

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


def test_what_is_beyond_a_span_s_share_of_a_flood_is_not_looked_at(tmp_path):
    moment = Moment()
    plan = plan_of(written(tmp_path)).membership
    peers = Peers(plan, moment, moment, moment, str(tmp_path), 7)
    peers.start()
    looked = []
    peers.member.received = lambda now, data, sender: looked.append(sender)
    for number in range(10_000):
        peers.datagramReceived(b"x" * 40, ("10.0.0.3", 7946) if number % 2 else ("10.9.9.9", 1))
    assert len(looked) == READ_MOST and set(looked) == {None, 0} and not moment.reading
    assert peers.member.drops[Drop.FLOOD] == 10_000 - READ_MOST
    moment.time += READ_SPAN
    [call for when, call in moment.due if when <= moment.time][-1]()
    peers.datagramReceived(b"x" * 40, ("10.0.0.3", 7946))
    assert moment.reading and len(looked) == READ_MOST + 1


def test_a_clean_end_says_so_to_the_others(tmp_path):
    (tmp_path / "incarnation").write_text("4 4088798008\n")
    moment = Moment()
    plan = plan_of(written(tmp_path)).membership
    peers = Peers(plan, moment, moment, moment, str(tmp_path), 7)
    peers.start()
    for number in (0, 2):
        peers.member.registry.learn(moment.time, Fact(number, 1, State.ALIVE), number)
    peers.stop()
    assert {address for _, address in moment.sent} == {("10.0.0.3", 7946), ("10.0.0.5", 7946)}
    assert not moment.reading and peers.members().isolated == NOT_LISTENING
    words = dict(word.split("=") for word in peers.members().line().split())  # as a reader splits it
    assert words["isolated"] == "not-listening" and words["alive"] == "0" and int(words["unknown"]) > 0
