"""Intervals and timeouts of the failure detector, in tenths of a millisecond.

Their reasons are given in docs/design/membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log2

from limelatch.interface import MS, SECOND

MIN_PAUSE = SECOND
MAX_PAUSE = 60 * SECOND
MIN_PROBE_PERIOD = 100 * MS
MAX_PROBE_PERIOD = 10 * SECOND


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts. The operator sets `probe_period` and `pause`; the others have defaults."""

    probe_period: int = 500 * MS
    pause: int = 5 * SECOND  # a member that does not run for so long must not be declared dead
    tick: int = 100 * MS
    late_tick: int = 250 * MS  # delay of a tick from which on the process counts as not having run
    late_tick_grace: int = 1500 * MS  # after a late tick, before members are declared dead
    fast_probe_period: int = 125 * MS  # while many probes fail
    direct_ack_timeout: int = 500 * MS  # for a direct answer; then other members are asked to probe
    probe_timeout: int = 1500 * MS  # for any answer; then the member becomes suspect
    suspect_probe_interval: int = SECOND  # between this member's probes of one suspect
    suspect_probe_gap: int = 350 * MS  # between this member's probes of any two suspects
    refused_suspicion: int = 1500 * MS  # duration of a suspicion if the member's port is closed
    refusal_interval: int = SECOND  # between two refusals that count
    absent_probe_interval: int = SECOND  # between probes of dead and unknown members
    page_interval: int = SECOND  # between page digests
    isolation_timeout: int = 3 * SECOND  # without any answer
    incarnation_query_time: int = SECOND  # to learn an earlier process's incarnation; doubled without answers

    @property
    def confirmed_suspicion(self) -> int:
        """From the unanswered probe to the declaration as dead, if other members confirm the suspicion."""
        return self.pause + 1250 * MS

    @property
    def unconfirmed_suspicion(self) -> int:
        """From the unanswered probe to the declaration as dead, if no other member confirms it."""
        return self.pause + 4500 * MS

    @property
    def reported_suspicion(self) -> int:
        """From another member's unanswered probe to the declaration as dead, if none comes before."""
        return self.pause + 5 * SECOND


TRANSMISSIONS = 3  # of a fact, multiplied by log2 of the count of members


def transmissions(members: int) -> int:
    """How often each member sends one fact."""
    return TRANSMISSIONS * ceil(log2(members + 1))
