"""Every event that the relay logs: its part, its level, when it is said and what its fields mean.

`docs/operators/logs.md` is made from this list.
"""

from __future__ import annotations

from logging import DEBUG, ERROR, INFO, WARNING, getLevelName
from typing import NamedTuple


class Event(NamedTuple):
    part: str
    level: int
    description: str
    fields: dict[str, str]


HOST, OWED, CALLS = "the host, as the catalog names it", "texts whose end is still owed", "calls that are out"
WHY, PEER, TEXT = "the reason", "the client's address", "its id"
KEY = "of its order, where its product has one"
HELD_DOWN = "so many more were left out in the second before"  # of events that anybody outside can cause
MEMBER = {
    "member": "its address in `membership.peers`",
    "incarnation": "of its process",
    "why": WHY,
    "after_ms": "since the first sign of it",
    "left_out": HELD_DOWN,
}

EVENTS = {
    "started": Event(
        "driver",
        INFO,
        "the folder that lasts has been read",
        {"owed": OWED, "hosts": "hosts on the known list", "ledger_bytes": "size of the ledger"},
    ),
    "waiting": Event(
        "driver",
        INFO,
        "the relay does not serve yet",
        {"on": "what it waits for", "most_ms": "after which it serves without"},
    ),
    "serving": Event(
        "driver",
        INFO,
        "clients are taken from here on",
        {
            "listen": "the address",
            "hosts": "hosts on the list",
            "fresh_list": "whether the catalog has told it since the start",
        },
    ),
    "configured": Event(
        "driver",
        INFO,
        "a new configuration has been taken (SIGHUP)",
        {
            "catalog": "where catalog and platform are now",
            "owed": OWED,
            "products": "in force from now on",
            "submits": "for one text, from now on",
            "restart_for": "changed keys that wait for a restart",
        },
    ),
    "stopping": Event(
        "driver",
        INFO,
        "SIGTERM has come: nothing new is taken",
        {
            "owed": OWED,
            "calls": CALLS,
            "handed_over": "whether a new process serves beside it and takes the clients",
        },
    ),
    "stopped": Event("driver", INFO, "the relay ends", {"owed": OWED, "calls": CALLS}),
    "port-taken": Event(
        "driver",
        WARNING,
        "the clients' port is in use at the start; it is tried for 1 s",
        {"listen": "the address", "why": WHY},
    ),
    "not-serving": Event(
        "driver", ERROR, "clients can't be taken; the relay ends", {"listen": "the address", "why": WHY}
    ),
    "ledger-cut": Event(
        "driver",
        WARNING,
        "the end of an earlier process tore a record, and the tail was cut",
        {"bytes": "that were cut"},
    ),
    "folder-failing": Event(
        "ledger",
        ERROR,
        "the folder takes no more: no text is taken on and no call goes out until it does",
        {"why": "call, errno and path", "bytes": "that wait to be written", "left_out": HELD_DOWN},
    ),
    "folder-mended": Event(
        "ledger",
        WARNING,
        "what waited has been written; texts are taken on and calls go out again",
        {"after_ms": "since the first failure"},
    ),
    "known-list-not-read": Event(
        "driver", WARNING, "the known list of the configuration is passed over", {"why": WHY}
    ),
    "product-unknown": Event(
        "driver",
        WARNING,
        "an owed text's product is not in the configuration any more; it ends undeliverable",
        {"product": "its name"},
    ),
    "text-taken": Event(
        "driver",
        DEBUG,
        "a text was taken on",
        {
            "text": TEXT,
            "key": KEY,
            "destination": "its number",
            "valid_ms": "for how long it may be delivered",
        },
    ),
    "text-refused": Event(
        "driver",
        DEBUG,
        "a text was not taken on",
        {"text": TEXT, "why": WHY, "wait_ms": "after which to come again, where told"},
    ),
    "submit-going": Event(
        "driver",
        DEBUG,
        "a submit is written to a host",
        {"text": TEXT, "key": KEY, "host": HOST, "submit": "its number for the text, the first is 1"},
    ),
    "submit-held": Event(
        "driver",
        DEBUG,
        "the connection for a submit has come up, and its key's turn is another text's",
        {
            "text": TEXT,
            "key": KEY,
            "host": HOST,
            "why": "line, sibling (the other process in an upgrade) or rest",
        },
    ),
    "submit-ended": Event(
        "driver",
        DEBUG,
        "a submit has its outcome",
        {
            "text": TEXT,
            "key": KEY,
            "host": HOST,
            "result": "how it ended",
            "took_ms": "since it was sent",
            "wait_ms": "told by the host",
            "rest_ms": "for which later texts of its key wait, since the call may still run",
        },
    ),
    "text-ended": Event(
        "driver",
        DEBUG,
        "a text that was taken on ends undelivered: its notice is owed",
        {"text": TEXT, "result": "dead or bounced", "left_ms": "of its validity period"},
    ),
    "ended-late": Event(
        "driver",
        WARNING,
        "the platform took a text's notice after the text's validity period",
        {"text": TEXT, "by_ms": "how much later", "left_out": HELD_DOWN},
    ),
    "probe-ended": Event(
        "driver",
        INFO,
        "a probe of a host has its outcome",
        {
            "host": HOST,
            "result": "how it ended",
            "x0": "share of the limit left, where told",
            "x1": "the limit in calls a second, where told",
        },
    ),
    "not-configured": Event(
        "main",
        ERROR,
        "a new configuration was not taken; the one in force stays whole",
        {"why": "every fault, by key"},
    ),
    "descriptors-few": Event(
        "main",
        WARNING,
        "the process may hold fewer descriptors than `limits.sockets`; their shares are of these",
        {"sockets": "as configured", "limit": "of the process"},
    ),
    "not-started": Event("main", ERROR, "the relay can't start; it ends", {"trace": "where"}),
    "mode": Event(
        "policy",
        INFO,
        "the module has changed its mind on a host",
        {"host": HOST, "change": "to what, with the figures that caused it"},
    ),
    "command-bad": Event(
        "clients",
        WARNING,
        "a client's command can't be carried out; it got an error",
        {"why": WHY, "peer": PEER, "left_out": HELD_DOWN},
    ),
    "client-ended": Event(
        "clients",
        WARNING,
        "a client's connection was closed by the relay",
        {"why": "garbled, crowded or silent", "peer": PEER, "left_out": HELD_DOWN},
    ),
    "accept-failed": Event(
        "clients",
        WARNING,
        "new connections can't be accepted; they wait, and it is tried again after 10 ms",
        {"why": WHY, "left_out": HELD_DOWN},
    ),
    "connection-not-served": Event(
        "clients", ERROR, "a new connection was closed by a fault in the program itself", {"trace": "where"}
    ),
    "answer-not-read": Event(
        "hosts",
        WARNING,
        "a host's answer can't be read; its texts may have run",
        {"host": HOST, "why": WHY, "left_out": HELD_DOWN},
    ),
    "host-connection-bad": Event(
        "hosts",
        WARNING,
        "a connection to a host ended badly",
        {
            "host": HOST,
            "why": "garbled: it sent what can't be read; crowded: the table is full",
            "left_out": HELD_DOWN,
        },
    ),
    "host-connection-ended": Event(
        "hosts", DEBUG, "a connection to a host is over", {"host": HOST, "why": "how it ended"}
    ),
    "catalog-lost": Event(
        "catalog",
        WARNING,
        "the watch has ended; the list held stays, and it is opened anew",
        {"why": "how it ended", "index": "of the list held"},
    ),
    "list-not-read": Event("catalog", WARNING, "what the catalog told can't be read", {"why": WHY}),
    "kind-unknown": Event(
        "catalog",
        WARNING,
        "a host was left out: its kind is not in the configuration",
        {"host": HOST, "kind": "its kind", "left_out": HELD_DOWN},
    ),
    "row-not-read": Event(
        "catalog",
        WARNING,
        "a host was left out, or stays as it was: its row is beyond the directory's bounds",
        {"host": HOST, "why": WHY, "left_out": HELD_DOWN},
    ),
    "copy-not-read": Event("catalog", WARNING, "the folder's copy of the list is passed over", {"why": WHY}),
    "copy-not-written": Event(
        "catalog", WARNING, "the folder keeps no new copy of the list; it is tried again", {"why": WHY}
    ),
    "no-list": Event(
        "driver",
        ERROR,
        "a text was turned back: no list of hosts could be read so far",
        {"why": WHY, "left_out": HELD_DOWN},
    ),
    "platform-lost": Event(
        "platform",
        WARNING,
        "the connection for notices has ended; they go again",
        {"why": "how it ended", "owed": "notices not answered"},
    ),
    "notices-not-taken": Event(
        "platform",
        ERROR,
        "the platform answered notices with another status than 204",
        {"status": "the status", "notices": "in that request"},
    ),
    "text-adopted": Event(
        "driver",
        DEBUG,
        "a text that an earlier process took on is this one's now",
        {
            "text": TEXT,
            "key": KEY,
            "submits": "so far",
            "out": "whether the last one had no outcome yet",
            "ran": "whether one may have run",
            "answered": "whether its final answer was given",
        },
    ),
    "taken-over": Event(
        "driver",
        INFO,
        "an upgrade: the process before has ended; its folder and what it owed are this one's",
        {"owed": OWED, "adopted": "texts that the process before still owed"},
    ),
    "call-bad": Event(
        "door",
        WARNING,
        "an operator's call can't be carried out; it got an error",
        {"why": WHY, "peer": "the caller's address", "left_out": HELD_DOWN},
    ),
    "out-not-read": Event(
        "door", WARNING, "the file of the hosts out by hand can't be read; none is out", {"why": WHY}
    ),
    "paused": Event(
        "clients", INFO, "PAUSE: PING says no; connections close between requests", {"owed": OWED}
    ),
    "resumed": Event("clients", INFO, "RESUME: PING says yes again", {"owed": OWED}),
    "membership-joined": Event(
        "membership",
        INFO,
        "this relay takes part among the others",
        {"member": "its own address", "incarnation": "of this process"},
    ),
    "member-alive": Event("membership", INFO, "another relay is there", MEMBER),
    "member-suspect": Event("membership", WARNING, "another relay does not answer", MEMBER),
    "member-dead": Event("membership", WARNING, "another relay is taken for dead", MEMBER),
    "member-left": Event("membership", INFO, "another relay has ended in order", MEMBER),
    "membership-isolated": Event(
        "membership",
        WARNING,
        "no relay answers this one, which judges none while it is so; or it is answered again",
        {
            "why": "deaf: nothing is heard; unanswered: others are heard; answered: it is over",
            "after_ms": "since the last answer",
            "left_out": HELD_DOWN,
        },
    ),
    "membership-not-listening": Event(
        "membership",
        ERROR,
        "the socket for the other relays can't be bound; it is tried again",
        {"listen": "the address", "why": WHY, "left_out": HELD_DOWN},
    ),
    "datagram-dropped": Event(
        "membership",
        WARNING,
        "a datagram was dropped whole",
        {
            "why": "length, version, kind, checksum, sender, value or stale",
            "peer": "whose address it came from",
            "left_out": HELD_DOWN,
        },
    ),
    "datagram-not-read": Event(
        "membership",
        WARNING,
        "a datagram could not be read; it is tried again after 10 ms",
        {"why": WHY, "left_out": HELD_DOWN},
    ),
    "datagram-not-sent": Event(
        "membership",
        WARNING,
        "a datagram could not be sent",
        {"why": WHY, "member": "to whom", "left_out": HELD_DOWN},
    ),
    "incarnation-not-read": Event(
        "membership",
        WARNING,
        "the folder's incarnation is passed over; the other relays are asked",
        {"why": WHY},
    ),
    "incarnation-not-written": Event(
        "membership", WARNING, "the folder does not keep the incarnation", {"why": WHY}
    ),
    "clock-stepped": Event(
        "deadlines",
        WARNING,
        "the machine's wall clock was set; the relay's own spans run on",
        {"by_ms": "forward, or back where negative", "ahead_ms": "of the relay's own clock by now"},
    ),
    "clock-resumed": Event(
        "deadlines",
        INFO,
        "the relay's timeline goes on from the one that the folder's texts are on",
        {
            "by": "first: there was none; same-boot: by the monotonic clock; other-boot: by the wall clock; "
            "unknown: what the folder kept can't be read",
            "ahead_ms": "how far the wall clock is ahead of it",
        },
    ),
    "clock-not-read": Event(
        "deadlines", WARNING, "the folder's file `clock` can't be read: the wall clock is taken", {"why": WHY}
    ),
    "clock-not-written": Event(
        "deadlines", WARNING, "the folder keeps no new file `clock`; it is tried again", {"why": WHY}
    ),
    "timer-late": Event(
        "deadlines",
        WARNING,
        "the relay came to a due time late",
        {"by_ms": "how late, by the monotonic clock", "left_out": HELD_DOWN},
    ),
    "fault": Event("deadlines", ERROR, "a fault in the program itself; please report it", {"trace": "where"}),
    "note": Event("twisted", WARNING, "a line of a library", {"text": "the line"}),
}
PARTS = sorted({event.part for event in EVENTS.values()})

PAGE = """# Log events

<!-- Made by `limelatch relay events --page` from limelatch/events.py; a test fails where it is stale. -->

A relay logs to standard error, a line an event, as key=value pairs (logfmt) or as one JSON object
(`log.form`). Each line has `time` (ISO 8601, UTC), `level`, `part` and `event`, then the event's own fields;
a field without a value is left out. `log.level` sets the least level, `log.parts` another one for a part.
Both are taken on SIGHUP.

Events that anybody outside can cause (marked *) are held down: five a second of each, the next second's
first line says in `left_out` how many more there were.

| event | part | level | said when | fields |
| --- | --- | --- | --- | --- |
"""


def page() -> str:
    """The operators' page of events, in Markdown."""
    rows = []
    for name, event in EVENTS.items():
        fields = "; ".join(
            f"`{field}`: {words}" for field, words in event.fields.items() if field != "left_out"
        )
        mark = " *" if "left_out" in event.fields else ""
        level = getLevelName(event.level).lower()
        rows.append(f"| `{name}`{mark} | {event.part} | {level} | {event.description} | {fields} |\n")
    return PAGE + "".join(rows)
