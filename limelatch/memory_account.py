"""Decides how much memory clients' commands may take, and whose command gives way when that is used up.

The account holds what connections have allocated, not what they use of it, until it is released. Does no I/O.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar


class Holder(Protocol):
    """A connection that holds memory for commands."""

    held_bytes: int  # allocated now
    charged_bytes: int  # of them, those in the account; written by the account alone

    def may_be_shed(self) -> bool:
        """Whether its command can still be refused: nobody has taken it on or waits for its answer."""
        ...


AnyHolder = TypeVar("AnyHolder", bound=Holder)


class MemoryAccount(Generic[AnyHolder]):
    """The sum of what connections hold, and its limit in bytes."""

    def __init__(self, limit: int) -> None:
        self.limit, self.total = limit, 0
        self._holders: dict[AnyHolder, int] = {}  # each with the time since when it holds any

    def update(self, holder: AnyHolder, now: int) -> None:
        """Charge what the connection has allocated since the last call, or credit what it has released."""
        held = holder.held_bytes
        self.total += held - holder.charged_bytes
        holder.charged_bytes = held
        if held:
            self._holders.setdefault(holder, now)
        else:
            self._holders.pop(holder, None)

    def next_to_shed(self, now: int) -> AnyHolder | None:
        """The connection whose command is to be refused; None within the limit, or if there is none.

        It is the one that has held the most for the longest: a client that sends at its usual pace gives way
        to one that stopped half way."""
        if self.total <= self.limit:
            return None
        candidates = [holder for holder in self._holders if holder.may_be_shed()]
        return max(
            candidates,
            key=lambda holder: holder.charged_bytes * (1 + now - self._holders[holder]),
            default=None,
        )
