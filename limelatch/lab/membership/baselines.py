"""Baselines for the failure detector, used only in simulated fleets: all-to-all heartbeats, and plain SWIM.

Neither tolerates a process that is paused.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from limelatch.interface import SECOND
from limelatch.membership.member import Member
from limelatch.membership.messages import Datagram, DropReason, Event, Fact, MemberChanged, State
from limelatch.membership.registry import Registry
from limelatch.membership.view import View

HEARTBEAT_INTERVAL = SECOND
MAX_MISSED_HEARTBEATS = 3
NEVER = 1 << 62  # a time that is never reached


class Heartbeats:
    """Sends a heartbeat each second to every other member; three missed ones declare a member dead."""

    def __init__(self, peers: Sequence[str], me: int, incarnation: int, random: Random, now: int) -> None:
        self.me, self.now, self.incarnation = me, now, max(1, incarnation)
        self.view, self.received_at = View(len(peers)), [now] * len(peers)
        self.view.set_state(me, self.incarnation, State.ALIVE)
        self.due = now + random.randrange(HEARTBEAT_INTERVAL)
        self._datagrams: list[Datagram] = []
        self._events: list[Event] = []

    def take(self) -> tuple[list[Datagram], list[Event]]:
        """Return the datagrams to send and the events since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        events, self._events = self._events, []
        return datagrams, events

    def tick(self, now: int) -> None:
        """Send a heartbeat to all members, and declare the silent ones dead."""
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
        """Handle a heartbeat."""
        _, incarnation = data.split()
        self.received_at[sender] = now
        if not self.view.is_alive(sender):
            self.view.set_state(sender, int(incarnation), State.ALIVE)
            self._events.append(MemberChanged(sender, State.ALIVE, int(incarnation), "heard"))
        return None

    def refused(self, now: int, member: int) -> None:
        """Ignored: refusals are not used."""

    def leave(self, now: int) -> None:
        """Stop without telling the others."""
        self.due = NEVER


class PlainRegistry(Registry):
    """All suspicions last equally long, and suspects are probed only in the regular round."""

    def next_suspect_to_probe(self, now: int) -> int | None:
        """None: suspects get no probes of their own."""
        return None

    def expire_suspicions(self, now: int) -> None:
        """Declare members dead after the time of a confirmed suspicion."""
        for member, suspicion in list(self.suspicions.items()):
            if suspicion.since + self.timing.confirmed_suspicion <= now:
                self._change(now, Fact(member, self.view.incarnations[member], State.DEAD), "unanswered")


class PlainSwim(Member):
    """SWIM as first published.

    It has one suspicion time and no extra probes of suspects, and ignores refusals, isolation, and times in
    which its process did not run."""

    registry_class = PlainRegistry

    def _handle_late_tick(self, late: int) -> None:
        pass

    def _update_isolation(self) -> None:
        pass

    def refused(self, now: int, member: int) -> None:
        """Ignored: refusals are not used."""
