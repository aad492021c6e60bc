"""Encodes messages as datagrams and decodes them, checking version, bounds and checksum.

The layouts are described in docs/design/membership.md.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterable, Sequence

from limelatch.membership.messages import (
    MAX_INCARNATION,
    Ack,
    DropReason,
    Fact,
    Gossip,
    Header,
    IndirectAck,
    IndirectPing,
    Message,
    Page,
    PageDigests,
    Ping,
    State,
)
from limelatch.membership.view import MAX_MEMBERS

VERSION = 1  # of the datagram layouts
MAX_DATAGRAM_BYTES = 256
HEADER = struct.Struct(">BBHIIIII")
CHECKSUM = struct.Struct(">I")
CHECKSUM_OFFSET = 4  # bytes, in the header
TARGET, TARGET_INCARNATION, RANGE, DIGEST = (struct.Struct(form) for form in (">H", ">HI", ">HH", ">I"))
MAX_FACTS = 255  # in a datagram: their count is one byte
STATE_BITS = 2  # the low bits of a fact's incarnation and state
MAX_TWO_BYTE_DISTANCES = MAX_MEMBERS // 128  # facts of one datagram whose member distance takes two bytes
MAX_AGE = 127  # tenths of a second, in the low bits of the suspicion byte
WITNESS_BIT = 128  # of the suspicion byte
PING, ACK, GOSSIP, INDIRECT_PING, INDIRECT_ACK, PAGE_DIGESTS, PAGE = range(1, 8)
MESSAGE_KINDS = {
    Ping: PING,
    Ack: ACK,
    Gossip: GOSSIP,
    IndirectPing: INDIRECT_PING,
    IndirectAck: INDIRECT_ACK,
    PageDigests: PAGE_DIGESTS,
    Page: PAGE,
}
FACTS_ONLY_TYPES = {PING: Ping, ACK: Ack, GOSSIP: Gossip}


class InvalidDatagram(Exception):
    """Raised for a datagram that must be dropped whole; `drop` is the reason."""

    def __init__(self, drop: DropReason) -> None:
        super().__init__(drop.value)
        self.drop = drop


def cluster_key(peers: Sequence[str]) -> int:
    """Checksum of the peers' addresses in their order: the initial value of all checksums of a fleet.

    Datagrams of another fleet, or of another list of peers, thus fail the checksum."""
    return zlib.crc32("\n".join(peers).encode())


def put_varint(value: int, output: bytearray) -> None:
    """Append the value to the output in the LEB128 format."""
    while value > 127:
        output.append(value & 127 | 128)
        value >>= 7
    output.append(value)


def write_facts(facts: Iterable[Fact]) -> bytes:
    """Encode the count and the facts, sorted by member."""
    output, previous, count = bytearray(1), 0, 0
    for fact in sorted(facts, key=lambda each: each.member):
        put_varint(fact.member - previous, output)
        put_varint(fact.incarnation << STATE_BITS | fact.state, output)
        if fact.state is State.SUSPECT:
            output.append(min(fact.age, MAX_AGE) | WITNESS_BIT * fact.witness)
        previous, count = fact.member, count + 1
    output[0] = count
    return bytes(output)


def fact_bytes(fact: Fact) -> int:
    """Encoded size of a fact whose distance to the previous member takes one byte.

    At most MAX_TWO_BYTE_DISTANCES facts of a datagram take one byte more."""
    value, size = fact.incarnation << STATE_BITS, 3 if fact.state is State.SUSPECT else 2
    while value > 127:
        value >>= 7
        size += 1
    return size


class _Cursor:
    """Reads the body of a datagram field by field; raises InvalidDatagram where it ends too early."""

    def __init__(self, data: bytes, position: int) -> None:
        self.data, self.position = data, position

    def unpack(self, form: struct.Struct) -> tuple[int, ...]:
        if self.position + form.size > len(self.data):
            raise InvalidDatagram(DropReason.LENGTH)
        found = form.unpack_from(self.data, self.position)
        self.position += form.size
        return found

    def byte(self) -> int:
        if self.position >= len(self.data):
            raise InvalidDatagram(DropReason.LENGTH)
        self.position += 1
        return self.data[self.position - 1]

    def varint(self) -> int:
        value = shift = 0
        while (byte := self.byte()) > 127:
            value |= (byte & 127) << shift
            shift += 7
            if shift > 28:
                raise InvalidDatagram(DropReason.VALUE)
        return value | byte << shift

    def end(self) -> None:
        if self.position != len(self.data):
            raise InvalidDatagram(DropReason.LENGTH)


class Codec:
    """Encodes and decodes the datagrams of a fleet of `members` members, for the member number `me`.

    `key`: the fleet's `cluster_key`; `pages`: how many pages its view has."""

    def __init__(self, key: int, members: int, me: int, pages: int) -> None:
        self.key, self.members, self.me, self.pages = key, members, me, pages
        self._readers: dict[int, Callable[[Header, _Cursor], Message]] = {
            INDIRECT_PING: self._indirect_ping,
            INDIRECT_ACK: self._indirect_ack,
            PAGE_DIGESTS: self._page_digests,
            PAGE: self._page,
        }

    def write(self, message: Message) -> bytes:
        """Encode a message. Raises ValueError if it exceeds MAX_DATAGRAM_BYTES: an error of the caller."""
        header = message.header
        head = HEADER.pack(
            VERSION,
            MESSAGE_KINDS[type(message)],
            header.sender,
            0,
            header.incarnation,
            header.sequence,
            header.digest,
            header.known_incarnation,
        )
        data = head + self._encode_body(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(data)} bytes exceeds the limit")
        return (
            data[:CHECKSUM_OFFSET]
            + CHECKSUM.pack(self._checksum(data))
            + data[CHECKSUM_OFFSET + CHECKSUM.size :]
        )

    def _encode_body(self, message: Message) -> bytes:
        if isinstance(message, PageDigests):
            return b"".join(DIGEST.pack(each) for each in message.digests)
        facts = write_facts(message.facts)
        if isinstance(message, IndirectPing):
            return TARGET.pack(message.target) + facts
        if isinstance(message, IndirectAck):
            return TARGET_INCARNATION.pack(message.target, message.target_incarnation) + facts
        if isinstance(message, Page):
            return RANGE.pack(message.first, message.end) + facts
        return facts

    def _checksum(self, data: bytes) -> int:
        begun = zlib.crc32(data[:CHECKSUM_OFFSET], self.key)
        return zlib.crc32(data[CHECKSUM_OFFSET + CHECKSUM.size :], begun)

    def read(self, data: bytes) -> Message:
        """Decode and check a whole datagram. Raises InvalidDatagram with the reason."""
        if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
            raise InvalidDatagram(DropReason.LENGTH)
        version, kind, sender, checksum, incarnation, sequence, digest, known_incarnation = (
            HEADER.unpack_from(data)
        )
        if version != VERSION:
            raise InvalidDatagram(DropReason.VERSION)
        if checksum != self._checksum(data):
            raise InvalidDatagram(DropReason.CHECKSUM)
        if sender >= self.members or sender == self.me:
            raise InvalidDatagram(DropReason.SENDER)
        if incarnation > MAX_INCARNATION or known_incarnation > MAX_INCARNATION:
            raise InvalidDatagram(DropReason.VALUE)
        header, cursor = (
            Header(sender, incarnation, sequence, digest, known_incarnation),
            _Cursor(data, HEADER.size),
        )
        if kind in FACTS_ONLY_TYPES:
            message = FACTS_ONLY_TYPES[kind](header, self._facts(cursor))
        elif kind in self._readers:
            message = self._readers[kind](header, cursor)
        else:
            raise InvalidDatagram(DropReason.KIND)
        cursor.end()
        return message

    def _member(self, number: int) -> int:
        if number >= self.members:
            raise InvalidDatagram(DropReason.VALUE)
        return number

    def _incarnation(self, value: int) -> int:
        if not 1 <= value <= MAX_INCARNATION:
            raise InvalidDatagram(DropReason.VALUE)
        return value

    def _facts(self, cursor: _Cursor) -> tuple[Fact, ...]:
        facts, member = [], 0
        for number in range(cursor.byte()):
            distance = cursor.varint()
            if number and not distance:  # a second fact on the same member
                raise InvalidDatagram(DropReason.VALUE)
            member = self._member(member + distance)
            value = cursor.varint()
            state = State(value & (1 << STATE_BITS) - 1)
            suspicion = cursor.byte() if state is State.SUSPECT else 0
            incarnation = self._incarnation(value >> STATE_BITS)
            facts.append(Fact(member, incarnation, state, suspicion & MAX_AGE, bool(suspicion & WITNESS_BIT)))
        return tuple(facts)

    def _indirect_ping(self, header: Header, cursor: _Cursor) -> IndirectPing:
        (target,) = cursor.unpack(TARGET)
        return IndirectPing(header, self._member(target), self._facts(cursor))

    def _indirect_ack(self, header: Header, cursor: _Cursor) -> IndirectAck:
        target, incarnation = cursor.unpack(TARGET_INCARNATION)
        return IndirectAck(header, self._member(target), self._incarnation(incarnation), self._facts(cursor))

    def _page_digests(self, header: Header, cursor: _Cursor) -> PageDigests:
        return PageDigests(header, tuple(cursor.unpack(DIGEST)[0] for _ in range(self.pages)))

    def _page(self, header: Header, cursor: _Cursor) -> Page:
        first, end = cursor.unpack(RANGE)
        if not first < end <= self.members:
            raise InvalidDatagram(DropReason.VALUE)
        facts = self._facts(cursor)
        if any(not first <= fact.member < end for fact in facts):
            raise InvalidDatagram(DropReason.VALUE)
        return Page(header, first, end, facts)
