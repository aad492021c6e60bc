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


class Hold(Enum):
    """Why a text may not go now."""

    LINE = "line"  # another text of its key in this process goes first
    SIBLING = "sibling"  # one in the other process does
    REST = "rest"  # a call of another text of its key may still run


@dataclass(slots=True)
class Place:
    """One open text in the line of its key.

    `begun`: a submit of it has gone, so it has its key's turn until it is over."""

    text: TextId
    received_at: int
    begun: bool = False

    def goes_before(self, other: Place) -> bool:
        """Within one process, where texts handed in at the same time stay as they came."""
        return (not self.begun, self.received_at) < (not other.begun, other.received_at)

    def goes_before_of_sibling(self, other: Place) -> bool:
        """Between two processes: both have to come to the same answer."""
        mine, theirs = (not self.begun, self.received_at), (not other.begun, other.received_at)
        return (*mine, self.text) < (*theirs, other.text)


@dataclass(frozen=True, slots=True)
class Rest:
    """Until when a key rests. The text whose call may still run may itself be sent again meanwhile."""

    until: int
    text: TextId


class KeyOrder:
    """The lines and the rests of all keys with open texts."""

    def __init__(self) -> None:
        self.lines: dict[Key, list[Place]] = {}
        self.rests: dict[Key, Rest] = {}
        self._siblings_first: dict[Key, Place] = {}

    def take(self, key: Key, place: Place) -> None:
        """Put a text into its key's line: by its handing in, behind one that has begun."""
        line = self.lines.get(key)
        if line is None:
            self.lines[key] = [place]
            return
        at = len(line)
        while at and place.goes_before(line[at - 1]):
            at -= 1
        line.insert(at, place)

    def begin(self, key: Key, text: TextId) -> None:
        """A submit of the text goes out: it has the turn until it is over."""
        for place in self.lines.get(key, ()):
            if place.text == text:
                place.begun = True

    def over(self, key: Key, text: TextId) -> None:
        """Nothing more is owed for the text. KeyError where its key has no line."""
        line = self.lines[key]
        if len(line) == 1 and line[0].text == text:
            del self.lines[key]
            return
        line = [place for place in line if place.text != text]
        if line:
            self.lines[key] = line
        else:
            del self.lines[key]

    def rest(self, key: Key, text: TextId, until: int) -> None:
        """A call of the text may still run: the other texts of its key wait, for the longest rest told."""
        known = self.rests.get(key)
        if known is None or known.until < until:
            self.rests[key] = Rest(until, text)

    def forget_rests(self, now: int) -> None:
        """Rests that are over are of no use any more."""
        self.rests = {key: rest for key, rest in self.rests.items() if rest.until > now}

    def sibling_holds(self, places: Iterable[tuple[Key, Place]]) -> None:
        """All open texts of the other process by now, in place of those told before."""
        first: dict[Key, Place] = {}
        for key, place in places:
            known = first.get(key)
            if known is None or place.goes_before_of_sibling(known):
                first[key] = place
        self._siblings_first = first

    def hold_of(self, now: int, key: Key, text: TextId) -> Hold | None:
        """Why the text may not go now; None where it has its key's turn."""
        line = self.lines.get(key)
        if not line or line[0].text != text:
            return Hold.LINE
        other = self._siblings_first.get(key)
        if other is not None and not line[0].goes_before_of_sibling(other):
            return Hold.SIBLING
        rest = self.rests.get(key)
        if rest is not None and rest.until > now and rest.text != text:
            return Hold.REST
        return None
