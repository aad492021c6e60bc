"""The command `limelatch`, run as a separate process: its exit codes, standard output and standard error."""

import json
import os
import pty
import re
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from conftest import SETTINGS, WAIT_TIMEOUT

from limelatch.client import wire
from limelatch.client.wire import AnswerKind
from limelatch.relay.ledger import Ledger
from limelatch.relay.records import RECORD_HEADER

ROOT = Path(__file__).parent.parent
SUCCESS = 0
CHECK_FAILED = 1
USAGE_ERROR = 2


def start(*arguments, **options):
    """Start the command with its streams as pipes."""
    return subprocess.Popen(
        [sys.executable, "-m", "limelatch", *map(str, arguments)],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


def run(*arguments, stdin_text=None, timeout=WAIT_TIMEOUT):
    """Run the command to its end: exit code, standard output and standard error."""
    process = start(*arguments, stdin=subprocess.PIPE)
    out, err = process.communicate(stdin_text, timeout)
    return process.returncode, out, err


@pytest.fixture
def ledger(tmp_path):
    """The ledger in a state directory, with one text that is held, one that is out and one that is ended."""
    ledger = Ledger(str(tmp_path), 100_000, 10_000_000)
    until = int(time.time() + 60) * 10_000
    for text, product in ((b"t1", "report"), (b"t2", "charge"), (b"t3", "notice")):
        ledger.record_accepted(
            text,
            b"body of " + text,
            key="",
            mark="m",
            dest=int(text[1:]),
            product=product,
            customer=0,
            until=until,
        )
    ledger.record_submit(b"t2", until - 500_000, 1)
    ledger.record_notice(b"t3", {"result": "bounced", "wait_ms": 500})
    yield ledger
    ledger.close()


def directory_of(ledger):
    """The state directory of a ledger."""
    return os.path.dirname(ledger.path)


def file_states(folder):
    """Content and time of change of each file, by name."""
    return {each.name: (each.read_bytes(), each.stat().st_mtime_ns) for each in Path(folder).iterdir()}


def test_help_names_every_group_and_wrong_usage_exits_with_2():
    code, out, _ = run("-h")
    assert code == SUCCESS
    assert all(each in out for each in ("relay", "config", "ledger", "text", "ping", "demo", "completion"))
    assert run("--version")[1].startswith("limelatch 0.")
    code, out, err = run("ledger", "list")
    assert (code, out) == (USAGE_ERROR, "") and "FOLDER" in err
    assert run("nonsense")[0] == USAGE_ERROR
    assert "_LIMELATCH_COMPLETE=bash_complete" in run("completion", "bash")[1]


def test_config_check_distinguishes_good_files_errors_and_doubts(tmp_path):
    good, bad = tmp_path / "good.json", tmp_path / "bad.toml"
    raw = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "state": "s",
        "settings": SETTINGS | {"zones": ["a", "a"]},
    }
    good.write_text(json.dumps(raw))
    code, out, err = run("config", "check", good)
    assert code == SUCCESS and "good" in out and err.startswith(f"doubt: {good}:1: settings.zones")
    bad.write_text("[relay]\nlisten = 3\n")
    code, out, err = run("config", "check", good, bad)
    assert code == USAGE_ERROR and f"{bad}:2: relay.listen" in err and "Traceback" not in err


def test_config_show_prints_defaults_too_and_hides_secrets(tmp_path):
    path = tmp_path / "relay.json"
    path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "state": "s",
                "seed": "5ec2e7",
                "settings": SETTINGS,
            }
        )
    )
    code, out, _ = run("config", "show", path)
    assert code == SUCCESS and "5ec2e7" not in out
    assert 'silence = "4.5s" # default' in out and "slots = 8\n" in out
    assert "5ec2e7" in run("config", "show", path, "--secrets")[1]
    rows = [json.loads(line) for line in run("config", "show", path, "--json")[1].splitlines()]
    assert {"key": "limits.slots", "value": 8, "default": False} in rows


def test_config_convert_round_trips_and_diff_lists_changes(tmp_path):
    first, own, back = tmp_path / "a.json", tmp_path / "b.toml", tmp_path / "c.json"
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "s", "settings": SETTINGS}
    first.write_text(json.dumps(raw))
    own.write_text(run("config", "convert", first)[1])
    back.write_text(run("config", "convert", own)[1])
    assert run("config", "diff", first, back, "--exit-code") == (SUCCESS, "no difference\n", "")
    back.write_text(json.dumps(raw | {"discovery": "127.0.0.1:3", "limits": {"sockets": 99}}))
    code, out, _ = run("config", "diff", own, back, "--exit-code")
    assert code == CHECK_FAILED and out.splitlines() == [
        "catalog.address: 127.0.0.1:2 -> 127.0.0.1:3 (at once on SIGHUP)",
        "limits.sockets: 1024 -> 99 (after a restart)",
    ]


def test_config_diff_names_what_keeps_a_file_from_being_applied(tmp_path):
    first, second = tmp_path / "a.json", tmp_path / "b.json"
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "s", "settings": SETTINGS}
    first.write_text(json.dumps(raw))
    notice = {name: value for name, value in SETTINGS["classes"][0].items() if name != "group"}
    second.write_text(
        json.dumps(raw | {"settings": SETTINGS | {"classes": [notice, *SETTINGS["classes"][1:]]}})
    )
    code, out, err = run("config", "diff", first, second)
    assert (code, out) == (SUCCESS, "no difference\n")
    assert err.startswith("not applied on SIGHUP: settings.classes[0].group: is set in the configuration")


def test_ledger_commands_read_a_ledger_that_is_in_use_without_changing_it(ledger):
    before = file_states(directory_of(ledger))
    code, out, err = run("ledger", "list", directory_of(ledger))
    assert (code, err) == (SUCCESS, "")
    rows = [line.split()[:6] for line in out.splitlines()[1:-1]]
    assert rows == [
        ["t1", "held", "report", "1", "0", "no"],
        ["t2", "out", "charge", "2", "1", "may"],
        ["t3", "ended", "notice", "3", "0", "no"],
    ]
    shown = json.loads(run("ledger", "list", directory_of(ledger), "--json", "--may-have-run")[1])
    assert (shown["id"], shown["first_may_have_run_floor"]) == ("t2", 1)
    assert run("ledger", "show", directory_of(ledger), "t2", "--body")[1] == "body of t2"
    assert run("ledger", "show", directory_of(ledger), "t9")[0] == CHECK_FAILED
    code, out, err = run("ledger", "export", directory_of(ledger))
    assert [json.loads(line)["body"] for line in out.splitlines()][
        0
    ] == "Ym9keSBvZiB0MQ==" and "3 texts" in err
    assert run("ledger", "verify", directory_of(ledger))[0] == SUCCESS
    assert file_states(directory_of(ledger)) == before


def test_a_torn_ledger_and_a_file_that_is_none_are_reported(ledger):
    with open(ledger.path, "ab") as file:
        file.write(RECORD_HEADER.pack(99, 0) + b"torn")
    before = file_states(directory_of(ledger))
    code, out, err = run("ledger", "verify", directory_of(ledger))
    assert code == CHECK_FAILED and "5 records" in out and "12 bytes are not a complete record" in err
    assert "12 bytes torn" in run("ledger", "list", directory_of(ledger))[1]
    assert file_states(directory_of(ledger)) == before
    Path(ledger.path).write_bytes(b"something else altogether")
    code, out, err = run("ledger", "list", directory_of(ledger))
    assert (code, out) == (USAGE_ERROR, "") and "no ledger" in err


@pytest.mark.parametrize("name", ["none", "a_file", "empty"])
def test_a_path_without_a_ledger_is_reported_in_one_line(tmp_path, name):
    (tmp_path / "a_file").write_text("x")
    (tmp_path / "empty").mkdir()
    code, out, err = run("ledger", "verify", tmp_path / name)
    assert (code, out) == (USAGE_ERROR, "") and err.startswith("Error: ") and err.count("\n") == 1


def test_a_ledger_is_read_completely_while_it_is_compacted(ledger):
    """Guards against texts missing from a read during which the ledger's file is replaced."""
    finished = threading.Event()

    def write_texts():
        number = 0
        while not finished.is_set():
            text = b"c%d" % (number := number + 1)
            ledger.record_accepted(
                text, b"x" * 3000, key="", mark="m", dest=1, product="report", customer=0, until=9
            )
            ledger.record_finished(text, 0)

    writer = threading.Thread(target=write_texts)
    writer.start()
    try:
        views = [inspect_ledger(directory_of(ledger)) for _ in range(200)]
    finally:
        finished.set()
        writer.join()
    assert all(list(view.entries)[:3] == [b"t1", b"t2", b"t3"] and not view.problems for view in views)


def inspect_ledger(path):
    from limelatch.relay.inspection import inspect_ledger

    return inspect_ledger(path)


def test_relay_run_accepts_a_second_process_of_a_relay_and_rejects_a_third(tmp_path, agent, make_host):
    agent.list((host := make_host()).address)
    address = f"127.77.1.{os.getpid() % 250 + 1}:{20000 + os.getpid() % 20000}"
    (tmp_path / "state").mkdir()
    path = tmp_path / "relay.toml"
    path.write_text(f"""
[relay]
listen = "{address}"
state = "{tmp_path / "state"}"
[catalog]
address = "{agent.address}"
[log]
form = "json"
[[products]]
name = "report"
effect = "resendable"
[[kinds]]
name = "single"
[[floors]]
name = "a"
""")
    relay = start("relay", "run", "--config", path, "--tied", stdin=subprocess.PIPE)
    try:
        code, out, _ = run("ping", "--relay", address, "--wait", "8s")
        assert code == SUCCESS and "PONG" in out
        second = start("relay", "run", "--config", path, "--tied", stdin=subprocess.PIPE)  # as in an upgrade
        while (line := second.stderr.readline()) and "serving" not in line:
            pass
        assert "serving" in line
        third = run("relay", "run", "--config", path)
        assert third[0] == USAGE_ERROR and third[2].count("\n") == 1 and "another relay uses" in third[2]
        second.stdin.close()
        assert second.wait(WAIT_TIMEOUT) == SUCCESS
        second.stdout.close(), second.stderr.close()
        code, out, err = run(
            "text", "submit", "--relay", address, "--product", "report", "--dest", "1", stdin_text="hi"
        )
        assert code == SUCCESS and " taken " in out and host.next().body == b"hi"
        code, out, _ = run(
            "text",
            "submit",
            "--relay",
            address,
            "--product",
            "report",
            "--dest",
            "1",
            "--body",
            "x",
            "--count",
            "30",
            "--rate",
            "200",
        )
        assert code == SUCCESS and "30 texts in 0." in out and "p99" in out
        code, out, _ = run(
            "text", "submit", "--relay", address, "--product", "none", "--dest", "1", "--body", "x", "--json"
        )
        assert code == CHECK_FAILED and json.loads(out.splitlines()[0])["ending"] == "error"
        relay.stdin.close()  # as when the process that started it has ended
        assert relay.wait(WAIT_TIMEOUT) == SUCCESS
        events = [json.loads(line)["event"] for line in relay.stderr]
        assert events[0] == "started" and "serving" in events and events[-1] == "stopped"
    finally:
        relay.kill()
        relay.wait()
        relay.stdout.close(), relay.stderr.close()
    code, out, _ = run("ping", "--relay", address)
    assert code == CHECK_FAILED and "refused" in out


def test_relay_run_reports_an_unusable_state_directory_or_port_in_one_line(tmp_path, agent, program):
    program.start()
    raw = json.loads(program.file.read_text())
    path, state = tmp_path / "second.json", tmp_path / "other"
    path.write_text(json.dumps(raw | {"state": str(state)}))
    code, _, err = run("relay", "run", "--config", path)
    assert code == USAGE_ERROR and err.count("\n") == 1 and "No such file" in err
    state.mkdir()
    code, _, err = run("relay", "run", "--config", path)  # the port is taken
    assert code == USAGE_ERROR and "event=not-serving" in err


@pytest.mark.parametrize(
    "reply, kind, wait",
    [
        (b"+OK\r\n", AnswerKind.ACCEPTED, 0),
        (b"-BUSY 250\r\n", AnswerKind.BUSY, 250),
        (b"-BUSY\r\n", AnswerKind.BUSY, 0),
        (b"-ERR no\r\n", AnswerKind.ERROR, 0),
        (b"$2\r\nOK\r\n", AnswerKind.ACCEPTED, 0),
    ],
)
def test_replies_of_a_relay_are_decoded(reply, kind, wait):
    reader = wire.hiredis.Reader()
    reader.feed(reply)
    answer = wire.read_answer(reader.gets(), 0.1)
    assert (answer.kind, answer.wait_ms) == (kind, wait)


def start_demo(folder, terminal=False):
    """Start the demo with its temporary files in `folder`; returns it and the descriptor of its output."""
    master, slave = pty.openpty() if terminal else os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-m", "limelatch", "demo", "--seconds", "8"],
        cwd=ROOT,
        stdout=slave,
        stderr=slave,
        env=os.environ | {"TMPDIR": str(folder)},
    )
    os.close(slave)
    return process, master


def read_all(master):
    """All output up to the end of the process."""
    parts = []
    try:
        while part := os.read(master, 65536):
            parts.append(part)
    except OSError:  # a terminal whose other side was closed
        pass
    os.close(master)
    return b"".join(parts).decode(errors="replace")


def find_leftovers(folder):
    """Files in the folder, and command lines of processes that name the folder."""
    found = [each.name for each in Path(folder).iterdir()]
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                command_line = (entry / "cmdline").read_bytes()
            except OSError:
                continue
            if str(folder).encode() in command_line:
                found.append(command_line)
    return found


@pytest.mark.parametrize("terminal", [False, True])
def test_the_demo_ends_by_itself_with_one_final_answer_per_text(tmp_path, terminal):
    process, master = start_demo(tmp_path, terminal)
    shown = read_all(master)
    assert process.wait(WAIT_TIMEOUT) == SUCCESS, shown
    assert "each accepted text got exactly one final answer: yes" in shown and find_leftovers(tmp_path) == []
    assert ("\x1b[" in shown) == terminal and re.search(r"partner 3 .* [1-9]\d* delivered", shown)


@pytest.mark.parametrize(
    "sent, moment", [(signal.SIGINT, "relay at"), (signal.SIGTERM, "handed in"), (signal.SIGHUP, "handed in")]
)
def test_an_interrupted_demo_leaves_no_process_and_no_folder(tmp_path, sent, moment):
    """Interrupted once its output has `moment` in it, at the start or while texts are handed in."""
    process, master = start_demo(tmp_path)
    shown = ""
    while moment not in shown:
        # Guards against an endless loop: an empty read means that the demo ended too early.
        assert (part := os.read(master, 65536)), shown
        shown += part.decode()
    process.send_signal(sent)
    assert (
        process.wait(WAIT_TIMEOUT) == 130
        and "Traceback" not in read_all(master)
        and find_leftovers(tmp_path) == []
    )
