"""An accepted text keeps the terms of its product in each later process, whatever the settings say."""

from __future__ import annotations

import pytest
from conftest import S
from test_terms_restart import CHARGE, NOTICE, SHORT, RelayLife

from limelatch.interface import Effect, Result
from limelatch.relay.handover import STANDBY_POLL_INTERVAL
from limelatch.relay.ledger import IncompatibleLedger
from limelatch.relay.records import LedgerState, RecordKind, encode_record, split_records
from limelatch.relay.text_terms import product_of_terms

START = 1_000 * S  # when the first process of a test starts
PASSAGES = pytest.mark.parametrize("passage", ["restart", "old process dies", "new process dies"])


class RelayOfTwo:
    """A relay whose text is accepted by one process and finished by another one with other settings."""

    def __init__(self, state_dir):
        self.state_dir, self.made = state_dir, []

    def process(self, beside=None, **more):
        """Starts a process; the hosts are those of the process that runs beside it."""
        life = RelayLife(self.state_dir)
        if beside is not None:
            life.clock.rightNow = beside.clock.rightNow
            life.sent, life.ran, life.effects = beside.sent, beside.ran, beside.effects
        life.start(**more)
        self.made.append(life)
        return life

    def pass_on(self, passage, submit, delay, settings, zones=("a",)):
        """A process with SHORT settings accepts texts by `submit` and is killed `delay` later; returns the
        process that has them afterwards, which has the given settings and hosts."""
        if passage == "new process dies":
            last = self.process(settings=settings, zones=zones)
            first = self.process(beside=last)
            last.sent, last.ran, last.effects = first.sent, first.ran, first.effects
        else:
            first = self.process()
            last = None
        submit(first)
        if passage == "old process dies":
            last = self.process(beside=first, settings=settings, zones=zones)
        first.driver.ledger.close()
        if passage == "restart":
            first.clock.rightNow += delay / S
            return self.process(beside=first, settings=settings, zones=zones)
        last.clock.rightNow = first.clock.rightNow + delay / S
        last.clock.advance(1.1 * STANDBY_POLL_INTERVAL / S)
        last.driver.turn()
        return last

    def close(self):
        for life in self.made:
            life.driver.ledger.close()


@pytest.fixture
def relay(tmp_path):
    relay = RelayOfTwo(tmp_path)
    yield relay
    relay.close()


def settings_with(*changed):
    """SHORT with these classes in place of those of the same names, behind the others."""
    names = [each["name"] for each in changed]
    return SHORT | {"classes": [*(each for each in SHORT["classes"] if each["name"] not in names), *changed]}


@PASSAGES
@pytest.mark.parametrize(
    "text, product, changed, delay, zones",
    [
        pytest.param(b"c", b"charge", CHARGE | {"effect": "pure"}, S // 10, ("a",), id="effect"),
        pytest.param(b"n", b"notice", NOTICE | {"dedupWindow": 60_000}, 11 * S // 10, ("a",), id="window"),
        pytest.param(b"n", b"notice", NOTICE | {"group": "all"}, S // 10, ("b",), id="group"),
    ],
)
def test_a_text_in_flight_is_not_repeated_by_the_rules_of_a_new_class_of_its_name(
    relay, passage, text, product, changed, delay, zones
):
    """Guards against a charge that runs twice because the next process knows its class as `pure`."""
    last = relay.pass_on(
        passage, lambda first: first.submit(text, product), delay, settings_with(changed), zones
    )
    last.clock.advance(1.2)  # until its own window is over
    last.driver.turn()
    assert last.calls(text) == [b"a"]
    assert last.ended == {text: "dead"}


@PASSAGES
@pytest.mark.parametrize(
    "classes", [[NOTICE], [NOTICE, CHARGE | {"name": "payment"}]], ids=["dropped", "renamed"]
)
def test_texts_of_a_class_that_the_settings_lack_are_still_delivered(relay, passage, classes):
    """Guards against texts that are given up untried because the next process does not know their class."""

    def submit(first):
        first.submit(b"c1", b"charge", key=b"7")  # in flight at the end of its process
        first.submit(b"c2", b"charge", key=b"7")  # untried, since c1 goes first
        first.submit(b"r", b"report")

    last = relay.pass_on(passage, submit, S // 10, SHORT | {"classes": classes})
    assert last.ended == {b"c1": "dead"}
    assert last.calls(b"r") == [b"a", b"a"]
    last.answer_calls(Result.DELIVERED)
    assert last.calls(b"c2") == []
    last.driver.notice_answered(b"c1")
    last.clock.advance(1.1 * last.driver.plan.settings.key_cooldown / S)
    last.driver.turn()
    assert last.calls(b"c1") == last.calls(b"c2") == [b"a"]
    last.answer_calls(Result.DELIVERED)
    assert not last.driver.accepted and last.ended == {b"c1": "dead"}


@PASSAGES
def test_open_texts_keep_the_order_and_the_deadline_of_a_class_that_comes_back_with_others(relay, passage):
    """Guards against a text of a key that overtakes, and against one given up by a new class's deadline."""
    changed = CHARGE | {"effect": "pure", "oneAtATime": False, "deadline": 1000}

    def submit(first):
        first.submit(b"c1", b"charge", key=b"7")  # refused: it waits for its next submit
        first.answer_calls(Result.FULL)
        first.submit(b"c2", b"charge", key=b"7")

    last = relay.pass_on(passage, submit, 2 * S, settings_with(changed))
    for _ in range(50):
        last.clock.advance(0.1)
        last.driver.turn()
    assert last.calls(b"c1") == [b"a", b"a"] and last.calls(b"c2") == []
    last.answer_calls(Result.DELIVERED)
    last.driver.turn()
    assert last.calls(b"c2") == [b"a"] and not last.ended


def earlier_record(relay, is_in_flight=True, **fields):
    """A ledger as earlier versions wrote it, without terms, of a text whose call is out or has not begun."""
    common = {"key": "", "mark": "", "dest": 1, "until": START + 8 * S, "customer": "acme", "at": START}
    accepted = encode_record(RecordKind.TAKEN, b"t", common | fields, b"x")
    submit = encode_record(RecordKind.GOING, b"t", {"at": START, "zone": 0})
    (relay.state_dir / "ledger").write_bytes(accepted + submit * is_in_flight)


@pytest.mark.parametrize("product, ended", [("charge", {b"t": "dead"}), ("report", {})])
def test_a_record_of_an_earlier_version_has_the_terms_of_the_class_of_its_name(relay, product, ended):
    """Guards against an update of the relay that does not read, or misreads, what the last version left."""
    earlier_record(relay, product=product, ordered=False)
    life = relay.process()
    assert life.ended == ended
    assert life.calls(b"t") == ([] if ended else [b"a"])


def test_texts_with_equal_terms_share_them_and_their_product(relay):
    """Guards against a start with very many open texts that holds the terms of each apart."""
    life = relay.process()
    for text in (b"r1", b"r2"):
        life.submit(text, b"report")
    state = LedgerState()
    for record in split_records((relay.state_dir / "ledger").read_bytes()):
        state.apply(record)
    first, second = (state.entries[text].terms for text in (b"r1", b"r2"))
    assert first is second and first.effect is Effect.RESENDABLE
    assert product_of_terms(first, True) is product_of_terms(second, True)


@pytest.mark.parametrize("is_in_flight", [True, False])
def test_a_record_of_an_earlier_version_without_a_class_of_its_name_is_sent_once(relay, is_in_flight):
    """Nothing is known of what a repeat would do, so it counts as once-only."""
    earlier_record(relay, is_in_flight, product="gone", key="7")
    life = relay.process()
    assert life.ended == ({b"t": "dead"} if is_in_flight else {})
    assert life.calls(b"t") == ([] if is_in_flight else [b"a"])
    life.answer_calls(Result.RESET)
    life.clock.advance(2)
    life.driver.turn()
    assert life.calls(b"t") == ([] if is_in_flight else [b"a"])
    assert life.ended == {b"t": "dead"}


def test_a_record_with_terms_of_a_later_version_is_not_taken_for_a_torn_one(relay):
    """Guards against a start that cuts off accepted texts whose terms it does not understand."""
    earlier_record(relay, product="charge", ordered=True, terms=["twice-a-day", 1])
    before = (relay.state_dir / "ledger").read_bytes()
    with pytest.raises(IncompatibleLedger, match="terms"):
        relay.process()
    assert (relay.state_dir / "ledger").read_bytes() == before
