"""A new process at the address of one that has gone is not taken for it."""

import json
import time

import pytest
from conftest import NOW, WAIT_TIMEOUT
from test_crossings import wait_until

from limelatch.interface import HostEntry, Listing
from limelatch.relay.list_copy import COPY_FILE, read_copy

LONG = 20_000  # milliseconds of validity
HANDOVERS = 5  # times that the address goes to a host of another destination


def replace_host(agent, watch, address, number):
    """In one change the host goes, and another one at its address serves another destination."""
    agent.list(address, f"s-{number}", dest=number, status="left")
    agent.list(address, f"s-{number + 1}", dest=number + 1)
    agent.tell(watch)
    return watch[0], agent.index


def calls_by_destination(host):
    """The destinations of the texts that were called, by their names."""
    return [request.headers["X-Txn"].split("-")[0] for request in list(host.requests.queue)]


def test_after_a_change_of_the_list_no_text_goes_to_the_address_s_former_host(program, agent, make_host):
    """The connection to the former host stays open and idle: nothing but the list tells of the change."""
    host = make_host()
    agent.list(host.address, "s-1", dest=1)
    client = program.start()
    watch = agent.watches.get(timeout=WAIT_TIMEOUT)
    for number in range(1, 1 + HANDOVERS):
        assert client.submit(f"{number}-a", dest=number, d=LONG) == "+OK"
        wait_until(lambda number=number: f"{number}" in calls_by_destination(host))
        watch = replace_host(agent, watch, host.address, number)
        wait_until(lambda number=number: client.submit(f"{number}-x", dest=number).startswith("-ERR"))
        assert client.submit(f"{number + 1}-b", dest=number + 1, d=LONG) == "+OK"
        wait_until(lambda number=number: f"{number + 1}" in calls_by_destination(host))
    called = [request.headers["X-Txn"] for request in list(host.requests.queue)]
    assert not any(text.endswith("-x") for text in called), called


def test_a_start_in_discovery_s_outage_does_not_send_to_a_host_that_had_gone(make_program, agent, make_host):
    """The list in the folder is of 0.2 s before the kill at the earliest, not of up to a minute."""
    host, program = make_host(), make_program(list_ms=200)
    agent.list(host.address, "s-1", dest=1)
    client = program.start()
    watch = agent.watches.get(timeout=WAIT_TIMEOUT)
    copy = program.state / COPY_FILE
    wait_until(copy.exists)
    replace_host(agent, watch, host.address, 1)
    wait_until(lambda: client.submit("2-a", dest=2, d=LONG) == "+OK" or time.sleep(0.01))
    time.sleep(0.3)
    program.kill()
    _, _, directory = read_copy(str(copy))
    assert [row.name for row in directory.rows(2)] == ["s-2"] and not list(directory.rows(1))
    act = agent.reply
    agent.reply = lambda request: act(request) if request.path == "/reports" else request.hang()
    client = program.start()
    before = len(host.requests.queue)
    assert client.submit("1-b", dest=1, d=1000) == "+OK"
    assert json.dumps(agent.notice())
    assert "1" not in calls_by_destination(host)[before:]


@pytest.mark.parametrize("listing", [Listing.READY, Listing.DRAINING])
def test_a_call_is_not_sent_to_a_host_that_serves_another_destination_by_then(relay, listing):
    """The host's destination changed while the connection for the call was being made."""
    text = relay.accept_text()
    host = relay.sent_texts()[text]
    assert relay.policy.may_send(NOW, text, host)
    relay.policy.hosts_listed(NOW, [HostEntry(host, 1, 0, 0, 0.0, Listing.GONE)], False)
    relay.policy.hosts_listed(NOW, [HostEntry(host, 2, 0, 0, 0.0, listing)], False)
    assert not relay.policy.may_send(NOW, text, host)
