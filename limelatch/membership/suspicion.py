"""Suspicions: who is suspect since when, who confirms it, and when it becomes a verdict."""

from __future__ import annotations

from dataclasses import dataclass, field

from limelatch.membership.timing import Timing

CONFIRMATIONS = 2  # by other witnesses, which shorten a suspicion
REFUSALS = 2  # that show that a member's process is gone


@dataclass(slots=True)
class Suspicion:
    """Of one member. `since`: when the probe was sent that had no answer, here or at another member."""

    since: int
    own: bool  # this member's probes had no answer
    next_probe: int
    witnesses: set[int] = field(default_factory=set)  # others whose probes had none; CONFIRMATIONS at most
    refusals: int = 0
    refused_at: int = 0

    def confirm(self, witness: int) -> None:
        if len(self.witnesses) < CONFIRMATIONS:
            self.witnesses.add(witness)

    def refuse(self, now: int, timing: Timing) -> None:
        """The member's port is closed; a burst of refusals counts once."""
        if not self.refusals or now - self.refused_at >= timing.refused_apart:
            self.refusals, self.refused_at = self.refusals + 1, now

    def ends_at(self, timing: Timing) -> int:
        """When it becomes a verdict."""
        if self.refusals >= REFUSALS:
            return self.since + timing.refused
        if not self.own:
            return self.since + timing.hearsay
        return self.since + (timing.suspicion if len(self.witnesses) >= CONFIRMATIONS else timing.unconfirmed)

    def why(self) -> str:
        if self.refusals >= REFUSALS:
            return "refused"
        return "unanswered" if self.own else "hearsay"
