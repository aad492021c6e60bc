"""What the failure detector is compared with: heartbeats from all to all, and plain SWIM. For fleets alone.

Both are small, and neither bears pauses.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from limelatch.interface import SECOND
from limelatch.membership.member import Member
from limelatch.membership.messages import Datagram, DropReason, Event, Fact, MemberChanged, State
from limelatch.membership.registry import Registry
from limelatch.membership.view import View

HEARTBEAT_INTERVAL, MAX_MISSED_HEARTBEATS = SECOND, 3
NEVER = 1 << 62


class Heartbeats:
    """One heartbeat a second to each of the others; three missed ones are a verdict."""

    def __init__(self, peers: Sequence[str], me: int, incarnation: int, random: Random, now: int) -> None:
        self.me, self.now, self.incarnation = me, now, max(1, incarnation)
        self.view, self.received_at = View(len(peers)), [now] * len(peers)
        self.view.set_state(me, self.incarnation, State.ALIVE)
        self.due = now + random.randrange(HEARTBEAT_INTERVAL)
        self._datagrams: list[Datagram] = []
        self._events: list[Event] = []

    def take(self) -> tuple[list[Datagram], list[Event]]:
        """What is to be sent, and what has changed."""
        datagrams, self._datagrams = self._datagrams, []
        events, self._events = self._events, []
        return datagrams, events

    def tick(self, now: int) -> None:
        """Send a heartbeat to all, and judge those that were not heard."""
        self.now, self.due = now, now + HEARTBEAT_INTERVAL
        data = b"%d %d" % (self.me, self.incarnation)
        for member in range(len(self.received_at)):
            if member == self.me:
                continue
            self._datagrams.append(Datagram(member, data))
            silent = now - self.received_at[member] > MAX_MISSED_HEARTBEATS * HEARTBEAT_INTERVAL
            if silent and self.view.is_present(member):
                self._change(member, State.SUSPECT)
                self._change(member, State.DEAD)

    def _change(self, member: int, state: State) -> None:
        incarnation = self.view.incarnations[member]
        self.view.set_state(member, incarnation, state)
        self._events.append(MemberChanged(member, state, incarnation, "missed"))

    def received(self, now: int, data: bytes, sender: int | None) -> DropReason | None:
        """A heartbeat."""
        _, incarnation = data.split()
        self.received_at[sender] = now
        if not self.view.is_alive(sender):
            self.view.set_state(sender, int(incarnation), State.ALIVE)
            self._events.append(MemberChanged(sender, State.ALIVE, int(incarnation), "heard"))
        return None

    def refused(self, now: int, member: int) -> None:
        """It makes no use of refusals."""

    def leave(self, now: int) -> None:
        """It says nothing at its end."""
        self.due = NEVER


class PlainRegistry(Registry):
    """Suspicions by hearsay and by own probes last alike, and nobody probes a suspect beside the round."""

    def next_suspect_to_probe(self, now: int) -> int | None:
        """Never."""
        return None

    def expire_suspicions(self, now: int) -> None:
        """Every suspicion ends after the confirmed one's time."""
        for member, suspicion in list(self.suspicions.items()):
            if suspicion.since + self.timing.confirmed_suspicion <= now:
                self._change(now, Fact(member, self.view.incarnations[member], State.DEAD), "unanswered")


class PlainSwim(Member):
    """SWIM as first published: one suspicion time, no own probes of a suspect, and no notice of refusals, of
    isolation or of a process that did not run."""

    registry_class = PlainRegistry

    def _handle_late_tick(self, late: int) -> None:
        pass

    def _update_isolation(self) -> None:
        pass

    def refused(self, now: int, member: int) -> None:
        """It makes no use of refusals."""
