"""KNOWN-RED.txt: a run passes over just the listed failures, and over nothing else."""

from pathlib import Path

import pytest
from known_red import Line, read

pytest_plugins = ["pytester"]
PLUGIN = Path(__file__).with_name("known_red.py")
BODIES = {
    "green": "def test_green(): pass",
    "red": "def test_red(): assert 1 == 2, 'the fault itself'",
    "second": "def test_second(): assert 3 == 4, 'another fault'",
    "setup": "@pytest.fixture\ndef broken(): raise OSError('no room')\ndef test_setup(broken): pass",
    "end": "@pytest.fixture\ndef breaks():\n    yield\n    raise OSError('no room')\n"
    "def test_end(breaks): assert 5 == 6",
    "skipped": "def test_skipped(): assert pytest.importorskip('nothing_of_this_name')",
    "expected": "def test_expected(request):\n    request.node.add_marker('xfail')\n    assert 9 == 10",
    "each": "@pytest.mark.parametrize('n', [1, 2])\ndef test_each(n): assert n == 1",
    "parts": "def test_parts(subtests):\n    for n in range(3):\n        with subtests.test(n=n):\n"
    "            assert n == 0",
}


def line(name):
    return f"tests/test_one.py::test_{name} | the cause | issue 40"


def at_times(name):
    return line(name) + " | at times"


@pytest.fixture
def run(pytester):
    """Runs pytest in a scratch folder that has these tests, these lines listed."""

    def run(tests, *lines, args=(), how=pytester.runpytest_inprocess):
        pytester.makeini("[pytest]\ntestpaths = tests\n")
        folder = pytester.path / "tests"
        folder.mkdir(exist_ok=True)
        (folder / "known_red.py").write_text(PLUGIN.read_text())
        (folder / "conftest.py").write_text('pytest_plugins = ["known_red"]\n')
        bodies = [BODIES[name] for name in tests.split()]
        (folder / "test_one.py").write_text("\n".join(["import pytest", *bodies, ""]))
        if lines:
            (pytester.path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
        return how("-p", "no:cacheprovider", "-p", "no:hypothesispytest", *args)

    return run


def test_without_the_file_a_failure_fails_the_run(run):
    result = run("green red")
    assert result.ret == 1
    assert "known red" not in result.stdout.str().lower()


def test_a_listed_failure_is_printed_with_its_line_and_passed_over(run, pytester):
    result = run("green red", "# why", "", line("red"), how=pytester.runpytest_subprocess)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [
            "known red: 1 in KNOWN-RED.txt",
            "tests/test_one.py .R*",
            "KNOWN RED tests/test_one.py::test_red | the cause | issue 40",
            "*AssertionError: the fault itself",
            "*1 passed, 1 known red*",
        ]
    )


@pytest.mark.parametrize(
    "tests, listed, code, says",
    [
        ("green red", ["red"], 0, "KNOWN RED tests/test_one.py::test_red | the cause | issue 40"),
        ("green red second", ["red"], 1, "FAILED tests/test_one.py::test_second*"),
        ("green red", ["red", "green"], 1, "*test_green is listed, and it did not fail: take its line out"),
        ("green red", ["red", "gone"], 1, "*test_gone is listed, and there is no such test"),
    ],
)
def test_a_run_in_parallel_judges_the_list_as_one_process_does(run, pytester, tests, listed, code, says):
    lines = [line(name) for name in listed]
    result = run(tests, *lines, args=["--numprocesses=2"], how=pytester.runpytest_subprocess)
    assert result.ret == code
    result.stdout.fnmatch_lines([says])


def test_three_listed_failures_are_passed_over(run):
    result = run("red second each", line("red"), line("second"), line("each[2]"))
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*1 passed, 3 known red*"])


def test_another_failure_beside_a_listed_one_fails_the_run(run):
    result = run("green red second", line("red"))
    assert result.ret == 1
    result.stdout.fnmatch_lines(
        ["FAILED tests/test_one.py::test_second*", "*1 failed, 1 passed, 1 known red*"]
    )


def test_a_file_that_can_not_be_imported_fails_the_run_beside_a_listed_failure(run, pytester):
    pytester.makepyfile(**{"tests/test_two": "import nothing_of_this_name"})
    for args in [], ["--continue-on-collection-errors"]:
        result = run("green red", line("red"), args=args)
        assert result.ret in (1, 2)
        result.stdout.fnmatch_lines(["*1 error*"])


@pytest.mark.parametrize("name", ["green", "skipped", "expected"])
def test_a_listed_test_that_does_not_fail_fails_the_run(run, name):
    result = run(f"red {name}", line("red"), line(name))
    assert result.ret == 1
    result.stdout.fnmatch_lines([f"*test_{name} is listed, and it did not fail: take its line out"])


def test_a_listed_test_that_passes_fails_a_run_without_failures(run):
    assert run("green", line("green")).ret == 1


@pytest.mark.parametrize("name", ["gone", "each", "each[3]"])
def test_a_line_that_names_no_test_fails_the_run(run, name):
    result = run("green each red", line("red"), line("each[2]"), line(name))
    assert result.ret == 1
    result.stdout.fnmatch_lines([f"*test_{name.replace('[', '[[]')} is listed, and there is no such test"])


@pytest.mark.parametrize("name", ["setup", "end"])
def test_what_breaks_outside_a_listed_tests_own_body_fails_the_run(run, name):
    assert run(f"green {name}", line(name)).ret == 1


def test_a_listed_test_with_parts_that_fail_is_passed_over(run):
    assert run("green parts", line("parts")).ret == 0


def test_a_fourth_line_fails_the_run(run):
    result = run("red second each green", line("red"), line("second"), line("each[2]"), line("parts"))
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*KNOWN-RED.txt: 4 lines, 3 at most"])


@pytest.mark.parametrize(
    "row",
    [
        "tests/test_one.py::test_red",
        "tests/test_one.py::test_red | cause",
        "tests/test_one.py::test_red |  | issue 40",
        "test_red | cause | issue 40",
        line("red") + "\n" + line("red"),
        line("red") + "\n" + at_times("red"),
        "tests/test_one.py::test_red | cause | at times",
    ],
)
def test_a_line_of_another_form_and_one_twice_fail_the_run(run, row):
    assert run("green red", row).ret == pytest.ExitCode.USAGE_ERROR


def test_a_run_that_stops_early_does_not_pass_and_says_nothing_of_what_it_did_not_reach(run):
    result = run("red green second", line("red"), line("second"), args=["-x"])
    assert result.ret == 1
    result.stdout.no_fnmatch_line("*is listed, and*")


@pytest.mark.parametrize(
    ("args", "code"),
    [
        (["-k", "green"], 0),
        (["-k", "red"], 0),
        (["-k", "second"], 1),
        (["tests/test_one.py::test_green"], 0),
        (["--collect-only"], 0),
    ],
)
def test_a_run_of_a_part_judges_what_it_ran(run, args, code):
    assert run("red green second", line("red"), args=args).ret == code


@pytest.mark.parametrize(
    ("tests", "listed", "says"),
    [
        ("green red", "red", "KNOWN RED tests/test_one.py::test_red | the cause | issue 40"),
        ("green red", "red", "*AssertionError: the fault itself"),
        ("green", "green", "KNOWN RED *::test_green | the cause | issue 40 | at times: passed in this run"),
        ("green parts", "parts", "KNOWN RED tests/test_one.py::test_parts | the cause | issue 40"),
    ],
)
@pytest.mark.parametrize("parallel", [False, True])
def test_a_test_listed_at_times_may_fail_or_pass_and_either_is_printed(
    run, pytester, tests, listed, says, parallel
):
    args, how = ["--numprocesses=2"] if parallel else [], pytester.runpytest_subprocess
    result = run(tests, at_times(listed), args=args, how=how)
    assert result.ret == 0
    result.stdout.fnmatch_lines([says])


@pytest.mark.parametrize(
    ("name", "says"),
    [
        ("skipped", "*test_skipped is listed 'at times', and it neither passed nor failed"),
        ("expected", "*test_expected is listed 'at times', and it neither passed nor failed"),
        ("gone", "*test_gone is listed, and there is no such test"),
        ("setup", "*1 passed, 1 error*"),
        ("end", "*1 error*"),
    ],
)
def test_no_other_outcome_of_a_test_listed_at_times_is_passed_over(run, name, says):
    tests = "green" if name == "gone" else f"green {name}"
    result = run(tests, at_times(name))
    assert result.ret == 1
    result.stdout.fnmatch_lines([says])


def test_another_failure_beside_a_test_listed_at_times_fails_the_run(run):
    assert run("green second", at_times("green")).ret == 1


def test_a_line_without_the_mark_stays_strict_beside_one_with_it(run):
    result = run("green red", at_times("red"), line("green"))
    assert result.ret == 1
    result.stdout.fnmatch_lines(["*test_green is listed, and it did not fail: take its line out"])


@pytest.mark.parametrize("row", [line("red") + " | sometimes | at times", at_times("red") + " | at times"])
def test_a_column_too_many_names_a_test_that_is_not_there(run, row):
    assert run("green red", row).ret == 1


def test_lines_are_read_with_their_cause_and_issue(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    assert read(path) == []
    path.write_text("# none\n\ntests/test_a.py::test_b[x|y] | late by 1 ms | issue 7\n")
    assert read(path) == [Line("tests/test_a.py::test_b[x|y]", "late by 1 ms", "issue 7")]
    path.write_text("tests/test_a.py::test_b[x|y] | late by 1 ms | issue 7 | at times\n")
    assert read(path) == [Line("tests/test_a.py::test_b[x|y]", "late by 1 ms", "issue 7", at_times=True)]


def test_this_run_has_the_plugin(pytestconfig):
    assert pytestconfig.pluginmanager.has_plugin("known_red")
