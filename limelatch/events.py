"""Lists every event that the relay logs: its part, its level, when it is logged, and its fields.

The operators' page `docs/operators/logs.md` is made from this list.
"""

from __future__ import annotations

from logging import DEBUG, ERROR, INFO, WARNING, getLevelName
from typing import NamedTuple


class Event(NamedTuple):
    """A kind of log line; `fields` maps the name of each field to its description."""

    part: str
    level: int
    description: str
    fields: dict[str, str]


HOST = "the host, by its name in the catalog"
OWED = "texts that are accepted and not finished"
CALLS = "calls in flight"
WHY = "the reason"
PEER = "the client's address"
TEXT = "its id"
KEY = "its ordering key, if its product has one"
CONNECTION = "number of the connection to the host, in this process"
USES = "requests sent on it, the last one included"
LEFT_OUT = "how many more such events the second before had"  # in events whose rate is limited
MEMBER = {
    "member": "its address in `membership.peers`",
    "incarnation": "incarnation of its process",
    "why": WHY,
    "after_ms": "time since the first sign of the change",
    "left_out": LEFT_OUT,
}

EVENTS = {
    "started": Event(
        "driver",
        INFO,
        "the state directory has been read",
        {"owed": OWED, "hosts": "hosts on the known list", "ledger_bytes": "size of the ledger"},
    ),
    "waiting": Event(
        "driver",
        INFO,
        "the relay does not accept clients yet",
        {"on": "what it waits for", "most_ms": "longest wait; then it starts without"},
    ),
    "serving": Event(
        "driver",
        INFO,
        "the relay accepts clients from now on",
        {
            "listen": "the address",
            "hosts": "hosts on the list",
            "fresh_list": "whether the list has come from the catalog since the start",
        },
    ),
    "configured": Event(
        "driver",
        INFO,
        "a new configuration has been applied (SIGHUP)",
        {
            "catalog": "address of catalog and platform from now on",
            "owed": OWED,
            "products": "number of products from now on",
            "submits": "submits allowed for one text from now on",
            "restart_for": "changed keys that take effect after a restart",
        },
    ),
    "stopping": Event(
        "driver",
        INFO,
        "SIGTERM was received: no new texts are accepted",
        {
            "owed": OWED,
            "calls": CALLS,
            "handed_over": "whether a new process of this relay takes over the clients",
        },
    ),
    "stopped": Event("driver", INFO, "the relay exits", {"owed": OWED, "calls": CALLS}),
    "resources": Event(
        "driver",
        INFO,
        "what the process holds, every 10 s, and every second while its memory is above 85 % of the limit",
        {
            "memory": "high above 85 % of the limit, else ok",
            "resident_mb": "resident memory, in MB of 10^6 bytes like the other sizes",
            "private_mb": "of it, what does not belong to files",
            "peak_mb": "the most resident memory so far",
            "limit_mb": "`limits.memory`",
            "clients": "connections of clients being served",
            "open": "connections of clients, those that are closing included",
            "client_bytes": "bytes held of commands that are being received or wait",
            "texts": OWED,
            "text_bytes": "bytes of their records",
            "calls": CALLS,
            "late_ms": "how late a timer was at most since the last such line",
        },
    ),
    "port-taken": Event(
        "driver",
        WARNING,
        "the clients' or the operators' port can't be opened at the start: it is retried, for 1 s if it is "
        "in use, for 20 s if the machine lacks descriptors or buffers",
        {"listen": "the address", "why": WHY},
    ),
    "not-serving": Event(
        "driver",
        ERROR,
        "the clients' or the operators' port can't be opened; the relay exits",
        {"listen": "the address", "why": WHY},
    ),
    "ledger-cut": Event(
        "driver",
        WARNING,
        "the ledger ended in an incomplete record of an earlier process, which was removed",
        {"bytes": "bytes removed"},
    ),
    "folder-failing": Event(
        "ledger",
        ERROR,
        "the state directory can't be written: until it can, no text is accepted and no call is sent",
        {
            "why": "system call, errno and path",
            "bytes": "bytes that wait to be written",
            "left_out": LEFT_OUT,
        },
    ),
    "folder-mended": Event(
        "ledger",
        WARNING,
        "the waiting data has been written; texts are accepted and calls are sent again",
        {"after_ms": "time since the first failure"},
    ),
    "known-list-not-read": Event(
        "driver", WARNING, "the known list in the configuration can't be read and is ignored", {"why": WHY}
    ),
    "product-unknown": Event(
        "driver",
        WARNING,
        "neither the record nor the configuration has the product of an accepted text; it is never repeated",
        {"product": "its name"},
    ),
    "text-taken": Event(
        "driver",
        DEBUG,
        "a text was accepted",
        {
            "text": TEXT,
            "key": KEY,
            "destination": "number of its destination",
            "valid_ms": "how long it may still be delivered",
        },
    ),
    "text-refused": Event(
        "driver",
        DEBUG,
        "a text was rejected",
        {"text": TEXT, "why": WHY, "wait_ms": "the retry delay given to the client, if any"},
    ),
    "submit-going": Event(
        "driver",
        DEBUG,
        "a submit is sent to a host",
        {
            "text": TEXT,
            "key": KEY,
            "host": HOST,
            "submit": "the number of the submit, from 1",
            "connection": CONNECTION,
            "uses": "requests sent on it before",
            "idle_ms": "how long it had been idle; 0 for a new one",
        },
    ),
    "submit-held": Event(
        "driver",
        DEBUG,
        "the connection for a submit is ready, but its ordering key does not allow it to be sent yet",
        {
            "text": TEXT,
            "key": KEY,
            "host": HOST,
            "why": "line: an earlier text of the key is first; sibling: so is one of the other process in an "
            "upgrade; rest: the cooldown of the key",
        },
    ),
    "submit-ended": Event(
        "driver",
        DEBUG,
        "a submit has ended",
        {
            "text": TEXT,
            "key": KEY,
            "host": HOST,
            "connection": CONNECTION,
            "uses": USES,
            "status": "HTTP status of the response, if it was read",
            "result": "how it ended",
            "took_ms": "time since it was sent",
            "wait_ms": "the retry delay given by the host",
            "rest_ms": "how long later texts of its key wait, since the call may still be running",
        },
    ),
    "text-ended": Event(
        "driver",
        DEBUG,
        "an accepted text ends undelivered; its notice will be sent",
        {"text": TEXT, "result": "dead or bounced", "left_ms": "time left of its validity period"},
    ),
    "ended-late": Event(
        "driver",
        WARNING,
        "the platform accepted a text's notice after the text's validity period",
        {"text": TEXT, "by_ms": "how much later", "left_out": LEFT_OUT},
    ),
    "probe-ended": Event(
        "driver",
        INFO,
        "a probe of a host has ended",
        {
            "host": HOST,
            "result": "how it ended",
            "x0": "share of the limit that is left, if reported",
            "x1": "the limit in calls per second, if reported",
        },
    ),
    "not-configured": Event(
        "main",
        ERROR,
        "a new configuration was rejected; the whole current one stays in force",
        {"why": "every error, by key"},
    ),
    "memory-short": Event(
        "main",
        WARNING,
        "the memory limit leaves no room beside the pages of the program's files; they are not counted, and "
        "few clients are served",
        {
            "limit_mb": "`limits.memory`, in MB of 10^6 bytes like the other sizes",
            "resident_mb": "resident memory at the start",
            "private_mb": "of it, what does not belong to files",
        },
    ),
    "descriptors-few": Event(
        "main",
        WARNING,
        "the process may open fewer descriptors than `limits.sockets`; the relay divides this lower number",
        {"sockets": "the configured number", "limit": "the limit of the process"},
    ),
    "not-started": Event("main", ERROR, "the relay can't start and exits", {"trace": "the traceback"}),
    "mode": Event(
        "policy",
        INFO,
        "the policy has changed its assessment of a host",
        {"host": HOST, "change": "the new state, with the figures that caused it"},
    ),
    "command-bad": Event(
        "clients",
        WARNING,
        "a client's command is invalid; it got an error",
        {"why": WHY, "peer": PEER, "left_out": LEFT_OUT},
    ),
    "client-ended": Event(
        "clients",
        WARNING,
        "a client's connection was closed by the relay",
        {
            "why": "garbled: it can't be parsed; silent: no command in time; crowded: too many connections; "
            "memory: it held the most of the memory for commands",
            "peer": PEER,
            "state": "what it was doing: new (no command yet), idle, command (one received in part), answer "
            "(one awaited), unserved (no room for it)",
            "held_bytes": "what it held of commands",
            "age_ms": "time since its last command, or since it was opened",
            "left_out": LEFT_OUT + ", for the same reason",
        },
    ),
    "submits-dropped": Event(
        "clients",
        INFO,
        "texts that a client had sent were not accepted, because it closed the connection before their turn",
        {"peer": PEER, "left_out": LEFT_OUT},
    ),
    "accept-failed": Event(
        "clients",
        WARNING,
        "new connections can't be accepted; they wait until the next attempt after 10 ms",
        {"why": WHY, "left_out": LEFT_OUT},
    ),
    "connection-not-served": Event(
        "clients",
        ERROR,
        "a new connection was closed because of a bug in the relay",
        {"trace": "the traceback"},
    ),
    "answer-not-read": Event(
        "hosts",
        WARNING,
        "a host's response can't be read; its texts may have been processed",
        {"host": HOST, "why": WHY, "left_out": LEFT_OUT},
    ),
    "host-connection-bad": Event(
        "hosts",
        WARNING,
        "a connection to a host ended with an error",
        {
            "host": HOST,
            "why": "garbled: invalid data; surplus: a response too many; crowded: too many connections",
            "left_out": LEFT_OUT,
        },
    ),
    "surplus-response": Event(
        "hosts",
        WARNING,
        "a host has sent bytes that no request asked for; on a connection that has been used before, the "
        "outcome of its last call is in doubt",
        {
            "host": HOST,
            "connection": CONNECTION,
            "uses": USES,
            "text": "ids of the texts of its last call",
            "idle_ms": "time since that call's response; absent if they came with the response",
            "starts": "the first line of what has come, up to 64 bytes",
            "left_out": LEFT_OUT,
        },
    ),
    "host-not-trusted": Event(
        "hosts",
        WARNING,
        "calls to the host have connections of their own, until 10 minutes after its last surplus response",
        {"host": HOST, "why": WHY, "left_out": LEFT_OUT},
    ),
    "submit-doubted": Event(
        "driver",
        DEBUG,
        "the response that ended a submit may have belonged to another one; the text may have run",
        {"text": TEXT, "key": KEY, "host": HOST, "connection": CONNECTION},
    ),
    "host-connections": Event(
        "hosts",
        INFO,
        "counts of this process, every 60 s and at its end",
        {
            "calls": "calls sent",
            "reused": "those on a connection that had carried one before",
            "opened": "connections opened or tried",
            "surplus": "surplus responses",
            "open": "connections in the table now",
        },
    ),
    "host-connection-ended": Event(
        "hosts", DEBUG, "a connection to a host has ended", {"host": HOST, "why": "how it ended"}
    ),
    "catalog-lost": Event(
        "catalog",
        WARNING,
        "the watch has ended; the relay keeps its list and reopens the watch",
        {"why": "how it ended", "index": "index of that list"},
    ),
    "list-not-read": Event("catalog", WARNING, "a message of the catalog can't be read", {"why": WHY}),
    "kind-unknown": Event(
        "catalog",
        WARNING,
        "a host is ignored: its kind is not in the configuration",
        {"host": HOST, "kind": "its kind", "left_out": LEFT_OUT},
    ),
    "row-not-read": Event(
        "catalog",
        WARNING,
        "a host's row is out of bounds: the host is ignored, or stays as it was",
        {"host": HOST, "why": WHY, "left_out": LEFT_OUT},
    ),
    "copy-not-read": Event(
        "catalog",
        WARNING,
        "the state directory's copy of the list can't be read and is ignored",
        {"why": WHY},
    ),
    "copy-not-written": Event(
        "catalog",
        WARNING,
        "the copy of the list can't be written to the state directory; it is retried",
        {"why": WHY},
    ),
    "no-list": Event(
        "driver",
        ERROR,
        "a text was rejected: no list of hosts has been read so far",
        {"why": WHY, "left_out": LEFT_OUT},
    ),
    "platform-lost": Event(
        "platform",
        WARNING,
        "the connection for notices has ended; notices without an answer are sent again",
        {"why": "how it ended", "owed": "notices without an answer"},
    ),
    "notices-not-taken": Event(
        "platform",
        ERROR,
        "the platform answered notices with a status other than 204",
        {"status": "the HTTP status", "notices": "notices in that request"},
    ),
    "text-adopted": Event(
        "driver",
        DEBUG,
        "this process has taken over a text that an earlier one accepted",
        {
            "text": TEXT,
            "key": KEY,
            "submits": "submits so far",
            "out": "whether the last one was still in flight",
            "ran": "whether one may have been processed",
            "answered": "whether its final result is known",
        },
    ),
    "taken-over": Event(
        "driver",
        INFO,
        "upgrade: the previous process has ended; this one has taken over the state directory and its texts",
        {"owed": OWED, "adopted": "texts that the previous process had not finished"},
    ),
    "call-bad": Event(
        "door",
        WARNING,
        "an operator's command is invalid; it got an error",
        {"why": WHY, "peer": "the caller's address", "left_out": LEFT_OUT},
    ),
    "out-not-read": Event(
        "door", WARNING, "the file of suspended hosts can't be read; no host is suspended", {"why": WHY}
    ),
    "paused": Event(
        "clients",
        INFO,
        "PAUSE, at this process or another one of the relay: PING is answered with an error; connections are "
        "closed between requests",
        {"owed": OWED},
    ),
    "resumed": Event("clients", INFO, "RESUME: PING is answered normally again", {"owed": OWED}),
    "membership-joined": Event(
        "membership",
        INFO,
        "this relay has joined the other relays",
        {"member": "its own address", "incarnation": "incarnation of this process"},
    ),
    "member-alive": Event("membership", INFO, "another relay is alive", MEMBER),
    "member-suspect": Event("membership", WARNING, "another relay does not answer", MEMBER),
    "member-dead": Event("membership", WARNING, "another relay counts as dead", MEMBER),
    "member-left": Event("membership", INFO, "another relay has left on a planned stop", MEMBER),
    "membership-isolated": Event(
        "membership",
        WARNING,
        "no relay answers this one, which suspects none meanwhile; or one answers again",
        {
            "why": "deaf: nothing is received; unanswered: messages are received, but no answers; answered: "
            "it is over",
            "after_ms": "time since the last answer",
            "left_out": LEFT_OUT,
        },
    ),
    "membership-not-listening": Event(
        "membership",
        ERROR,
        "the UDP socket for membership can't be bound; it is retried",
        {"listen": "the address", "why": WHY, "left_out": LEFT_OUT},
    ),
    "datagram-dropped": Event(
        "membership",
        WARNING,
        "a datagram was dropped",
        {
            "why": "length, version, kind, checksum, sender, value or stale",
            "peer": "the address that it came from",
            "left_out": LEFT_OUT,
        },
    ),
    "datagram-not-read": Event(
        "membership",
        WARNING,
        "a datagram could not be read; it is retried after 10 ms",
        {"why": WHY, "left_out": LEFT_OUT},
    ),
    "datagram-not-sent": Event(
        "membership",
        WARNING,
        "a datagram could not be sent",
        {"why": WHY, "member": "the receiver", "left_out": LEFT_OUT},
    ),
    "incarnation-not-read": Event(
        "membership",
        WARNING,
        "the incarnation in the state directory can't be read; the other relays are asked",
        {"why": WHY},
    ),
    "incarnation-not-written": Event(
        "membership", WARNING, "the incarnation can't be written to the state directory", {"why": WHY}
    ),
    "clock-stepped": Event(
        "deadlines",
        WARNING,
        "the machine's wall clock was set; the relay's timers are not affected",
        {"by_ms": "how far, negative if back", "ahead_ms": "how far it is ahead of the relay's clock now"},
    ),
    "clock-resumed": Event(
        "deadlines",
        INFO,
        "the relay's clock continues the timeline of the texts in the state directory",
        {
            "by": "first: there was none; same-boot: by the monotonic clock; other-boot: by the wall clock; "
            "unknown: the stored state can't be read",
            "ahead_ms": "how far the wall clock is ahead of it",
        },
    ),
    "clock-not-read": Event(
        "deadlines",
        WARNING,
        "the file `clock` in the state directory can't be read; the wall clock is used",
        {"why": WHY},
    ),
    "clock-not-written": Event(
        "deadlines",
        WARNING,
        "the file `clock` can't be written to the state directory; it is retried",
        {"why": WHY},
    ),
    "timer-late": Event(
        "deadlines",
        WARNING,
        "the relay handled a timer late",
        {"by_ms": "how late, by the monotonic clock", "left_out": LEFT_OUT},
    ),
    "fault": Event("deadlines", ERROR, "a bug in the relay; please report it", {"trace": "the traceback"}),
    "note": Event("twisted", WARNING, "a log line of a library", {"text": "the line"}),
}
PARTS = sorted({event.part for event in EVENTS.values()})

PAGE = """# Log events

<!-- Made by `limelatch relay events --page` from limelatch/events.py; a test fails where it is stale. -->

A relay logs to standard error, one line for each event, as key=value pairs (logfmt) or as one JSON object
(`log.form`). Each line has `time` (ISO 8601, UTC), `level`, `part` and `event`, then the event's own fields;
a field without a value is left out. `log.level` sets the least severe level that is logged, `log.parts` a
different one for single parts. Changes of both are applied on SIGHUP.

The rate of events that outsiders can cause (marked *) is limited to five lines a second for each event. The
first line of the next second says in `left_out` how many more there were.

| event | part | level | logged when | fields |
| --- | --- | --- | --- | --- |
"""


def page() -> str:
    """Return the operators' page of events in Markdown."""
    rows = []
    for name, event in EVENTS.items():
        fields = "; ".join(
            f"`{field}`: {description}" for field, description in event.fields.items() if field != "left_out"
        )
        mark = " *" if "left_out" in event.fields else ""
        level = getLevelName(event.level).lower()
        rows.append(f"| `{name}`{mark} | {event.part} | {level} | {event.description} | {fields} |\n")
    return PAGE + "".join(rows)
