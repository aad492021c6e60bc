"""The reactor that the relay runs on: Twisted's epoll reactor with the monotonic clock.

Twisted's own reactors time their calls by the wall clock (`twisted.python.runtime`). Where that is stepped
back, a call that was set before waits for the wall clock to come back to where it was, and with it all that
the relay has to do.
"""

from __future__ import annotations

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class MonotonicReactor(EPollReactor):
    """Due times and waits are spans of real time, whatever the wall clock is set to."""

    seconds = staticmethod(time.monotonic)


reactor = MonotonicReactor()
installReactor(reactor)
