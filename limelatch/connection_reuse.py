"""Decides which connection to a host may carry a call, and whether a response surely belongs to its request.

HTTP/1.1 matches responses to requests by their order on a connection. The first response on a connection
belongs to its first request. Later ones may be surplus: delayed copies of earlier responses, which name no
request. Copies come within some time of their original, and hosts that send them do so repeatedly, so a
connection is used again only after a silence, and not at all for a while after a surplus response.

Does no I/O. Times are tenths of a millisecond. The reasons are in docs/design/responses.md.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from operator import attrgetter
from typing import Protocol

from limelatch.interface import MS, SECOND, HostId

MIN_SILENCE = 60 * MS  # without a byte from the host, before a connection is used again
MAX_SILENCE = 2 * SECOND
SILENCE_LAG_RATIO = 2  # of the longest lag seen between a response and a surplus one
DISTRUST_TIME = 600 * SECOND  # after a host's last surplus response
MAX_DISTRUSTED_HOSTS = 4096  # beyond it the oldest is forgotten


class IdleConnection(Protocol):
    """A connection that carries no call; `idle_since`: when the last response on it came."""

    idle_since: int


class ConnectionReuse:
    """What surplus responses have taught one process of a relay, and its decisions on connections."""

    def __init__(self) -> None:
        self._last_surplus_at: dict[HostId, int] = {}  # by host, the oldest first
        self._silence = MIN_SILENCE

    def surplus_received(self, now: int, host: HostId, lag: int) -> bool:
        """A host has sent a surplus response, `lag` after the last response on its connection.

        Returns whether the host is distrusted from now on and was not before."""
        self._forget_old(now)
        is_new = self._last_surplus_at.pop(host, None) is None
        if len(self._last_surplus_at) >= MAX_DISTRUSTED_HOSTS:
            del self._last_surplus_at[next(iter(self._last_surplus_at))]
        self._last_surplus_at[host] = now
        self._silence = max(self._silence, min(MAX_SILENCE, SILENCE_LAG_RATIO * lag))
        return is_new

    def _forget_old(self, now: int) -> None:
        while self._last_surplus_at:
            host = next(iter(self._last_surplus_at))
            if now - self._last_surplus_at[host] < DISTRUST_TIME:
                return
            del self._last_surplus_at[host]
        self._silence = MIN_SILENCE

    def is_distrusted(self, now: int, host: HostId) -> bool:
        """Whether each call to the host needs a connection that has carried no other one."""
        if not self._last_surplus_at:
            return False
        self._forget_old(now)
        return host in self._last_surplus_at

    def needs_own_connection(self, now: int, host: HostId, once_only: bool, ordered: bool) -> bool:
        """Whether a call needs a connection that has carried no other one, by what its texts are.

        `once_only`: a text must not be repeated; `ordered`: one waits for its turn in the order of a key."""
        if once_only:
            return True
        return self.is_distrusted(now, host) or ordered and bool(self._last_surplus_at)

    def choose(self, now: int, idle_connections: Sequence[IdleConnection]) -> int | None:
        """The idle connection to use next, as its index; None if no one has been silent for long enough.

        Of several the one used last, so that those that are not needed reach the end of their idle time.
        `idle_connections`: to one host, in the order of their `idle_since`."""
        silent_count = bisect_right(idle_connections, now - self._silence, key=attrgetter("idle_since"))
        return silent_count - 1 if silent_count else None

    def idle_limit(self, now: int, host: HostId, idle_limit: int, idle_count: int, was_own: bool) -> int:
        """How long a connection is kept after a call, `idle_limit` at the most; 0: not at all.

        `idle_count`: other idle connections to the host; `was_own`: the call needed a connection of its own,
        so that an idle one was left as it was. To a distrusted host a connection is kept only for as long as
        further surplus responses are looked out for."""
        if self.is_distrusted(now, host):
            return min(idle_limit, self._silence)
        return 0 if was_own and idle_count else idle_limit


def is_certain(use_count: int, has_surplus: bool) -> bool:
    """Whether a response belongs to the last request of its connection, as far as that can be seen.

    `use_count`: requests sent on the connection; `has_surplus`: more has come than one response."""
    return use_count == 1 or not has_surplus
