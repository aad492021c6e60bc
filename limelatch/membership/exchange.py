"""Anti-entropy for views that still differ after gossip: compares page digests and sends differing pages."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import SECOND
from limelatch.membership.codec import MAX_DATAGRAM_BYTES, HEADER, MAX_TWO_BYTE_DISTANCES, fact_bytes
from limelatch.membership.messages import Fact, Header, Page, PageDigests, State
from limelatch.membership.outbox import Outbox
from limelatch.membership.registry import Registry
from limelatch.membership.view import PAGE_MEMBERS

MAX_PAGES_PER_REQUEST = 3  # sent in reply to one PageDigests
PAGE_FIELDS_BYTES = 5  # bytes of `first`, `end` and the count of facts
PAGE_FACTS_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - PAGE_FIELDS_BYTES - MAX_TWO_BYTE_DISTANCES  # of a Page
SYNC_DURATION = 3 * SECOND  # for which pages are requested often, after a page with unknown members
BUSY_REQUEST_INTERVAL = 10 * SECOND  # between two requests while facts are queued


class Exchange:
    """Synchronizes this member's view with that of a member whose digest differed."""

    def __init__(self, registry: Registry, outbox: Outbox, header: Callable[[int], Header]) -> None:
        self.registry, self.view, self.outbox, self.header = registry, registry.view, outbox, header
        self._differing_member: int | None = None
        self._next_page, self._next_while_queued = 0, 0
        self._syncing_until = 0

    def note_difference(self, member: int) -> None:
        """Remember the latest member whose view digest differs from this one's."""
        self._differing_member = member

    def request_pages(self, now: int, queued: int) -> bool:
        """Send the page digests to the latest member whose view differed; False if nothing was sent.

        While `queued` facts wait, views differ by what is still on its way, so requests are rare. Guards
        against pages that use up the byte budget when many datagrams are lost and so delay refutations."""
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
        """Whether less than half of the members are known as present, as just after a start."""
        return 2 * self.view.present_count < len(self.view.digest_words)

    def send_differing_pages(self, now: int, request: PageDigests) -> None:
        """Send some of the pages that differ, starting after the last one sent."""
        pages = len(self.view.page_digests)
        order = [(self._next_page + number) % pages for number in range(pages)]
        differing = [page for page in order if request.digests[page] != self.view.page_digests[page]]
        for page in differing[:MAX_PAGES_PER_REQUEST]:
            self._next_page = (page + 1) % pages
            self.send_page(now, request.header.sender, page)

    def send_page(self, now: int, to: int, page: int) -> None:
        """Send a page, in as many datagrams as its facts need."""
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
        """Note a received page before its facts are learned: unknown members keep requests frequent.

        Guards against a newly started member that knows half of the others and then requests pages only once
        in ten seconds."""
        if any(not self.view.is_known(fact.member) for fact in page.facts):
            self._syncing_until = now + SYNC_DURATION

    def queue_newer_facts(self, now: int, page: Page) -> None:
        """Queue the facts of the page's range that are newer here. Its own facts are learned already."""
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
