"""Whose turn it is in a key, for two processes of one relay, and how each learns of the other."""

from __future__ import annotations

import os
from itertools import count

import pytest
from conftest import S
from hypothesis import given
from hypothesis import strategies as st
from test_crossings import RunningReactor, ledger_in, accept_text

from limelatch.interface import Health
from limelatch.key_order import BlockReason, KeyCooldown, KeyOrder, QueuedText
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.handover import SIBLING_POLL_INTERVAL, Handover
from limelatch.relay.ledger import Ledger
from limelatch.relay.records import HostHealth
from limelatch.relay.sibling import LedgerFollower, Sibling

KEY, NOW = b"k", 1000 * S


def order_of(*places):
    order = KeyOrder()
    for place in places:
        order.add(KEY, place)
    return order


def block_reason(order, text, now=NOW):
    return order.block_reason(now, KEY, text)


def test_texts_of_a_process_go_as_they_were_handed_in_whenever_they_are_told():
    order = order_of(QueuedText(b"b", 5), QueuedText(b"c", 5), QueuedText(b"a", 3))
    assert [place.text for place in order.queues[KEY]] == [b"a", b"b", b"c"]
    assert block_reason(order, b"a") is None and block_reason(order, b"b") is BlockReason.QUEUE
    order.remove(KEY, b"a")
    assert block_reason(order, b"b") is None
    order.remove(KEY, b"b")
    order.remove(KEY, b"c")
    assert order.queues == {}


def test_a_text_that_has_begun_keeps_the_turn_before_one_handed_in_earlier():
    order = order_of(QueuedText(b"b", 5))
    order.mark_started(KEY, b"b")
    order.add(KEY, QueuedText(b"a", 3))
    assert block_reason(order, b"b") is None and block_reason(order, b"a") is BlockReason.QUEUE


@pytest.mark.parametrize(
    "own, other, goes",
    [
        (QueuedText(b"a", 3), QueuedText(b"b", 5), True),
        (QueuedText(b"a", 5), QueuedText(b"b", 3), False),
        (QueuedText(b"a", 3), QueuedText(b"b", 5, started=True), False),
        (QueuedText(b"a", 5, started=True), QueuedText(b"b", 3), True),
        (QueuedText(b"a", 5), QueuedText(b"b", 5), True),
        (QueuedText(b"b", 5), QueuedText(b"a", 5), False),
    ],
)
def test_of_two_processes_one_alone_has_the_turn(own, other, goes):
    here, there = order_of(own), order_of(other)
    here.set_sibling_texts([(KEY, other)])
    there.set_sibling_texts([(KEY, own)])
    assert block_reason(here, own.text) is (None if goes else BlockReason.SIBLING)
    assert block_reason(there, other.text) is (BlockReason.SIBLING if goes else None)


def test_a_rest_binds_all_texts_but_the_one_that_caused_it_and_the_longest_holds():
    order = order_of(QueuedText(b"a", 1), QueuedText(b"b", 2))
    order.start_cooldown(KEY, b"a", NOW + 5)
    order.start_cooldown(KEY, b"x", NOW + 3)
    assert block_reason(order, b"a") is None and order.cooldowns[KEY] == KeyCooldown(NOW + 5, b"a")
    order.remove(KEY, b"a")
    assert block_reason(order, b"b") is BlockReason.COOLDOWN and block_reason(order, b"b", NOW + 5) is None
    order.forget_expired_cooldowns(NOW + 5)
    assert order.cooldowns == {}


STEPS = st.lists(
    st.tuples(st.sampled_from(["take", "stamp", "claim", "over"]), st.integers(0, 1)), max_size=40
)


@given(STEPS)
def test_no_two_processes_ever_have_a_text_of_a_key_out_together(steps):
    """Any order of events; a text's stamp may be drawn long before its record is written (`stamp`)."""
    orders, drawn, held = [KeyOrder(), KeyOrder()], [[], []], [{}, {}]
    numbers = count(1)
    for step, me in steps:
        order, mine, theirs = orders[me], held[me], held[1 - me]
        if step == "stamp":
            drawn[me].append(next(numbers))
        elif step == "take":
            stamp = drawn[me].pop(0) if drawn[me] else next(numbers)
            mine[b"%d" % stamp] = QueuedText(b"%d" % stamp, stamp)
            order.add(KEY, mine[b"%d" % stamp])
        elif step == "claim":
            order.set_sibling_texts([(KEY, place) for place in theirs.values()])
            for text in list(mine):
                if block_reason(order, text) is None:
                    order.mark_started(KEY, text)
        else:
            begun = next((text for text, place in mine.items() if place.started), None)
            if begun is not None:
                del mine[begun]
                order.remove(KEY, begun)
        assert sum(place.started for side in held for place in side.values()) <= 1


# How a process follows its sibling's ledger.


def test_a_follower_reads_on_after_compactions_between_two_looks(tmp_path):
    """An inode's number that is used again must not pass for the file read before."""
    ledger, follower = ledger_in(tmp_path), LedgerFollower()
    accept_text(ledger, b"a")
    assert list(follower.poll(ledger.path).entries) == [b"a"]
    for number in range(6):
        accept_text(ledger, b"b%d" % number)
        ledger.record_finished(b"b%d" % number)
        ledger.compact()
        accept_text(ledger, b"c%d" % number)
    texts = [b"a", *(b"c%d" % number for number in range(6))]
    assert list(follower.poll(ledger.path).entries) == texts
    ledger.record_finished(b"a")
    assert list(follower.poll(ledger.path).entries) == texts[1:]
    follower.close()


def test_a_follower_bears_a_torn_record_an_emptied_file_and_none(tmp_path):
    ledger, follower = ledger_in(tmp_path), LedgerFollower()
    accept_text(ledger, b"a")
    accept_text(ledger, b"b")
    raw = open(ledger.path, "rb").read()
    path = str(tmp_path / "other")
    for end in range(len(raw) + 1):
        with open(path, "ab") as file:
            file.write(raw[end - 1 : end] if end else b"")
        follower.poll(path)
    assert list(follower.poll(path).entries) == [b"a", b"b"]
    os.truncate(path, 0)
    assert follower.poll(path).entries == {}
    os.remove(path)
    assert follower.poll(path) is None


class Process:
    """One process of a relay at a hand-over: its ledger and its order of keys, without sockets."""

    def __init__(self, folder, clock, disk=100_000):
        self.clock, self.order, self.adopted, self.shares = clock, KeyOrder(), [], []
        self.ledger = Ledger(str(folder), disk, 10_000_000)
        self.handover = Handover(
            self.ledger,
            clock,
            Deadlines(clock, clock),
            self.order,
            lambda product: product == "charge",
            self.adopt,
            lambda: None,
            self.shares.append,
        )
        self.handover.start()

    def adopt(self, entries):
        self.adopted += [entry.id for entry in entries]
        for entry in entries:
            self.order.add(entry.key, QueuedText(entry.id, entry.received_at, entry.submit_count > 0))

    def take(self, text, at, **more):
        self.order.add(KEY, QueuedText(text, at))
        accept_text(self.ledger, text, key="k", product="charge", **({"at": at, "ordered": True} | more))

    def claim(self, text):
        return self.handover.claim(KEY, text, lambda: self.ledger.record_submit(text, self.clock.now(), 0))


@pytest.fixture
def pair(tmp_path):
    clock = RunningReactor()
    pair = Process(tmp_path, clock), Process(tmp_path, clock)
    assert pair[1].ledger.is_standby
    yield pair
    for each in pair:
        each.ledger.close()


@pytest.mark.parametrize("first", [0, 1])
def test_a_claim_looks_at_the_sibling_once_more(pair, first):
    """What the sibling took after this process's last look counts, as does what it has just sent."""
    one, other = pair[first], pair[1 - first]
    one.handover.poll()
    other.handover.poll()
    other.take(b"b", 9)
    one.take(b"a", 5)
    assert other.claim(b"b") is BlockReason.SIBLING and one.claim(b"a") is None
    other.take(b"c", 3)  # drawn before, written after the other one's submit has gone
    assert other.claim(b"c") is BlockReason.SIBLING
    one.ledger.record_submit_end(b"a", True, 0, 50)
    one.ledger.record_finished(b"a")
    assert other.claim(b"c") is BlockReason.COOLDOWN
    other.clock.advance(1)
    assert other.claim(b"c") is None


def test_a_claim_is_refused_while_the_sibling_is_at_one(pair):
    """It may be stopped there: nobody waits for it longer than a few tries."""
    one, other = pair
    one.take(b"a", 5)
    with Sibling(other.ledger).claiming() as held:
        assert held and one.claim(b"a") is BlockReason.SIBLING
    assert one.claim(b"a") is None


def test_texts_of_an_earlier_version_count_by_this_one_s_settings(pair):
    """Its records have no time and do not say whether their product is in order."""
    old, new = pair
    accept_text(old.ledger, b"a", key="k", product="charge")
    accept_text(old.ledger, b"b", key="x", product="notice")
    new.take(b"c", 5)
    new.order.add(b"x", QueuedText(b"d", 5))
    assert new.claim(b"c") is BlockReason.SIBLING and new.order.block_reason(0, b"x", b"d") is None


@pytest.mark.parametrize("dies", [0, 1])
def test_what_a_dead_process_leaves_is_adopted_with_its_rests(pair, dies):
    dead, left = pair[dies], pair[1 - dies]
    dead.take(b"a", 5)
    assert dead.claim(b"a") is None
    dead.ledger.record_submit_end(b"a", True, 0, 50_000)
    dead.ledger.record_finished(b"a")
    dead.take(b"b", 6)
    left.take(b"c", 4)
    left.clock.advance(0.3)  # it has seen that there are two
    dead.ledger.close()
    left.clock.advance(1.1)
    assert left.adopted == [b"b"] and not left.ledger.is_standby
    assert left.shares == [True, False]  # half of the descriptors, then all
    assert left.claim(b"c") is BlockReason.COOLDOWN and left.claim(b"b") is BlockReason.QUEUE
    left.clock.advance(5)
    assert left.claim(b"c") is None
    again = ledger_in_place_of(left)
    assert again.state.cooldowns[KEY].until == 50_000 and list(again.entries) != []
    again.close()


def ledger_in_place_of(process):
    process.ledger.compact()
    process.ledger.close()
    again = ledger_in(process.ledger.state_dir)
    process.ledger = again
    return again


def test_a_process_without_a_sibling_holds_no_lock_and_no_descriptor_more(tmp_path):
    process = Process(tmp_path, RunningReactor())
    before = len(os.listdir("/proc/self/fd"))
    process.take(b"a", 5)
    process.handover.poll()
    assert process.claim(b"a") is None and not (tmp_path / "claims").exists()
    assert len(os.listdir("/proc/self/fd")) == before
    process.ledger.close()


def test_the_other_process_s_waits_are_heard(pair):
    old, new = pair
    old.ledger.record_retry_after(b"h", 70, 0)
    new.handover.poll()
    assert new.handover.host_waits == {b"h": 70}
    new.clock.advance(0.01)
    new.handover.poll()
    assert new.handover.host_waits == {}
    assert SIBLING_POLL_INTERVAL < S


def test_an_id_that_the_other_process_holds_is_known(pair):
    """A client that lost its connection as the old process died hands the text in again, and hears +OK."""
    old, new = pair
    old.take(b"a", 5)
    assert new.handover.sibling_has(b"a") and not new.handover.sibling_has(b"b")
    old.ledger.record_finished(b"a")
    assert not new.handover.sibling_has(b"a")


def test_waits_rests_and_how_hosts_were_outlast_a_compaction(pair):
    """The other process may find the new file in the place of the one that it has not read to its end."""
    old, new = pair
    new.handover.poll()
    old.take(b"a", 5)
    old.ledger.record_submit_end(b"a", True, 0, 900)
    old.ledger.record_retry_after(b"h", 700, 0)
    old.ledger.record_health(b"h", Health.OUTAGE, 3)
    live = old.ledger.state.live_bytes
    old.ledger.compact()
    new.handover.poll()
    assert new.handover.host_waits == {b"h": 700} and new.order.cooldowns[KEY].until == 900
    assert new.handover.host_health == {b"h": HostHealth(Health.OUTAGE, 3)}
    again = ledger_in_place_of(old)
    assert again.state.live_bytes == live
    again.record_finished(b"a")
    again.record_retry_after(b"h", 800, 750)
    again.record_retry_after(b"i", 990, 850)
    assert again.state.host_waits == {b"i": 990}
    again.close()


def test_how_hosts_were_is_heard_and_outlasts_the_other_process(pair):
    old, new = pair
    old.ledger.record_health(b"h", Health.OUTAGE, 7)
    old.ledger.record_health(b"h", Health.WARMING, 9)
    new.handover.poll()
    assert new.handover.host_health == {b"h": HostHealth(Health.WARMING, 9)}
    old.ledger.close()
    new.clock.advance(0.2)
    assert not new.ledger.is_standby and new.handover.host_health == {b"h": HostHealth(Health.WARMING, 9)}
    new.clock.advance(30)
    assert new.handover.host_health == {} and not new.handover.has_host_data
