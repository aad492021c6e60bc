"""Measures what the process holds and how late its timers are, logs it, and gives freed memory back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from limelatch.interface import MS, SECOND
from limelatch.logs import logger, log_event
from limelatch.memory_trim import TrimSchedule
from limelatch.relay.allocator import return_free_memory
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.process_memory import ProcessMemory, process_memory

log = logger("driver")

LOG_INTERVAL = 10 * SECOND  # between two lines with the resources
CHECK_INTERVAL = SECOND // 4  # between two measurements of the memory
HIGH_MEMORY_PERCENT = 85  # of the limit
MEGABYTE = 1_000_000
HIGH_MEMORY_LOG_INTERVAL = SECOND  # between two lines while the memory is above that


def megabytes(size: int) -> float:
    """A size in megabytes, for the log."""
    return round(size / MEGABYTE, 1)


@dataclass(frozen=True, slots=True)
class Holdings:
    """What the process holds for others: numbers of connections and texts, and bytes."""

    clients: int  # connections in the table
    open_clients: int  # connections, those that are closing included
    client_bytes: int  # of commands that are being received or wait
    texts: int  # accepted and not finished
    text_bytes: int  # of the ledger's records of them
    calls: int  # in flight


class ResourceMonitor:
    """Logs the resources in regular intervals, and at once while the memory is close to its limit."""

    def __init__(
        self,
        deadlines: Deadlines,
        memory_limit: int,
        holdings: Callable[[], Holdings],
        measure: Callable[[], ProcessMemory] = process_memory,
        trim: Callable[[], None] = return_free_memory,
    ) -> None:
        """`memory_limit`: in bytes. `holdings` and `measure` return what is held at the time of the call."""
        self._deadlines, self._limit = deadlines, memory_limit
        self._holdings, self._measure, self._trim = holdings, measure, trim
        self._logged_at = 0
        self.memory = ProcessMemory()
        self._trim_schedule = TrimSchedule(0)

    def start(self) -> None:
        """Measure now and from now on; what the process has now counts as its memory at rest."""
        self._trim_schedule = TrimSchedule(self._measure().resident)
        self._check()

    def _check(self) -> None:
        now, self.memory = self._deadlines.clock.now(), self._measure()
        if self._trim_schedule.is_due(now, self.memory.resident):
            self._trim()
            before, self.memory = self.memory, self._measure()
            self._trim_schedule.trimmed(now, before.resident, self.memory.resident)
        is_high = self.memory.resident * 100 > self._limit * HIGH_MEMORY_PERCENT
        if now - self._logged_at >= (HIGH_MEMORY_LOG_INTERVAL if is_high else LOG_INTERVAL):
            self._logged_at = now
            self._log(is_high)
        self._deadlines.after(CHECK_INTERVAL, self._check)

    def _log(self, is_high: bool) -> None:
        holdings, memory = self._holdings(), self.memory
        log_event(
            log,
            "resources",
            memory="high" if is_high else "ok",
            resident_mb=megabytes(memory.resident),
            private_mb=megabytes(memory.private),
            peak_mb=megabytes(memory.peak),
            limit_mb=megabytes(self._limit),
            clients=holdings.clients,
            open=holdings.open_clients,
            client_bytes=holdings.client_bytes,
            texts=holdings.texts,
            text_bytes=holdings.text_bytes,
            calls=holdings.calls,
            late_ms=self._deadlines.take_max_delay() // MS,
        )
