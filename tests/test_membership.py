"""The failure detector without sockets: datagrams, precedence, suspicions, and one member step by step."""

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
KEY = cluster_key(PEERS)
PAGES = page_count(COUNT)
NOW = 1000 * SECOND
TIMING = Timing()


def codec(me=0, count=COUNT, key=KEY):
    """The codec of one member."""
    return Codec(key, count, me, page_count(count))


WORDS = st.integers(0, 2**32 - 1)  # of 32 bits
INCARNATIONS = st.integers(0, MAX_INCARNATION)
HEADERS = st.builds(Header, st.integers(1, COUNT - 1), INCARNATIONS, WORDS, WORDS, INCARNATIONS)


def make_fact(member, incarnation, state, age, witness):
    """A fact; age and witness only of a suspicion, as datagrams carry them."""
    return Fact(member, incarnation, state, *((age, witness) if state is State.SUSPECT else ()))


FACT = st.builds(
    make_fact,
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
def test_an_encoded_message_decodes_to_itself(message):
    data = codec().write(message)
    assert len(data) <= MAX_DATAGRAM_BYTES and codec().read(data) == message


@given(MESSAGES, st.data())
def test_a_datagram_with_a_changed_missing_or_added_byte_is_invalid(message, draw):
    data = codec().write(message)
    at = draw.draw(st.integers(0, len(data) - 1))
    flipped = data[:at] + bytes([data[at] ^ draw.draw(st.integers(1, 255))]) + data[at + 1 :]
    for bad in (flipped, data[:at], data + b"\0"):
        with pytest.raises(InvalidDatagram):
            codec().read(bad)


@given(st.binary(max_size=400))
def test_arbitrary_bytes_are_an_invalid_datagram_and_no_other_error(data):
    with pytest.raises(InvalidDatagram):
        codec().read(data)


def sealed(data, key=KEY):
    """The datagram with its correct checksum."""
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
def test_each_invalid_datagram_has_its_reason(data, drop):
    with pytest.raises(InvalidDatagram) as error:
        codec().read(data)
    assert error.value.drop is drop


@given(FACTS)
def test_encoded_facts_never_exceed_the_estimated_size(facts):
    assert len(write_facts(facts)) <= 1 + MAX_TWO_BYTE_DISTANCES + sum(fact_bytes(fact) for fact in facts)


@given(st.lists(FACT, max_size=30), st.randoms())
def test_views_with_the_same_facts_in_any_order_are_equal(facts, random):
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


def test_a_fact_is_sent_a_bounded_number_of_times_and_the_newest_first():
    queue = FactQueue(3)
    for member in range(100):
        queue.add(member)

    def fact(member):
        return Fact(member, 1, State.ALIVE)

    assert [each.member for each in queue.take(MAX_TWO_BYTE_DISTANCES + 6, fact)] == [99, 98, 97]
    queue.add(5)  # still queued: its change overtakes the others
    assert queue.take(MAX_TWO_BYTE_DISTANCES + 2, fact)[0].member == 5
    sent = [each.member for _ in range(200) for each in queue.take(60, fact)]
    assert len(queue) == 0 and max(sent.count(member) for member in range(100)) <= 3


def test_a_suspicion_is_shorter_with_witnesses_and_shortest_with_a_closed_port():
    suspicion = Suspicion(NOW, own=False, next_probe=NOW)
    reported = suspicion.ends_at(TIMING)
    suspicion.own = True
    alone = suspicion.ends_at(TIMING)
    suspicion.confirm(3), suspicion.confirm(3)
    assert suspicion.ends_at(TIMING) == alone  # the same witness twice
    suspicion.confirm(4)
    confirmed = suspicion.ends_at(TIMING)
    refusals = Refusals(NOW, next_probe=NOW)
    waits = (0, TIMING.refusal_interval - 1, TIMING.refusal_interval)
    enough = [refusals.add(NOW + wait, TIMING) for wait in waits]
    assert enough == [False, False, True]  # a burst counts once
    suspicion.refused = True
    assert suspicion.ends_at(TIMING) < confirmed < alone < reported
    assert confirmed - NOW > TIMING.pause


def test_an_answer_counts_once_and_only_from_the_probed_member():
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


# One real member; the test plays all others.


class MemberHarness:
    """Drives member 0 of a fleet of `count`: the test sets its time and its datagrams."""

    def __init__(self, incarnation=1, count=COUNT):
        self.peers, self.now, self.count = PEERS[:count], NOW, count
        self.member = Member(self.peers, 0, incarnation, Random(5), NOW)
        self.sent, self.events = [], []
        self._take_output()

    def _take_output(self):
        """Collect the member's datagrams, each decoded by its receiver, and its events."""
        datagrams, events = self.member.take()
        for each in datagrams:
            receiver = Codec(cluster_key(self.peers), self.count, each.to, page_count(self.count))
            self.sent.append((each.to, receiver.read(each.data)))
        self.events += events

    def run(self, span, answering=()):
        """Tick the member as it is due; the members `answering` answer pings at once."""
        until = self.now + span
        while self.member.due <= until:
            self.now = max(self.now, self.member.due)
            self.member.tick(self.now)
            first = len(self.sent)
            self._take_output()
            for to, message in self.sent[first:]:
                if isinstance(message, Ping) and to in answering:
                    self.send(to, Ack, sequence=message.header.sequence)
        self.now = until
        return self

    def send(
        self, sender, form, *parts, sequence=0, incarnation=1, known_incarnation=0, digest=0, address=None
    ):
        header = Header(sender, incarnation, sequence, digest, known_incarnation)
        one = Codec(cluster_key(self.peers), self.count, sender, page_count(self.count))
        drop = self.member.received(
            self.now, one.write(form(header, *parts)), sender if address is None else address
        )
        self._take_output()
        return drop

    def know(self, *members):
        """Make these members, or all others, known as alive."""
        for member in members or range(1, self.count):
            self.send(member, Gossip, (Fact(member, 1, State.ALIVE),))
        self.sent.clear()
        return self

    def state(self, member):
        """A member's state in the view; None: unknown."""
        return self.member.view.states[member] if self.member.view.is_known(member) else None

    def changes(self, member):
        """The states that were reported of a member."""
        return [
            event.state
            for event in self.events
            if isinstance(event, MemberChanged) and event.member == member
        ]


def others(harness, *excluded):
    """All other members, without the excluded ones."""
    return set(range(1, harness.count)) - set(excluded)


def test_a_silent_member_becomes_suspect_then_dead_but_not_within_the_tolerated_pause():
    harness = MemberHarness(count=10).know()
    began = harness.now
    while harness.state(4) is not State.DEAD:
        harness.run(100 * MS, others(harness, 4))
        assert harness.now < began + 20 * SECOND
    assert harness.now - began > TIMING.pause and harness.changes(4) == [
        State.ALIVE,
        State.SUSPECT,
        State.DEAD,
    ]
    assert all(harness.state(member) is State.ALIVE for member in others(harness, 4))


def test_a_late_direct_answer_causes_indirect_probes_whose_answers_count():
    harness = MemberHarness(count=10).know()
    for _ in range(200):
        first = len(harness.sent)
        harness.run(100 * MS, others(harness, 4))
        for to, message in harness.sent[first:]:
            if isinstance(message, IndirectPing):
                assert message.target == 4 and to not in (0, 4)
                harness.send(to, IndirectAck, 4, 1, sequence=message.header.sequence)
    assert any(isinstance(message, IndirectPing) for _, message in harness.sent)
    assert State.SUSPECT not in harness.changes(4)


def test_a_suspect_that_answers_a_probe_is_alive_again():
    harness = MemberHarness(count=10).know()
    while harness.state(4) is not State.SUSPECT:
        harness.run(100 * MS, others(harness, 4))
    harness.sent.clear()
    harness.run(2 * SECOND, others(harness))
    pings = [message for to, message in harness.sent if to == 4 and isinstance(message, Ping)]
    assert pings[0].facts[0] == replace_age(Fact(4, 1, State.SUSPECT, 0, True), pings[0].facts[0])
    assert harness.state(4) is State.ALIVE


def replace_age(fact, other):
    return Fact(fact.member, fact.incarnation, fact.state, other.age, fact.witness)


@pytest.mark.parametrize("state", [State.SUSPECT, State.DEAD, State.LEFT])
def test_a_member_refutes_a_bad_state_of_itself_at_once(state):
    harness = MemberHarness().know().run(2 * SECOND, range(1, COUNT))
    harness.sent.clear()
    harness.send(3, Gossip, (Fact(0, 1, state),))
    assert harness.member.incarnation == 2
    direct = [message for _, message in harness.sent if isinstance(message, Gossip)]
    assert len(direct) >= 10 and all(Fact(0, 2, State.ALIVE) in message.facts for message in direct)
    harness.send(3, Gossip, (Fact(0, 1, state),))
    assert harness.member.incarnation == 2  # once


def test_a_member_exceeds_a_higher_incarnation_of_itself():
    harness = MemberHarness(incarnation=3).know()
    harness.send(3, Gossip, (Fact(0, 7, State.ALIVE),))
    assert harness.member.incarnation == 8
    harness.send(3, Gossip, known_incarnation=11)
    assert harness.member.incarnation == 12


def test_the_incarnation_never_exceeds_its_maximum():
    """Otherwise one faulty member could make this one send datagrams that all others drop."""
    harness = MemberHarness().know()
    harness.send(3, Gossip, known_incarnation=MAX_INCARNATION)
    harness.send(3, Gossip, (Fact(0, MAX_INCARNATION, State.DEAD),))
    assert harness.member.incarnation == MAX_INCARNATION
    harness.run(2 * SECOND, others(harness))  # each sent datagram is decoded by its receiver's codec
    assert any(isinstance(message, Ping) for _, message in harness.sent)


@pytest.mark.parametrize("known_incarnation, taken", [(0, 1), (6, 7), (MAX_INCARNATION, MAX_INCARNATION)])
def test_without_a_stored_incarnation_the_other_members_are_queried(known_incarnation, taken):
    harness = MemberHarness(incarnation=0)
    for _ in range(40):
        first = len(harness.sent)
        harness.run(100 * MS)
        for to, message in harness.sent[first:]:
            if isinstance(message, Ping) and harness.member.incarnation == 0:
                assert message.header.incarnation == 0
                harness.send(to, Ack, sequence=message.header.sequence, known_incarnation=known_incarnation)
    assert Joined(taken) in harness.events and harness.member.incarnation == taken


def test_datagrams_of_an_earlier_process_change_nothing_and_its_ping_is_answered():
    harness = MemberHarness().know()
    harness.send(3, Gossip, incarnation=5)
    before = list(harness.member.view.incarnations), harness.member.view.digest
    harness.sent.clear()
    assert harness.send(3, Gossip, (Fact(4, 9, State.DEAD),), incarnation=4) is DropReason.STALE
    assert harness.send(3, Ping, (Fact(4, 9, State.DEAD),), incarnation=4) is DropReason.STALE
    assert (list(harness.member.view.incarnations), harness.member.view.digest) == before
    assert [
        message.header.known_incarnation
        for to, message in harness.sent
        if to == 3 and isinstance(message, Ack)
    ] == [5]


def test_a_datagram_from_another_address_than_its_senders_is_dropped():
    harness = MemberHarness().know()
    assert harness.send(3, Gossip, (Fact(4, 9, State.DEAD),), address=5) is DropReason.SENDER
    data = codec(me=3).write(Gossip(Header(3, 1, 0, 0, 0), ()))
    assert harness.member.received(harness.now, data, None) is DropReason.SENDER
    assert harness.state(4) is State.ALIVE and harness.member.drops[DropReason.SENDER] == 2


def test_a_member_that_left_does_not_become_dead_and_returns_with_a_higher_incarnation():
    harness = MemberHarness(count=10).know()
    harness.send(3, Gossip, (Fact(4, 1, State.LEFT),))
    harness.run(20 * SECOND, others(harness, 4))
    assert harness.changes(4) == [State.ALIVE, State.LEFT]
    harness.send(3, Gossip, (Fact(4, 1, State.ALIVE),))
    assert harness.state(4) is State.LEFT
    harness.send(4, Gossip, incarnation=2)
    assert harness.state(4) is State.ALIVE


def test_members_that_never_sent_anything_stay_unknown_and_are_probed():
    harness = MemberHarness(count=10).know(1, 2, 3, 4)
    harness.run(60 * SECOND, (1, 2, 3, 4))
    assert [harness.state(member) for member in range(5, 10)] == [None] * 5
    tried = {to for to, message in harness.sent if isinstance(message, Ping)}
    assert tried >= set(range(5, 10))


def test_a_member_that_did_not_run_declares_nobody_dead_for_answers_it_missed():
    harness = MemberHarness(count=10).know()
    while harness.state(4) is not State.SUSPECT:
        harness.run(100 * MS, others(harness, 4))
    harness.now += 30 * SECOND  # the process did not run
    harness.member.tick(harness.now)
    harness._take_output()
    assert harness.state(4) is State.SUSPECT
    harness.run(TIMING.late_tick_grace, others(harness))
    assert all(harness.state(member) is State.ALIVE for member in others(harness))


def test_a_member_without_answers_is_isolated_with_a_reason_and_declares_nobody_dead():
    harness = MemberHarness(count=10).know()
    harness.run(30 * SECOND)
    assert [event.why for event in harness.events if isinstance(event, IsolationChanged)] == [Isolation.DEAF]
    assert all(harness.state(member) is not State.DEAD for member in others(harness))
    harness.run(100 * MS, others(harness)).run(2 * SECOND, others(harness))
    assert harness.events[-1].why is None or any(
        isinstance(event, IsolationChanged) and event.why is None for event in harness.events
    )
    assert all(harness.state(member) is not State.DEAD for member in others(harness))


def test_a_member_that_receives_pings_but_no_answers_is_isolated_as_unanswered():
    harness = MemberHarness(count=10).know()
    for _ in range(40):
        harness.run(500 * MS)
        harness.send(3, Ping, sequence=9)
    reasons = [event.why for event in harness.events if isinstance(event, IsolationChanged)]
    assert reasons == [Isolation.UNANSWERED]


def test_two_separate_refusals_declare_a_member_dead_and_one_does_not():
    states = []
    for times in (1, 2):
        harness = MemberHarness(count=10).know()
        for _ in range(times):
            harness.member.refused(harness.now, 4)
            harness.run(TIMING.refusal_interval, others(harness, 4))
        harness.run(SECOND, others(harness, 4))
        states.append(harness.state(4))
    assert states == [State.ALIVE, State.DEAD]


@pytest.mark.parametrize("form", [Ping, PageDigests])
def test_a_flood_from_a_member_is_answered_within_the_byte_budget(form):
    harness = MemberHarness().know()
    parts = ((1, 2),) if form is PageDigests else ()
    harness.sent.clear()
    sizes = 0
    for _ in range(100):
        for _ in range(100):  # ten thousand in a second
            harness.send(3, form, *parts, sequence=1)
        harness.run(10 * MS, others(harness))
    for to, message in harness.sent:
        sizes += len(Codec(cluster_key(PEERS), COUNT, to, PAGES).write(message)) + PACKET_HEADER_BYTES
    assert sizes <= BYTES_PER_SECOND + 2 * MAX_SAVED_BYTES
    assert all(harness.state(member) is State.ALIVE for member in others(harness))
    assert len(harness.member.queue) <= COUNT and len(harness.member.probes.outstanding) <= 64


def test_a_digest_that_always_differs_causes_at_most_one_page_request_a_second():
    harness = MemberHarness(count=10).know()
    harness.run(5 * SECOND, others(harness))
    harness.sent.clear()
    for _ in range(100):
        harness.send(3, Ping, digest=77)
        harness.run(100 * MS, others(harness))
    asked = [message for _, message in harness.sent if isinstance(message, PageDigests)]
    assert 5 <= len(asked) <= 11


def test_differing_pages_are_sent_and_newer_facts_are_queued():
    harness = MemberHarness().know()
    harness.run(60 * SECOND, others(harness))
    harness.sent.clear()
    digests = list(harness.member.view.page_digests)
    digests[1] ^= 1
    harness.send(3, PageDigests, tuple(digests))
    (page,) = [message for to, message in harness.sent if to == 3 and isinstance(message, Page)]
    assert (page.first, page.end) == (PAGE_MEMBERS, COUNT) and len(page.facts) == COUNT - PAGE_MEMBERS
    harness.send(3, Page, PAGE_MEMBERS, COUNT, (Fact(33, 4, State.DEAD),))
    assert harness.state(33) is State.DEAD and len(harness.member.queue) >= COUNT - PAGE_MEMBERS


def test_a_leaving_member_notifies_many_others_and_then_does_nothing():
    harness = MemberHarness().know().run(2 * SECOND, range(1, COUNT))
    harness.sent.clear()
    harness.member.leave(harness.now)
    harness._take_output()
    left = Fact(0, 1, State.LEFT)
    assert len(harness.sent) >= 20 and all(message.facts[0] == left for _, message in harness.sent)
    harness.sent.clear()
    harness.send(3, Ping, (Fact(0, 1, State.DEAD),))
    harness.member.tick(harness.now + SECOND)
    harness._take_output()
    assert harness.sent == [] and harness.member.incarnation == 1
