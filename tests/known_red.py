"""A pytest plugin: failures not mended yet stand in KNOWN-RED.txt, and a run passes over just these.

A line each, `tests/file.py::test_name | cause | issue`, three at most, # before a comment. A listed test runs
like any other: its failure is printed as known red and leaves the run's exit code alone, all else counts. A
listed test that passes, is skipped, errs outside its own body or is not there fails the run, so no line
outlasts its fault. A run that was narrowed down (-k, a path) can't tell whether a test is there, and says
nothing of those that it did not collect.

A fourth column `at times` marks a test whose fault shows in some runs only: it may fail or pass, and either
outcome is printed. No other outcome of it (skipped, expected to fail, an error outside its own body, not
there) is passed over.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE, MOST = "KNOWN-RED.txt", 3
AT_TIMES = "at times"
KNOWN = pytest.StashKey["KnownRed"]()


class Line(NamedTuple):
    test: str
    cause: str
    issue: str
    at_times: bool = False  # fails in some runs only


def read(path: Path) -> list[Line]:
    """The lines of a file; none where there is no file. ValueError for one of another form, a second one of a
    test, or more than three."""
    lines: list[Line] = []
    if not path.exists():
        return lines
    for number, row in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not row.strip() or row.lstrip().startswith("#"):
            continue
        rest, _, last = row.rpartition("|")
        at_times = last.strip() == AT_TIMES
        words = [word.strip() for word in (rest if at_times else row).rsplit("|", 2)]
        if len(words) != 3 or not all(words) or "::" not in words[0]:
            form = f"'tests/file.py::test_name | cause | issue', with '| {AT_TIMES}' behind it or not"
            raise ValueError(f"{FILE}:{number}: wanted {form}: {row}")
        if any(line.test == words[0] for line in lines):
            raise ValueError(f"{FILE}:{number}: {words[0]} is listed twice")
        lines.append(Line(*words, at_times))
    if len(lines) > MOST:
        raise ValueError(f"{FILE}: {len(lines)} lines, {MOST} at most")
    return lines


class KnownRed:
    """What became of the listed tests in one run."""

    def __init__(self, lines: list[Line]) -> None:
        self.lines = {line.test: line for line in lines}
        self.failures: dict[str, list[pytest.TestReport]] = {}  # of a listed test's own body alone
        self.passed: set[str] = set()  # listed tests whose own body passed, and was not expected to fail
        self.irregular: set[str] = (
            set()
        )  # listed tests that were skipped or expected to fail, in whole or part
        self.over: set[str] = set()  # listed tests that came to their end
        self.collected: set[str] = set()
        self.whole = True
        self.faults: list[str] = []

    def is_known(self, report: pytest.TestReport) -> bool:
        return report.failed and report.when == "call" and report.nodeid in self.lines

    def record(self, report: pytest.TestReport) -> None:
        """Take in a report of a listed test: of its setup, its body, a part of its body or its teardown."""
        if self.is_known(report):
            self.failures.setdefault(report.nodeid, []).append(report)
        elif report.skipped or hasattr(report, "wasxfail"):
            self.irregular.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.passed.add(report.nodeid)
        if report.when == "teardown":
            self.over.add(report.nodeid)

    def judge(self, stopped: bool) -> None:
        """Name what is wrong with the list after a run; `stopped`: before its end; some may not have run."""
        for test, line in self.lines.items():
            if test not in self.collected:
                if self.whole:
                    self.faults.append(f"{test} is listed, and there is no such test")
            elif stopped and test not in self.over and test not in self.failures:
                continue
            elif line.at_times:
                if test in self.irregular or test not in self.passed | self.failures.keys():
                    self.faults.append(f"{test} is listed '{AT_TIMES}', and it neither passed nor failed")
            elif test not in self.failures:
                self.faults.append(f"{test} is listed, and it did not fail: take its line out")


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[KNOWN] = KnownRed(read(config.rootpath / FILE))
    except (ValueError, OSError) as error:
        raise pytest.UsageError(str(error)) from None


def pytest_report_header(config: pytest.Config) -> str | None:
    lines = config.stash[KNOWN].lines
    return f"known red: {len(lines)} in {FILE}" if lines else None


def pytest_deselected(items: list[pytest.Item]) -> None:
    if items:
        items[0].config.stash[KNOWN].whole = False


def pytest_collection_finish(session: pytest.Session) -> None:
    known = session.config.stash[KNOWN]
    known.collected = {item.nodeid for item in session.items}
    known.whole = known.whole and not narrowed(session.config)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: object, ids: list[str]) -> None:
    """Of a run in parallel: the workers collect, and this process hears of it."""
    config = node.config
    known = config.stash[KNOWN]
    known.collected |= set(ids)
    # Deselection happens in the workers: its options stand here too.
    chosen = config.option.keyword or config.option.markexpr or config.option.deselect
    known.whole = known.whole and not narrowed(config) and not chosen


def narrowed(config: pytest.Config) -> bool:
    """Whether the command line names tests or leaves some out."""
    named = config.args_source is pytest.Config.ArgsSource.ARGS
    return bool(named or config.option.ignore or config.option.ignore_glob)


class Watch:
    """Registered once for each run, since the hook of a report is not told the run's configuration."""

    def __init__(self, known: KnownRed) -> None:
        self.known = known

    @pytest.hookimpl(tryfirst=True)
    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self.known.lines:
            self.known.record(report)


def pytest_sessionstart(session: pytest.Session) -> None:
    session.config.pluginmanager.register(Watch(session.config.stash[KNOWN]), "known-red-watch")


@pytest.hookimpl(tryfirst=True)
def pytest_report_teststatus(report: pytest.TestReport, config: pytest.Config):
    if config.stash[KNOWN].is_known(report):
        return "known red", "R", ("KNOWN RED", {"yellow": True})
    return None


@pytest.hookimpl(tryfirst=True)
def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    known, code = session.config.stash[KNOWN], pytest.ExitCode
    is_worker = hasattr(session.config, "workerinput")  # of a run in parallel, which its own process judges
    if not known.lines or session.config.option.collectonly or is_worker:
        return
    stopped = bool(session.shouldstop or session.shouldfail) or exitstatus not in (code.OK, code.TESTS_FAILED)
    known.judge(stopped)
    reports = sum(map(len, known.failures.values()))
    if known.faults and exitstatus == code.OK:
        session.exitstatus = code.TESTS_FAILED
        return
    # A run that was stopped (-x) has tests that did not run: it does not pass.
    passes = not known.faults and not stopped and session.testsfailed == reports
    if exitstatus == code.TESTS_FAILED and passes:
        session.exitstatus = code.OK


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    known = config.stash[KNOWN]
    passed = [
        line
        for test, line in known.lines.items()
        if line.at_times and test in known.passed - known.failures.keys()
    ]
    if not known.failures and not known.faults and not passed:
        return
    terminalreporter.section(f"known red: {FILE}")
    for test, reports in known.failures.items():
        line = known.lines[test]
        terminalreporter.write_line(f"KNOWN RED {test} | {line.cause} | {line.issue}", yellow=True)
        for report in reports:
            report.toterminal(terminalreporter._tw)
    for line in passed:
        row = f"KNOWN RED {line.test} | {line.cause} | {line.issue} | {AT_TIMES}: passed in this run"
        terminalreporter.write_line(row, yellow=True)
    for fault in known.faults:
        terminalreporter.write_line(f"{FILE}: {fault}", red=True)
