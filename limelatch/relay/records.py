"""The ledger's records: their form on disk, and what a run of them says of each text.

A record is its length, its CRC-32, its kind, its names and values as JSON, and a taken text's body. Records
of one text follow each other in the order of what happened to it.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from limelatch.interface import Health
from limelatch.key_order import KeyCooldown

RECORD_HEADER = struct.Struct(">II")  # length and checksum of what follows
PAYLOAD_HEADER = struct.Struct(">BH")  # kind of record and length of its pairs; a body follows these
MAX_HOST_HEALTH = 256  # hosts of which a ledger's reader knows how they were
STATE_RESERVE = (
    384  # kept free for a text's state and its notice, which are all that a new file holds beside it
)


class RecordKind(IntEnum):
    """What a record tells."""

    TAKEN = 1  # a text was taken on
    GOING = 2  # a submit is about to go out
    ENDED = 3  # it has an outcome
    OWED = 4  # the text's final answer is given, its notice is owed
    OVER = 5  # nothing more is owed
    STATE = 6  # in a new file: what the left out records said
    BLANK = 7  # nothing: written to see whether the folder takes writes again
    REST = 8  # in a new file: a key that rests; `id` is the text whose call may still run
    WAIT = 9  # a host has told to wait; `id` is the host
    HEALTH = 10  # the module has found a host sick, or warming; `id` is the host


class BadRecord(Exception):
    """A record that is whole, and can't be one of a ledger."""


@dataclass
class Entry:
    """One text that is not over, as the ledger tells it."""

    id: bytes
    fields: dict
    submit_count: int = 0
    in_flight: bool = False  # a submit has gone out and not ended
    may_have_run: bool = False  # one that has ended may have run
    first_run_at: int | None = None  # when and where the first went that may have run
    first_run_zone: int | None = None
    notice: dict | None = None
    accepted_record: bytes = b""  # its first record

    @property
    def body(self) -> bytes:
        return body_of_record(self.accepted_record)

    @property
    def key(self) -> bytes:
        """Of its order; empty where it has none."""
        return self.fields["key"].encode()

    @property
    def received_at(self) -> int:
        """When, on the relay's timeline; 0 where an earlier version took it on."""
        return self.fields.get("at", 0)

    @property
    def in_order(self) -> bool | None:
        """Whether its product was in order; None where an earlier version took it on."""
        return self.fields.get("ordered")


def encode_record(kind: RecordKind, text: bytes, pairs: dict, body: bytes = b"") -> bytes:
    words = msgspec.json.encode({"id": text.decode()} | pairs)
    payload = PAYLOAD_HEADER.pack(kind, len(words)) + words + body
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def body_of_record(raw: bytes) -> bytes:
    return raw[
        RECORD_HEADER.size + PAYLOAD_HEADER.size + PAYLOAD_HEADER.unpack_from(raw, RECORD_HEADER.size)[1] :
    ]


def split_records(raw: bytes) -> Iterator[bytes]:
    """The records at the head of `raw`, up to the first that is not whole or does not fit its checksum."""
    at = 0
    while at + RECORD_HEADER.size <= len(raw):
        length, checksum = RECORD_HEADER.unpack_from(raw, at)
        payload = raw[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
        if len(payload) < max(length, PAYLOAD_HEADER.size) or zlib.crc32(payload) != checksum:
            return
        yield raw[at : at + RECORD_HEADER.size + length]
        at += RECORD_HEADER.size + length


def decode_record(raw: bytes) -> tuple[int, bytes, dict]:
    """Kind, text and pairs of one record; BadRecord where it has none."""
    kind, length = PAYLOAD_HEADER.unpack_from(raw, RECORD_HEADER.size)
    at = RECORD_HEADER.size + PAYLOAD_HEADER.size
    try:
        pairs = msgspec.json.decode(raw[at : at + length])
        return kind, pairs["id"].encode(), pairs
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError, UnicodeEncodeError) as error:
        raise BadRecord(f"{type(error).__name__}: {error}") from None


@dataclass(frozen=True, slots=True)
class HostHealth:
    """What a process found of a host, and when."""

    health: Health
    at: int


class LedgerState:
    """The texts that are not over, in the order they were taken, and the bytes that their records need.

    `rests`, `waits` and `healths` outlast their texts: keys that rest, until when hosts have asked to wait,
    and how hosts were. Rests and waits that are over go when a later one is added."""

    def __init__(self) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.cooldowns: dict[bytes, KeyCooldown] = {}
        self.host_waits: dict[bytes, int] = {}
        self.host_health: dict[bytes, HostHealth] = {}
        self.live_bytes = 0

    def add_cooldown(self, key: bytes, rest: KeyCooldown, now: int) -> None:
        """The longest rest of the key holds."""
        for each in [known for known, old in self.cooldowns.items() if old.until <= now]:
            self._drop_cooldown(each)
        if key in self.cooldowns and self.cooldowns[key].until >= rest.until:
            return
        self._drop_cooldown(key)
        self.cooldowns[key] = rest
        self.live_bytes += len(cooldown_record(key, rest))

    def _drop_cooldown(self, key: bytes) -> None:
        if (rest := self.cooldowns.pop(key, None)) is not None:
            self.live_bytes -= len(cooldown_record(key, rest))

    def add_health(self, host: bytes, health: HostHealth) -> None:
        """The last news of a host holds; of too many hosts the oldest goes."""
        self._drop_health(host)
        self.host_health[host] = health
        self.live_bytes += len(health_record(host, health))
        if len(self.host_health) > MAX_HOST_HEALTH:
            self._drop_health(next(iter(self.host_health)))

    def _drop_health(self, host: bytes) -> None:
        if (health := self.host_health.pop(host, None)) is not None:
            self.live_bytes -= len(health_record(host, health))

    def add_wait(self, host: bytes, until: int, now: int) -> None:
        """The longest wait of the host holds."""
        longest = max(until, self.host_waits.get(host, 0))
        for each in [known for known, end in self.host_waits.items() if end <= now or known == host]:
            self.live_bytes -= len(wait_record(each, self.host_waits.pop(each)))
        self.host_waits[host] = longest
        self.live_bytes += len(wait_record(host, longest))

    def apply(self, raw: bytes) -> str | None:
        """Take in the next record; in words, what is wrong with it in this place, else None.

        Raises BadRecord where it lacks what a record of its kind tells."""
        kind, text, pairs = decode_record(raw)
        try:
            return self._apply(kind, text, pairs, raw)
        except KeyError as error:
            raise BadRecord(f"a record of kind {kind} without {error}") from None
        except ValueError as error:
            raise BadRecord(f"a record of kind {kind}: {error}") from None

    def _apply(self, kind: int, text: bytes, pairs: dict, raw: bytes) -> str | None:
        entry = self.entries.get(text)
        if kind == RecordKind.BLANK:
            return None
        if kind == RecordKind.REST:
            self.add_cooldown(pairs["key"].encode(), KeyCooldown(pairs["until"], text), 0)
            return None
        if kind == RecordKind.HEALTH:
            self.add_health(text, HostHealth(Health(pairs["health"]), pairs["at"]))
            return None
        if kind == RecordKind.WAIT:
            self.add_wait(text, pairs["until"], pairs["at"])
            return None
        if kind == RecordKind.TAKEN:
            self.entries[text] = Entry(text, pairs, accepted_record=raw)
            self.live_bytes += len(raw) + STATE_RESERVE
            return None if entry is None else "taken a second time"
        if entry is None:
            return "nothing was taken on under this id"
        match kind:
            case RecordKind.GOING:
                # One still out here was out when its process was killed: it may have run for good. Guards
                # against a later submit's refusal, after a second kill, that passes for the proof of both.
                entry.may_have_run = entry.may_have_run or entry.in_flight
                entry.submit_count, entry.in_flight = entry.submit_count + 1, True
                if entry.first_run_at is None:
                    entry.first_run_at, entry.first_run_zone = pairs["at"], pairs["zone"]
            case RecordKind.ENDED:
                wrong = None if entry.in_flight else "an outcome without a submit"
                entry.in_flight, entry.may_have_run = False, entry.may_have_run or pairs["ran"]
                if not entry.may_have_run:
                    entry.first_run_at = entry.first_run_zone = None
                if "rest" in pairs:
                    self.add_cooldown(entry.key, KeyCooldown(pairs["rest"], text), pairs["at"])
                return wrong
            case RecordKind.STATE:
                entry.submit_count, entry.in_flight, entry.may_have_run = (
                    pairs["submits"],
                    pairs["out"],
                    pairs["ran"],
                )
                entry.first_run_at, entry.first_run_zone = pairs["at"], pairs["zone"]
            case RecordKind.OWED:
                entry.in_flight, entry.notice = False, pairs["notice"]
            case RecordKind.OVER:
                self.live_bytes -= len(entry.accepted_record) + STATE_RESERVE
                del self.entries[text]
            case _:
                return f"a record of kind {kind}, which this version does not know"
        return None


def cooldown_record(key: bytes, rest: KeyCooldown) -> bytes:
    """A rest's own record."""
    return encode_record(RecordKind.REST, rest.text, {"key": key.decode(), "until": rest.until})


def wait_record(host: bytes, until: int) -> bytes:
    """A wait's record, of no time of its own."""
    return encode_record(RecordKind.WAIT, host, {"at": 0, "until": until})


def health_record(host: bytes, health: HostHealth) -> bytes:
    """The record of how a host was."""
    return encode_record(RecordKind.HEALTH, host, {"health": health.health.value, "at": health.at})


def records_besides_texts(state: LedgerState) -> Iterator[bytes]:
    """What a new file holds beside the texts: rests, waits, and how hosts were.

    Guards against a follower that finds a new file in the place of the one it has not read to its end."""
    yield from (cooldown_record(key, rest) for key, rest in state.cooldowns.items())
    yield from (wait_record(host, until) for host, until in state.host_waits.items())
    yield from (health_record(host, health) for host, health in state.host_health.items())


def compacted_records(entry: Entry) -> bytes:
    """What still matters of a text: as it was taken, its state in one record, the notice it is owed."""
    state = {
        "submits": entry.submit_count,
        "out": entry.in_flight,
        "ran": entry.may_have_run,
        "at": entry.first_run_at,
        "zone": entry.first_run_zone,
    }
    return (
        entry.accepted_record
        + (encode_record(RecordKind.STATE, entry.id, state) if entry.submit_count else b"")
        + (encode_record(RecordKind.OWED, entry.id, {"notice": entry.notice}) if entry.notice else b"")
    )
