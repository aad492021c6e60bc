"""The failure detector without sockets: datagrams, precedence, suspicions, and one member by hand."""

import struct
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limelatch.interface import MS, SECOND
from limelatch.membership.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_TWO_BYTE_DISTANCES,
    InvalidDatagram,
    Codec,
    cluster_key,
    fact_bytes,
    write_facts,
)
from limelatch.membership.detector import PROBE_HISTORY, Probes
from limelatch.membership.dissemination import FactQueue
from limelatch.membership.member import Member
from limelatch.membership.messages import (
    MAX_INCARNATION,
    Ack,
    DropReason,
    Fact,
    Gossip,
    Header,
    IndirectAck,
    IndirectPing,
    Isolation,
    IsolationChanged,
    Joined,
    MemberChanged,
    Page,
    PageDigests,
    Ping,
    State,
)
from limelatch.membership.outbox import BYTES_PER_SECOND, MAX_SAVED_BYTES, PACKET_HEADER_BYTES
from limelatch.membership.suspicion import Refusals, Suspicion
from limelatch.membership.timing import Timing
from limelatch.membership.view import PAGE_MEMBERS, View, page_count

COUNT = 40
PEERS = [f"10.0.0.{number}:7946" for number in range(COUNT)]
KEY, PAGES = cluster_key(PEERS), page_count(COUNT)
NOW = 1000 * SECOND
TIMING = Timing()


def codec(me=0, count=COUNT, key=KEY):
    return Codec(key, count, me, page_count(count))


WORDS, INCARNATIONS = st.integers(0, 2**32 - 1), st.integers(0, MAX_INCARNATION)
HEADERS = st.builds(Header, st.integers(1, COUNT - 1), INCARNATIONS, WORDS, WORDS, INCARNATIONS)


def told(member, incarnation, state, age, witness):
    return Fact(member, incarnation, state, *((age, witness) if state is State.SUSPECT else ()))


FACT = st.builds(
    told,
    st.integers(0, COUNT - 1),
    st.integers(1, MAX_INCARNATION),
    st.sampled_from(State),
    st.integers(0, 127),
    st.booleans(),
)
FACTS = st.lists(FACT, max_size=20, unique_by=lambda fact: fact.member).map(
    lambda facts: tuple(sorted(facts, key=lambda fact: fact.member))
)
MEMBERS = st.integers(0, COUNT - 1)
MESSAGES = st.one_of(
    *[st.builds(form, HEADERS, FACTS) for form in (Ping, Ack, Gossip)],
    st.builds(IndirectPing, HEADERS, MEMBERS, FACTS),
    st.builds(IndirectAck, HEADERS, MEMBERS, st.integers(1, MAX_INCARNATION), FACTS),
    st.builds(PageDigests, HEADERS, st.tuples(*[st.integers(0, 2**32 - 1)] * PAGES)),
    st.builds(lambda header, facts: Page(header, 0, COUNT, facts), HEADERS, FACTS),
)


@given(MESSAGES)
def test_what_is_written_reads_the_same(message):
    data = codec().write(message)
    assert len(data) <= MAX_DATAGRAM_BYTES and codec().read(data) == message


@given(MESSAGES, st.data())
def test_a_datagram_with_any_byte_changed_or_cut_off_or_added_is_dropped(message, draw):
    data = codec().write(message)
    at = draw.draw(st.integers(0, len(data) - 1))
    flipped = data[:at] + bytes([data[at] ^ draw.draw(st.integers(1, 255))]) + data[at + 1 :]
    for bad in (flipped, data[:at], data + b"\0"):
        with pytest.raises(InvalidDatagram):
            codec().read(bad)


@given(st.binary(max_size=400))
def test_no_bytes_make_a_reader_fail_otherwise(data):
    with pytest.raises(InvalidDatagram):
        codec().read(data)


def sealed(data, key=KEY):
    """With its right checksum, whatever it holds."""
    one = codec(key=key)
    return data[:4] + struct.pack(">I", one._checksum(data)) + data[8:]


HEAD = struct.pack(">BBHIIIII", 1, 1, 3, 0, 1, 7, 0, 1)


@pytest.mark.parametrize(
    "data, drop",
    [
        (sealed(b"\x02" + HEAD[1:] + b"\0"), DropReason.VERSION),
        (sealed(b"\x01\x09" + HEAD[2:] + b"\0"), DropReason.KIND),
        (HEAD + b"\0", DropReason.CHECKSUM),
        (sealed(HEAD + b"\0", key=1), DropReason.CHECKSUM),
        (sealed(HEAD[:2] + struct.pack(">H", COUNT) + HEAD[4:] + b"\0"), DropReason.SENDER),
        (sealed(HEAD[:2] + struct.pack(">H", 0) + HEAD[4:] + b"\0"), DropReason.SENDER),
        (sealed(HEAD[:8] + struct.pack(">I", MAX_INCARNATION + 1) + HEAD[12:] + b"\0"), DropReason.VALUE),
        (sealed(HEAD + b"\x01\x28\x04"), DropReason.VALUE),
        (sealed(HEAD + b"\x01\x01\x00"), DropReason.VALUE),
        (sealed(HEAD + b"\x02\x01\x04\x00\x04"), DropReason.VALUE),
        (sealed(HEAD + b"\x01\x01\xff\xff\xff\xff\x7f"), DropReason.VALUE),
        (sealed(HEAD + b"\x02\x01\x04"), DropReason.LENGTH),
        (sealed(HEAD + b"\0\0"), DropReason.LENGTH),
        (HEAD, DropReason.CHECKSUM),
        (sealed(HEAD), DropReason.LENGTH),
        (b"", DropReason.LENGTH),
        (bytes(257), DropReason.LENGTH),
    ],
)
def test_each_bad_datagram_has_its_reason(data, drop):
    with pytest.raises(InvalidDatagram) as error:
        codec().read(data)
    assert error.value.drop is drop


@given(FACTS)
def test_facts_never_take_more_than_is_reckoned_with(facts):
    assert len(write_facts(facts)) <= 1 + MAX_TWO_BYTE_DISTANCES + sum(fact_bytes(fact) for fact in facts)


@given(st.lists(FACT, max_size=30), st.randoms())
def test_views_that_heard_the_same_facts_in_any_order_are_alike(facts, random):
    views = []
    for _ in range(2):
        random.shuffle(facts)
        view = View(COUNT)
        for fact in facts:
            if view.is_newer(fact):
                view.set_state(fact.member, fact.incarnation, fact.state)
        views.append(view)
    one, other = views
    assert one.incarnations == other.incarnations and one.digest == other.digest
    assert one.page_digests == other.page_digests and one.counts == other.counts
    absent = [member for member in range(COUNT) if not one.is_present(member) and not one.has_left(member)]
    assert one.absent_count == len(absent)


def test_digests_differ_by_incarnation_and_by_death_and_not_by_suspicion():
    digests = []
    for incarnation, state in (
        (1, State.ALIVE),
        (1, State.SUSPECT),
        (1, State.DEAD),
        (1, State.LEFT),
        (2, State.ALIVE),
    ):
        view = View(COUNT)
        view.set_state(7, incarnation, state)
        digests.append(view.digest)
    assert digests[0] == digests[1] and len(set(digests)) == 4


def test_a_fact_is_told_a_bounded_number_of_times_and_news_goes_first():
    queue = FactQueue(3)
    for member in range(100):
        queue.add(member)

    def fact(member):
        return Fact(member, 1, State.ALIVE)

    assert [each.member for each in queue.take(MAX_TWO_BYTE_DISTANCES + 6, fact)] == [99, 98, 97]
    queue.add(5)  # still queued: its news overtakes
    assert queue.take(MAX_TWO_BYTE_DISTANCES + 2, fact)[0].member == 5
    told = [each.member for _ in range(200) for each in queue.take(60, fact)]
    assert len(queue) == 0 and max(told.count(member) for member in range(100)) <= 3


def test_a_suspicion_is_shorter_where_witnesses_confirm_it_and_shortest_where_its_port_is_closed():
    suspicion = Suspicion(NOW, own=False, next_probe=NOW)
    hearsay = suspicion.ends_at(TIMING)
    suspicion.own = True
    alone = suspicion.ends_at(TIMING)
    suspicion.confirm(3), suspicion.confirm(3)
    assert suspicion.ends_at(TIMING) == alone  # one witness told twice
    suspicion.confirm(4)
    confirmed = suspicion.ends_at(TIMING)
    refusals = Refusals(NOW, next_probe=NOW)
    waits = (0, TIMING.refusal_interval - 1, TIMING.refusal_interval)
    enough = [refusals.add(NOW + wait, TIMING) for wait in waits]
    assert enough == [False, False, True]  # a burst counts once
    suspicion.refused = True
    assert suspicion.ends_at(TIMING) < confirmed < alone < hearsay
    assert confirmed - NOW > TIMING.pause


def test_an_answer_counts_once_and_only_from_the_member_that_was_probed():
    probes = Probes(Random(1))
    sequence = probes.begin(NOW, 3, in_round=True)
    assert probes.answered(sequence, 4) is None and probes.answered(sequence + 1, 3) is None
    assert probes.answered(sequence, 3).target == 3 and probes.answered(sequence, 3) is None
    assert not probes.many_failed
    for _ in range(PROBE_HISTORY // 2):
        probes.begin(NOW, 5, in_round=True)
    assert (
        len(probes.take_expired(NOW + TIMING.probe_timeout, TIMING)) == PROBE_HISTORY // 2
        and probes.many_failed
    )


# One member by hand: the others are this test.


class Hand:
    """The member 0 of COUNT, or of fewer, whose time and datagrams the test sets."""

    def __init__(self, incarnation=1, count=COUNT):
        self.peers, self.now, self.count = PEERS[:count], NOW, count
        self.member = Member(self.peers, 0, incarnation, Random(5), NOW)
        self.sent, self.events = [], []
        self._took()

    def _took(self):
        datagrams, events = self.member.take()
        for each in datagrams:
            receiver = Codec(cluster_key(self.peers), self.count, each.to, page_count(self.count))
            self.sent.append((each.to, receiver.read(each.data)))
        self.events += events

    def run(self, span, answering=()):
        """Ticks as they are due; these members answer their pings at once."""
        until = self.now + span
        while self.member.due <= until:
            self.now = max(self.now, self.member.due)
            self.member.tick(self.now)
            first = len(self.sent)
            self._took()
            for to, message in self.sent[first:]:
                if isinstance(message, Ping) and to in answering:
                    self.tell(to, Ack, sequence=message.header.sequence)
        self.now = until
        return self

    def tell(self, sender, form, *parts, sequence=0, incarnation=1, held=0, digest=0, address=None):
        header = Header(sender, incarnation, sequence, digest, held)
        one = Codec(cluster_key(self.peers), self.count, sender, page_count(self.count))
        drop = self.member.received(
            self.now, one.write(form(header, *parts)), sender if address is None else address
        )
        self._took()
        return drop

    def know(self, *members):
        for member in members or range(1, self.count):
            self.tell(member, Gossip, (Fact(member, 1, State.ALIVE),))
        self.sent.clear()
        return self

    def state(self, member):
        return self.member.view.states[member] if self.member.view.is_known(member) else None

    def changes(self, member):
        return [
            event.state
            for event in self.events
            if isinstance(event, MemberChanged) and event.member == member
        ]


def others(hand, *without):
    return set(range(1, hand.count)) - set(without)


def test_a_member_that_does_not_answer_is_suspect_then_dead_and_never_before_the_pause():
    hand = Hand(count=10).know()
    began = hand.now
    while hand.state(4) is not State.DEAD:
        hand.run(100 * MS, others(hand, 4))
        assert hand.now < began + 20 * SECOND
    assert hand.now - began > TIMING.pause and hand.changes(4) == [State.ALIVE, State.SUSPECT, State.DEAD]
    assert all(hand.state(member) is State.ALIVE for member in others(hand, 4))


def test_a_late_direct_answer_has_others_asked_and_their_answer_counts():
    hand = Hand(count=10).know()
    for _ in range(200):
        first = len(hand.sent)
        hand.run(100 * MS, others(hand, 4))
        for to, message in hand.sent[first:]:
            if isinstance(message, IndirectPing):
                assert message.target == 4 and to not in (0, 4)
                hand.tell(to, IndirectAck, 4, 1, sequence=message.header.sequence)
    assert any(isinstance(message, IndirectPing) for _, message in hand.sent)
    assert State.SUSPECT not in hand.changes(4)


def test_a_suspect_that_answers_an_own_probe_is_suspect_no_longer():
    hand = Hand(count=10).know()
    while hand.state(4) is not State.SUSPECT:
        hand.run(100 * MS, others(hand, 4))
    hand.sent.clear()
    hand.run(2 * SECOND, others(hand))
    pings = [message for to, message in hand.sent if to == 4 and isinstance(message, Ping)]
    assert pings[0].facts[0] == replace_age(Fact(4, 1, State.SUSPECT, 0, True), pings[0].facts[0])
    assert hand.state(4) is State.ALIVE


def replace_age(fact, other):
    return Fact(fact.member, fact.incarnation, fact.state, other.age, fact.witness)


@pytest.mark.parametrize("state", [State.SUSPECT, State.DEAD, State.LEFT])
def test_what_is_said_against_the_member_itself_is_refuted_at_once(state):
    hand = Hand().know().run(2 * SECOND, range(1, COUNT))
    hand.sent.clear()
    hand.tell(3, Gossip, (Fact(0, 1, state),))
    assert hand.member.incarnation == 2
    direct = [message for _, message in hand.sent if isinstance(message, Gossip)]
    assert len(direct) >= 10 and all(Fact(0, 2, State.ALIVE) in message.facts for message in direct)
    hand.tell(3, Gossip, (Fact(0, 1, state),))
    assert hand.member.incarnation == 2  # once


def test_a_member_goes_over_a_higher_incarnation_of_itself():
    hand = Hand(incarnation=3).know()
    hand.tell(3, Gossip, (Fact(0, 7, State.ALIVE),))
    assert hand.member.incarnation == 8
    hand.tell(3, Gossip, held=11)
    assert hand.member.incarnation == 12


def test_an_incarnation_at_its_bound_stays_one_that_others_read():
    """Else one member that tells nonsense would have this one sending what everybody drops."""
    hand = Hand().know()
    hand.tell(3, Gossip, held=MAX_INCARNATION)
    hand.tell(3, Gossip, (Fact(0, MAX_INCARNATION, State.DEAD),))
    assert hand.member.incarnation == MAX_INCARNATION
    hand.run(2 * SECOND, others(hand))  # each datagram of it is read by its receiver's codec
    assert any(isinstance(message, Ping) for _, message in hand.sent)


@pytest.mark.parametrize("held, taken", [(0, 1), (6, 7), (MAX_INCARNATION, MAX_INCARNATION)])
def test_without_a_folder_the_others_are_asked_for_the_incarnation(held, taken):
    hand = Hand(incarnation=0)
    for _ in range(40):
        first = len(hand.sent)
        hand.run(100 * MS)
        for to, message in hand.sent[first:]:
            if isinstance(message, Ping) and hand.member.incarnation == 0:
                assert message.header.incarnation == 0
                hand.tell(to, Ack, sequence=message.header.sequence, held=held)
    assert Joined(taken) in hand.events and hand.member.incarnation == taken


def test_datagrams_of_an_earlier_process_change_nothing_and_its_ping_is_told_so():
    hand = Hand().know()
    hand.tell(3, Gossip, incarnation=5)
    before = list(hand.member.view.incarnations), hand.member.view.digest
    hand.sent.clear()
    assert hand.tell(3, Gossip, (Fact(4, 9, State.DEAD),), incarnation=4) is DropReason.STALE
    assert hand.tell(3, Ping, (Fact(4, 9, State.DEAD),), incarnation=4) is DropReason.STALE
    assert (list(hand.member.view.incarnations), hand.member.view.digest) == before
    assert [
        message.header.known_incarnation for to, message in hand.sent if to == 3 and isinstance(message, Ack)
    ] == [5]


def test_a_datagram_from_another_address_than_its_senders_is_dropped():
    hand = Hand().know()
    assert hand.tell(3, Gossip, (Fact(4, 9, State.DEAD),), address=5) is DropReason.SENDER
    data = codec(me=3).write(Gossip(Header(3, 1, 0, 0, 0), ()))
    assert hand.member.received(hand.now, data, None) is DropReason.SENDER
    assert hand.state(4) is State.ALIVE and hand.member.drops[DropReason.SENDER] == 2


def test_one_that_left_is_neither_suspect_nor_dead_and_comes_back_with_a_higher_incarnation():
    hand = Hand(count=10).know()
    hand.tell(3, Gossip, (Fact(4, 1, State.LEFT),))
    hand.run(20 * SECOND, others(hand, 4))
    assert hand.changes(4) == [State.ALIVE, State.LEFT]
    hand.tell(3, Gossip, (Fact(4, 1, State.ALIVE),))
    assert hand.state(4) is State.LEFT
    hand.tell(4, Gossip, incarnation=2)
    assert hand.state(4) is State.ALIVE


def test_those_that_never_spoke_are_unknown_and_never_dead():
    hand = Hand(count=10).know(1, 2, 3, 4)
    hand.run(60 * SECOND, (1, 2, 3, 4))
    assert [hand.state(member) for member in range(5, 10)] == [None] * 5
    tried = {to for to, message in hand.sent if isinstance(message, Ping)}
    assert tried >= set(range(5, 10))


def test_a_member_whose_clock_jumps_judges_nobody_by_what_it_missed():
    hand = Hand(count=10).know()
    while hand.state(4) is not State.SUSPECT:
        hand.run(100 * MS, others(hand, 4))
    hand.now += 30 * SECOND  # it did not run
    hand.member.tick(hand.now)
    hand._took()
    assert hand.state(4) is State.SUSPECT
    hand.run(TIMING.late_tick_grace, others(hand))
    assert all(hand.state(member) is State.ALIVE for member in others(hand))


def test_who_gets_no_answer_is_isolated_says_why_and_judges_nobody():
    hand = Hand(count=10).know()
    hand.run(30 * SECOND)
    assert [event.why for event in hand.events if isinstance(event, IsolationChanged)] == [Isolation.DEAF]
    assert all(hand.state(member) is not State.DEAD for member in others(hand))
    hand.run(100 * MS, others(hand)).run(2 * SECOND, others(hand))
    assert hand.events[-1].why is None or any(
        isinstance(event, IsolationChanged) and event.why is None for event in hand.events
    )
    assert all(hand.state(member) is not State.DEAD for member in others(hand))


def test_who_hears_others_and_gets_no_answer_is_unanswered():
    hand = Hand(count=10).know()
    for _ in range(40):
        hand.run(500 * MS)
        hand.tell(3, Ping, sequence=9)
    reasons = [event.why for event in hand.events if isinstance(event, IsolationChanged)]
    assert reasons == [Isolation.UNANSWERED]


def test_two_refusals_apart_are_a_verdict_and_one_is_none():
    verdicts = []
    for times in (1, 2):
        hand = Hand(count=10).know()
        for _ in range(times):
            hand.member.refused(hand.now, 4)
            hand.run(TIMING.refusal_interval, others(hand, 4))
        hand.run(SECOND, others(hand, 4))
        verdicts.append(hand.state(4))
    assert verdicts == [State.ALIVE, State.DEAD]


@pytest.mark.parametrize("form", [Ping, PageDigests])
def test_a_flood_from_a_member_is_answered_within_the_budget(form):
    hand = Hand().know()
    parts = ((1, 2),) if form is PageDigests else ()
    hand.sent.clear()
    sizes = 0
    for _ in range(100):
        for _ in range(100):  # ten thousand in a second
            hand.tell(3, form, *parts, sequence=1)
        hand.run(10 * MS, others(hand))
    for to, message in hand.sent:
        sizes += len(Codec(cluster_key(PEERS), COUNT, to, PAGES).write(message)) + PACKET_HEADER_BYTES
    assert sizes <= BYTES_PER_SECOND + 2 * MAX_SAVED_BYTES
    assert all(hand.state(member) is State.ALIVE for member in others(hand))
    assert len(hand.member.queue) <= COUNT and len(hand.member.probes.outstanding) <= 64


def test_a_digest_that_never_agrees_costs_one_page_request_a_second():
    hand = Hand(count=10).know()
    hand.run(5 * SECOND, others(hand))
    hand.sent.clear()
    for _ in range(100):
        hand.tell(3, Ping, digest=77)
        hand.run(100 * MS, others(hand))
    asked = [message for _, message in hand.sent if isinstance(message, PageDigests)]
    assert 5 <= len(asked) <= 11


def test_pages_that_differ_are_sent_and_what_is_newer_here_is_told():
    hand = Hand().know()
    hand.run(60 * SECOND, others(hand))
    hand.sent.clear()
    digests = list(hand.member.view.page_digests)
    digests[1] ^= 1
    hand.tell(3, PageDigests, tuple(digests))
    (page,) = [message for to, message in hand.sent if to == 3 and isinstance(message, Page)]
    assert (page.first, page.end) == (PAGE_MEMBERS, COUNT) and len(page.facts) == COUNT - PAGE_MEMBERS
    hand.tell(3, Page, PAGE_MEMBERS, COUNT, (Fact(33, 4, State.DEAD),))
    assert hand.state(33) is State.DEAD and len(hand.member.queue) >= COUNT - PAGE_MEMBERS


def test_a_clean_end_is_told_to_many_and_nothing_is_done_after_it():
    hand = Hand().know().run(2 * SECOND, range(1, COUNT))
    hand.sent.clear()
    hand.member.leave(hand.now)
    hand._took()
    left = Fact(0, 1, State.LEFT)
    assert len(hand.sent) >= 20 and all(message.facts[0] == left for _, message in hand.sent)
    hand.sent.clear()
    hand.tell(3, Ping, (Fact(0, 1, State.DEAD),))
    hand.member.tick(hand.now + SECOND)
    hand._took()
    assert hand.sent == [] and hand.member.incarnation == 1
