"""Surplus responses of hosts, platform and catalog in a soak, drawn from the seed.

They are copies, parts of copies and noise that no request asked for; some notices are read and not kept."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from limelatch.standin.agent import REPORTS_PATH
from limelatch.standin.http import Connection, Request, Server, answer_bytes

MAX_LAG = 0.05  # seconds from a response to a surplus one: what the relay's silence before reuse bears
SURPLUS_RATIO = 0.6  # of the plans: with surplus responses
ALONE_RATIO = 0.25  # of these: without other faults of partners and machines
RETRY_AFTER = "0.300"  # seconds, in a copy with the status 429
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
NOISE = b"\x00\xff HTTP/1.1 200"


class SurplusForm(Enum):
    """What is written behind a response."""

    COPY = "copy"
    WITH_RESPONSE = "with-response"  # a copy, right behind the response
    AT_NEXT_REQUEST = "at-next-request"  # a copy, as the next request's first bytes have come
    CUT = "cut"  # the first half of a copy
    OTHER_STATUS = "other-status"  # a response with another status
    INTERIM = "interim"  # an interim response
    NOISE = "noise"
    THEN_CLOSE = "then-close"  # a copy, then the end of the connection


@dataclass(frozen=True)
class SurplusPlan:
    """`share` of the responses are followed by surplus ones, up to `spread` seconds later, of these `forms`.

    Of the requests with notices the share `unkept` is read, not kept and reset."""

    share: float
    spread: float
    forms: tuple[SurplusForm, ...]
    unkept: float
    is_alone: bool  # no other faults of partners and machines


def draw_surplus(seed: int) -> SurplusPlan | None:
    """The surplus responses of a seed, or None; the same seed draws the same ones."""
    draw = random.Random(seed * 2003 + 1)
    if draw.random() >= SURPLUS_RATIO:
        return None
    forms = list(SurplusForm)
    return SurplusPlan(
        share=draw.choice((0.02, 0.1, 0.3)),
        spread=draw.choice((0.01, MAX_LAG)),
        forms=tuple(draw.sample(forms, draw.randint(1, len(forms)))),
        unkept=draw.choice((0.0, 0.15)),
        is_alone=draw.random() < ALONE_RATIO,
    )


def other_response(status: int, draw: random.Random) -> bytes:
    """A response with another status than the true one."""
    choice = draw.choice([each for each in (200, 204, 429, 500, 503) if each != status])
    return answer_bytes(choice, headers={"Retry-After": RETRY_AFTER} if choice == 429 else None)


class SurplusConnection(Connection):
    """A connection whose responses may be followed by surplus ones."""

    def __init__(self, server: SurplusServer) -> None:
        super().__init__(server)
        self._server, self._at_next_request = server, b""
        self._answered_at = 0.0

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a complete response, and plan a surplus one if it is its turn."""
        super().answer(status, body, **headers)
        draw, plan = self._server.random, self._server.plan
        if draw.random() >= plan.share:
            return
        form, self._answered_at = draw.choice(plan.forms), self.loop.time()
        raw = answer_bytes(status, body, {name.replace("_", "-"): value for name, value in headers.items()})
        match form:
            case SurplusForm.WITH_RESPONSE:
                self.write(raw)
                return
            case SurplusForm.AT_NEXT_REQUEST:
                self._at_next_request = raw
                return
            case SurplusForm.CUT:
                raw = raw[: len(raw) // 2]
            case SurplusForm.OTHER_STATUS:
                raw = other_response(status, draw)
            case SurplusForm.INTERIM:
                raw = INTERIM_RESPONSE
            case SurplusForm.NOISE:
                raw = NOISE
        self.loop.call_later(draw.uniform(0.0, plan.spread), self._write_surplus, raw, form)

    def _write_surplus(self, raw: bytes, form: SurplusForm | None = None) -> None:
        """Write surplus bytes, unless the stage is so late that they would come after MAX_LAG."""
        if self.loop.time() - self._answered_at < MAX_LAG:
            self.write(raw)
            if form is SurplusForm.THEN_CLOSE:
                self.close()

    def data_received(self, data: bytes) -> None:
        """Read a request; a copy that waits for it is written first."""
        if self._at_next_request:
            raw, self._at_next_request = self._at_next_request, b""
            self._write_surplus(raw)
        super().data_received(data)


class SurplusServer(Server):
    """A server with surplus responses; one for notices keeps some of them not."""

    def __init__(self, plan: SurplusPlan, draw: random.Random, *rest) -> None:
        super().__init__(*rest)
        self.plan, self.random = plan, draw

    def make_connection(self) -> Connection:
        """A connection with surplus responses."""
        return SurplusConnection(self)

    def request_received(self, request: Request) -> None:
        """Pass on the request, unless it has notices that are not kept."""
        if request.target == REPORTS_PATH and self.random.random() < self.plan.unkept:
            request.connection.reset()
        else:
            super().request_received(request)
