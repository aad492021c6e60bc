"""Runs one relay as its configuration says."""

from __future__ import annotations

if __name__ == "__main__":  # in a process that does nothing else; before the libraries
    import limelatch.relay.unused_modules  # noqa: F401

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
from limelatch.memory_plan import MEGABYTE, MemoryTooSmall, plan_memory
from limelatch.relay.allocator import settle_start
from limelatch.relay.anchor_file import AnchorFile
from limelatch.relay.clock import monotonic_now
from limelatch.relay.driver import Driver
from limelatch.relay.process_memory import ProcessMemory, process_memory
from limelatch.relay.reactor import reactor

# Exit codes, the same for every command.
DONE = 0
FAILED = 1
BAD_USE = 2

STATE_DIR_TIMEOUT = 5 * SECOND  # how long a start retries while the state directory fails
STATE_DIR_RETRY_SECONDS = 0.05
TRANSIENT_ERRORS = frozenset(  # of a disk or a machine, which may recover by itself
    {errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR}
)


class StandardInput(Protocol):
    """Standard input; `ended` is called when it is closed."""

    def __init__(self, ended: Callable[[], None]) -> None:
        self.ended = ended

    def connectionLost(self, reason) -> None:
        self.ended()


def limit_descriptors(plan: RelayPlan, limit: int) -> RelayPlan:
    """The plan, reduced to the descriptors that the process may hold.

    Clients get a share of the configured number. Guards against a share that takes all descriptors of the
    process. Raises OSError if the limit is too low for any relay."""
    if limit == resource.RLIM_INFINITY or limit >= plan.sockets:
        return plan
    if limit < MIN_SOCKETS:
        raise OSError(errno.EMFILE, f"{MIN_SOCKETS} descriptors are needed, the process may hold {limit}")
    logs.log_event(logs.logger("main"), "descriptors-few", sockets=plan.sockets, limit=limit)
    return replace(plan, sockets=limit, shares=DescriptorShares.of(limit))


def limit_memory(plan: RelayPlan, memory: ProcessMemory) -> RelayPlan:
    """The plan, with its memory limit divided by what this process needs at rest.

    Raises MemoryTooSmall if the limit is too low for any relay."""
    divided = plan_memory(plan.max_memory_bytes, plan.max_disk_bytes, memory.resident, memory.private)
    if not divided.counts_program:
        logs.log_event(
            logs.logger("main"),
            "memory-short",
            limit_mb=round(plan.max_memory_bytes / MEGABYTE, 1),
            resident_mb=round(memory.resident / MEGABYTE, 1),
            private_mb=round(memory.private / MEGABYTE, 1),
        )
    return replace(plan, memory=divided)


def open_driver(plan: RelayPlan) -> Driver:
    """Open the state directory and create the driver; transient errors are retried.

    Raises OSError if the directory can't be opened within `STATE_DIR_TIMEOUT`."""
    deadline = monotonic_now() + STATE_DIR_TIMEOUT
    while True:
        try:
            return Driver(plan, reactor, AnchorFile(plan.state_dir).load_clock())
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or monotonic_now() >= deadline:
                raise
            time.sleep(STATE_DIR_RETRY_SECONDS)


def main(path: str | None = None, form: Form | None = None, tied: bool = False) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code. SIGHUP reloads the configuration.

    The configuration is the file `path`, or else the one that $RELAY_CONFIG names. `tied`: the end of
    standard input stops the relay too, so that it does not outlive the process that started it."""
    early_reloads: list[
        int
    ] = []  # guards against a SIGHUP before the reactor runs, which would end the process
    signal.signal(signal.SIGHUP, lambda number, frame: early_reloads.append(number))
    try:
        plan = relay_plan(os.environ, path, form)
        logs.redirect_twisted_log()
        logs.start(plan.log)
        plan = limit_descriptors(plan, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        settle_start()
        plan = limit_memory(plan, process_memory())
        driver = open_driver(plan)
    except ConfigurationError as error:
        path = path or os.environ.get("RELAY_CONFIG") or "RELAY_CONFIG"
        for line in error_lines(error, path, form or form_of(path)):
            print(f"limelatch: {line}", file=sys.stderr)
        return BAD_USE
    except (OSError, MemoryTooSmall) as error:
        print(f"limelatch: {error}", file=sys.stderr)
        return BAD_USE
    log, start_errors = logs.logger("main"), []

    def reload_configuration() -> None:
        try:
            driver.reconfigure(reloaded_plan(os.environ, driver.plan, path, form))
        except ConfigurationError as error:  # the configuration in force stays as it is
            logs.log_event(log, "not-configured", why=error.summary())

    def start() -> None:
        signal.signal(signal.SIGHUP, lambda number, frame: reactor.callFromThread(reload_configuration))
        signal.signal(signal.SIGTERM, lambda number, frame: reactor.callFromThread(driver.stop))
        signal.signal(signal.SIGINT, lambda number, frame: reactor.callFromThread(driver.stop))
        if tied:
            from twisted.internet.stdio import StandardIO

            StandardIO(StandardInput(driver.stop))
        try:
            driver.start()
            if early_reloads:
                reload_configuration()
        except Exception as error:  # a relay that can't start logs the reason and ends
            start_errors.append(error)
            logs.log_event(log, "not-started", trace=True)
            reactor.stop()

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=True)
    return FAILED if start_errors else BAD_USE if driver.failed else DONE


if __name__ == "__main__":
    sys.exit(main())
