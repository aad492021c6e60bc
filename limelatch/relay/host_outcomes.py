"""The outcome of each text of a call, as the host's response tells it."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field

from limelatch.interface import SECOND, Result
from limelatch.relay.end_reason import FINISHED_STATES, FINISHED_STATUSES, RESULT_BY_STATE, RESULT_BY_STATUS
from limelatch.relay.host_calls import Call
from limelatch.relay.http import Response

MAX_REPORT_VALUE = 1e6  # a report with a larger value is ignored
REPORT_PATTERN = re.compile(
    rb"\s*([0-9A-Za-z_]+)\s*=\s*([0-9]{1,9}(?:\.[0-9]{0,18})?(?:[eE]-?[0-9]{1,2})?)\s*\Z"
)
RETRY_AFTER_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?\Z")


@dataclass(slots=True)
class Outcome:
    """The outcome of one text of a call; `retry_after` in tenths of a millisecond, 0 for none.

    `in_doubt`: the response may belong to another request; only its Retry-After holds."""

    result: Result
    finished: bool = False
    retry_after: int = 0
    report: dict[str, float] = field(default_factory=dict)
    unsent: bool = False  # withdrawn before its request was sent
    in_doubt: bool = False


def read_retry_after(headers: dict[bytes, bytes]) -> int:
    """The Retry-After header, in seconds with decimals, as tenths of a millisecond, rounded up; else 0."""
    if (value := headers.get(b"retry-after")) is None or not RETRY_AFTER_PATTERN.match(value):
        return 0
    return -int(-float(value) * SECOND // 1)


def read_report(headers: dict[bytes, bytes]) -> dict[str, float]:
    """The X-Pressure header: names and values; empty if any part is unreadable or over MAX_REPORT_VALUE."""
    pairs = [REPORT_PATTERN.match(pair) for pair in headers.get(b"x-pressure", b"").split(b",")]
    found = {match[1].decode(): float(match[2]) for match in pairs if match}
    return found if all(pairs) and all(value <= MAX_REPORT_VALUE for value in found.values()) else {}


def read_states(body: bytes) -> dict[bytes, str]:
    """The state of each text in a batch's response, by id. Raises ValueError, KeyError, TypeError or
    AttributeError if it can't be read or names a text twice."""
    rows = json.loads(body)
    states = {row["id"].encode(): row["state"] for row in rows}
    if len(states) < len(rows):
        raise ValueError("the response names a text twice")
    return states


def read_outcomes(call: Call, response: Response, body: bytes) -> list[Outcome]:
    """The outcome of each text of a call, by its response. Raises ValueError, KeyError, TypeError or
    AttributeError if a batch's body can't be read."""
    wait, report = read_retry_after(response.headers), read_report(response.headers)
    if call.batched and response.status == 200:
        states = read_states(body)
        outcomes = [
            Outcome(RESULT_BY_STATE[states[each.text]], states[each.text] in FINISHED_STATES, wait, report)
            for each in call.texts
        ]
        if len(states) > len(outcomes):
            raise ValueError("the response names texts that are not in the call")
        return outcomes
    result = RESULT_BY_STATUS.get(response.status, Result.ERROR)
    if call.batched and response.status in (410, 504):  # these statuses describe a single text
        result = Result.ERROR
    if response.status == 503 and response.headers.get(b"x-no-slot") == b"1":
        result = Result.NOT_SENT
    elif response.status == 503 and not (call.idle_time or response.keep_alive or report or wait):
        result = Result.CONNECT  # a new connection, refused and closed: the host's table is full
    if call.batched and response.status == 400:
        result = Result.NOT_SENT  # the host did not read the batch
    finished = response.status in FINISHED_STATUSES and result is not Result.ERROR
    return [Outcome(result, finished, wait, report) for _ in call.texts]


def doubted_outcome(retry_after: int = 0) -> Outcome:
    """The outcome of a text whose response may belong to another request: it may have run."""
    return Outcome(Result.MALFORMED, False, retry_after, in_doubt=True)


def late_outcome(outcome: Outcome) -> Outcome:
    """The outcome of a response that would finish a text but arrives after the deadline: the same as of a
    time-out, whichever of the two the reactor handles first. Its Retry-After still holds.

    Guards against a delivery that only the relay counts, which leaves the text without any final answer:
    whether such a response was sent in time can't be known. A second final answer does no harm."""
    result = Result.TIMEOUT if outcome.result is Result.DELIVERED else outcome.result
    return Outcome(result, False, outcome.retry_after, outcome.report)
