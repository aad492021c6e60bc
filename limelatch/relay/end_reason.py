"""Why connections and calls end, and the result that the decision module gets for each reason."""

from __future__ import annotations

from enum import Enum

from limelatch.interface import Result


class EndReason(Enum):
    """Why a connection has ended. The values are written to the log."""

    REFUSED = "refused"  # the connection could not be opened
    CONNECT_TIMEOUT = "unreached"  # the connection was not open in time
    REQUEST_INCOMPLETE = "cut-short"  # lost before the last byte of the request was written
    CONNECTION_LOST = "broken"  # lost after the whole request was written
    ANSWER_TIMEOUT = "silent"  # the relay stopped waiting for an answer
    MALFORMED = "garbled"  # the peer sent data that can't be parsed
    SURPLUS = "surplus"  # the peer sent a response, or part of one, that no request had asked for
    NOT_RESENT = "not-written"  # a surplus response came before the request was sent
    NOT_SENT = "held-back"  # the call was no longer to be sent when the connection opened
    CLOSED_BY_PEER = "closed-by-peer"  # between requests
    IDLE = "idle"  # closed by the relay between requests
    FINISHED = "finished"  # closed by the relay after the response to the connection's only request
    NO_SLOT = "crowded"  # all connection slots are taken
    NO_MEMORY = "memory"  # it held the most of the memory for commands, which was used up
    STOPPING = "stopping"  # the relay stops
    ADDRESS_CHANGED = "moved"  # the catalog or the platform has a new address


# The result of a call that is in flight when its connection ends.
RESULT_BY_END_REASON = {
    EndReason.REFUSED: Result.CONNECT,
    EndReason.CONNECT_TIMEOUT: Result.CONNECT,
    EndReason.REQUEST_INCOMPLETE: Result.CONNECT,
    EndReason.CONNECTION_LOST: Result.RESET,
    EndReason.ANSWER_TIMEOUT: Result.TIMEOUT,
    EndReason.MALFORMED: Result.MALFORMED,
    EndReason.SURPLUS: Result.MALFORMED,
    EndReason.NOT_RESENT: Result.NOT_SENT,
    EndReason.NOT_SENT: Result.NOT_SENT,
    EndReason.CLOSED_BY_PEER: Result.RESET,
    EndReason.IDLE: Result.CONNECT,
    EndReason.FINISHED: Result.CONNECT,
    EndReason.NO_SLOT: Result.CONNECT,
    EndReason.NO_MEMORY: Result.CONNECT,
    EndReason.STOPPING: Result.CANCELLED,
    EndReason.ADDRESS_CHANGED: Result.CANCELLED,
}

# The result of a host's answer, by HTTP status. After any other status the text may have run.
RESULT_BY_STATUS = {
    200: Result.DELIVERED,
    429: Result.FULL,
    500: Result.ERROR,
    503: Result.FULL,
    504: Result.NOT_SENT,
    410: Result.NOT_SENT,
    413: Result.NOT_SENT,
}
# The result of one text of a batch, by the state in the host's answer.
RESULT_BY_STATE = {
    "delivered": Result.DELIVERED,
    "failed": Result.ERROR,
    "refused": Result.FULL,
    "over": Result.NOT_SENT,
    "spent": Result.NOT_SENT,
}
# The answers by which the host has finished with a text.
FINISHED_STATUSES = (200, 410)
FINISHED_STATES = ("delivered", "over")
