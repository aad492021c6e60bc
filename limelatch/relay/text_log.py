"""Log lines about single texts, from acceptance to the final answer. They are of level debug."""

from __future__ import annotations

from logging import DEBUG

from limelatch import interface as li
from limelatch.logs import logger, log_event
from limelatch.relay.host_calls import Call
from limelatch.relay.host_outcomes import Outcome
from limelatch.relay.records import Entry

log = logger("driver")


class TextLog:
    """Writes a line for each event of a text; arguments are in units of the clock, lines in milliseconds."""

    def __init__(self, clock) -> None:
        self._clock = clock

    def accepted(self, text: li.Text, key: bytes | None) -> None:
        """The relay has accepted the text."""
        if log.isEnabledFor(DEBUG):
            log_event(
                log,
                "text-taken",
                text=text.id,
                key=key,
                destination=text.destination,
                valid_ms=self._left(text),
            )

    def adopted(self, entry: Entry, key: bytes | None, may_have_run: bool, is_answered: bool) -> None:
        """The text was accepted by an earlier process; `is_answered`: it has its final answer already."""
        if log.isEnabledFor(DEBUG):
            log_event(
                log,
                "text-adopted",
                text=entry.id,
                key=key,
                submits=entry.submit_count,
                out=entry.in_flight,
                ran=may_have_run,
                answered=is_answered,
            )

    def submit_started(self, text: bytes, key: bytes | None, call: Call, submit: int) -> None:
        """A submit of the text is about to be sent; `submit` is its number."""
        if log.isEnabledFor(DEBUG):
            log_event(
                log,
                "submit-going",
                text=text,
                key=key,
                host=call.host,
                submit=submit,
                connection=call.connection.number,
                uses=call.connection.use_count,
                idle_ms=call.idle_time // li.MS,
            )

    def submit_blocked(self, text: bytes, key: bytes, host: li.HostId, why: str) -> None:
        """A submit is not sent, since the order of its key does not allow it."""
        log_event(log, "submit-held", text=text, key=key, host=host, why=why)

    def submit_ended(
        self, text: bytes, key: bytes | None, call: Call, outcome: Outcome, cooldown_until: int | None
    ) -> None:
        """A submit has its outcome; `cooldown_until`: the end of the key's cooldown that follows from it."""
        if not log.isEnabledFor(DEBUG):
            return
        now = self._clock.now()
        log_event(
            log,
            "submit-ended",
            text=text,
            key=key,
            host=call.host,
            connection=call.connection.number,
            uses=call.connection.use_count,
            status=call.status,
            result=outcome.result.value,
            took_ms=(now - call.sent_at) // li.MS,
            wait_ms=outcome.retry_after // li.MS or None,
            rest_ms=(cooldown_until - now) // li.MS if cooldown_until is not None else None,
        )

    def submit_doubted(self, text: bytes, key: bytes | None, call: Call) -> None:
        """The outcome of a submit that has ended is in doubt."""
        if log.isEnabledFor(DEBUG):
            log_event(
                log, "submit-doubted", text=text, key=key, host=call.host, connection=call.connection.number
            )

    def text_ended(self, text: li.Text, result: str) -> None:
        """The text ends undelivered."""
        if log.isEnabledFor(DEBUG):
            log_event(log, "text-ended", text=text.id, result=result, left_ms=self._left(text))

    def _left(self, text: li.Text) -> int:
        """Milliseconds left of the text's validity period."""
        return (text.valid_until - self._clock.now()) // li.MS
