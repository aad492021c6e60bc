"""Connects `limelatch.membership` to the relay: its UDP socket, its timer and its log events.

Membership has no influence on texts, and an error in it does not stop the relay.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from limelatch.configuration.plan import MembershipPlan
from limelatch.interface import MS, SECOND
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.membership.codec import MAX_DATAGRAM_BYTES
from limelatch.membership.member import Member
from limelatch.membership.messages import (
    DropReason,
    Event,
    IsolationChanged,
    Joined,
    MemberChanged,
    State,
)
from limelatch.relay.closed_ports import ClosedPorts
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadline, Deadlines
from limelatch.relay.incarnation import IncarnationFile

log = logger("membership")

MAX_READ_BYTES = MAX_DATAGRAM_BYTES + 1  # one more than is valid, so that a longer datagram is recognized
READ_INTERVAL = 100 * MS
MAX_READS = 200  # datagrams in a READ_INTERVAL; the others are dropped unread
NOT_LISTENING = "not-listening"  # reported as the isolation; one word, as all values of the line
BIND_RETRY_INTERVAL = SECOND


@dataclass(frozen=True)
class MembershipSummary:
    """One relay's view of all members: the count in each state and the first member that is not alive."""

    counts: dict[str, int]
    incarnation: int
    isolated: str
    first_not_alive: str

    def line(self) -> str:
        """The reply to the operators' command MEMBERS, without `+OK`."""
        words = [f"{name}={count}" for name, count in self.counts.items()]
        words += [f"incarnation={self.incarnation}", f"isolated={self.isolated or 'no'}"]
        return " ".join(words + ([f"first={self.first_not_alive}"] if self.first_not_alive else []))


class Peers(DatagramProtocol):
    """This relay as a member: exchanges datagrams with the other members over one UDP socket."""

    def __init__(
        self, plan: MembershipPlan, reactor, deadlines: Deadlines, clock: Clock, state: str, seed: int
    ) -> None:
        self.plan, self.reactor, self.deadlines, self.clock = plan, reactor, deadlines, clock
        self.file, self.random = IncarnationFile(state), Random(seed)
        self.addresses = [(peer.host, peer.port) for peer in plan.peers]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.limited_log, self.closed_ports = LimitedLog(log, clock), ClosedPorts()
        self.member: Member | None = None
        self.port = None
        self._timer: Deadline | None = None  # of the next tick
        self._stored_incarnation, self._read_count, self._read_until, self._stopped = 0, 0, 0, False

    def start(self) -> None:
        """Bind the socket and join. If it can't be bound, try again later: the relay serves without it."""
        if self._stopped:
            return
        listen = self.plan.listen
        try:
            self.port = self.reactor.listenUDP(listen.port, self, listen.host, MAX_READ_BYTES)
        except (CannotListenError, OSError) as error:
            why = getattr(error, "socketError", error)
            self.limited_log("membership-not-listening", listen=listen, why=why)
            self.deadlines.after(BIND_RETRY_INTERVAL, self.start)
            return
        self._stored_incarnation = self.file.read()
        self.member = Member(
            [str(peer) for peer in self.plan.peers],
            self.plan.number,
            self._stored_incarnation + 1 if self._stored_incarnation else 0,
            self.random,
            self.clock.now(),
            self.plan.timing,
            self.plan.zones,
        )
        self._apply_results()

    def stop(self) -> None:
        """Tell the other members that this relay leaves, and close the socket."""
        self._stopped = True
        if self.member is not None:
            self.member.leave(self.clock.now())
            self._send()
            self.member = None
            self.closed_ports.close()
        if self.port is not None:
            self.port.stopListening()

    def members(self) -> MembershipSummary:
        """This relay's current view of all members."""
        if self.member is None:
            counts = {state.name.lower(): 0 for state in State} | {"unknown": len(self.addresses)}
            return MembershipSummary(counts, 0, NOT_LISTENING, "")
        view = self.member.view
        counts = {state.name.lower(): view.counts[state] for state in State}
        counts["unknown"] = len(self.addresses) - sum(counts.values())
        isolation = self.member.reachability.isolation
        first = next((number for number in range(len(self.addresses)) if not view.is_alive(number)), None)
        first_name = "" if first is None else f"{self.plan.peers[first]}:{self._state(first)}"
        return MembershipSummary(
            counts, self.member.incarnation, isolation.value if isolation else "", first_name
        )

    def _state(self, number: int) -> str:
        view = self.member.view
        return view.states[number].name.lower() if view.is_known(number) else "unknown"

    # Datagrams and the timer.

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Handle a datagram. Guards against floods: stops reading after MAX_READS in an interval."""
        if self.member is None or not datagram:  # an empty one checks whether this port is open
            return
        now = self.clock.now()
        if now >= self._read_until:
            self._read_count, self._read_until = 0, now + READ_INTERVAL
        self._read_count += 1
        if self._read_count > MAX_READS:
            self.member.drops[DropReason.FLOOD] += 1
            self.port.stopReading()
            self.deadlines.at(self._read_until, self._resume_reading)
            return
        drop = self.member.received(now, datagram, self.numbers.get(address))
        if drop is not None:
            self.limited_log("datagram-dropped", why=drop.value, peer=address[0])
        self._apply_results()

    def _resume_reading(self) -> None:
        if self.member is not None:
            self.port.startReading()

    def _tick(self) -> None:
        if self.member is None:
            return
        now = self.clock.now()
        try:
            for number in self.closed_ports.refused(now):
                self.member.refused(now, number)
            self.member.tick(now)
            for number in self.member.unresponsive_members():
                self.closed_ports.check(now, number, self.addresses[number])
        finally:
            self._timer = None
            self._apply_results()

    def _apply_results(self) -> None:
        """Send, log and store the results of the last step, and set the timer for the next tick."""
        self._send()
        due = self.member.due
        if self._timer is not None and self._timer.when == due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.deadlines.at(due, self._tick)

    def _send(self) -> None:
        datagrams, events = self.member.take()
        if self.member.incarnation > self._stored_incarnation:
            self._stored_incarnation = self.member.incarnation
            self.file.write(self._stored_incarnation)
        for event in events:
            self._log(event)
        for datagram in datagrams:
            try:
                self.transport.write(datagram.data, self.addresses[datagram.to])
            except OSError as error:
                self.limited_log("datagram-not-sent", why=error, member=self.plan.peers[datagram.to])

    def _log(self, event: Event) -> None:
        if isinstance(event, MemberChanged):
            self._log_change(event)
        elif isinstance(event, IsolationChanged):
            why = event.why.value if event.why else "answered"
            self.limited_log("membership-isolated", why=why, after_ms=event.after // MS)
        elif isinstance(event, Joined):
            log_event(
                log,
                "membership-joined",
                member=self.plan.peers[self.plan.number],
                incarnation=event.incarnation,
            )

    def _log_change(self, event: MemberChanged) -> None:
        peer, incarnation = self.plan.peers[event.member], event.incarnation
        why, after = event.why, event.after // MS
        if event.state is State.ALIVE:
            self.limited_log("member-alive", member=peer, incarnation=incarnation, why=why, after_ms=after)
        elif event.state is State.SUSPECT:
            self.limited_log("member-suspect", member=peer, incarnation=incarnation, why=why, after_ms=after)
        elif event.state is State.DEAD:
            self.limited_log("member-dead", member=peer, incarnation=incarnation, why=why, after_ms=after)
        else:
            self.limited_log("member-left", member=peer, incarnation=incarnation, why=why, after_ms=after)
