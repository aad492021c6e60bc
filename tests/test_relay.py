"""The relay's process with real sockets: start, clients, hosts, catalog, platform, kill, stop and reload."""

import json
import os
import queue
import select
import socket
import subprocess
import sys
import time

import pytest
from conftest import SETTINGS, WAIT_TIMEOUT

from limelatch.relay.inspection import inspect_ledger


def hang(request):
    """Never answer."""
    request.hang()


def test_a_text_is_sent_unchanged_and_delivered(program, agent, make_host):
    host = make_host()
    agent.list(host.address)
    client = program.start()
    assert client.ask("PING") == "+PONG"
    body = bytes(range(256))
    assert client.submit("t1", "notice", body, mark="5c0f6e1a") == "+OK"
    call = host.next()
    assert (call.path, call.body, call.headers["X-Txn"]) == ("/v1/messages", body, "t1")
    assert call.headers["Idempotency-Key"] == "5c0f6e1a" and call.headers["X-Remaining"].endswith("m")
    assert client.submit("t2") == "+OK" and host.next().headers["X-Txn"] == "t2"
    assert host.requests.empty() and agent.notices.empty()


def test_a_retry_after_holds_back_every_text_of_the_host(make_program, agent, make_host):
    program = make_program(settings=SETTINGS | {"familyInfo": {"slots": 1}})
    host = make_host(lambda request: None)
    agent.list(host.address)
    client = program.start()
    client.submit("t1")
    call = host.next()
    client.submit("t2")  # waits for the only slot
    host.reply, refused_at = lambda request: (200,), time.monotonic()
    call.answer(429, Retry_After="0.6")
    calls = [host.next(), host.next()]
    assert {call.headers["X-Txn"] for call in calls} == {"t1", "t2"}
    assert min(call.at for call in calls) - refused_at >= 0.6


def test_a_once_only_text_whose_call_was_reset_ends_by_a_notice_repeated_until_acknowledged(
    program, agent, make_host
):
    host = make_host(lambda request: request.cut())
    agent.list(host.address)
    agent.notice_status = 503
    client = program.start()
    assert client.submit("t1", "charge", key="k1") == "+OK"
    assert agent.notice() == agent.notice() == {"ref": "t1", "result": "dead"}
    agent.notice_status = 204
    agent.notice()
    assert host.next() and host.requests.empty()


def test_a_notice_lost_with_its_connection_is_sent_again(program, agent):
    agent.list("127.0.0.1:1", status="leaving")
    client, normal_reply, agent.reply = program.start(), agent.reply, lambda request: request.cut()
    assert client.submit("t1", d=50) == "-BUSY 2000"
    client.submit("t2", d=300)
    while agent.next().path != "/reports":
        pass
    agent.reply = normal_reply
    assert agent.notice() == {"ref": "t2", "result": "bounced", "wait_ms": 2000}


def test_the_next_text_of_a_key_waits_until_the_notice_is_acknowledged(program, agent, make_host):
    host = make_host(lambda request: request.cut() if request.headers["X-Txn"] == "t1" else (200,))
    agent.list(host.address)
    agent.notice_status = 503
    client = program.start()
    client.submit("t1", "charge", key="k1")
    client.submit("t2", "charge", key="k1")
    assert host.next().headers["X-Txn"] == "t1"
    agent.notice(), agent.notice()
    assert host.requests.empty()
    agent.notice_status = 204
    assert host.next().headers["X-Txn"] == "t2"


def test_a_bounced_notice_says_when_to_submit_again(program, agent):
    agent.list("127.0.0.1:1", status="leaving")  # no host serves this destination
    client = program.start()
    assert client.submit("t1", d=300) == "+OK"
    assert agent.notice() == {"ref": "t1", "result": "bounced", "wait_ms": 2000}
    assert client.submit("t2", d=50) == "-BUSY 2000"


def test_texts_of_one_turn_share_a_batch(program, agent, make_host):
    releases = queue.Queue()

    def reply(request):
        if not request.path.endswith(":batch"):
            releases.get(timeout=WAIT_TIMEOUT)
            return (200,)
        rows = [{"id": row["id"], "state": "delivered"} for row in json.loads(request.body)]
        return 200, json.dumps(rows).encode()

    host = make_host(reply)
    agent.list(host.address, kind="batching")
    client = program.start()
    for number in range(4):  # the first window of a destination is half of the eight slots
        client.submit(f"a{number}")
        host.next()
    for number in range(3):
        client.submit(f"b{number}", body=b"b%d" % number)
    for _ in range(4):
        releases.put(None)
    call = host.next()
    assert call.path == "/v1/messages:batch"
    assert [row["id"] for row in json.loads(call.body)] == ["b0", "b1", "b2"]
    assert json.loads(call.body)[0] == {"id": "b0", "body": "YjA=", "key": "5c0f"}


def test_a_once_only_text_in_flight_at_a_kill_is_not_sent_again(program, agent, make_host):
    host = make_host(hang)
    agent.list(host.address)
    client = program.start()
    client.submit("t1", "charge", key="k1")
    client.submit("t2", "charge", key="k1")
    host.next()
    program.kill()
    host.reply = lambda request: (200,)
    program.start()
    assert agent.notice() == {"ref": "t1", "result": "dead"}
    assert host.next().headers["X-Txn"] == "t2"
    assert host.requests.empty()


def test_a_text_in_flight_at_a_kill_is_sent_again_with_its_idempotency_key(program, agent, make_host):
    """Its product's hosts recognize a repeat by that key."""
    host = make_host(hang)
    agent.list(host.address)
    program.start().submit("t1", "notice", b"\0body", mark="5c0f6e1a")
    host.next()
    program.kill()
    host.reply = lambda request: (200,)
    program.start()
    again = host.next()
    assert (again.headers["X-Txn"], again.headers["Idempotency-Key"]) == ("t1", "5c0f6e1a")
    assert again.body == b"\0body"


def test_open_texts_and_notices_survive_a_kill_and_a_truncated_last_record(program, agent, make_host):
    agent.notice_status = 503
    agent.list("127.0.0.1:1", status="leaving")
    client = program.start()
    client.submit("t1", d=300)
    assert agent.notice()["ref"] == "t1"
    client.submit("t2")
    program.kill()
    with open(program.state / "ledger", "ab") as file:
        file.write(b"\0\0\0\x40torn")
    agent.notice_status = 204
    host = make_host()
    agent.list(host.address)
    program.start()
    assert agent.notice() == {"ref": "t1", "result": "bounced", "wait_ms": 2000}
    assert host.next().headers["X-Txn"] == "t2"


def test_sigterm_lets_calls_finish_and_accepts_no_text(program, agent, make_host):
    host = make_host(lambda request: None)
    agent.list(host.address)
    client = program.start()
    client.submit("t1", "charge", key="k1")
    call = host.next()
    program.terminate()
    program.wait_for_log("event=stopping")
    assert client.lines.readline() == b""  # closed between requests
    other = program.client()
    assert other.submit("t3").startswith("-BUSY") and other.lines.readline() == b""
    call.answer(200)
    assert program.process.wait(WAIT_TIMEOUT) == 0
    assert agent.notices.empty()


def test_a_stop_ends_in_time_despite_a_call_in_flight_and_its_text_stays_open(make_program, agent, make_host):
    program = make_program(stop_ms=300)
    host = make_host(hang)
    agent.list(host.address)
    program.start().submit("t1", "notice")
    host.next()
    program.terminate()
    assert program.process.wait(WAIT_TIMEOUT) == 0
    host.reply = lambda request: (200,)
    program.start()
    assert host.next().headers["X-Txn"] == "t1"


@pytest.mark.parametrize(
    "command",
    [
        [b"SUBMIT"],
        [b"FLUSHALL"],
        [b"SUBMIT", b"0", b"bad id\r\n", b"c=report,d=1,dest=1", b""],
        [b"SUBMIT", b"0", b"t1", b"c=unknown,d=9000,dest=1", b""],
        [b"SUBMIT", b"0", b"t1", b"c=report,d=x,dest=1", b""],
        [b"SUBMIT", b"0", b"t1", b"c=report,d=9000,dest=77", b""],  # the catalog never listed a host for it
        [b"SUBMIT", b"0", b"t1", b"c=report,d=9000,dest=1", bytes(64 * 1024 + 1)],
    ],
)
def test_an_invalid_command_gets_an_error_and_the_connection_stays_usable(program, agent, command):
    client = program.start()
    assert client.ask(*command).startswith("-ERR")
    assert client.ask("PING") == "+PONG"


def test_malformed_data_closes_only_the_connection_it_came_on(program, agent, make_host):
    host = make_host(lambda request: request.handler.wfile.write(b"nonsense\r\n\r\n") and None)
    agent.list(host.address)
    client = program.start()
    malformed_client = program.client()
    malformed_client.socket.sendall(b"*1\r\n:5\r\n")
    assert malformed_client.lines.readline().startswith(b"-ERR") and malformed_client.lines.readline() == b""
    client.submit("t1", "charge", key="k1")
    assert agent.notice() == {"ref": "t1", "result": "dead"}  # it may have run
    assert client.ask("PING") == "+PONG"


def test_pipelined_submits_are_answered_in_order(program, agent, make_host):
    host = make_host()
    agent.list(host.address)
    client = program.start()
    for number in range(5):
        span = 50 if number == 2 else 9000
        client.write("SUBMIT", "0", f"t{number}", f"c=report,t=acme,d={span},dest=1", "hello")
    client.write("PING")
    assert [client.lines.readline().strip() for _ in range(6)] == [
        b"+OK",
        b"+OK",
        b"-BUSY 2000",
        b"+OK",
        b"+OK",
        b"+PONG",
    ]
    assert {host.next().headers["X-Txn"] for _ in range(4)} == {"t0", "t1", "t3", "t4"}


def test_a_client_that_closed_its_sending_side_still_gets_its_answer(program, agent):
    agent.list("127.0.0.1:1")
    client = program.start()
    client.write("SUBMIT", "0", "t1", "c=report,t=acme,d=9000,dest=1", "hello")
    client.socket.shutdown(socket.SHUT_WR)
    assert client.lines.read() == b"+OK\r\n"


@pytest.mark.parametrize("sent", [b"", b"*2\r\n$6\r\nSUB", b"*5\r\n$6\r\nSUBMIT\r\n$60000\r\n"])
def test_a_client_that_sends_nothing_or_a_partial_command_is_closed(make_program, agent, sent):
    program = make_program(client_command_ms=150)
    good = program.start()
    malformed_client = program.client()
    malformed_client.socket.sendall(sent)
    answer = b"-ERR the command did not come whole in its time\r\n" if sent else b""
    assert (
        good.ask("PING") == "+PONG"
        and malformed_client.lines.read() == answer
        and good.ask("PING") == "+PONG"
    )


def test_an_idle_client_is_closed_after_the_idle_timeout(make_program, agent):
    client = make_program(client_idle_ms=150).start()
    assert client.ask("PING") == "+PONG" and client.lines.read() == b""


def test_idle_clients_are_closed_sooner_while_half_of_the_client_slots_are_taken(make_program, agent):
    program = make_program(limits={"sockets": 64}, client_idle_ms=8000)
    clients = [program.start()] + [program.client() for _ in range(16)]
    assert [client.ask("PING") for client in clients] == ["+PONG"] * 17
    sockets = {client.socket: client for client in clients}
    closed, _, _ = select.select(sockets, [], [], 5)  # closing the first one frees enough slots
    assert closed and sockets[closed[0]].lines.read() == b""


def test_a_client_that_sends_only_invalid_commands_is_closed_after_a_limit(program, agent):
    client = program.start()
    client.socket.sendall(b"NONSENSE\r\n" * 100)
    lines = client.lines.readlines()
    assert len(lines) == 8 and all(line.startswith(b"-ERR") for line in lines)


def test_the_memory_for_partial_commands_is_bounded_over_all_clients(make_program, agent):
    program = make_program(limits={"memory_mb": 64, "sockets": 1024, "disk_mb": 3})
    client = program.start()
    partial_command = (
        b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nt1\r\n$20\r\nc=report,d=9000,dest\r\n$65000\r\n"
    )
    # More bytes than any memory limit leaves for partial commands.
    large, others = program.client(), [program.client() for _ in range(140)]
    large.socket.sendall(partial_command + bytes(64_000))
    for each in others:
        each.socket.sendall(partial_command + bytes(59_000))
    assert large.lines.read() == b"-BUSY\r\n" and client.ask("PING") == "+PONG"


def test_with_all_client_slots_taken_the_longest_silent_connection_is_closed(make_program, agent):
    program = make_program(limits={"sockets": 64})
    client = program.start()
    others = [program.client() for _ in range(32)]
    assert [other.ask("PING") for other in others[1:]] == ["+PONG"] * 31
    assert client.lines.readline() == b""


def test_the_watch_reports_drains_and_is_reopened_at_its_last_index(program, agent, make_host):
    first, second = make_host(), make_host()
    agent.list(first.address)
    client = program.start()
    watch = agent.watches.get(timeout=WAIT_TIMEOUT)
    agent.tell(watch, b"\n")
    agent.list(first.address, status="leaving")
    agent.list(second.address, "s-2")
    agent.tell(watch)
    agent.tell(watch, b"no json\n")
    again = agent.watches.get(timeout=WAIT_TIMEOUT)
    assert again[1] == agent.index
    assert client.submit("t1") == "+OK" and second.next().headers["X-Txn"] == "t1"
    assert first.requests.empty()


def test_sighup_moves_the_watch_and_pending_notices_to_the_new_address(
    program, agent, make_host, other_agent
):
    agent.list("127.0.0.1:1", status="leaving")
    other_agent.list((host := make_host()).address, "s-2", dest=2)
    agent.notice_status, agent.index = 503, 9  # an index that is unknown to the other catalog
    client = program.start()
    agent.watches.get(timeout=WAIT_TIMEOUT)
    client.submit("t1", d=150)
    assert agent.notice()["ref"] == "t1"
    program.configure(discovery=other_agent.address)
    assert other_agent.notice() == {"ref": "t1", "result": "bounced", "wait_ms": 2000}
    assert other_agent.watches.get(timeout=WAIT_TIMEOUT)[1] == 2
    assert client.submit("t2", dest=2) == "+OK" and host.next().headers["X-Txn"] == "t2"


def test_the_known_list_is_used_until_a_new_catalog_has_sent_its_own(program, agent, make_host):
    host = make_host()
    agent.list(host.address)
    client = program.start()
    with socket.create_server(("127.0.0.1", 0)) as silent:
        program.configure(discovery=f"127.0.0.1:{silent.getsockname()[1]}")
        silent.accept()
        assert client.submit("t1") == "+OK" and host.next().headers["X-Txn"] == "t1"


def test_an_invalid_configuration_is_logged_with_its_key_and_the_old_one_stays(
    program, agent, make_host, other_agent
):
    host = make_host()
    client = program.start()
    watch = agent.watches.get(timeout=WAIT_TIMEOUT)
    program.configure(discovery=other_agent.address, limits={"sockets": "many"})
    assert "limits.sockets" in program.wait_for_log("event=not-configured")
    agent.list(host.address)
    agent.tell(watch)
    assert client.submit("t1") == "+OK" and host.next().headers["X-Txn"] == "t1"
    assert other_agent.requests.empty()


def test_an_invalid_key_at_a_start_is_reported_on_one_line(tmp_path):
    file = tmp_path / "relay.json"
    file.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "state": "s",
                "settings": {"classes": [{}], "limits": {"maxOpen": "many"}},
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "limelatch.relay"],
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT,
        env=os.environ | {"RELAY_CONFIG": str(file)},
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "settings.limits.maxOpen" in done.stderr


def test_a_subscribed_list_is_watched_on_request_and_again_after_a_failure(make_program, agent, make_host):
    """With `subscribe`, the decision module requests each watch of the catalog."""
    first, second, rules = make_host(), make_host(), SETTINGS["rules"] | {"askEvery": 1000}
    agent.list(first.address)
    program = make_program(settings=SETTINGS | {"discovery": "subscribe", "rules": rules}, list_ms=50)
    client = program.start()
    agent.tell(agent.watches.get(timeout=WAIT_TIMEOUT), b"no json\n")
    watch = agent.watches.get(timeout=WAIT_TIMEOUT)
    agent.list(first.address, status="leaving")
    agent.list(second.address, "s-2")
    agent.tell(watch)
    agent.tell(watch, b"no json\n")  # ends the watch after the update has been read
    assert agent.watches.get(timeout=WAIT_TIMEOUT)[1] == agent.index and client.submit("t1") == "+OK"
    assert second.next().headers["X-Txn"] == "t1" and first.requests.empty()


DIGEST = {"name": "digest", "effect": "pure", "deadline": 9000}
CHANGED_SETTINGS = SETTINGS | {"classes": [SETTINGS["classes"][2], DIGEST]}


@pytest.mark.parametrize(
    "broken, why",
    [
        (DIGEST | {"deadline": 0}, "settings.classes[1].deadline: expected a validity period over 0"),
        ({"name": "digest", "deadline": 9000}, "settings.classes[1].effect: is required"),
        ({"name": "digest", "effect": "pure"}, "settings.classes[1].deadline: is required"),
    ],
)
def test_an_invalid_new_configuration_changes_no_setting(program, agent, make_host, broken, why):
    agent.list(make_host().address)
    client = program.start()
    program.configure(settings=SETTINGS | {"classes": [SETTINGS["classes"][2], broken]})
    assert why in program.wait_for_log("event=not-configured")
    assert client.submit("t1", product="digest").startswith("-ERR unknown class")
    assert client.submit("t2", product="charge", key="0007") == "+OK"


def test_sighup_applies_new_products_and_open_texts_keep_their_old_settings(program, agent, make_host):
    requests = []
    host = make_host(lambda request: requests.append(request) or request.hang())
    agent.list(host.address)
    client = program.start()
    assert client.submit("t1", product="charge", key="0007") == "+OK"
    host.next()  # now in flight, and never answered
    program.configure(settings=CHANGED_SETTINGS)
    assert "products=2 submits=4" in program.wait_for_log("event=configured")
    assert client.submit("t2", product="digest") == "+OK"
    assert client.submit("t3", product="charge").startswith("-ERR unknown class")
    products = {entry.fields["product"] for entry in inspect_ledger(str(program.state)).entries.values()}
    assert products == {"charge", "digest"}  # each text with the settings it was accepted under
