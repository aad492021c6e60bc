"""New configurations at SIGHUP: a file that is short of a key, or has a wrong one, is not applied at all."""

import copy
import json
import signal

import pytest
from conftest import SETTINGS

from limelatch.configuration import ConfigurationError, load, plan_of, relay_plan, reloaded_plan
from limelatch.configuration.platform_form import write_platform
from limelatch.configuration.toml_form import write_toml

WHOLE_TOML = """
[relay]
listen = "127.0.0.1:6379"
state = "s"
operator = "127.0.0.1:7000"
name = "n0"
seed = "8c1f"
relays = 3
[log]
parts = { policy = "warning" }
[membership]
listen = "127.0.0.1:7946"
peers = ["127.0.0.1:7946", "127.0.0.2:7946"]
address = "127.0.0.1:7946"
zones = ["ground", "first"]
[catalog]
address = "127.0.0.1:8500"
rates = "rough"
[hosts]
report_fields = ["x0"]
[limits]
advice = "2s"
[rules]
cold_share = 0.14
cold_time = "12s"
fall_multiple = 2.5
fall_time = "2s"
key_rest = "300ms"
[[products]]
name = "notice"
effect = "referenced"
sla_time = "3s"
validity_period = "24s"
repeat_window = "10s"
repeat_known = "floor"
[[products]]
name = "charge"
effect = "once-only"
sla_time = "2.5s"
validity_period = "28s"
in_order = true
[[customers]]
name = "acme"
share = 0.5
[[kinds]]
name = "single"
[[kinds]]
name = "apart"
texts_per_call = 5
routes_apart = true
[[floors]]
name = "ground"
[[floors]]
name = "first"
fee = 0.01
"""


@pytest.fixture
def files(tmp_path):
    """The same whole configuration in both forms, as objects, with a function that writes one to its file."""

    class Files:
        toml_path, json_path = str(tmp_path / "relay.toml"), str(tmp_path / "relay.json")

        def __init__(self):
            self.write(self.toml_path, WHOLE_TOML)
            loaded = load(self.toml_path)
            self.write(self.toml_path, write_toml(loaded.installation, set(), whole=True))
            self.raw = write_platform(loaded.installation)
            self.write(self.json_path, self.raw)

        def write(self, path, content):
            with open(path, "w") as file:
                file.write(content if isinstance(content, str) else json.dumps(content))

    return Files()


def without(raw: dict, path: tuple) -> dict:
    """Return a copy of an object without the key at the path."""
    changed = copy.deepcopy(raw)
    parent = changed
    for name in path[:-1]:
        parent = parent[name]
    del parent[path[-1]]
    return changed


def errors_at_reload(path: str, current) -> list[str]:
    """Return the keys of a file that prevent its use at SIGHUP; none if it would be applied."""
    try:
        reloaded_plan(ENVIRONMENT, current, path)
    except ConfigurationError as error:
        return [each.path for each in error.errors]
    return []


# What a process of the relay is told beside its file; at SIGHUP none of it may replace a key of the file.
ENVIRONMENT = {
    "RELAY_NAME": "other",
    "RELAY_LISTEN": "127.0.0.9:1",
    "RELAY_DISCOVERY": "127.0.0.9:2",
    "RELAY_STATE": "other",
    "RELAY_OPERATOR": "127.0.0.9:3",
}


def test_a_key_that_only_the_environment_has_set_may_stay_out_of_the_file(files):
    raw = {"listen": "127.0.0.1:1", "state": "s", "settings": SETTINGS}
    files.write(files.json_path, raw)
    environment = {"RELAY_DISCOVERY": "127.0.0.9:2"}
    current = relay_plan(environment, files.json_path)
    assert str(reloaded_plan(environment, current, files.json_path).catalog_address) == "127.0.0.9:2"
    files.write(files.json_path, raw | {"discovery": "127.0.0.1:3"})
    moved = reloaded_plan(environment, current, files.json_path)
    assert str(moved.catalog_address) == "127.0.0.1:3"
    files.write(files.json_path, raw)
    with pytest.raises(ConfigurationError, match="discovery: is set in the configuration in force"):
        reloaded_plan(environment, moved, files.json_path)


def test_the_list_of_hosts_may_stay_out_of_a_new_file(files):
    known = {"index": 3, "snapshot": True, "endpoints": []}
    files.write(files.json_path, files.raw | {"known": known})
    current = relay_plan({}, files.json_path)
    files.write(files.json_path, files.raw)
    assert errors_at_reload(files.json_path, current) == []


def test_what_a_reload_is_compared_with_holds_no_list_of_hosts_and_little_for_each_row(files):
    """Guards against a process that keeps a path for each key of each of many customers."""
    customers = [{"name": f"c{number}", "portion": 0.0} for number in range(1000)]
    settings = SETTINGS | {"projects": customers}
    files.write(files.json_path, files.raw | {"settings": settings, "known": {"index": 1}})
    source = relay_plan({}, files.json_path).source
    assert len({id(keys) for keys in source.given.of_rows["customers"]}) == 1
    assert source.installation.known == {} and plan_of(source.installation).known_hosts == {}


# On processes.


def hang_up(program, content: dict) -> None:
    """Replace the program's file, whole, and send SIGHUP."""
    program.file.write_text(json.dumps(content))
    program.process.send_signal(signal.SIGHUP)


@pytest.mark.parametrize("broken", ["missing", "null"])
def test_a_file_without_discovery_leaves_the_notices_at_the_address_that_it_had_moved_to(
    program, agent, other_agent, make_host, broken
):
    """Guards against notices that go to the address of the start once it is closed: review, case 1."""
    host = make_host(lambda request: (500,))
    for each in (agent, other_agent):
        each.list(host.address)
    program.environment = {"RELAY_DISCOVERY": agent.address}
    client = program.start()
    whole = json.loads(program.file.read_text()) | {"discovery": other_agent.address}
    hang_up(program, whole)
    program.wait_for_log("event=configured")
    agent.shutdown()
    agent.server_close()
    hang_up(program, whole | {"discovery": None} if broken == "null" else without(whole, ("discovery",)))
    line = program.wait_for_log("configured")
    assert client.submit("t1", "charge", key="k1", d=2000) == "+OK"
    assert other_agent.notice() == {"ref": "t1", "result": "dead"}
    assert "event=not-configured" in line and "discovery" in line
    hang_up(program, whole)
    program.wait_for_log("event=configured")
