"""One relay on sockets, as its configuration tells."""

from __future__ import annotations

import logging
import os
import signal
import sys

from twisted.internet import reactor

from limelatch.configuration import ConfigurationError, relay_plan
from limelatch.relay import logs
from limelatch.relay.deadlines import Clock
from limelatch.relay.driver import Driver


def main() -> int:
    """Serve until SIGTERM; SIGHUP reads the configuration again."""
    try:
        plan = relay_plan(os.environ)
        logs.start(plan.log_level)
        driver = Driver(plan, reactor, Clock())
    except (ConfigurationError, OSError) as error:
        print(f"limelatch: {error}", file=sys.stderr)
        return 2
    faults: list[Exception] = []

    def configure() -> None:
        try:
            driver.configured(relay_plan(os.environ))
        except ConfigurationError as error:  # the one in force stays, whole
            logs.say(logging.getLogger(__name__), "configuration not taken", logging.ERROR, why=error)

    def begin() -> None:
        signal.signal(signal.SIGHUP, lambda number, frame: reactor.callFromThread(configure))
        signal.signal(signal.SIGTERM, lambda number, frame: reactor.callFromThread(driver.stop))
        signal.signal(signal.SIGINT, lambda number, frame: reactor.callFromThread(driver.stop))
        try:
            driver.start()
        except Exception as error:  # a relay that can't start says why and ends
            faults.append(error)
            logging.getLogger(__name__).exception("not started")
            reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=True)
    return 1 if faults or driver.failed else 0


if __name__ == "__main__":
    sys.exit(main())
