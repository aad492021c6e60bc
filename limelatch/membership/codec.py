"""Datagrams to messages and back: version, bounds and checksum. Forms: docs/design/membership.md."""

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

VERSION, MAX_DATAGRAM_BYTES = 1, 256
HEADER, CHECKSUM = struct.Struct(">BBHIIIII"), struct.Struct(">I")
CHECKSUM_AT = 4
TARGET, TARGET_INCARNATION, RANGE, DIGEST = (struct.Struct(form) for form in (">H", ">HI", ">HH", ">I"))
FACTS_MOST = 255
STATE_BITS = 2
WIDE_DISTANCES = MAX_MEMBERS // 128
AGE_MOST, WITNESS = 127, 128  # tenths of a second, and the bit beside them
PING, ACK, GOSSIP, INDIRECT_PING, INDIRECT_ACK, PAGE_DIGESTS, PAGE = range(1, 8)
KINDS = {
    Ping: PING,
    Ack: ACK,
    Gossip: GOSSIP,
    IndirectPing: INDIRECT_PING,
    IndirectAck: INDIRECT_ACK,
    PageDigests: PAGE_DIGESTS,
    Page: PAGE,
}
PLAIN = {PING: Ping, ACK: Ack, GOSSIP: Gossip}


class BadDatagram(Exception):
    """A datagram that is dropped whole."""

    def __init__(self, drop: DropReason) -> None:
        super().__init__(drop.value)
        self.drop = drop


def cluster_key(peers: Sequence[str]) -> int:
    """The beginning of all checksums of a fleet: its peers' addresses, in their order."""
    return zlib.crc32("\n".join(peers).encode())


def put_varint(value: int, into: bytearray) -> None:
    """LEB128."""
    while value > 127:
        into.append(value & 127 | 128)
        value >>= 7
    into.append(value)


def write_facts(facts: Iterable[Fact]) -> bytes:
    """The count and the facts, in the order of their members."""
    out, before, count = bytearray(1), 0, 0
    for fact in sorted(facts, key=lambda each: each.member):
        put_varint(fact.member - before, out)
        put_varint(fact.incarnation << STATE_BITS | fact.state, out)
        if fact.state is State.SUSPECT:
            out.append(min(fact.age, AGE_MOST) | WITNESS * fact.witness)
        before, count = fact.member, count + 1
    out[0] = count
    return bytes(out)


def fact_bytes(fact: Fact) -> int:
    """What a fact takes in a datagram where its distance takes one byte; of all facts of a datagram at most
    WIDE_DISTANCES take one more."""
    value, size = fact.incarnation << STATE_BITS, 3 if fact.state is State.SUSPECT else 2
    while value > 127:
        value >>= 7
        size += 1
    return size


class _Cursor:
    """Reads on in the part behind the header; raises BadDatagram where it ends too early."""

    def __init__(self, data: bytes, at: int) -> None:
        self.data, self.at = data, at

    def take(self, form: struct.Struct) -> tuple[int, ...]:
        if self.at + form.size > len(self.data):
            raise BadDatagram(DropReason.LENGTH)
        found = form.unpack_from(self.data, self.at)
        self.at += form.size
        return found

    def byte(self) -> int:
        if self.at >= len(self.data):
            raise BadDatagram(DropReason.LENGTH)
        self.at += 1
        return self.data[self.at - 1]

    def varint(self) -> int:
        value = shift = 0
        while (byte := self.byte()) > 127:
            value |= (byte & 127) << shift
            shift += 7
            if shift > 28:
                raise BadDatagram(DropReason.VALUE)
        return value | byte << shift

    def end(self) -> None:
        if self.at != len(self.data):
            raise BadDatagram(DropReason.LENGTH)


class Codec:
    """Writes and reads the datagrams of one fleet, for the member `me` of `members`."""

    def __init__(self, key: int, members: int, me: int, pages: int) -> None:
        self.key, self.members, self.me, self.pages = key, members, me, pages
        self._readers: dict[int, Callable[[Header, _Cursor], Message]] = {
            INDIRECT_PING: self._indirect_ping,
            INDIRECT_ACK: self._indirect_ack,
            PAGE_DIGESTS: self._page_digests,
            PAGE: self._page,
        }

    def write(self, message: Message) -> bytes:
        """The datagram; ValueError where it would be over MAX_DATAGRAM_BYTES, a fault of the caller."""
        header = message.header
        head = HEADER.pack(
            VERSION,
            KINDS[type(message)],
            header.sender,
            0,
            header.incarnation,
            header.sequence,
            header.digest,
            header.held,
        )
        data = head + self._tail(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {len(data)} bytes")
        return data[:CHECKSUM_AT] + CHECKSUM.pack(self._checksum(data)) + data[CHECKSUM_AT + CHECKSUM.size :]

    def _tail(self, message: Message) -> bytes:
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
        begun = zlib.crc32(data[:CHECKSUM_AT], self.key)
        return zlib.crc32(data[CHECKSUM_AT + CHECKSUM.size :], begun)

    def read(self, data: bytes) -> Message:
        """The message. Raises BadDatagram with the reason; nothing of a bad one is used."""
        if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
            raise BadDatagram(DropReason.LENGTH)
        version, kind, sender, checksum, incarnation, sequence, digest, held = HEADER.unpack_from(data)
        if version != VERSION:
            raise BadDatagram(DropReason.VERSION)
        if checksum != self._checksum(data):
            raise BadDatagram(DropReason.CHECKSUM)
        if sender >= self.members or sender == self.me:
            raise BadDatagram(DropReason.SENDER)
        if incarnation > MAX_INCARNATION or held > MAX_INCARNATION:
            raise BadDatagram(DropReason.VALUE)
        header, cursor = Header(sender, incarnation, sequence, digest, held), _Cursor(data, HEADER.size)
        if kind in PLAIN:
            message = PLAIN[kind](header, self._facts(cursor))
        elif kind in self._readers:
            message = self._readers[kind](header, cursor)
        else:
            raise BadDatagram(DropReason.KIND)
        cursor.end()
        return message

    def _member(self, number: int) -> int:
        if number >= self.members:
            raise BadDatagram(DropReason.VALUE)
        return number

    def _incarnation(self, value: int) -> int:
        if not 1 <= value <= MAX_INCARNATION:
            raise BadDatagram(DropReason.VALUE)
        return value

    def _facts(self, cursor: _Cursor) -> tuple[Fact, ...]:
        facts, member = [], 0
        for number in range(cursor.byte()):
            distance = cursor.varint()
            if number and not distance:  # the same member twice
                raise BadDatagram(DropReason.VALUE)
            member = self._member(member + distance)
            value = cursor.varint()
            state = State(value & (1 << STATE_BITS) - 1)
            told = cursor.byte() if state is State.SUSPECT else 0
            incarnation = self._incarnation(value >> STATE_BITS)
            facts.append(Fact(member, incarnation, state, told & AGE_MOST, bool(told & WITNESS)))
        return tuple(facts)

    def _indirect_ping(self, header: Header, cursor: _Cursor) -> IndirectPing:
        (target,) = cursor.take(TARGET)
        return IndirectPing(header, self._member(target), self._facts(cursor))

    def _indirect_ack(self, header: Header, cursor: _Cursor) -> IndirectAck:
        target, incarnation = cursor.take(TARGET_INCARNATION)
        return IndirectAck(header, self._member(target), self._incarnation(incarnation), self._facts(cursor))

    def _page_digests(self, header: Header, cursor: _Cursor) -> PageDigests:
        return PageDigests(header, tuple(cursor.take(DIGEST)[0] for _ in range(self.pages)))

    def _page(self, header: Header, cursor: _Cursor) -> Page:
        first, end = cursor.take(RANGE)
        if not first < end <= self.members:
            raise BadDatagram(DropReason.VALUE)
        facts = self._facts(cursor)
        if any(not first <= fact.member < end for fact in facts):
            raise BadDatagram(DropReason.VALUE)
        return Page(header, first, end, facts)
