"""A member's knowledge of the others: merges facts by precedence and turns old suspicions into deaths."""

from __future__ import annotations

from limelatch.interface import SECOND
from limelatch.membership.codec import MAX_AGE
from limelatch.membership.messages import Event, Fact, MemberChanged, State
from limelatch.membership.suspicion import Refusals, Suspicion
from limelatch.membership.timing import Timing
from limelatch.membership.view import View

AGE_UNIT = SECOND // 10  # of a suspicion's age in a fact
MIN_REPORTED_SUSPICION = 2 * SECOND  # left of a reported suspicion, whatever age is reported


class Registry:
    """The view of one member, its suspicions, and the changes and events that result from them."""

    def __init__(self, members: int, me: int, timing: Timing) -> None:
        self.me, self.timing = me, timing
        self.view = View(members)
        self.suspicions: dict[int, Suspicion] = {}
        self.refusals: dict[int, Refusals] = {}  # of members not yet suspect because of them
        self.known_own_incarnation = 0  # the highest incarnation of this member that others know
        self._changed_members: list[int] = []
        self._events: list[Event] = []

    def take_changed_members(self) -> list[int]:
        """Return and clear the members whose changes are to be sent to others."""
        members, self._changed_members = self._changed_members, []
        return members

    def take_events(self) -> list[Event]:
        """Return and clear the events since the last call."""
        events, self._events = self._events, []
        return events

    def fact(self, now: int, member: int) -> Fact:
        """The current fact on a member."""
        state, incarnation = self.view.states[member], self.view.incarnations[member]
        if (suspicion := self.suspicions.get(member)) is None:
            return Fact(member, incarnation, state)
        age = max(0, now - suspicion.since) // AGE_UNIT
        return Fact(member, incarnation, state, min(MAX_AGE, age), suspicion.own)

    def non_alive_fact(self, now: int, member: int) -> Fact | None:
        """The fact that a member should refute at once: it is known, and not as alive; else None."""
        bad = self.view.is_known(member) and self.view.states[member] is not State.ALIVE
        return self.fact(now, member) if bad else None

    def learn(self, now: int, fact: Fact, reporter: int, from_page: bool = False) -> None:
        """Merge a fact on another member, received from `reporter`.

        An alive member that was unknown here and comes in a page is not passed on: the others know it."""
        member = fact.member
        if self.view.is_newer(fact):
            known = self.view.is_known(member) or fact.state is not State.ALIVE
            self._change(now, fact, f"told by member {reporter}", gossip=known or not from_page)
        same = fact.incarnation == self.view.incarnations[member] and fact.state is State.SUSPECT
        if same and fact.witness and (suspicion := self.suspicions.get(member)) is not None:
            suspicion.confirm(reporter)

    def _change(self, now: int, fact: Fact, why: str, gossip: bool = True) -> None:
        member, view = fact.member, self.view
        known, before = view.is_known(member), view.states[member]
        after, suspicion = 0, self.suspicions.pop(member, None)
        if fact.state is not State.SUSPECT:
            self.refusals.pop(member, None)
        if suspicion is not None:
            after = now - suspicion.since
        view.set_state(member, fact.incarnation, fact.state)
        if gossip:
            self._changed_members.append(member)
        if fact.state is State.SUSPECT:
            max_age = self.timing.reported_suspicion - MIN_REPORTED_SUSPICION
            since = now - min(fact.age * AGE_UNIT, max_age)
            self.suspicions[member] = Suspicion(since, own=False, next_probe=now)
        if not known or before is not fact.state:
            self._events.append(MemberChanged(member, fact.state, fact.incarnation, why, after))

    def suspect(self, now: int, member: int, since: int) -> None:
        """Suspect a member, as this member's probes, the first sent at `since`, had no answer."""
        if not self.view.is_present(member):
            return
        suspicion = self.suspicions.get(member)
        if suspicion is None:
            incarnation = self.view.incarnations[member]
            self._change(now, Fact(member, incarnation, State.SUSPECT), "unanswered")
            suspicion = self.suspicions[member]
            suspicion.since = since
        if not suspicion.own:
            suspicion.own, suspicion.next_probe = True, now
            suspicion.since = max(suspicion.since, since)  # a reported suspicion does not shorten the own one
            self._changed_members.append(member)

    def refused(self, now: int, member: int) -> None:
        """Count a datagram to this member that a closed port refused.

        One refusal is not enough for a suspicion: the member may just have left, or be restarting."""
        if not self.view.is_present(member):
            return
        refusals = self.refusals.setdefault(
            member, Refusals(now, next_probe=now + self.timing.refusal_interval)
        )
        if refusals.add(now, self.timing):
            self.suspect(now, member, refusals.first_at)
            self.suspicions[member].refused = True

    def answered(self, now: int, member: int, incarnation: int) -> None:
        """The member has answered a probe: end its suspicion here, whatever others still report."""
        view = self.view
        self.refusals.pop(member, None)
        if incarnation > view.incarnations[member]:
            self._change(now, Fact(member, incarnation, State.ALIVE), "answered")
        elif incarnation == view.incarnations[member] and member in self.suspicions:
            after = now - self.suspicions.pop(member).since
            view.set_state(member, incarnation, State.ALIVE)
            self._events.append(MemberChanged(member, State.ALIVE, incarnation, "answered", after))

    def next_suspect_to_probe(self, now: int) -> int | None:
        """The member, suspect or with refusals, whose next probe by this member is longest due; else None."""
        due = [
            (each.next_probe, member)
            for member, each in self.suspicions.items()
            if each.own and each.next_probe <= now
        ]
        due += [(each.next_probe, member) for member, each in self.refusals.items() if each.next_probe <= now]
        if not due:
            return None
        _, member = min(due)
        for schedule in (self.suspicions.get(member), self.refusals.get(member)):
            if schedule is not None:
                schedule.next_probe = now + self.timing.suspect_probe_interval
        return member

    def expire_suspicions(self, now: int) -> None:
        """Declare the members dead whose suspicion has ended."""
        for member, suspicion in list(self.suspicions.items()):
            if suspicion.ends_at(self.timing) <= now:
                fact = Fact(member, self.view.incarnations[member], State.DEAD)
                # a reported suspicion needs no gossip: each member declares the death by itself
                self._change(now, fact, suspicion.why(), gossip=suspicion.own)

    def extend_suspicions(self, now: int, span: int) -> None:
        """Prolong each suspicion by the time for which this process did not run."""
        for suspicion in self.suspicions.values():
            suspicion.since = min(now, suspicion.since + span)
            suspicion.next_probe = now

    def restart_suspicions(self, now: int) -> None:
        """Restart all suspicions after isolation, as they say nothing about the suspects."""
        for suspicion in self.suspicions.values():
            suspicion.since, suspicion.next_probe, suspicion.refused = now, now, False
        self.refusals.clear()
