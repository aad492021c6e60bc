"""Whose turn it is in each key, over all processes of one relay, and how long a key rests.

Texts of products in order run one at a time for each key, in the order in which they were handed in. During
an upgrade two processes of the relay hold texts; the rules see one relay, so this module answers for both:
each process tells it its own texts as they come and go, and its sibling's as the sibling's ledger tells them.

Free of I/O. Times are tenths of a millisecond on the timeline that all processes of a relay share. See
docs/design/key-order.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from limelatch.interface import TextId

Key = int | bytes


class BlockReason(Enum):
    """Why a text may not go now."""

    QUEUE = "line"  # another text of its key in this process goes first
    SIBLING = "sibling"  # one in the other process does
    COOLDOWN = "rest"  # a call of another text of its key may still run


@dataclass(slots=True)
class QueuedText:
    """One open text in the line of its key.

    `begun`: a submit of it has gone, so it has its key's turn until it is over."""

    text: TextId
    received_at: int
    started: bool = False

    def precedes(self, other: QueuedText) -> bool:
        """Within one process, where texts handed in at the same time stay as they came."""
        return (not self.started, self.received_at) < (not other.started, other.received_at)

    def precedes_sibling_text(self, other: QueuedText) -> bool:
        """Between two processes: both have to come to the same answer."""
        mine, theirs = (not self.started, self.received_at), (not other.started, other.received_at)
        return (*mine, self.text) < (*theirs, other.text)


@dataclass(frozen=True, slots=True)
class KeyCooldown:
    """Until when a key rests. The text whose call may still run may itself be sent again meanwhile."""

    until: int
    text: TextId


class KeyOrder:
    """The lines and the rests of all keys with open texts."""

    def __init__(self) -> None:
        self.queues: dict[Key, list[QueuedText]] = {}
        self.cooldowns: dict[Key, KeyCooldown] = {}
        self._siblings_first: dict[Key, QueuedText] = {}

    def add(self, key: Key, place: QueuedText) -> None:
        """Put a text into its key's line: by its handing in, behind one that has begun."""
        queue = self.queues.get(key)
        if queue is None:
            self.queues[key] = [place]
            return
        at = len(queue)
        while at and place.precedes(queue[at - 1]):
            at -= 1
        queue.insert(at, place)

    def mark_started(self, key: Key, text: TextId) -> None:
        """A submit of the text goes out: it has the turn until it is over."""
        for place in self.queues.get(key, ()):
            if place.text == text:
                place.started = True

    def remove(self, key: Key, text: TextId) -> None:
        """Nothing more is owed for the text. KeyError where its key has no line."""
        queue = self.queues[key]
        if len(queue) == 1 and queue[0].text == text:
            del self.queues[key]
            return
        queue = [place for place in queue if place.text != text]
        if queue:
            self.queues[key] = queue
        else:
            del self.queues[key]

    def start_cooldown(self, key: Key, text: TextId, until: int) -> None:
        """A call of the text may still run: the other texts of its key wait, for the longest rest told."""
        known = self.cooldowns.get(key)
        if known is None or known.until < until:
            self.cooldowns[key] = KeyCooldown(until, text)

    def forget_expired_cooldowns(self, now: int) -> None:
        """Rests that are over are of no use any more."""
        self.cooldowns = {key: cooldown for key, cooldown in self.cooldowns.items() if cooldown.until > now}

    def set_sibling_texts(self, places: Iterable[tuple[Key, QueuedText]]) -> None:
        """All open texts of the other process by now, in place of those told before."""
        first: dict[Key, QueuedText] = {}
        for key, place in places:
            known = first.get(key)
            if known is None or place.precedes_sibling_text(known):
                first[key] = place
        self._siblings_first = first

    def block_reason(self, now: int, key: Key, text: TextId) -> BlockReason | None:
        """Why the text may not go now; None where it has its key's turn."""
        queue = self.queues.get(key)
        if not queue or queue[0].text != text:
            return BlockReason.QUEUE
        other = self._siblings_first.get(key)
        if other is not None and not queue[0].precedes_sibling_text(other):
            return BlockReason.SIBLING
        cooldown = self.cooldowns.get(key)
        if cooldown is not None and cooldown.until > now and cooldown.text != text:
            return BlockReason.COOLDOWN
        return None
