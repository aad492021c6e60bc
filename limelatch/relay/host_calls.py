"""Calls to hosts and probes, and the requests that carry them (HTTP/1.1)."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from limelatch.interface import MS, HostId
from limelatch.relay.deadlines import Deadline
from limelatch.relay.http import request_head

if TYPE_CHECKING:
    from limelatch.relay.host_connection import Connection


@dataclass(slots=True)
class OutgoingText:
    """One text in a call; `text` is its id. Times in tenths of a millisecond.

    `once_only`: it must not be repeated; `ordered`: it waits for its turn in the order of its key."""

    text: bytes
    idempotency_key: bytes
    body: bytes
    due_at: int  # when the relay stops waiting for the response
    idle_limit: int  # how long the connection may stay idle after the call
    once_only: bool = False
    ordered: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """One call, or a probe if it has no texts. Times in tenths of a millisecond."""

    host: HostId
    texts: list[OutgoingText]
    sent_at: int
    batched: bool = False  # written as a batch, so the response is that of a batch
    idle_time: int = 0  # how long its connection had been idle; 0 for a new one
    deadline: Deadline | None = None
    connection: Connection | None = None
    response_started_at: int = 0  # when the status line of its response was read
    needs_own_connection: bool = False
    status: int | None = None  # of its response, once that is complete

    def is_late(self, now: int) -> bool:
        """Whether the proof of a delivery was read only after the deadline: the status line, or in a batch
        the whole response."""
        return (now if self.batched else self.response_started_at) >= self.deadline.when


def write_call(call: Call, host: str, now: int) -> list[bytes]:
    """The request of a call, a batch or a probe, as pieces to be written in order."""
    if not call.texts:
        return [request_head("GET", "/ping", host, None, [])]
    wait = max(1, (min(each.due_at for each in call.texts) - now) // MS)
    headers = [("X-Remaining", f"{wait}m")]
    if len(call.texts) == 1:
        only_text = call.texts[0]
        headers.append(("X-Txn", only_text.text.decode()))
        if only_text.idempotency_key:
            headers.append(("Idempotency-Key", only_text.idempotency_key.decode()))
        return [request_head("POST", "/v1/messages", host, len(only_text.body), headers), only_text.body]
    rows = []
    for each in call.texts:
        row = {"id": each.text.decode(), "body": base64.b64encode(each.body).decode()}
        rows.append(row | ({"key": each.idempotency_key.decode()} if each.idempotency_key else {}))
    body = json.dumps(rows, separators=(",", ":")).encode()
    headers.append(("Content-Type", "application/json"))
    return [request_head("POST", "/v1/messages:batch", host, len(body), headers), body]
