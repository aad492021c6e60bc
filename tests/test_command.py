"""The command `limelatch`, run as a person runs it: its exit codes and both its streams."""

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
SUCCESS, CHECK_FAILED, USAGE_ERROR = 0, 1, 2


def start(*words, **more):
    return subprocess.Popen(
        [sys.executable, "-m", "limelatch", *map(str, words)],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **more,
    )


def run(*words, given=None, wait=WAIT_TIMEOUT):
    """Exit code, standard output and standard error."""
    process = start(*words, stdin=subprocess.PIPE)
    out, err = process.communicate(given, wait)
    return process.returncode, out, err


@pytest.fixture
def folder(tmp_path):
    """A relay's folder: one text held, one out, one ended."""
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


def path_of(ledger):
    return os.path.dirname(ledger.path)


def files_of(folder):
    return {each.name: (each.read_bytes(), each.stat().st_mtime_ns) for each in Path(folder).iterdir()}


def test_help_names_every_group_and_usage_is_exit_2():
    code, out, _ = run("-h")
    assert code == SUCCESS
    assert all(each in out for each in ("relay", "config", "ledger", "text", "ping", "demo", "completion"))
    assert run("--version")[1].startswith("limelatch 0.")
    code, out, err = run("ledger", "list")
    assert (code, out) == (USAGE_ERROR, "") and "FOLDER" in err
    assert run("nonsense")[0] == USAGE_ERROR
    assert "_LIMELATCH_COMPLETE=bash_complete" in run("completion", "bash")[1]


def test_config_check_tells_good_files_faults_and_doubts_apart(tmp_path):
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


def test_config_shows_what_is_in_force_and_hides_secrets(tmp_path):
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


def test_config_converts_there_and_back_and_tells_differences(tmp_path):
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


def test_the_ledger_is_listed_beside_the_relay_that_writes_it(folder):
    before = files_of(path_of(folder))
    code, out, err = run("ledger", "list", path_of(folder))
    assert (code, err) == (SUCCESS, "")
    rows = [line.split()[:6] for line in out.splitlines()[1:-1]]
    assert rows == [
        ["t1", "held", "report", "1", "0", "no"],
        ["t2", "out", "charge", "2", "1", "may"],
        ["t3", "ended", "notice", "3", "0", "no"],
    ]
    shown = json.loads(run("ledger", "list", path_of(folder), "--json", "--may-have-run")[1])
    assert (shown["id"], shown["first_may_have_run_floor"]) == ("t2", 1)
    assert run("ledger", "show", path_of(folder), "t2", "--body")[1] == "body of t2"
    assert run("ledger", "show", path_of(folder), "t9")[0] == CHECK_FAILED
    code, out, err = run("ledger", "export", path_of(folder))
    assert [json.loads(line)["body"] for line in out.splitlines()][
        0
    ] == "Ym9keSBvZiB0MQ==" and "3 texts" in err
    assert run("ledger", "verify", path_of(folder))[0] == SUCCESS
    assert files_of(path_of(folder)) == before


def test_a_torn_a_changed_and_a_foreign_ledger_are_told_apart(folder):
    with open(folder.path, "ab") as file:
        file.write(RECORD_HEADER.pack(99, 0) + b"torn")
    before = files_of(path_of(folder))
    code, out, err = run("ledger", "verify", path_of(folder))
    assert code == CHECK_FAILED and "5 records" in out and "12 bytes are not a complete record" in err
    assert "12 bytes torn" in run("ledger", "list", path_of(folder))[1]
    assert files_of(path_of(folder)) == before
    Path(folder.path).write_bytes(b"something else altogether")
    code, out, err = run("ledger", "list", path_of(folder))
    assert (code, out) == (USAGE_ERROR, "") and "no ledger" in err


@pytest.mark.parametrize("name", ["none", "a_file", "empty"])
def test_what_is_no_ledgers_folder_is_said_to_be_none(tmp_path, name):
    (tmp_path / "a_file").write_text("x")
    (tmp_path / "empty").mkdir()
    code, out, err = run("ledger", "verify", tmp_path / name)
    assert (code, out) == (USAGE_ERROR, "") and err.startswith("Error: ") and err.count("\n") == 1


def test_a_ledger_that_is_compacted_at_that_moment_is_read_whole(folder):
    over = threading.Event()

    def churn():
        number = 0
        while not over.is_set():
            text = b"c%d" % (number := number + 1)
            folder.record_accepted(
                text, b"x" * 3000, key="", mark="m", dest=1, product="report", customer=0, until=9
            )
            folder.record_finished(text)

    writer = threading.Thread(target=churn)
    writer.start()
    try:
        views = [inspect_ledger(path_of(folder)) for _ in range(200)]
    finally:
        over.set()
        writer.join()
    assert all(list(view.entries)[:3] == [b"t1", b"t2", b"t3"] and not view.problems for view in views)


def inspect_ledger(path):
    from limelatch.relay.inspection import inspect_ledger

    return inspect_ledger(path)


def test_relay_run_serves_a_toml_file_a_second_beside_it_and_a_third_is_kept_off(tmp_path, agent, make_host):
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
        beside = start("relay", "run", "--config", path, "--tied", stdin=subprocess.PIPE)  # as in an upgrade
        while (line := beside.stderr.readline()) and "serving" not in line:
            pass
        assert "serving" in line
        third = run("relay", "run", "--config", path)
        assert third[0] == USAGE_ERROR and third[2].count("\n") == 1 and "another relay uses" in third[2]
        beside.stdin.close()
        assert beside.wait(WAIT_TIMEOUT) == SUCCESS
        beside.stdout.close(), beside.stderr.close()
        code, out, err = run(
            "text", "submit", "--relay", address, "--product", "report", "--dest", "1", given="hi"
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
        relay.stdin.close()  # whoever started it has ended
        assert relay.wait(WAIT_TIMEOUT) == SUCCESS
        events = [json.loads(line)["event"] for line in relay.stderr]
        assert events[0] == "started" and "serving" in events and events[-1] == "stopped"
    finally:
        relay.kill()
        relay.wait()
        relay.stdout.close(), relay.stderr.close()
    code, out, _ = run("ping", "--relay", address)
    assert code == CHECK_FAILED and "refused" in out


def test_relay_run_says_plainly_what_it_cannot_use(tmp_path, agent, program):
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
def test_a_relays_answers_are_read(reply, kind, wait):
    reader = wire.hiredis.Reader()
    reader.feed(reply)
    answer = wire.read_answer(reader.gets(), 0.1)
    assert (answer.kind, answer.wait_ms) == (kind, wait)


def demo(folder, terminal=False):
    """The demo with its temporary folder there; its output is read as it comes."""
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


def output(master):
    parts = []
    try:
        while part := os.read(master, 65536):
            parts.append(part)
    except OSError:  # a terminal whose other side has ended
        pass
    os.close(master)
    return b"".join(parts).decode(errors="replace")


def left_behind(folder):
    """Files in the folder, and processes that name it."""
    found = [each.name for each in Path(folder).iterdir()]
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                words = (entry / "cmdline").read_bytes()
            except OSError:
                continue
            if str(folder).encode() in words:
                found.append(words)
    return found


@pytest.mark.parametrize("terminal", [False, True])
def test_the_demo_ends_by_itself_each_text_with_its_one_end(tmp_path, terminal):
    process, master = demo(tmp_path, terminal)
    shown = output(master)
    assert process.wait(WAIT_TIMEOUT) == SUCCESS, shown
    assert "each accepted text got exactly one final answer: yes" in shown and left_behind(tmp_path) == []
    assert ("\x1b[" in shown) == terminal and re.search(r"partner 3 .* [1-9]\d* delivered", shown)


@pytest.mark.parametrize(
    "sent, moment", [(signal.SIGINT, "relay at"), (signal.SIGTERM, "handed in"), (signal.SIGHUP, "handed in")]
)
def test_an_interrupted_demo_leaves_no_process_and_no_folder(tmp_path, sent, moment):
    process, master = demo(tmp_path)
    shown = ""
    while moment not in shown:
        assert (part := os.read(master, 65536)), shown  # it ended first: this once read on for ever
        shown += part.decode()
    process.send_signal(sent)
    assert (
        process.wait(WAIT_TIMEOUT) == 130
        and "Traceback" not in output(master)
        and left_behind(tmp_path) == []
    )
