"""One relay on sockets, as its configuration tells."""

from __future__ import annotations

import errno
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace

from twisted.internet.protocol import Protocol

from limelatch import logs
from limelatch.configuration import ConfigurationError, Form, RelayPlan, relay_plan, reloaded_plan
from limelatch.configuration.files import error_lines, form_of
from limelatch.configuration.plan import MIN_SOCKETS, DescriptorShares
from limelatch.interface import SECOND
from limelatch.relay.anchor_file import AnchorFile
from limelatch.relay.clock import monotonic_now
from limelatch.relay.driver import Driver
from limelatch.relay.reactor import reactor

DONE, FAILED, BAD_USE = 0, 1, 2  # exit codes, the same for every command
FOLDER_WAIT, FOLDER_PAUSE_SECONDS = 5 * SECOND, 0.05
PASSING = frozenset(  # what a disk or a machine may say for a while
    {errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR}
)


class Tie(Protocol):
    """Standard input; its end is told."""

    def __init__(self, ended: Callable[[], None]) -> None:
        self.ended = ended

    def connectionLost(self, reason) -> None:
        self.ended()


def within(plan: RelayPlan, most: int) -> RelayPlan:
    """The plan within the descriptors that the process may hold.

    Guards against clients that get half of a configured number, and with it all that there are."""
    if most == resource.RLIM_INFINITY or most >= plan.sockets:
        return plan
    if most < MIN_SOCKETS:
        raise OSError(errno.EMFILE, f"{MIN_SOCKETS} descriptors are needed, the process may hold {most}")
    logs.log_event(logs.logger("main"), "descriptors-few", sockets=plan.sockets, limit=most)
    return replace(plan, sockets=most, shares=DescriptorShares.of(most))


def open_folder(plan: RelayPlan) -> Driver:
    """The relay on its folder. OSError where the disk fails for longer than `FOLDER_WAIT`."""
    until = monotonic_now() + FOLDER_WAIT
    while True:
        try:
            return Driver(plan, reactor, AnchorFile(plan.state_dir).load_clock())
        except OSError as error:
            if error.errno not in PASSING or monotonic_now() >= until:
                raise
            time.sleep(FOLDER_PAUSE_SECONDS)


def main(path: str | None = None, form: Form | None = None, tied: bool = False) -> int:
    """Serve until SIGTERM; SIGHUP reads the configuration again: `path`, else what $RELAY_CONFIG names.

    `tied`: the end of standard input is a SIGTERM too, so that a relay does not outlive whoever started
    it."""
    early: list[int] = []  # guards against a SIGHUP before the reactor runs, which would end the process
    signal.signal(signal.SIGHUP, lambda number, frame: early.append(number))
    try:
        plan = relay_plan(os.environ, path, form)
        logs.take_twisteds()
        logs.start(plan.log)
        plan = within(plan, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        driver = open_folder(plan)
    except ConfigurationError as error:
        path = path or os.environ.get("RELAY_CONFIG") or "RELAY_CONFIG"
        for line in error_lines(error, path, form or form_of(path)):
            print(f"limelatch: {line}", file=sys.stderr)
        return BAD_USE
    except OSError as error:
        print(f"limelatch: {error}", file=sys.stderr)
        return BAD_USE
    log, faults = logs.logger("main"), []

    def configure() -> None:
        try:
            driver.reconfigure(reloaded_plan(os.environ, path, form))
        except ConfigurationError as error:  # the one in force stays, whole
            logs.log_event(log, "not-configured", why="; ".join(str(fault) for fault in error.errors))

    def begin() -> None:
        signal.signal(signal.SIGHUP, lambda number, frame: reactor.callFromThread(configure))
        signal.signal(signal.SIGTERM, lambda number, frame: reactor.callFromThread(driver.stop))
        signal.signal(signal.SIGINT, lambda number, frame: reactor.callFromThread(driver.stop))
        if tied:
            from twisted.internet.stdio import StandardIO

            StandardIO(Tie(driver.stop))
        try:
            driver.start()
            if early:
                configure()
        except Exception as error:  # a relay that can't start says why and ends
            faults.append(error)
            logs.log_event(log, "not-started", trace=True)
            reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=True)
    return FAILED if faults else BAD_USE if driver.failed else DONE


if __name__ == "__main__":
    sys.exit(main())
