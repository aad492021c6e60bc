"""The ledger's records: their encoding on disk, and the state that a sequence of them adds up to.

A record consists of its length, its CRC-32, its kind, its fields as JSON, and the body if it accepts a text.
The records of one text are in the order of the events that they describe.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec

from limelatch.interface import Health
from limelatch.key_order import KeyCooldown
from limelatch.relay.text_terms import TextTerms, decode_terms

RECORD_HEADER = struct.Struct(">II")  # length and checksum of the payload that follows
FINISHED_ITEM = struct.Struct(">BQ")  # of a DONE record: length of an id, end of its validity; the id follows
PAYLOAD_HEADER = struct.Struct(">BH")  # kind of record, length of the JSON fields; fields and body follow
MAX_HOST_HEALTH = 256  # hosts whose health a ledger's reader keeps; bounds the compacted file
MAX_FINISHED = 4096  # ids of finished texts that are remembered
FINISHED_PRUNE_INTERVAL = 64  # expired ones are looked for each time their number is a multiple of this
STATE_RESERVE = 384  # bytes reserved a text for its STATE and OWED records in a compacted file


class RecordKind(IntEnum):
    """The event that a record describes. The values are on disk; `ledger verify` shows the names."""

    TAKEN = 1  # a text was accepted
    GOING = 2  # a submit is about to be sent
    ENDED = 3  # the submit ended with an outcome
    OWED = 4  # the text has its final answer; the notice is still to be delivered
    OVER = 5  # the text is finished
    STATE = 6  # summary of the text's records so far: in a compacted file, and after a doubt about an outcome
    BLANK = 7  # no content: written to test whether the state directory accepts writes again
    REST = 8  # an ordering key's cooldown, as STATE; `id` is the text whose call may still run
    WAIT = 9  # a host asked clients to wait (Retry-After); `id` is the host
    HEALTH = 10  # a host is in an outage or warming up, by the policy; `id` is the host
    DONE = 11  # ids of finished texts whose validity is not over yet, in the body: in a compacted file


class BadRecord(Exception):
    """A record that is complete but not valid in this version of the ledger."""


@dataclass
class Entry:
    """One unfinished text, as its records describe it. Times are in units of the relay's clock."""

    id: bytes
    fields: dict
    submit_count: int = 0
    in_flight: bool = False  # a submit was sent and has not ended
    may_have_run: bool = False  # a submit that has ended may have run
    first_run_at: int | None = None  # when, and in which zone, the first submit that may have run was sent
    first_run_zone: int | None = None
    notice: dict | None = None
    accepted_record: bytes = b""  # the record that accepted the text, as written
    terms: TextTerms | None = None  # None in a record of an earlier version

    @property
    def body(self) -> bytes:
        """The text's body, out of its first record."""
        return body_of_record(self.accepted_record)

    @property
    def key(self) -> bytes:
        """The ordering key; empty where the text has none."""
        return self.fields["key"].encode()

    @property
    def received_at(self) -> int:
        """When a client handed the text in, on the relay's timeline; 0 in a record of an earlier version."""
        return self.fields.get("at", 0)

    @property
    def in_order(self) -> bool | None:
        """Whether its product was delivered in order; None in a record of an earlier version."""
        return self.fields.get("ordered")

    def with_possible_run(self, at: int, zone: int) -> Entry:
        """This text after a submit, sent then to that zone, has turned out to be one that may have run."""
        if self.first_run_at is not None and self.first_run_at <= at:
            at, zone = self.first_run_at, self.first_run_zone
        return replace(self, may_have_run=True, first_run_at=at, first_run_zone=zone)

    def state_fields(self) -> dict:
        """The fields of its STATE record."""
        return {
            "submits": self.submit_count,
            "out": self.in_flight,
            "ran": self.may_have_run,
            "at": self.first_run_at,
            "zone": self.first_run_zone,
        }


def encode_record(kind: RecordKind, text: bytes, fields: dict, body: bytes = b"") -> bytes:
    """One record as bytes; `text` is the id that it is about."""
    encoded_fields = msgspec.json.encode({"id": text.decode()} | fields)
    payload = PAYLOAD_HEADER.pack(kind, len(encoded_fields)) + encoded_fields + body
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def body_of_record(raw: bytes) -> bytes:
    """The body of one encoded record; empty where it has none."""
    return raw[
        RECORD_HEADER.size + PAYLOAD_HEADER.size + PAYLOAD_HEADER.unpack_from(raw, RECORD_HEADER.size)[1] :
    ]


def split_records(raw: bytes) -> Iterator[bytes]:
    """Yields the encoded records at the start of `raw`, to the first incomplete or corrupt one."""
    offset = 0
    while offset + RECORD_HEADER.size <= len(raw):
        length, checksum = RECORD_HEADER.unpack_from(raw, offset)
        payload = raw[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
        if len(payload) < max(length, PAYLOAD_HEADER.size) or zlib.crc32(payload) != checksum:
            return
        yield raw[offset : offset + RECORD_HEADER.size + length]
        offset += RECORD_HEADER.size + length


def decode_record(raw: bytes) -> tuple[int, bytes, dict]:
    """Kind, id and fields of one encoded record. Raises BadRecord where its JSON can't be read."""
    kind, length = PAYLOAD_HEADER.unpack_from(raw, RECORD_HEADER.size)
    offset = RECORD_HEADER.size + PAYLOAD_HEADER.size
    try:
        fields = msgspec.json.decode(raw[offset : offset + length])
        return kind, fields["id"].encode(), fields
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError, UnicodeEncodeError) as error:
        raise BadRecord(f"{type(error).__name__}: {error}") from None


@dataclass(frozen=True, slots=True)
class HostHealth:
    """A host's health as a process found it, and when (units of the clock)."""

    health: Health
    at: int


class LedgerState:
    """The sum of a ledger's records: the unfinished texts, in the order of their acceptance.

    `live_bytes` is the size of a compacted file with all of it. `cooldowns` of ordering keys, `host_waits`
    (until when a host asked clients to wait), `host_health` and the ids of `finished` texts (with the end of
    their validity) outlast their texts; what has expired is dropped when a later one is added."""

    def __init__(self) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.cooldowns: dict[bytes, KeyCooldown] = {}
        self.host_waits: dict[bytes, int] = {}
        self.host_health: dict[bytes, HostHealth] = {}
        self.finished: dict[bytes, int] = {}
        self.live_bytes = 0

    def add_cooldown(self, key: bytes, cooldown: KeyCooldown, now: int) -> None:
        """Keep the cooldown of the key that ends last; drop those that have expired at `now`."""
        for each in [known for known, old in self.cooldowns.items() if old.until <= now]:
            self._drop_cooldown(each)
        if key in self.cooldowns and self.cooldowns[key].until >= cooldown.until:
            return
        self._drop_cooldown(key)
        self.cooldowns[key] = cooldown
        self.live_bytes += len(cooldown_record(key, cooldown))

    def _drop_cooldown(self, key: bytes) -> None:
        if (cooldown := self.cooldowns.pop(key, None)) is not None:
            self.live_bytes -= len(cooldown_record(key, cooldown))

    def add_health(self, host: bytes, health: HostHealth) -> None:
        """Keep a host's latest health; above MAX_HOST_HEALTH hosts the one updated longest ago is dropped."""
        self._drop_health(host)
        self.host_health[host] = health
        self.live_bytes += len(health_record(host, health))
        if len(self.host_health) > MAX_HOST_HEALTH:
            self._drop_health(next(iter(self.host_health)))

    def _drop_health(self, host: bytes) -> None:
        if (health := self.host_health.pop(host, None)) is not None:
            self.live_bytes -= len(health_record(host, health))

    def add_finished(self, text: bytes, until: int, now: int) -> None:
        """Remember the id of a finished text until the end of its validity; those that finished first are
        dropped once they have expired at `now`, or if there are more than MAX_FINISHED."""
        if until <= now:
            return
        if text in self.finished:
            self._drop_finished(text)
        self.finished[text] = until
        self.live_bytes += FINISHED_ITEM.size + len(text)
        if len(self.finished) > MAX_FINISHED or not len(self.finished) % FINISHED_PRUNE_INTERVAL:
            self._prune_finished(now)

    def _prune_finished(self, now: int) -> None:
        while self.finished:
            first = next(iter(self.finished))
            if self.finished[first] > now and len(self.finished) <= MAX_FINISHED:
                break
            self._drop_finished(first)

    def _drop_finished(self, text: bytes) -> None:
        if self.finished.pop(text, None) is not None:
            self.live_bytes -= FINISHED_ITEM.size + len(text)

    def is_known(self, text: bytes, now: int) -> bool:
        """Whether the text is not finished, or is and its validity is not over."""
        return text in self.entries or self.finished.get(text, 0) > now

    def add_wait(self, host: bytes, until: int, now: int) -> None:
        """Keep the wait of the host that ends last; drop those that have expired at `now`."""
        longest = max(until, self.host_waits.get(host, 0))
        for each in [known for known, end in self.host_waits.items() if end <= now or known == host]:
            self.live_bytes -= len(wait_record(each, self.host_waits.pop(each)))
        self.host_waits[host] = longest
        self.live_bytes += len(wait_record(host, longest))

    def apply(self, raw: bytes) -> str | None:
        """Apply the next record. Returns what is wrong with it in this place, as a message, else None.

        Raises BadRecord where it lacks a field of its kind or has a wrong value."""
        kind, text, fields = decode_record(raw)
        try:
            return self._apply(kind, text, fields, raw)
        except KeyError as error:
            raise BadRecord(f"a record of kind {kind} without {error}") from None
        except ValueError as error:
            raise BadRecord(f"a record of kind {kind}: {error}") from None

    def _apply(self, kind: int, text: bytes, fields: dict, raw: bytes) -> str | None:
        entry = self.entries.get(text)
        if kind == RecordKind.BLANK:
            return None
        if kind == RecordKind.REST:
            self.add_cooldown(fields["key"].encode(), KeyCooldown(fields["until"], text), fields.get("at", 0))
            return None
        if kind == RecordKind.HEALTH:
            self.add_health(text, HostHealth(Health(fields["health"]), fields["at"]))
            return None
        if kind == RecordKind.WAIT:
            self.add_wait(text, fields["until"], fields["at"])
            return None
        if kind == RecordKind.DONE:
            for finished, until in finished_in(body_of_record(raw)):
                self.add_finished(finished, until, 0)
            return None
        if kind == RecordKind.TAKEN:
            terms = decode_terms(fields.pop("terms")) if "terms" in fields else None
            self.entries[text] = Entry(text, fields, accepted_record=raw, terms=terms)
            self.live_bytes += len(raw) + STATE_RESERVE
            return None if entry is None else "accepted a second time"
        if entry is None:
            return "no text was accepted under this id"
        match kind:
            case RecordKind.GOING:
                # A submit still in flight here was so when its process was killed, so it may have run, and
                # that stays. Guards against a refusal of a later submit that counts, after a second kill, as
                # proof that neither ran.
                entry.may_have_run = entry.may_have_run or entry.in_flight
                entry.submit_count, entry.in_flight = entry.submit_count + 1, True
                if entry.first_run_at is None:
                    entry.first_run_at, entry.first_run_zone = fields["at"], fields["zone"]
            case RecordKind.ENDED:
                wrong = None if entry.in_flight else "an outcome without a submit"
                entry.in_flight, entry.may_have_run = False, entry.may_have_run or fields["ran"]
                if not entry.may_have_run:
                    entry.first_run_at = entry.first_run_zone = None
                if "rest" in fields:
                    self.add_cooldown(entry.key, KeyCooldown(fields["rest"], text), fields["at"])
                return wrong
            case RecordKind.STATE:
                entry.submit_count, entry.in_flight, entry.may_have_run = (
                    fields["submits"],
                    fields["out"],
                    fields["ran"],
                )
                entry.first_run_at, entry.first_run_zone = fields["at"], fields["zone"]
            case RecordKind.OWED:
                entry.in_flight, entry.notice = False, fields["notice"]
            case RecordKind.OVER:
                self.live_bytes -= len(entry.accepted_record) + STATE_RESERVE
                del self.entries[text]
                if "at" in fields:
                    self.add_finished(text, entry.fields["until"], fields["at"])
            case _:
                return f"a record of kind {kind}, which this version does not know"
        return None


def finished_record(finished: dict[bytes, int]) -> bytes:
    """The record of the ids of finished texts in a compacted file."""
    items = [FINISHED_ITEM.pack(len(text), until) + text for text, until in finished.items()]
    return encode_record(RecordKind.DONE, b"", {}, b"".join(items))


def finished_in(body: bytes) -> Iterator[tuple[bytes, int]]:
    """Yields the ids in a DONE record's body, each with the end of its validity. Raises BadRecord."""
    offset = 0
    while offset < len(body):
        if len(body) - offset < FINISHED_ITEM.size:
            raise BadRecord("a record of finished texts ends in an item")
        length, until = FINISHED_ITEM.unpack_from(body, offset)
        offset += FINISHED_ITEM.size + length
        if offset > len(body):
            raise BadRecord("a record of finished texts ends in an id")
        yield body[offset - length : offset], until


def cooldown_record(key: bytes, cooldown: KeyCooldown) -> bytes:
    """The record of a key's cooldown in a compacted file."""
    return encode_record(RecordKind.REST, cooldown.text, {"key": key.decode(), "until": cooldown.until})


def wait_record(host: bytes, until: int) -> bytes:
    """The record of a host's wait in a compacted file; its `at` is 0, so that it drops no other wait."""
    return encode_record(RecordKind.WAIT, host, {"at": 0, "until": until})


def health_record(host: bytes, health: HostHealth) -> bytes:
    """The record of a host's health."""
    return encode_record(RecordKind.HEALTH, host, {"health": health.health.value, "at": health.at})


def records_besides_texts(state: LedgerState) -> Iterator[bytes]:
    """Yields a compacted file's records that belong to no unfinished text: cooldowns, waits, host health,
    ids of finished texts.

    Guards against losing them where the other process finds a compacted file in place of the one that it has
    not yet read to its end."""
    yield from (cooldown_record(key, cooldown) for key, cooldown in state.cooldowns.items())
    yield from (wait_record(host, until) for host, until in state.host_waits.items())
    yield from (health_record(host, health) for host, health in state.host_health.items())
    if state.finished:
        yield finished_record(state.finished)


def compacted_records(entry: Entry) -> bytes:
    """A text's records in a compacted file: its acceptance, its state, its notice if it has one."""
    return (
        entry.accepted_record
        + (encode_record(RecordKind.STATE, entry.id, entry.state_fields()) if entry.submit_count else b"")
        + (encode_record(RecordKind.OWED, entry.id, {"notice": entry.notice}) if entry.notice else b"")
    )
