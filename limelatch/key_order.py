"""The order of texts with the same ordering key, over all processes of one relay.

Texts of products in order are sent one at a time for each key, in the order in which they were received, and
a key has a cooldown after a call that may still run. During an upgrade two processes of the relay have texts,
and the order holds over both: each process adds and removes its own texts, and sets its sibling's texts as
read from the sibling's ledger.

Does no I/O. Times are tenths of a millisecond on the timeline that all processes of a relay share. See
docs/design/key-order.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from limelatch.interface import TextId

Key = int | bytes


class BlockReason(Enum):
    """Why a text of an ordered key may not be sent now."""

    QUEUE = "line"  # another text of its key in this process is before it
    SIBLING = "sibling"  # a text in the other process is before it
    COOLDOWN = "rest"  # a call of another text of its key may still run


@dataclass(slots=True)
class QueuedText:
    """One unfinished text in the queue of its key.

    `started`: a submit of it has been sent, so it stays first until it is finished."""

    text: TextId
    received_at: int
    started: bool = False

    def precedes(self, other: QueuedText) -> bool:
        """Order within one process; texts received at the same time stay in the order of their arrival."""
        return (not self.started, self.received_at) < (not other.started, other.received_at)

    def precedes_sibling_text(self, other: QueuedText) -> bool:
        """Order between two processes; both have to come to the same result, so the id breaks ties."""
        own, others = (not self.started, self.received_at), (not other.started, other.received_at)
        return (*own, self.text) < (*others, other.text)


@dataclass(frozen=True, slots=True)
class KeyCooldown:
    """The end of a key's cooldown. The text whose call may still run may itself be sent again meanwhile."""

    until: int
    text: TextId


class KeyOrder:
    """The queues and the cooldowns of all keys with unfinished texts."""

    def __init__(self) -> None:
        self.queues: dict[Key, list[QueuedText]] = {}
        self.cooldowns: dict[Key, KeyCooldown] = {}
        self._first_of_sibling: dict[Key, QueuedText] = {}

    def add(self, key: Key, queued: QueuedText) -> None:
        """Add a text to its key's queue, by the time it was received; a started text stays first."""
        queue = self.queues.get(key)
        if queue is None:
            self.queues[key] = [queued]
            return
        index = len(queue)
        while index and queued.precedes(queue[index - 1]):
            index -= 1
        queue.insert(index, queued)

    def mark_started(self, key: Key, text: TextId) -> None:
        """A submit of the text is sent: it stays first until it is finished."""
        for queued in self.queues.get(key, ()):
            if queued.text == text:
                queued.started = True

    def remove(self, key: Key, text: TextId) -> None:
        """The text is finished. Raises KeyError where its key has no queue."""
        queue = self.queues[key]
        if len(queue) == 1 and queue[0].text == text:
            del self.queues[key]
            return
        queue = [queued for queued in queue if queued.text != text]
        if queue:
            self.queues[key] = queue
        else:
            del self.queues[key]

    def start_cooldown(self, key: Key, text: TextId, until: int) -> None:
        """A call of the text may still run: the other texts of its key wait; the longest cooldown counts."""
        known = self.cooldowns.get(key)
        if known is None or known.until < until:
            self.cooldowns[key] = KeyCooldown(until, text)

    def forget_expired_cooldowns(self, now: int) -> None:
        """Drop cooldowns that have ended."""
        self.cooldowns = {key: cooldown for key, cooldown in self.cooldowns.items() if cooldown.until > now}

    def set_sibling_texts(self, texts: Iterable[tuple[Key, QueuedText]]) -> None:
        """Replace the known unfinished texts of the other process."""
        first: dict[Key, QueuedText] = {}
        for key, queued in texts:
            known = first.get(key)
            if known is None or queued.precedes_sibling_text(known):
                first[key] = queued
        self._first_of_sibling = first

    def block_reason(self, now: int, key: Key, text: TextId) -> BlockReason | None:
        """Why the text may not be sent now; None where it may."""
        queue = self.queues.get(key)
        if not queue or queue[0].text != text:
            return BlockReason.QUEUE
        other = self._first_of_sibling.get(key)
        if other is not None and not queue[0].precedes_sibling_text(other):
            return BlockReason.SIBLING
        cooldown = self.cooldowns.get(key)
        if cooldown is not None and cooldown.until > now and cooldown.text != text:
            return BlockReason.COOLDOWN
        return None
