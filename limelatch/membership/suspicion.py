"""Suspicions: since when a member is suspect, who confirms it, and when it is declared dead."""

from __future__ import annotations

from dataclasses import dataclass, field

from limelatch.membership.timing import Timing

CONFIRMATIONS_REQUIRED = 2  # by other witnesses, which shorten a suspicion
REFUSALS_REQUIRED = 2  # of datagrams, after which a member's process counts as gone


@dataclass(slots=True)
class Refusals:
    """Datagrams to one member that were refused by a closed port, without an answer since.

    Times in tenths of a millisecond."""

    first_at: int
    next_probe: int
    count: int = 0
    last_counted_at: int = 0

    def add(self, now: int, timing: Timing) -> bool:
        """Count a refusal, a burst as one; return whether REFUSALS_REQUIRED are reached."""
        if not self.count or now - self.last_counted_at >= timing.refusal_interval:
            self.count, self.last_counted_at = self.count + 1, now
        return self.count >= REFUSALS_REQUIRED


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member.

    `since`: when the unanswered probe was sent, by this member or by another one."""

    since: int
    own: bool  # this member's own probes had no answer
    next_probe: int
    witnesses: set[int] = field(default_factory=set)  # at most CONFIRMATIONS_REQUIRED others
    refused: bool = False  # its port is closed, so its process is gone

    def confirm(self, witness: int) -> None:
        """Count another member whose own probes had no answer."""
        if len(self.witnesses) < CONFIRMATIONS_REQUIRED:
            self.witnesses.add(witness)

    def ends_at(self, timing: Timing) -> int:
        """When the member is declared dead."""
        if self.refused:
            return self.since + timing.refused_suspicion
        if not self.own:
            return self.since + timing.reported_suspicion
        return self.since + (
            timing.confirmed_suspicion
            if len(self.witnesses) >= CONFIRMATIONS_REQUIRED
            else timing.unconfirmed_suspicion
        )

    def why(self) -> str:
        """The reason that is logged when the member is declared dead."""
        if self.refused:
            return "refused"
        return "unanswered" if self.own else "hearsay"
