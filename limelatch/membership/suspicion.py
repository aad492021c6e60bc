"""Suspicions: who is suspect since when, who confirms it, and when it becomes a verdict."""

from __future__ import annotations

from dataclasses import dataclass, field

from limelatch.membership.timing import Timing

CONFIRMATIONS_REQUIRED = 2  # by other witnesses, which shorten a suspicion
REFUSALS_REQUIRED = 2  # that show that a member's process is gone


@dataclass(slots=True)
class Refusals:
    """Datagrams to one member that came to a closed port, with no answer since."""

    first_at: int
    next_probe: int
    count: int = 0
    last_counted_at: int = 0

    def add(self, now: int, timing: Timing) -> bool:
        """One more, a burst counts once; whether they are enough."""
        if not self.count or now - self.last_counted_at >= timing.refusal_interval:
            self.count, self.last_counted_at = self.count + 1, now
        return self.count >= REFUSALS_REQUIRED


@dataclass(slots=True)
class Suspicion:
    """Of one member. `since`: when the probe was sent that had no answer, here or at another member."""

    since: int
    own: bool  # this member's probes had no answer
    next_probe: int
    witnesses: set[int] = field(
        default_factory=set
    )  # others whose probes had none; CONFIRMATIONS_REQUIRED at most
    refused: bool = False  # its process is gone, as its port shows

    def confirm(self, witness: int) -> None:
        if len(self.witnesses) < CONFIRMATIONS_REQUIRED:
            self.witnesses.add(witness)

    def ends_at(self, timing: Timing) -> int:
        """When it becomes a verdict."""
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
        if self.refused:
            return "refused"
        return "unanswered" if self.own else "hearsay"
