"""New configurations at SIGHUP: a file that is short of a key, or has a wrong one, is not applied at all."""

import json
import re
import signal
import time
from collections.abc import Iterator

import pytest
from conftest import SETTINGS, with_value, without

from limelatch.configuration import ConfigurationError, load, plan_of, relay_plan, reloaded_plan
from limelatch.configuration.platform_form import write_platform
from limelatch.configuration.toml_form import write_toml

NOTICE, CHARGE, REPORT = SETTINGS["classes"]
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
WRONG_VALUES = (True, -1, 0.5, "nosuch", [], {}, [{}], "")
WRONG_WORDS = {  # by key of the platform's JSON: values of the right type that have no meaning
    "effect": "safe",
    "group": "cell",
    "weightSource": "live",
    "losesWorth": "never",
    "portion": 1.5,
    "peersTotal": 0,
}


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


def key_paths(raw: object, path: tuple = ()) -> Iterator[tuple]:
    """Yield the path of each key in an object and in the objects and lists inside it."""
    for name, value in raw.items() if isinstance(raw, dict) else enumerate(raw):
        if isinstance(raw, dict):
            yield *path, name
        if isinstance(value, (dict, list)) and name not in ("log_parts",):
            yield from key_paths(value, (*path, name))


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


def test_each_key_that_is_missing_or_null_in_the_platforms_json_keeps_the_file_from_being_applied(files):
    """Guards against a file short of a key whose key then takes a default or a value of the environment."""
    current = relay_plan(ENVIRONMENT, files.json_path)
    assert errors_at_reload(files.json_path, current) == []
    applied = []
    for path in key_paths(files.raw):
        for changed in (without(files.raw, path), with_value(files.raw, path, None)):
            files.write(files.json_path, changed)
            if not errors_at_reload(files.json_path, current):
                applied.append(path)
    assert applied == [] and len(list(key_paths(files.raw))) > 70


def test_each_key_that_is_missing_in_toml_keeps_the_file_from_being_applied(files):
    """Guards against a file short of a line whose key then takes its default.

    Not so for an entry of `log.parts`: without it a part is logged as all others are.
    """
    current = relay_plan({}, files.toml_path)
    with open(files.toml_path) as file:
        lines = file.read().splitlines(keepends=True)
    keys = [number for number, line in enumerate(lines) if "=" in line and "policy" not in line]
    applied = []
    for number in keys:
        files.write(files.toml_path, "".join(lines[:number] + lines[number + 1 :]))
        if not errors_at_reload(files.toml_path, current):
            applied.append(lines[number])
    assert applied == [] and len(keys) > 70


def test_each_wrong_value_in_the_platforms_json_keeps_the_file_from_being_applied(files):
    """Guards against a value that is not understood and replaced, where the settings in force are known."""
    current = relay_plan({}, files.json_path)
    applied = []
    for path in key_paths(files.raw):
        for value in (*WRONG_VALUES, WRONG_WORDS.get(path[-1], 10**400)):
            files.write(files.json_path, with_value(files.raw, path, value))
            if not errors_at_reload(files.json_path, current):
                applied.append((path, value))
    assert [(path, value) for path, value in applied if not is_valid(path, value)] == []


def is_valid(path: tuple, value: object) -> bool:
    """Tell whether one of the wrong values is a valid one for the key after all."""
    name = path[-1]
    if isinstance(value, bool):
        return name in ("on", "oneAtATime", "retryAfter", "routesApart")
    if isinstance(value, float):  # a span, a size, a share, a fee or a rate
        return name not in ("maxAttempts", "sockets")
    if isinstance(value, str):
        return name in ("name", "state", "seed", "operator", "zones") if value else name in ("name", "seed")
    return value in ([], {}) and name in ("known", "peers", "zones", "projects", "log_parts", "fields")


def test_each_table_that_is_missing_or_emptied_keeps_the_file_from_being_applied(files):
    """Guards against a file short of a whole section, or with an empty list for one that had rows."""
    current = relay_plan({}, files.toml_path)
    with open(files.toml_path) as file:
        tables = re.split(r"^(?=\[)", file.read(), flags=re.MULTILINE)
    names = sorted({table.split("]")[0].strip("[") for table in tables} - {"", "log.parts"})
    applied = []
    for name in names:
        kept = [table for table in tables if not re.match(rf"\[+{re.escape(name)}\]", table)]
        files.write(files.toml_path, "".join(kept))
        if not errors_at_reload(files.toml_path, current):
            applied.append(name)
    current = relay_plan({}, files.json_path)
    for path in key_paths(files.raw):
        parent = files.raw
        for part in path:
            parent = parent[part]
        if parent and isinstance(parent, (str, list)):
            files.write(files.json_path, with_value(files.raw, path, type(parent)()))
            if not errors_at_reload(files.json_path, current):
                applied.append(path)
    assert applied == [] and len(names) > 10


def test_many_rows_without_a_name_are_compared_quickly_and_reported_briefly(files):
    """Guards against a reload that stops the relay for minutes, or logs a line of megabytes."""
    rows = [{"portion": 0.0} for _ in range(20_000)]
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "s"}
    files.write(files.json_path, raw | {"settings": SETTINGS | {"projects": rows}})
    current, began = relay_plan({}, files.json_path), time.process_time()
    files.write(files.json_path, raw | {"settings": SETTINGS | {"projects": [{}] * len(rows)}})
    with pytest.raises(ConfigurationError) as error:
        reloaded_plan({}, current, files.json_path)
    assert len(error.value.errors) >= len(rows) and time.process_time() - began < 10
    summary = error.value.summary()
    assert summary.startswith("settings.projects[0].portion: ") and summary.endswith(" more")
    assert len(summary) < 5000


@pytest.mark.parametrize(
    "row",
    [
        {"name": "new", "effect": "token", "dedupWindow": 9000, "deadline": 9000},
        {"name": "new", "effect": "token", "group": "all", "deadline": 9000},
        {"name": "new", "effect": "token", "group": None, "dedupWindow": 9000, "deadline": 9000},
        {"name": "new", "effect": "pure"},
        {"name": "new", "deadline": 9000},
        {"name": "new", "effect": "pure", "deadline": 0},
        {"effect": "pure", "deadline": 9000},
        {"name": "notice", "effect": "pure", "dedupWindow": 9000, "deadline": None},
        None,
    ],
)
def test_a_new_row_short_of_a_key_keeps_the_file_from_being_applied(files, row):
    """Guards against a new class that gets a group, window or deadline which nobody has written."""
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "s", "settings": SETTINGS}
    files.write(files.json_path, raw)
    current = relay_plan({}, files.json_path)
    classes = [each for each in SETTINGS["classes"] if row is None or each["name"] != row.get("name")]
    files.write(files.json_path, raw | {"settings": SETTINGS | {"classes": [*classes, row]}})
    assert errors_at_reload(files.json_path, current)


@pytest.mark.parametrize(
    "classes",
    [
        [REPORT],
        [REPORT, NOTICE, CHARGE],
        [NOTICE | {"deadline": 9000}, CHARGE, REPORT],
        [{"name": "notice", "effect": "pure", "deadline": 9000}, CHARGE, REPORT],
        [{"name": "notice", "effect": "side_effect", "oneAtATime": True, "deadline": 9000}],
        [*SETTINGS["classes"], {"name": "new", "effect": "pure", "deadline": 9000}],
        [*SETTINGS["classes"], NOTICE | {"name": "new", "group": "all"}],
    ],
)
def test_classes_may_be_dropped_added_moved_and_have_another_effect(files, classes):
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "s", "settings": SETTINGS}
    files.write(files.json_path, raw)
    current = relay_plan({}, files.json_path)
    limits = SETTINGS["limits"] | {"maxAttempts": 2}
    settings = SETTINGS | {"classes": classes, "limits": limits}
    files.write(files.json_path, raw | {"settings": settings, "discovery": "127.0.0.1:3", "other": 1})
    plan = reloaded_plan({}, current, files.json_path)
    assert [row["name"] for row in classes] == plan.names.products and plan.settings.max_submits == 2
    assert str(plan.catalog_address) == "127.0.0.1:3"


def test_a_value_that_is_not_understood_but_in_force_does_not_keep_other_changes_from_being_applied(files):
    """Guards against a relay that takes no new address of discovery, for a word that it started with."""
    classes = [REPORT, NOTICE | {"group": "cell"}]
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "s"}
    files.write(files.json_path, raw | {"settings": SETTINGS | {"classes": classes}})
    current = relay_plan({}, files.json_path)
    assert [product.retry_anywhere for product in current.settings.products][1] is False
    moved = raw | {"discovery": "127.0.0.1:3", "settings": SETTINGS | {"classes": classes[::-1]}}
    files.write(files.json_path, moved)
    assert str(reloaded_plan({}, current, files.json_path).catalog_address) == "127.0.0.1:3"
    classes[0] = REPORT | {"effect": "cell"}
    files.write(files.json_path, moved | {"settings": SETTINGS | {"classes": classes}})
    assert errors_at_reload(files.json_path, current) == ["settings.classes[0].effect"]


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


@pytest.mark.parametrize("broken", ["missing", "null", "wrong"])
def test_a_file_without_a_class_s_group_leaves_a_text_that_may_have_run_in_its_zone(
    program, agent, make_host, broken
):
    """Guards against a repeat in another zone, which does not know the text's key: review, case 2."""
    first, other = make_host(lambda request: (500,)), make_host()
    agent.list(first.address, zone="a")
    client = program.start()
    whole = json.loads(program.file.read_text())
    group = ("settings", "classes", 0, "group")
    values = {"null": None, "wrong": 7}
    hang_up(
        program,
        without(whole, group) if broken == "missing" else with_value(whole, group, values[broken]),
    )
    line = program.wait_for_log("configured")
    assert client.submit("t1", "notice", d=3000) == "+OK"
    assert first.next().headers["X-Txn"] == "t1"
    agent.list(first.address, zone="a", status="leaving")
    agent.list(other.address, name="s-2", zone="b")
    agent.tell(agent.watches.get(timeout=10))
    assert client.submit("t2", "report") == "+OK"
    assert other.next().headers["X-Txn"] == "t2"
    assert agent.notice()["ref"] == "t1" and other.requests.empty()
    assert "event=not-configured" in line and "settings.classes[0].group" in line


def test_refused_files_in_a_row_change_nothing_not_even_in_part(program, agent, make_host):
    """Each refused file also moves discovery, adds a class and lowers the submits."""
    host = make_host()
    agent.list(host.address)
    client = program.start()
    whole = json.loads(program.file.read_text())
    added = REPORT | {"name": "new"}
    settings = whole["settings"] | {"classes": [*SETTINGS["classes"], added]}
    changed = whole | {"settings": settings, "discovery": "127.0.0.9:9"}
    limits, rules, rows = ("settings", "limits"), ("settings", "rules"), ("settings", "projects")
    broken = [without(changed, (*limits, "maxOpen")), without(changed, rules), with_value(changed, rows, [])]
    for content, key in zip(broken, ("maxOpen", "turnGap", "projects"), strict=True):
        hang_up(program, content)
        line = program.wait_for_log("configured")
        assert "event=not-configured" in line and key in line
        assert client.submit("t1", "new").startswith("-ERR unknown class")
    hang_up(program, changed | {"discovery": whole["discovery"]})
    program.wait_for_log("event=configured")
    assert client.submit("t2", "new") == "+OK" and host.next().headers["X-Txn"] == "t2"
    hang_up(program, broken[0])
    program.wait_for_log("event=not-configured")
    assert client.submit("t3", "new") == "+OK" and host.next().headers["X-Txn"] == "t3"
