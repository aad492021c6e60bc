"""The log's lines of each text, by its id: from its handing in to its end. They are of level debug."""

from __future__ import annotations

from logging import DEBUG

from limelatch import interface as li
from limelatch.logs import logger, log_event
from limelatch.relay.hosts import Call, Outcome
from limelatch.relay.records import Entry

log = logger("driver")


class TextLog:
    """Writes a line for what happens to a text; times are those of the relay's clock."""

    def __init__(self, clock) -> None:
        self._clock = clock

    def taken(self, text: li.Text, key: bytes | None) -> None:
        """The relay has taken it on."""
        if log.isEnabledFor(DEBUG):
            log_event(
                log,
                "text-taken",
                text=text.id,
                key=key,
                destination=text.destination,
                valid_ms=self._left(text),
            )

    def adopted(self, entry: Entry, key: bytes | None, ran: bool, answered: bool) -> None:
        """An earlier process had taken it on."""
        if log.isEnabledFor(DEBUG):
            log_event(
                log,
                "text-adopted",
                text=entry.id,
                key=key,
                submits=entry.submit_count,
                out=entry.in_flight,
                ran=ran,
                answered=answered,
            )

    def going(self, text: bytes, key: bytes | None, host: li.HostId, submit: int) -> None:
        """A submit of it is about to be written."""
        if log.isEnabledFor(DEBUG):
            log_event(log, "submit-going", text=text, key=key, host=host, submit=submit)

    def held(self, text: bytes, key: bytes, host: li.HostId, why: str) -> None:
        """A submit of it is not written: the turn is another text's."""
        log_event(log, "submit-held", text=text, key=key, host=host, why=why)

    def submit_ended(
        self, text: bytes, key: bytes | None, call: Call, outcome: Outcome, rest: int | None
    ) -> None:
        """A submit of it has its outcome; `rest`: until when its key rests by it."""
        if not log.isEnabledFor(DEBUG):
            return
        now = self._clock.now()
        log_event(
            log,
            "submit-ended",
            text=text,
            key=key,
            host=call.host,
            result=outcome.result.value,
            took_ms=(now - call.sent_at) // li.MS,
            wait_ms=outcome.retry_after // li.MS or None,
            rest_ms=(rest - now) // li.MS if rest is not None else None,
        )

    def ended(self, text: li.Text, result: str) -> None:
        """It ends undelivered."""
        if log.isEnabledFor(DEBUG):
            log_event(log, "text-ended", text=text.id, result=result, left_ms=self._left(text))

    def _left(self, text: li.Text) -> int:
        """Milliseconds of its validity period."""
        return (text.valid_until - self._clock.now()) // li.MS
