"""One member of a fleet: probes the others, merges the facts that they send, and gossips its own.

The host program calls `tick` at the time `due`, `received` for each datagram, `refused` for a datagram that a
closed port refused, and `leave` at a clean end. After each call it sends and handles what `take` returns.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from limelatch.interface import MS
from limelatch.membership.codec import InvalidDatagram, Codec, cluster_key
from limelatch.membership.dissemination import FactQueue
from limelatch.membership.exchange import Exchange
from limelatch.membership.messages import (
    MAX_INCARNATION,
    Ack,
    Datagram,
    DropReason,
    Event,
    Fact,
    Gossip,
    Header,
    IndirectAck,
    IndirectPing,
    IsolationChanged,
    Joined,
    Message,
    Page,
    PageDigests,
    Ping,
    State,
)
from limelatch.membership.outbox import Outbox
from limelatch.membership.prober import Prober
from limelatch.membership.registry import Registry
from limelatch.membership.timing import Timing, transmissions
from limelatch.membership.view import page_count

GOSSIP_TARGETS = 2  # members that get a gossip datagram each period
MIN_GOSSIP_BYTES = 200  # that the budget must allow: few full datagrams cost less than many small ones
MAX_DIRECT_NOTIFICATIONS = 32  # members that are told directly that this one is alive or leaves


class Member:
    """The member at index `me` of `peers`.

    `incarnation`: 0 if the earlier one is not known; the other members are then queried for it.
    `now`: in tenths of a millisecond, as all times. `zones`: of each member, empty if not configured."""

    registry_class = Registry

    def __init__(
        self,
        peers: Sequence[str],
        me: int,
        incarnation: int,
        random: Random,
        now: int,
        timing: Timing | None = None,
        zones: Sequence[int] = (),
    ) -> None:
        count, self.me, self.now = len(peers), me, now
        self.timing = timing or Timing()
        self.registry = self.registry_class(count, me, self.timing)
        self.view = self.registry.view
        self.codec = Codec(cluster_key(peers), count, me, page_count(count))
        self.queue = FactQueue(transmissions(count))
        self.outbox = Outbox(now, self.codec, self.queue, lambda member: self.registry.fact(self.now, member))
        self.exchange = Exchange(self.registry, self.outbox, self._header)
        self.drops = dict.fromkeys(DropReason, 0)
        self._events: list[Event] = []
        self._query_until = now + 2 * self.timing.incarnation_query_time
        self._query_answers = 0
        self.incarnation, self.has_left = 0, False
        start = now + random.randrange(self.timing.probe_period)
        self.prober = Prober(me, start, random, self.timing, self.registry, self.outbox, self._header, zones)
        self.rounds, self.probes, self.reachability = (
            self.prober.rounds,
            self.prober.probes,
            self.prober.reachability,
        )
        self.due = self._gossip_at = self._page_request_at = start
        if incarnation:
            self._join(incarnation)

    # What the host program calls.

    def take(self) -> tuple[list[Datagram], list[Event]]:
        """Return the datagrams to send and the events since the last call."""
        datagrams, self.outbox.datagrams = self.outbox.datagrams, []
        events, self._events = self._events + self.registry.take_events(), []
        for member in self.registry.take_changed_members():
            self.queue.add(member)
        return datagrams, events

    def tick(self, now: int) -> None:
        """Do all that is due, and set `due` to the time of the next call."""
        late, self.now = now - self.due, now
        if self.has_left:
            return
        self.outbox.refill(now)
        if late > self.timing.late_tick:
            self._handle_late_tick(late)
        if not self.incarnation:
            self._query_incarnation()
        unanswered = self.prober.expire(now)
        self._update_isolation()
        if self.reachability.isolation is None:
            for probe in unanswered:
                self.registry.suspect(now, probe.target, probe.sent_at)
            self.registry.expire_suspicions(now)
        self.prober.send_due_probes(now)
        self._send_gossip()
        self.due = self._next_due()

    def received(self, now: int, data: bytes, sender: int | None) -> DropReason | None:
        """Handle a datagram; `sender`: the member with its source address, None if there is none.

        Returns why the datagram was dropped, None if it was not."""
        self.now = max(now, self.now)
        drop = self._receive(data, sender)
        if drop is not None:
            self.drops[drop] += 1
        return drop

    def refused(self, now: int, member: int) -> None:
        """A datagram to this member was refused by a closed port: its process is gone."""
        self.now = max(now, self.now)
        usable = not self.has_left and self.reachability.isolation is None
        if usable and member != self.me and self.view.is_present(member):
            self.registry.refused(self.now, member)

    def unresponsive_members(self) -> list[int]:
        """Members that have not answered; the host program can check whether their ports are closed."""
        late = self.prober.late_targets()
        own = [member for member, each in self.registry.suspicions.items() if each.own]
        return list(dict.fromkeys([*self.registry.refusals, *late, *own]))

    def leave(self, now: int) -> None:
        """Tell other members that this one leaves; from then on it does nothing."""
        self.now = now
        if self.incarnation and not self.has_left:
            self._set_own_state(State.LEFT)
            self._announce_self()
        self.has_left = True

    # Incarnations.

    def _join(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._set_own_state(State.ALIVE)
        self._events.append(Joined(incarnation))

    def _query_incarnation(self) -> None:
        """Join above the incarnation that others know of this member, once they had time to answer.

        Guards against being taken for an earlier process of this member."""
        half = self._query_until - self.timing.incarnation_query_time
        if self.now >= self._query_until or self.now >= half and self._query_answers:
            self._join(min(self.registry.known_own_incarnation + 1, MAX_INCARNATION))

    def _set_own_state(self, state: State) -> None:
        self.view.set_state(self.me, self.incarnation, state)
        self.queue.add(self.me)

    def _refute(self, incarnation: int) -> None:
        """Refute a fact on this member by a higher incarnation, up to the maximum that others accept."""
        self.registry.known_own_incarnation = max(self.registry.known_own_incarnation, incarnation)
        if self.incarnation and not self.has_left:
            self.incarnation = min(incarnation + 1, MAX_INCARNATION)
            self._set_own_state(State.ALIVE)
            self._announce_self()

    def _announce_self(self) -> None:
        fact = self.registry.fact(self.now, self.me)
        for member in self.rounds.sample_alive(MAX_DIRECT_NOTIFICATIONS, self.me):
            self.outbox.send(member, Gossip, self._header(member), first=fact, only_first=True)

    # Probes.

    def _handle_late_tick(self, late: int) -> None:
        """Void probes and prolong suspicions: the process did not run and may have missed answers."""
        self.prober.discard_outstanding()
        self.registry.extend_suspicions(self.now, late + self.timing.late_tick_grace)
        self.reachability.answered_at += late
        self.reachability.received_at += late

    def _update_isolation(self) -> None:
        """Update whether this member is isolated; restart its suspicions once it no longer is."""
        known = self.view.present_count - 1 if self.incarnation else self.view.present_count
        before = self.reachability.isolation
        isolation = self.reachability.find_isolation(
            self.now, known + self.view.counts[State.DEAD], self.timing
        )
        if isolation != before:
            self.reachability.isolation = isolation
            self._events.append(IsolationChanged(isolation, self.now - self.reachability.answered_at))
        if isolation is None and before is not None:
            self.registry.restart_suspicions(self.now)

    # Gossip.

    def _send_gossip(self) -> None:
        for member in self.registry.take_changed_members():
            self.queue.add(member)
        if self.now < self._gossip_at:
            return
        self._gossip_at = self.now + (
            self.timing.probe_period // 2 if self.probes.many_failed else self.timing.probe_period
        )
        if len(self.queue):
            many_failed = self.probes.many_failed
            targets = (
                self.rounds.sample_recent_senders(GOSSIP_TARGETS)
                if many_failed
                else self.rounds.sample_alive(GOSSIP_TARGETS, self.me)
            )
            for member in targets:
                if self.outbox.can_afford_facts(MIN_GOSSIP_BYTES):
                    self.outbox.send(member, Gossip, self._header(member))
        if self.now >= self._page_request_at and self.exchange.request_pages(self.now, len(self.queue)):
            self._page_request_at = self.now + self.timing.page_interval

    def _next_due(self) -> int:
        waits = self.registry.suspicions or self.registry.refusals
        due = self.prober.next_due(self.now, bool(waits) or not self.incarnation)
        if len(self.queue):
            due = min(due, self._gossip_at)
        return max(self.now + MS, due)

    def _header(self, to: int, sequence: int = 0) -> Header:
        return Header(self.me, self.incarnation, sequence, self.view.digest, self.view.incarnations[to])

    # Datagrams.

    def _receive(self, data: bytes, sender: int | None) -> DropReason | None:
        if sender is None:
            return DropReason.SENDER
        try:
            message = self.codec.read(data)
        except InvalidDatagram as error:
            return error.drop
        header = message.header
        if header.sender != sender:
            return DropReason.SENDER
        self.outbox.received(len(data))
        self.rounds.record_sender(sender)
        if self.has_left:
            return None
        self.reachability.received_at = self.now
        if header.known_incarnation > self.incarnation:
            self._refute(header.known_incarnation)
        if header.incarnation < self.view.incarnations[sender]:
            if isinstance(message, Ping):  # an earlier process, or one that queries its incarnation
                self.outbox.send(sender, Ack, self._header(sender, header.sequence))
            return DropReason.STALE if header.incarnation else None
        if header.incarnation:
            self.registry.learn(self.now, Fact(sender, header.incarnation, State.ALIVE), sender)
        self._handle(message)
        return None

    def _handle(self, message: Message) -> None:
        header = message.header
        if isinstance(message, Page):
            self.exchange.page_received(self.now, message)
        if not isinstance(message, PageDigests):
            for fact in message.facts:
                self._learn(fact, header.sender, isinstance(message, Page))
        if isinstance(message, Ping):
            first = self.registry.non_alive_fact(self.now, header.sender)
            self.outbox.send(header.sender, Ack, self._header(header.sender, header.sequence), first=first)
        elif isinstance(message, Ack):
            self._answered(header.sequence, header.sender, header.incarnation)
        elif isinstance(message, IndirectAck):
            self._answered(header.sequence, message.target, message.target_incarnation)
        elif isinstance(message, IndirectPing):
            self.prober.probe_on_behalf(self.now, header, message.target)
        elif isinstance(message, PageDigests):
            self.exchange.send_differing_pages(self.now, message)
        elif isinstance(message, Page):
            self.exchange.queue_newer_facts(self.now, message)
        if header.digest != self.view.digest:
            self.exchange.note_difference(header.sender)

    def _learn(self, fact: Fact, reporter: int, from_page: bool) -> None:
        if fact.member != self.me:
            self.registry.learn(self.now, fact, reporter, from_page)
        elif fact.incarnation > self.incarnation or (
            fact.incarnation == self.incarnation and fact.state is not State.ALIVE
        ):
            self._refute(fact.incarnation)

    def _answered(self, sequence: int, target: int, incarnation: int) -> None:
        if self.prober.answered(self.now, sequence, target, incarnation):
            self._query_answers += 1
            self.registry.answered(self.now, target, incarnation)
