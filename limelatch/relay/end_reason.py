"""Every way in which a connection or a call can end, and what each means to the decision module."""

from __future__ import annotations

from enum import Enum

from limelatch.interface import Result


class Ending(Enum):
    """Why a connection is over."""

    REFUSED = "refused"  # nobody listens there
    UNREACHED = "unreached"  # it did not come up in time
    CUT_SHORT = "cut-short"  # it broke before the call's last byte was written
    BROKEN = "broken"  # it broke after that
    SILENT = "silent"  # the relay stopped waiting for an answer
    GARBLED = "garbled"  # the peer sent what can't be read
    HELD_BACK = "held-back"  # the call was not to go any more when the connection came up
    CLOSED_BY_PEER = "closed-by-peer"  # between requests
    IDLE = "idle"  # closed by the relay between requests
    CROWDED = "crowded"  # all slots for connections are taken
    STOPPING = "stopping"  # the relay stops
    MOVED = "moved"  # the catalog or the platform has a new address


# What becomes of a call that is out when its connection ends.
RESULT_OF_ENDING = {
    Ending.REFUSED: Result.CONNECT,
    Ending.UNREACHED: Result.CONNECT,
    Ending.CUT_SHORT: Result.CONNECT,
    Ending.BROKEN: Result.RESET,
    Ending.SILENT: Result.TIMEOUT,
    Ending.GARBLED: Result.SPOILT,
    Ending.HELD_BACK: Result.MOOT,
    Ending.CLOSED_BY_PEER: Result.RESET,
    Ending.IDLE: Result.CONNECT,
    Ending.CROWDED: Result.CONNECT,
    Ending.STOPPING: Result.CANCELLED,
    Ending.MOVED: Result.CANCELLED,
}

# What a host's answer says; an answer not named here may have run.
RESULT_OF_STATUS = {
    200: Result.DELIVERED,
    429: Result.FULL,
    500: Result.ERROR,
    503: Result.FULL,
    504: Result.MOOT,
    410: Result.MOOT,
    413: Result.MOOT,
}
RESULT_OF_STATE = {
    "delivered": Result.DELIVERED,
    "failed": Result.ERROR,
    "refused": Result.FULL,
    "over": Result.MOOT,
    "spent": Result.MOOT,
}
OVER_STATUS, OVER_STATE = (200, 410), ("delivered", "over")
