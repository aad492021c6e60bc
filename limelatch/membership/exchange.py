"""Views that differ after the news is told: page digests are compared, and pages that differ are sent."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import SECOND
from limelatch.membership.codec import MAX_DATAGRAM_BYTES, HEADER, WIDE_DISTANCES, fact_bytes
from limelatch.membership.messages import Fact, Header, Page, PageDigests, State
from limelatch.membership.outbox import Outbox
from limelatch.membership.registry import Registry
from limelatch.membership.view import PAGE_MEMBERS

PAGES_AT_ONCE = 3  # sent for one PageDigests
PAGE_TAIL = 5  # first, end and the count of facts
FACTS_ROOM = MAX_DATAGRAM_BYTES - HEADER.size - PAGE_TAIL - WIDE_DISTANCES
LEARNS_FOR = 3 * SECOND  # after a page that told of unknown members
AMONG_NEWS = 10 * SECOND  # between two questions while facts are queued


class Exchange:
    """Compares this member's view with that of another one whose digest differed."""

    def __init__(self, registry: Registry, outbox: Outbox, header: Callable[[int], Header]) -> None:
        self.registry, self.view, self.outbox, self.header = registry, registry.view, outbox, header
        self._other: int | None = None
        self._next_page, self._next_among_news = 0, 0
        self._learns_until = 0

    def differs(self, member: int) -> None:
        self._other = member

    def ask(self, now: int, queued: int) -> bool:
        """Send the digests to the last member whose view differed; False where there is nothing to ask.

        While there is news, views differ by what is on its way: then it is asked seldom. Guards against pages
        that use up the budget where many datagrams are lost, and refutations that come too late by it."""
        other, self._other = self._other, None
        size = HEADER.size + 4 * len(self.view.page_digests)
        learns = self._knows_few() or now < self._learns_until
        if other is None or queued and not learns and now < self._next_among_news:
            return False
        if not self.outbox.affords(size):
            return False
        self._next_among_news = now + AMONG_NEWS
        digests = tuple(self.view.page_digests)
        self.outbox.send_whole(other, PageDigests(self.header(other), digests))
        return True

    def _knows_few(self) -> bool:
        """Much is unknown here, as just after a start."""
        return 2 * self.view.present < len(self.view.words)

    def answer(self, now: int, asked: PageDigests) -> None:
        """Send some of the pages that differ, another part of them each time."""
        pages = len(self.view.page_digests)
        order = [(self._next_page + number) % pages for number in range(pages)]
        differing = [page for page in order if asked.digests[page] != self.view.page_digests[page]]
        for page in differing[:PAGES_AT_ONCE]:
            self._next_page = (page + 1) % pages
            self.send(now, asked.header.sender, page)

    def send(self, now: int, to: int, page: int) -> None:
        """A page, in as many datagrams as its facts need."""
        first = page * PAGE_MEMBERS
        last = min(first + PAGE_MEMBERS, len(self.view.words))
        facts, room = [], FACTS_ROOM
        for member in range(first, last):
            if not self.view.is_known(member):
                continue
            fact = self.registry.fact(now, member)
            if fact_bytes(fact) > room:
                self._put(to, first, member, facts)
                first, facts, room = member, [], FACTS_ROOM
            facts.append(fact)
            room -= fact_bytes(fact)
        self._put(to, first, last, facts)

    def _put(self, to: int, first: int, end: int, facts: list[Fact]) -> None:
        if self.outbox.affords(MAX_DATAGRAM_BYTES):
            self.outbox.send_whole(to, Page(self.header(to), first, end, tuple(facts)))

    def arrived(self, now: int, page: Page) -> None:
        """A page has come, and is not learned yet: while pages tell of unknown members the next is asked for.

        Guards against a member just started that knows half of the others and asks once in ten seconds."""
        if any(not self.view.is_known(fact.member) for fact in page.facts):
            self._learns_until = now + LEARNS_FOR

    def compare(self, now: int, page: Page) -> None:
        """Its facts are learned already; tell its sender of those that are newer here."""
        told = {fact.member: fact for fact in page.facts}
        newer = []
        for member in range(page.first, page.end):
            fact = told.get(member)
            if self.view.is_known(member) and (fact is None or self._newer_here(fact)):
                newer.append(member)
        for member in newer:
            self.outbox.queue.add(member)

    def _newer_here(self, fact: Fact) -> bool:
        incarnation, state = self.view.incarnations[fact.member], self.view.states[fact.member]
        return state is not State.SUSPECT and (incarnation, state) > (fact.incarnation, fact.state)
