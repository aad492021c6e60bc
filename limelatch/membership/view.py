"""A member's view of all members: incarnations, states, and digests to compare two views."""

from __future__ import annotations

from limelatch.membership.messages import Fact, State

PAGE_MEMBERS = 32  # members of a page
MAX_MEMBERS = PAGE_MEMBERS * 58  # the digests of 58 pages fit in a datagram of 256 bytes
DIGEST_BITS = (1 << 32) - 1
UNKNOWN = 0  # incarnation of a member of which nothing is known
ABSENT_STATES = (State.DEAD, State.LEFT)


def page_count(members: int) -> int:
    """How many pages the view of a fleet has."""
    return -(-members // PAGE_MEMBERS)


def digest_word(member: int, incarnation: int, state: State) -> int:
    """A member's part of its page's digest. Alive and suspect give the same: suspicions are short."""
    kind = state if state in ABSENT_STATES else State.ALIVE
    word = (member << 34 | incarnation << 2 | kind) * 0x9E3779B97F4A7C15
    return (word >> 29 ^ word >> 3) & DIGEST_BITS


class View:
    """The states of `members` members, in memory of a fixed size."""

    def __init__(self, members: int) -> None:
        self.incarnations = [UNKNOWN] * members
        self.states: list[State] = [State.ALIVE] * members  # valid only for known members
        self.digest_words = [0] * members
        self.page_digests = [0] * page_count(members)
        self.digest = 0
        self.counts = dict.fromkeys(State, 0)

    def is_known(self, member: int) -> bool:
        """Whether anything is known of the member."""
        return self.incarnations[member] != UNKNOWN

    def is_present(self, member: int) -> bool:
        """Whether the member is alive or suspect."""
        return self.is_known(member) and self.states[member] not in ABSENT_STATES

    def is_alive(self, member: int) -> bool:
        """Whether the member is alive and not suspect."""
        return self.is_known(member) and self.states[member] is State.ALIVE

    def has_left(self, member: int) -> bool:
        """Whether the member has left cleanly."""
        return self.is_known(member) and self.states[member] is State.LEFT

    def is_newer(self, fact: Fact) -> bool:
        """Whether the fact overrides the current state: by its incarnation, then by its state."""
        known = self.incarnations[fact.member]
        if fact.incarnation != known:
            return fact.incarnation > known
        return fact.state > self.states[fact.member]

    def set_state(self, member: int, incarnation: int, state: State) -> None:
        """Set a member's incarnation and state, whatever they were."""
        if self.is_known(member):
            self.counts[self.states[member]] -= 1
        self.counts[state] += 1
        word = digest_word(member, incarnation, state)
        change = self.digest_words[member] ^ word
        self.incarnations[member], self.states[member], self.digest_words[member] = incarnation, state, word
        self.page_digests[member // PAGE_MEMBERS] ^= change
        self.digest ^= change

    @property
    def present_count(self) -> int:
        """How many members are alive or suspect."""
        return self.counts[State.ALIVE] + self.counts[State.SUSPECT]

    @property
    def absent_count(self) -> int:
        """How many members are dead or unknown."""
        return len(self.digest_words) - self.present_count - self.counts[State.LEFT]
