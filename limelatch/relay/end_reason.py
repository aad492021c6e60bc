"""Every way in which a connection or a call can end, and what each means to the decision module."""

from __future__ import annotations

from enum import Enum

from limelatch.interface import Result


class EndReason(Enum):
    """Why a connection is over."""

    REFUSED = "refused"  # nobody listens there
    CONNECT_TIMEOUT = "unreached"  # it did not come up in time
    REQUEST_INCOMPLETE = "cut-short"  # it broke before the call's last byte was written
    CONNECTION_LOST = "broken"  # it broke after that
    ANSWER_TIMEOUT = "silent"  # the relay stopped waiting for an answer
    MALFORMED = "garbled"  # the peer sent what can't be read
    NOT_SENT = "held-back"  # the call was not to go any more when the connection came up
    CLOSED_BY_PEER = "closed-by-peer"  # between requests
    IDLE = "idle"  # closed by the relay between requests
    NO_SLOT = "crowded"  # all slots for connections are taken
    STOPPING = "stopping"  # the relay stops
    ADDRESS_CHANGED = "moved"  # the catalog or the platform has a new address


# What becomes of a call that is out when its connection ends.
RESULT_BY_END_REASON = {
    EndReason.REFUSED: Result.CONNECT,
    EndReason.CONNECT_TIMEOUT: Result.CONNECT,
    EndReason.REQUEST_INCOMPLETE: Result.CONNECT,
    EndReason.CONNECTION_LOST: Result.RESET,
    EndReason.ANSWER_TIMEOUT: Result.TIMEOUT,
    EndReason.MALFORMED: Result.MALFORMED,
    EndReason.NOT_SENT: Result.NOT_SENT,
    EndReason.CLOSED_BY_PEER: Result.RESET,
    EndReason.IDLE: Result.CONNECT,
    EndReason.NO_SLOT: Result.CONNECT,
    EndReason.STOPPING: Result.CANCELLED,
    EndReason.ADDRESS_CHANGED: Result.CANCELLED,
}

# What a host's answer says; an answer not named here may have run.
RESULT_BY_STATUS = {
    200: Result.DELIVERED,
    429: Result.FULL,
    500: Result.ERROR,
    503: Result.FULL,
    504: Result.NOT_SENT,
    410: Result.NOT_SENT,
    413: Result.NOT_SENT,
}
RESULT_BY_STATE = {
    "delivered": Result.DELIVERED,
    "failed": Result.ERROR,
    "refused": Result.FULL,
    "over": Result.NOT_SENT,
    "spent": Result.NOT_SENT,
}
FINISHED_STATUSES, FINISHED_STATES = (200, 410), ("delivered", "over")
