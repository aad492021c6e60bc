"""The spans of the failure detector, in tenths of a millisecond; reasons: docs/design/membership.md."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log2

from limelatch.interface import MS, SECOND

MIN_PAUSE, MAX_PAUSE = SECOND, 60 * SECOND
MIN_PROBE_PERIOD, MAX_PROBE_PERIOD = 100 * MS, 10 * SECOND


@dataclass(frozen=True, slots=True)
class Timing:
    """All spans follow from the probe period and the pause that is to be borne without a verdict."""

    probe_period: int = 500 * MS
    pause: int = 5 * SECOND
    tick: int = 100 * MS
    late_tick: int = 250 * MS  # of a tick: the process did not run
    late_tick_grace: int = 1500 * MS  # after a late tick, before anybody is judged
    fast_probe_period: int = 125 * MS  # while many probes fail
    direct_ack_timeout: int = 500 * MS  # for a direct answer, then others are asked
    probe_timeout: int = 1500 * MS  # for any answer, then the member is suspect
    suspect_probe_interval: int = SECOND  # between own probes of one suspect
    suspect_probe_gap: int = 350 * MS  # between own probes of any two
    refused_suspicion: int = 1500 * MS  # suspicion of a member whose port is closed
    refusal_interval: int = SECOND  # between two refusals that count
    absent_probe_interval: int = SECOND  # between probes of dead and unknown members
    page_interval: int = SECOND  # between page digests
    isolation_timeout: int = 3 * SECOND  # without any answer
    incarnation_query_time: int = (
        SECOND  # for answers that tell an earlier process's incarnation; twice that without one
    )

    @property
    def confirmed_suspicion(self) -> int:
        """From the unanswered probe to the verdict, where others confirm it."""
        return self.pause + 1250 * MS

    @property
    def unconfirmed_suspicion(self) -> int:
        """The same where nobody does."""
        return self.pause + 4500 * MS

    @property
    def reported_suspicion(self) -> int:
        """From the unanswered probe of another member, where no verdict comes."""
        return self.pause + 5 * SECOND


TRANSMISSIONS = 3  # of a fact, times log2 of the members


def transmissions(members: int) -> int:
    """How often a member sends one fact on."""
    return TRANSMISSIONS * ceil(log2(members + 1))
