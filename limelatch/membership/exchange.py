"""Views that differ after the news is told: page digests are compared, and pages that differ are sent."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import SECOND
from limelatch.membership.codec import MAX_DATAGRAM_BYTES, HEADER, MAX_TWO_BYTE_DISTANCES, fact_bytes
from limelatch.membership.messages import Fact, Header, Page, PageDigests, State
from limelatch.membership.outbox import Outbox
from limelatch.membership.registry import Registry
from limelatch.membership.view import PAGE_MEMBERS

MAX_PAGES_PER_REQUEST = 3  # sent for one PageDigests
PAGE_FIELDS_BYTES = 5  # first, end and the count of facts
PAGE_FACTS_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - PAGE_FIELDS_BYTES - MAX_TWO_BYTE_DISTANCES
SYNC_DURATION = 3 * SECOND  # after a page that told of unknown members
BUSY_REQUEST_INTERVAL = 10 * SECOND  # between two questions while facts are queued


class Exchange:
    """Compares this member's view with that of another one whose digest differed."""

    def __init__(self, registry: Registry, outbox: Outbox, header: Callable[[int], Header]) -> None:
        self.registry, self.view, self.outbox, self.header = registry, registry.view, outbox, header
        self._differing_member: int | None = None
        self._next_page, self._next_while_queued = 0, 0
        self._syncing_until = 0

    def note_difference(self, member: int) -> None:
        self._differing_member = member

    def request_pages(self, now: int, queued: int) -> bool:
        """Send the digests to the last member whose view differed; False where there is nothing to ask.

        While there is news, views differ by what is on its way: then it is asked seldom. Guards against pages
        that use up the budget where many datagrams are lost, and refutations that come too late by it."""
        other, self._differing_member = self._differing_member, None
        size = HEADER.size + 4 * len(self.view.page_digests)
        syncing = self._knows_few_members() or now < self._syncing_until
        if other is None or queued and not syncing and now < self._next_while_queued:
            return False
        if not self.outbox.can_afford(size):
            return False
        self._next_while_queued = now + BUSY_REQUEST_INTERVAL
        digests = tuple(self.view.page_digests)
        self.outbox.send_whole(other, PageDigests(self.header(other), digests))
        return True

    def _knows_few_members(self) -> bool:
        """Much is unknown here, as just after a start."""
        return 2 * self.view.present_count < len(self.view.digest_words)

    def send_differing_pages(self, now: int, request: PageDigests) -> None:
        """Send some of the pages that differ, another part of them each time."""
        pages = len(self.view.page_digests)
        order = [(self._next_page + number) % pages for number in range(pages)]
        differing = [page for page in order if request.digests[page] != self.view.page_digests[page]]
        for page in differing[:MAX_PAGES_PER_REQUEST]:
            self._next_page = (page + 1) % pages
            self.send_page(now, request.header.sender, page)

    def send_page(self, now: int, to: int, page: int) -> None:
        """A page, in as many datagrams as its facts need."""
        first = page * PAGE_MEMBERS
        last = min(first + PAGE_MEMBERS, len(self.view.digest_words))
        facts, free_bytes = [], PAGE_FACTS_BYTES
        for member in range(first, last):
            if not self.view.is_known(member):
                continue
            fact = self.registry.fact(now, member)
            if fact_bytes(fact) > free_bytes:
                self._send_facts(to, first, member, facts)
                first, facts, free_bytes = member, [], PAGE_FACTS_BYTES
            facts.append(fact)
            free_bytes -= fact_bytes(fact)
        self._send_facts(to, first, last, facts)

    def _send_facts(self, to: int, first: int, end: int, facts: list[Fact]) -> None:
        if self.outbox.can_afford(MAX_DATAGRAM_BYTES):
            self.outbox.send_whole(to, Page(self.header(to), first, end, tuple(facts)))

    def page_received(self, now: int, page: Page) -> None:
        """A page has come, and is not learned yet: while pages tell of unknown members the next is asked for.

        Guards against a member just started that knows half of the others and asks once in ten seconds."""
        if any(not self.view.is_known(fact.member) for fact in page.facts):
            self._syncing_until = now + SYNC_DURATION

    def queue_newer_facts(self, now: int, page: Page) -> None:
        """Its facts are learned already; tell its sender of those that are newer here."""
        received = {fact.member: fact for fact in page.facts}
        newer = []
        for member in range(page.first, page.end):
            fact = received.get(member)
            if self.view.is_known(member) and (fact is None or self._is_newer_here(fact)):
                newer.append(member)
        for member in newer:
            self.outbox.queue.add(member)

    def _is_newer_here(self, fact: Fact) -> bool:
        incarnation, state = self.view.incarnations[fact.member], self.view.states[fact.member]
        return state is not State.SUSPECT and (incarnation, state) > (fact.incarnation, fact.state)
