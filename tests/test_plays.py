"""Concurrent runs of the sockets stage: each has its own address, ports and texts."""

import asyncio
import os
import socket
import subprocess
import sys
import time

import pytest
from test_lab import ROOT, SHORT

from limelatch.lab import record as rec
from limelatch.lab.scenario import parse
from limelatch.lab.stages.address import FIRST_PORT, LAST_PORT, PlayAddress, PortsExhausted
from limelatch.lab.stages.real import ForeignText, TextMark, body_of, read_body
from limelatch.lab.stages.sockets import EndpointServers, Sockets
from limelatch.standin.host import Call, CallText

MARK = TextMark(1, "t7", 2, "127.64.0.9")


def test_each_process_has_its_own_address_outside_the_usual_loopback_ones():
    found = {PlayAddress(process).host for process in (1, 2, 255, 256, 65_535, 65_536, 4_194_303)}
    assert len(found) == 7 and not any(host.startswith(("127.0.", "127.1.")) for host in found)


def test_a_port_is_assigned_only_once_and_only_if_nothing_listens_on_it():
    address = PlayAddress()
    with socket.socket() as busy:
        busy.bind((address.host, FIRST_PORT + 1))
        busy.listen()
        ports = [address.port() for _ in range(3)]
    assert ports == [FIRST_PORT, FIRST_PORT + 2, FIRST_PORT + 3]
    address._next_port = LAST_PORT
    with pytest.raises(PortsExhausted):
        address.port()


def test_an_outgoing_connection_takes_no_assignable_port():
    """A port that a process has freed stays free for its restart, however many connections go out."""
    address = PlayAddress()
    with socket.socket() as server:
        server.bind((address.host, address.port()))
        server.listen()
        with socket.create_connection(server.getsockname()) as client:
            host, port = client.getsockname()
            assert host != address.host or port >= LAST_PORT


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\n",
        b"1 t7 2\n",
        b"1 t7 2 127.64.0.8\n",
        b"x t7 2 127.64.0.9\n",
        b"1 t7 2 127.64.0.9 more\n",
        b"\xff\xfe 2 3 4\n",
    ],
)
def test_the_body_of_another_run_or_of_none_is_rejected(body):
    assert read_body(body_of(MARK, 200), MARK.play) == MARK
    with pytest.raises(ForeignText):
        read_body(body, MARK.play)


class RecordingConnection:
    """A connection that records the statuses of its answers."""

    def __init__(self):
        self.open, self.statuses = True, []

    def answer(self, status, body=b"", **headers):
        self.statuses.append(status)


def test_a_call_of_another_run_is_refused_counted_and_recorded_as_foreign_only(tmp_path):
    scenario, target = parse("short", SHORT), tmp_path / f"play{rec.SUFFIX}"

    async def play():
        writer = rec.Writer(target, rec.Head(rec.VERSION, "sockets", 1, {}, ""))
        stage = Sockets(scenario, 1, writer, tmp_path, tmp_path / "part", lambda part: None)
        endpoint_servers, connection = EndpointServers(stage.world.endpoints[0], stage), RecordingConnection()
        for play in ("127.64.0.9", stage.address.host):
            mark = TextMark(0, "t1", 0, play)
            endpoint_servers.called(
                0, Call([CallText("t1", "", body_of(mark, 60))], False, 0.0, 0.0, connection)
            )
        writer.close()
        return stage, connection

    stage, connection = asyncio.run(play())
    events = [event for event in rec.Reader(target) if isinstance(event, (rec.Called, rec.ForeignCall))]
    assert connection.statuses[0] == 400 and stage.foreign == 1 and stage.calls == 1
    assert [type(event) for event in events] == [rec.ForeignCall, rec.Called]
    assert events[0].why == "a text of the run at 127.64.0.9"


def test_two_runs_at_once_do_not_interfere(tmp_path):
    """Both use the same text ids; relays of each are killed and restart on their ports."""
    text = SHORT.replace('"8s"', '"3s"') + '[[faults]]\nwhat = "kill"\nat = "1s"\nrelays = [0, 1]\n'
    path = tmp_path / "kills.toml"
    path.write_text(text)
    records = [tmp_path / f"{seed}{rec.SUFFIX}" for seed in (1, 2)]
    plays = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "limelatch",
                "lab",
                "run",
                str(path),
                "--stage",
                "sockets",
                "--quiet",
                "--seed",
                str(seed),
                "--folder",
                str(tmp_path / str(seed)),
                "--record",
                str(record),
            ],
            cwd=ROOT,
            env=os.environ,
            stderr=subprocess.PIPE,
            text=True,
        )
        for seed, record in zip((1, 2), records, strict=True)
    ]
    until = time.monotonic() + 60
    for play, record in zip(plays, records, strict=True):
        _, errors = play.communicate(timeout=until - time.monotonic())
        assert record.exists(), errors
        events = list(rec.Reader(record))
        ready = [event.relay for event in events if isinstance(event, rec.Relay) and event.what == "ready"]
        assert {0, 1, 2} <= set(ready) and len(ready) >= 5
        assert not [event for event in events if isinstance(event, rec.ForeignCall)]
