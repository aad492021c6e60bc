"""What a member sends: datagrams filled with facts, within its budget of bytes."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import SECOND
from limelatch.membership.codec import MAX_DATAGRAM_BYTES, HEADER, Codec
from limelatch.membership.dissemination import FactQueue
from limelatch.membership.messages import Datagram, Fact, Header, Message

RESERVED_BYTES = 400  # bytes that only pings and answers use
FACTS_RESERVED_BYTES = 900  # that facts leave: indirect probes and second looks come before them
MIN_DATAGRAM_BYTES = 25  # of a ping without facts
PACKET_HEADER_BYTES = 28  # of IPv4 and UDP
BYTES_PER_SECOND, MAX_SAVED_BYTES = 2700, 1400  # sent and received, packet headers counted: under 3 KB/s


class Outbox:
    """Datagrams of this turn. A budget keeps their bytes down: facts give way first, answers last."""

    def __init__(self, now: int, codec: Codec, queue: FactQueue, fact_of: Callable[[int], Fact]) -> None:
        self.codec, self.queue, self.fact_of = codec, queue, fact_of
        self.datagrams: list[Datagram] = []
        self.allowance, self.refilled_at = MAX_SAVED_BYTES, now
        self._receive_allowance = MAX_SAVED_BYTES

    def refill(self, now: int) -> None:
        earned = (now - self.refilled_at) * BYTES_PER_SECOND // SECOND
        if earned > 0:
            self.allowance = min(MAX_SAVED_BYTES, self.allowance + earned)
            self._receive_allowance = min(MAX_SAVED_BYTES, self._receive_allowance + earned // 2)
            self.refilled_at = now

    def received(self, size: int) -> None:
        """A datagram of another member: it is paid for from the same budget.

        Guards against a member that sends so much that this one can't answer: at most half is charged."""
        charged = min(size + PACKET_HEADER_BYTES, self._receive_allowance)
        self._receive_allowance -= charged
        self.allowance -= charged

    def can_afford(self, size: int) -> bool:
        """Whether a probe that may be left out leaves the reserve, from which pings and answers go.

        Guards against news that uses up the budget: without indirect probes more members are suspect, and
        that is more news."""
        return self.allowance >= RESERVED_BYTES + size + PACKET_HEADER_BYTES

    def can_afford_facts(self, size: int) -> bool:
        """The same for a datagram that is sent for its facts alone."""
        return self.allowance >= FACTS_RESERVED_BYTES + size + PACKET_HEADER_BYTES

    def send(
        self,
        to: int,
        message_type: Callable[..., Message],
        header: Header,
        *fields: object,
        body_bytes: int = 1,
        first: Fact | None = None,
        only_first: bool = False,
    ) -> None:
        """Send a message with `first` and, unless that is to go alone, as many queued facts as fit.
        `tail`: the message's bytes behind the header without facts.

        Guards against answers to a flood of pings: with the saved bytes overdrawn nothing is sent."""
        size = HEADER.size + body_bytes
        if self.allowance + MAX_SAVED_BYTES < size + PACKET_HEADER_BYTES:
            return
        facts_bytes = min(
            MAX_DATAGRAM_BYTES - size,
            max(0, self.allowance - FACTS_RESERVED_BYTES - size - PACKET_HEADER_BYTES),
        )
        if only_first:
            facts = () if first is None else (first,)
        else:
            facts = self.queue.take(facts_bytes, self.fact_of, first)
        self._put(to, message_type(header, *fields, facts))

    def send_whole(self, to: int, message: Message) -> None:
        """Send a message that is filled already."""
        self._put(to, message)

    def _put(self, to: int, message: Message) -> None:
        data = self.codec.write(message)
        self.allowance -= len(data) + PACKET_HEADER_BYTES
        self.datagrams.append(Datagram(to, data))
