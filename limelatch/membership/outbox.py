"""Outgoing datagrams of a member, filled up with queued facts and limited by a byte budget."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import SECOND
from limelatch.membership.codec import MAX_DATAGRAM_BYTES, HEADER, Codec
from limelatch.membership.dissemination import FactQueue
from limelatch.membership.messages import Datagram, Fact, Header, Message

RESERVED_BYTES = 400  # bytes that only pings and answers may use
FACTS_RESERVED_BYTES = 900  # bytes that facts leave unused: indirect and repeated probes have priority
MIN_DATAGRAM_BYTES = 25  # a ping without facts
PACKET_HEADER_BYTES = 28  # bytes of the IPv4 and UDP headers
BYTES_PER_SECOND = 2700  # sent and received with packet headers; keeps a member under 3 KB/s
MAX_SAVED_BYTES = 1400  # unused budget that is kept for a burst


class Outbox:
    """The datagrams of the current step, limited by a token bucket of bytes.

    When it runs low, facts are left out first and answers last."""

    def __init__(self, now: int, codec: Codec, queue: FactQueue, fact_of: Callable[[int], Fact]) -> None:
        self.codec, self.queue, self.fact_of = codec, queue, fact_of
        self.datagrams: list[Datagram] = []
        self.allowance, self.refilled_at = MAX_SAVED_BYTES, now
        self._receive_allowance = MAX_SAVED_BYTES

    def refill(self, now: int) -> None:
        """Add the budget of the time since the last call."""
        earned = (now - self.refilled_at) * BYTES_PER_SECOND // SECOND
        if earned > 0:
            self.allowance = min(MAX_SAVED_BYTES, self.allowance + earned)
            self._receive_allowance = min(MAX_SAVED_BYTES, self._receive_allowance + earned // 2)
            self.refilled_at = now

    def received(self, size: int) -> None:
        """Charge a received datagram to the same budget.

        At most half of the budget is charged. Guards against a member that sends so much that this one can no
        longer answer."""
        charged = min(size + PACKET_HEADER_BYTES, self._receive_allowance)
        self._receive_allowance -= charged
        self.allowance -= charged

    def can_afford(self, size: int) -> bool:
        """Whether an optional probe of this size leaves the reserve for pings and answers.

        Guards against facts that use up the budget: without indirect probes more members become suspect,
        which causes even more facts."""
        return self.allowance >= RESERVED_BYTES + size + PACKET_HEADER_BYTES

    def can_afford_facts(self, size: int) -> bool:
        """Whether the budget allows a datagram that is sent only for its facts."""
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
        """Send a message with the fact `first` and, unless `only_first`, as many queued facts as fit.

        `body_bytes`: the message's size without header and facts. Nothing is sent once the budget is
        overdrawn by MAX_SAVED_BYTES: guards against answering a flood of pings."""
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
        """Send a complete message, without queued facts."""
        self._put(to, message)

    def _put(self, to: int, message: Message) -> None:
        data = self.codec.write(message)
        self.allowance -= len(data) + PACKET_HEADER_BYTES
        self.datagrams.append(Datagram(to, data))
