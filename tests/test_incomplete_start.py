"""Starts and upgrades whose file lacks a key or has a wrong one: what the relay owes keeps its rules."""

import json

import pytest
from conftest import SETTINGS, with_value, without


def changed_settings(program, path: tuple, value: object) -> None:
    """Change a key of the program's settings, for the next process; MISSING: take it out."""
    content = json.loads(program.file.read_text())
    path = ("settings", *path)
    changed = without(content, path) if value is MISSING else with_value(content, path, value)
    program.file.write_text(json.dumps(changed))


MISSING = object()
GROUP, ZONES = ("classes", 0, "group"), ("zones",)
CHANGES = [
    (GROUP, MISSING),
    (GROUP, None),
    (GROUP, "cell"),
    (ZONES, MISSING),
    (ZONES, None),
    (ZONES, ["b", "a"]),
    (ZONES, ["c"]),
    (("classes", 0, "dedupWindow"), MISSING),
    (("classes", 0, "effect"), MISSING),
]


@pytest.mark.parametrize(
    "path, value, way",
    [(*change, "restart") for change in CHANGES]
    + [(*change, "upgrade") for change in CHANGES if change[0] in (GROUP, ZONES)],
)
def test_a_new_process_with_an_incomplete_file_leaves_a_text_that_may_have_run_in_its_zone(
    program, agent, make_host, path, value, way
):
    """Guards against a repeat in another zone after a start whose file lacks the group or the zones."""
    first, other = make_host(lambda request: request.hang()), make_host()
    agent.list(first.address, zone="a")
    old = program.start()
    assert old.submit("t1", "notice", d=5000) == "+OK"
    assert first.next().headers["X-Txn"] == "t1"
    changed_settings(program, path, value)
    process = program.process
    if way == "upgrade":
        program.launch()
        program.wait_for_log("event=serving")
    process.kill()
    process.wait(10)
    agent.list(first.address, zone="a", status="leaving")
    agent.list(other.address, name="s-2", zone="b")
    if way == "restart":
        client = program.start()
    else:
        program.wait_for_log("event=taken-over")
        agent.watches.get(timeout=10)  # the old process's
        agent.tell(agent.watches.get(timeout=10))
        client = program.client()
    assert client.submit("t2", "report") == "+OK"
    assert other.next().headers["X-Txn"] == "t2"
    assert agent.notice()["ref"] == "t1" and other.requests.empty()


def test_without_zones_in_the_settings_a_text_that_may_have_run_goes_to_its_zone_again(
    make_program, agent, make_host
):
    """A zone is known by its name in the list of hosts, so a file short of `zones` costs no delivery."""
    settings = {name: value for name, value in SETTINGS.items() if name != "zones"}
    program = make_program(settings=settings)
    first, same, other = make_host(lambda request: (500,)), make_host(), make_host()
    agent.list(first.address, zone="a")
    client = program.start()
    assert client.submit("t1", "notice", d=20_000) == "+OK"
    assert first.next().headers["X-Txn"] == "t1"
    agent.list(first.address, zone="a", status="leaving")
    agent.list(other.address, name="s-2", zone="b")
    agent.list(same.address, name="s-3", zone="a")
    agent.tell(agent.watches.get(timeout=10))
    assert same.next().headers["X-Txn"] == "t1" and other.requests.empty()


def test_hosts_whose_zone_is_not_told_count_as_of_different_zones(make_program, agent, make_host):
    """Guards against two unknown zones that are taken for the same one."""
    first, other = make_host(lambda request: (500,)), make_host()
    program = make_program()
    agent.list(first.address, zone=None)
    client = program.start()
    assert client.submit("t1", "notice", d=3000) == "+OK"
    assert first.next().headers["X-Txn"] == "t1"
    agent.list(first.address, zone=None, status="leaving")
    agent.list(other.address, name="s-2", zone=None)
    agent.tell(agent.watches.get(timeout=10))
    assert client.submit("t2", "report") == "+OK"
    assert other.next().headers["X-Txn"] == "t2"
    assert agent.notice()["ref"] == "t1" and other.requests.empty()
