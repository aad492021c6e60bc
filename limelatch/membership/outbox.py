"""What a member sends: datagrams filled with facts, within its budget of bytes."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import SECOND
from limelatch.membership.codec import MAX_DATAGRAM_BYTES, HEADER, Codec
from limelatch.membership.dissemination import FactQueue
from limelatch.membership.messages import Datagram, Fact, Header, Message

RESERVE = 400  # bytes that only pings and answers use
FACTS_RESERVE = 900  # that facts leave: indirect probes and second looks come before them
DATAGRAM_LEAST = 25  # of a ping without facts
PACKET_HEADERS = 28  # of IPv4 and UDP
BYTES_A_SECOND, BYTES_SAVED = 2700, 1400  # sent and received, packet headers counted: under 3 KB/s


class Outbox:
    """Datagrams of this turn. A budget keeps their bytes down: facts give way first, answers last."""

    def __init__(self, now: int, codec: Codec, queue: FactQueue, fact_of: Callable[[int], Fact]) -> None:
        self.codec, self.queue, self.fact_of = codec, queue, fact_of
        self.datagrams: list[Datagram] = []
        self.allowance, self.refilled_at = BYTES_SAVED, now
        self._chargeable = BYTES_SAVED

    def refill(self, now: int) -> None:
        earned = (now - self.refilled_at) * BYTES_A_SECOND // SECOND
        if earned > 0:
            self.allowance = min(BYTES_SAVED, self.allowance + earned)
            self._chargeable = min(BYTES_SAVED, self._chargeable + earned // 2)
            self.refilled_at = now

    def received(self, size: int) -> None:
        """A datagram of another member: it is paid for from the same budget.

        Guards against a member that sends so much that this one can't answer: at most half is charged."""
        charged = min(size + PACKET_HEADERS, self._chargeable)
        self._chargeable -= charged
        self.allowance -= charged

    def affords(self, size: int) -> bool:
        """Whether a probe that may be left out leaves the reserve, from which pings and answers go.

        Guards against news that uses up the budget: without indirect probes more members are suspect, and
        that is more news."""
        return self.allowance >= RESERVE + size + PACKET_HEADERS

    def affords_facts(self, size: int) -> bool:
        """The same for a datagram that is sent for its facts alone."""
        return self.allowance >= FACTS_RESERVE + size + PACKET_HEADERS

    def send(
        self,
        to: int,
        form: Callable[..., Message],
        header: Header,
        *parts: object,
        tail: int = 1,
        first: Fact | None = None,
        alone: bool = False,
    ) -> None:
        """Send a message with `first` and, unless that is to go alone, as many queued facts as fit.
        `tail`: the message's bytes behind the header without facts.

        Guards against answers to a flood of pings: with the saved bytes overdrawn nothing is sent."""
        size = HEADER.size + tail
        if self.allowance + BYTES_SAVED < size + PACKET_HEADERS:
            return
        room = min(MAX_DATAGRAM_BYTES - size, max(0, self.allowance - FACTS_RESERVE - size - PACKET_HEADERS))
        if alone:
            facts = () if first is None else (first,)
        else:
            facts = self.queue.take(room, self.fact_of, first)
        self._put(to, form(header, *parts, facts))

    def send_whole(self, to: int, message: Message) -> None:
        """Send a message that is filled already."""
        self._put(to, message)

    def _put(self, to: int, message: Message) -> None:
        data = self.codec.write(message)
        self.allowance -= len(data) + PACKET_HEADERS
        self.datagrams.append(Datagram(to, data))
