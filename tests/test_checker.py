"""The rule checker, by records that break each rule on purpose, at its limits."""

import msgspec
import pytest

from limelatch.lab import record as rec
from limelatch.lab.checker import ENDED_DURING_UPGRADE, Checker, Rule
from limelatch.lab.record import Answer, Condition, Fate
from limelatch.lab.scenario import parse
from limelatch.lab.stages.real import ALLOWANCES

S, MS = 10_000, 10  # ticks per second and per millisecond
NOTICE, CHARGE, REPORT = 0, 1, 2
SCENARIO = """
[scenario]
name = "story"
about = "for the checker"
seconds = "60s"
[[floors]]
name = "a"
[[floors]]
name = "b"
[[products]]
name = "notice"
effect = "referenced"
repeat_window = "5s"
repeat_known = "floor"
[[products]]
name = "charge"
effect = "once-only"
in_order = true
[[products]]
name = "report"
effect = "resendable"
[[partners]]
name = "p"
[rules]
drain_grace = "250ms"
key_rest = "300ms"
"""


class RecordBuilder:
    """Feeds a record to the checker event by event, with methods for the usual events of a text."""

    def __init__(self, sockets=False):
        scenario = msgspec.to_builtins(parse("story", SCENARIO))
        head = rec.Head(rec.VERSION, "story", 1, scenario, "", allowances=ALLOWANCES if sockets else {})
        self.checker, self.call_count = Checker(head), 0
        for host in range(2):
            self.add(rec.Host(0, host, f"p-1{'ab'[host]}", 1, 0, host, 10.0))

    def add(self, *events):
        for event in events:
            self.checker.take(event)
        return self

    def accept(self, at, text, product=REPORT, key=0, relay=0, first=None, valid=12 * S):
        self.submit(at, text, product, key, relay, first, valid)
        return self.add(rec.Answered(at, text, Answer.TAKEN, 0))

    def submit(self, at, text, product=REPORT, key=0, relay=0, first=None, valid=12 * S):
        return self.add(rec.Submitted(at, relay, text, first or text, product, 1, 0, key, at + valid, 0))

    def call(self, at, text, host=0, relay=0):
        self.call_count += 1
        self.add(rec.Called(at, at, self.call_count, relay, host, [text]))
        return self.call_count

    def end_call(self, at, call, fate=Fate.DELIVERED, wait=0):
        return self.add(rec.Responded(at, at, call, [fate], wait))

    def give_up(self, at, call):
        return self.add(rec.GaveUp(at, call))

    def finish(self, at=60 * S):
        """Ends the run and returns the broken rules with their counts."""
        self.add(rec.RunEnded(at, True))
        return {rule: count for rule, count in self.checker.counts.items() if count}


@pytest.fixture
def builder():
    return RecordBuilder()


def test_a_text_delivered_in_time_is_no_breach(builder):
    builder.accept(S, "t")
    builder.end_call(2 * S, builder.call(S + 10, "t"))
    assert builder.finish() == {} and builder.checker.finished_count == 1


@pytest.mark.parametrize(
    "sockets, late, broken",
    [(False, 200, {}), (False, 201, {Rule.LOST: 1}), (True, 3500, {}), (True, 3501, {Rule.LOST: 1})],
)
def test_a_final_answer_is_due_when_the_texts_time_is_up(sockets, late, broken):
    builder = RecordBuilder(sockets).accept(S, "t")
    builder.add(rec.NoticeAnswered(13 * S + late, 0, "t", False, 0))
    assert builder.finish() == broken


def test_a_text_without_a_final_answer_is_reported_with_the_events_before(builder):
    builder.accept(S, "t")
    builder.give_up(3 * S, builder.call(2 * S, "t"))
    assert builder.finish() == {Rule.LOST: 1}
    (breach,) = builder.checker.breaches
    assert breach.subject == "text t" and breach.at == 13 * S + 200
    assert [line.partition(" ")[2] for line in breach.trail] == [
        "submitted at relay 0, try 1",
        "answered taken",
        "called at p-1a by relay 0",
        "given up by its relay",
    ]


@pytest.mark.parametrize("end", ["delivered", "nacked", "undeliverable"])
def test_nothing_is_sent_after_a_texts_end(builder, end):
    builder.accept(S, "t")
    if end == "delivered":
        builder.end_call(2 * S, builder.call(S + 1, "t"))
    else:
        builder.add(rec.NoticeAnswered(2 * S, 0, "t", end == "nacked", 0))
    builder.call(3 * S, "t")
    assert Rule.LOST in builder.finish()


def test_no_notice_is_overdue_while_a_relay_is_down_or_has_just_restarted():
    builder = RecordBuilder(sockets=True).accept(S, "t")
    builder.add(rec.Relay(12 * S, 0, "killed"), rec.Relay(14 * S, 0, "ready"))
    builder.add(rec.NoticeAnswered(15 * S + 4000, 0, "t", False, 0))
    assert builder.finish() == {}
    other = RecordBuilder(sockets=True).accept(S, "t")
    other.add(rec.Relay(12 * S, 0, "killed"), rec.Relay(14 * S, 0, "ready"))
    assert other.finish() == {Rule.LOST: 1}


def test_the_texts_of_a_relay_without_its_state_directory_need_no_answer(builder):
    builder.accept(S, "t").add(rec.Relay(2 * S, 0, "wiped"))
    assert builder.finish() == {}


def test_a_text_that_no_client_submitted_may_not_be_sent(builder):
    builder.call(S, "x")
    assert builder.finish() == {Rule.LOST: 1}


@pytest.mark.parametrize(
    "fate, broken",
    [
        (Fate.REFUSED, {}),
        (Fate.FAILED, {Rule.TWICE: 1}),
        (Fate.RESET, {Rule.TWICE: 1}),
        (Fate.GARBLED, {Rule.TWICE: 1}),
        (None, {Rule.TWICE: 1}),
    ],
)
def test_a_once_only_text_is_resent_only_if_it_certainly_has_not_run(builder, fate, broken):
    builder.accept(S, "t", CHARGE)
    call = builder.call(S + 1, "t")
    builder.give_up(2 * S, call) if fate is None else builder.end_call(2 * S, call, fate)
    builder.end_call(4 * S, builder.call(3 * S, "t"))
    assert builder.finish() == broken


@pytest.mark.parametrize(
    "product, broken", [(CHARGE, {Rule.TWICE: 1}), (NOTICE, {Rule.TWICE: 1}), (REPORT, {})]
)
@pytest.mark.parametrize("at_once", [True, False])
def test_a_text_that_may_have_run_is_nacked_only_if_it_may_be_repeated(builder, product, broken, at_once):
    if at_once:  # the client's answer is a nack although a call of the text has begun already
        builder.add(rec.Submitted(S, 0, "t", "t", product, 1, 0, 0, 13 * S, 0))
    else:
        builder.accept(S, "t", product)
    builder.give_up(2 * S, builder.call(S + 1, "t"))
    builder.add(
        rec.Answered(3 * S, "t", Answer.BUSY, 0) if at_once else rec.NoticeAnswered(3 * S, 0, "t", True, 0)
    )
    assert builder.finish() == broken


@pytest.mark.parametrize(
    "host, after, broken", [(0, 5 * S, {}), (0, 5 * S + 1, {Rule.TWICE: 1}), (1, 2 * S, {Rule.TWICE: 1})]
)
def test_a_referenced_text_is_resent_only_within_its_window_and_zone(builder, host, after, broken):
    builder.accept(S, "t", NOTICE)
    builder.give_up(2 * S, builder.call(S, "t", host=0))
    builder.end_call(9 * S, builder.call(S + after, "t", host=host))
    assert builder.finish() == broken


def test_two_calls_of_one_text_may_not_overlap(builder):
    builder.accept(S, "t")
    first = builder.call(S + 1, "t")
    second = builder.call(S + 2, "t")
    builder.end_call(2 * S, first).end_call(2 * S, second)
    assert Rule.TWICE in builder.finish()


@pytest.mark.parametrize("after, broken", [(500, {}), (501, {Rule.TWICE: 1})])
def test_on_sockets_the_end_of_a_call_may_be_recorded_late_by_the_allowance(after, broken):
    builder = RecordBuilder(sockets=True).accept(S, "t")
    first = builder.call(S + 1, "t")
    second = builder.call(2 * S, "t")
    builder.give_up(2 * S + after, first).end_call(3 * S, second)
    assert builder.finish() == broken


def test_effects_are_counted_by_first_submission_and_a_once_only_text_has_one(builder):
    for text, at in (("t", S), ("u", 3 * S)):  # a nacked text is resubmitted under a new id
        builder.accept(at, text, CHARGE, first="t", key=at)
        call = builder.call(at + 1, text)
        builder.add(rec.EffectTaken(at + 2, 0, text, "t", False)).end_call(at + 3, call)
    assert builder.finish() == {Rule.TWICE: 1} and builder.checker.repeat_effects == 1


def test_the_effects_of_a_submission_without_an_answer_do_not_count(builder):
    builder.add(
        rec.Submitted(S, 0, "t", "t", CHARGE, 1, 0, 0, 13 * S, 0), rec.Answered(S, "t", Answer.SILENT, 0)
    )
    builder.add(rec.EffectTaken(S + 2, 0, "t", "t", False))
    builder.accept(2 * S, "u", CHARGE, first="t", relay=1)
    call = builder.call(2 * S + 1, "u", relay=1)
    builder.add(rec.EffectTaken(2 * S + 2, 0, "u", "t", False)).end_call(2 * S + 3, call)
    assert builder.finish() == {}


@pytest.mark.parametrize("after, relay, broken", [(2500, 0, {}), (2501, 0, {Rule.DRAINS: 1}), (9000, 1, {})])
def test_nothing_is_sent_to_a_draining_host_after_the_grace_time(builder, after, relay, broken):
    builder.add(rec.ListingReceived(S, 0, 0, 1)).accept(S, "t", relay=relay)
    builder.end_call(3 * S, builder.call(S + after, "t", relay=relay))
    assert builder.finish() == broken


def test_texts_may_be_sent_to_a_host_that_is_listed_again(builder):
    builder.add(rec.ListingReceived(S, 0, 0, 1), rec.ListingReceived(2 * S, 0, 0, 0)).accept(3 * S, "t")
    builder.end_call(4 * S, builder.call(3 * S + 1, "t"))
    assert builder.finish() == {}


@pytest.mark.parametrize(
    "sockets, after, broken",
    [
        (False, 1, {Rule.WAITS: 1}),
        (False, S - 1, {Rule.WAITS: 1}),
        (False, S, {}),
        (True, 1000, {}),
        (True, 1001, {Rule.WAITS: 1}),
    ],
)
def test_a_wait_holds_for_every_text_and_every_host_of_the_route(sockets, after, broken):
    builder = RecordBuilder(sockets).accept(S, "t").accept(S, "u")
    builder.end_call(2 * S, builder.call(S + 1, "t", host=0), Fate.REFUSED, wait=S)
    builder.end_call(4 * S, builder.call(2 * S + after, "u", host=1))
    builder.end_call(5 * S, builder.call(4 * S, "t"))
    assert builder.finish() == broken


def test_a_wait_ends_with_the_process_that_received_it(builder):
    builder.accept(S, "t")
    builder.end_call(2 * S, builder.call(S + 1, "t"), Fate.REFUSED, wait=5 * S)
    builder.add(rec.Relay(2 * S + 1, 0, "killed"), rec.Relay(3 * S, 0, "ready"))
    builder.end_call(4 * S, builder.call(3 * S + 1, "t"))
    assert builder.finish() == {}


def test_texts_of_a_key_are_sent_in_the_order_of_acceptance(builder):
    builder.accept(S, "t", CHARGE, key=7).accept(S, "u", CHARGE, key=7).accept(S, "other", CHARGE, key=8)
    builder.end_call(2 * S, builder.call(S + 1, "other"))
    call = builder.call(S + 2, "u")
    assert builder.checker.counts[Rule.ORDER] == 1
    builder.end_call(2 * S, call).end_call(3 * S, builder.call(2 * S + 1, "t"))
    assert builder.finish() == {Rule.ORDER: 1}
    assert "text u was sent while the earlier text t was unfinished" in builder.checker.breaches[0].message


@pytest.mark.parametrize("after, broken", [(2999, {Rule.ORDER: 1}), (3000, {})])
@pytest.mark.parametrize("fate", [Fate.RESET, Fate.GARBLED, None])
def test_a_key_has_a_cooldown_after_a_call_that_may_still_run(builder, after, broken, fate):
    builder.accept(S, "t", CHARGE, key=7).accept(S, "u", CHARGE, key=7)
    call = builder.call(S + 1, "t")
    builder.give_up(2 * S, call) if fate is None else builder.end_call(2 * S, call, fate)
    builder.add(rec.NoticeAnswered(2 * S, 0, "t", False, 0))
    builder.end_call(9 * S, builder.call(2 * S + after, "u"))
    assert builder.finish() == broken


@pytest.mark.parametrize("submitted_at, broken", [(S - 1, {}), (S + 1, {Rule.ORDER: 1})])
def test_a_text_without_an_answer_has_its_place_by_its_submission(builder, submitted_at, broken):
    """The relay accepted it nevertheless and sends it in the order of submission."""
    steps = {S: lambda: builder.accept(S, "t", CHARGE, key=7)}
    steps[submitted_at] = lambda: builder.submit(submitted_at, "unheard", CHARGE, key=7)
    for at in sorted(steps):
        steps[at]()
    builder.add(rec.Answered(2 * S, "unheard", Answer.SILENT, 0))
    builder.end_call(3 * S, builder.call(2 * S, "unheard"))
    builder.end_call(4 * S, builder.call(3 * S, "t"))
    assert builder.finish() == broken


def test_a_key_has_no_cooldown_after_an_error_answer(builder):
    builder.accept(S, "t", CHARGE, key=7).accept(S, "u", CHARGE, key=7)
    builder.end_call(2 * S, builder.call(S + 1, "t"), Fate.FAILED)
    builder.add(rec.NoticeAnswered(2 * S, 0, "t", False, 0))
    builder.end_call(9 * S, builder.call(2 * S + 1, "u"))
    assert builder.finish() == {}


def test_texts_of_a_key_at_two_relays_have_no_order(builder):
    builder.accept(S, "t", CHARGE, key=7, relay=0).accept(S, "u", CHARGE, key=7, relay=1)
    builder.end_call(2 * S, builder.call(S + 1, "u", relay=1)).end_call(3 * S, builder.call(2 * S, "t"))
    assert builder.finish() == {}


@pytest.mark.parametrize("before, broken", [(2001, {Rule.WAITS: 1}), (1999, {})])
def test_a_wait_received_just_before_the_end_of_a_process_may_be_unknown_to_the_other(
    builder, before, broken
):
    """In an upgrade, an earlier wait holds for the relay; at a kill the host's answer may still be unread."""
    builder.accept(S, "t").accept(S, "u")
    builder.end_call(2 * S, builder.call(S + 1, "t"), Fate.REFUSED, wait=3 * S)
    builder.add(rec.Relay(2 * S + before, 0, ENDED_DURING_UPGRADE))
    builder.end_call(4 * S, builder.call(3 * S, "u"))
    builder.end_call(7 * S, builder.call(6 * S, "t"))
    assert builder.finish() == broken


@pytest.mark.parametrize("knew, broken", [(4, {Rule.PUSHED: 1}), (3, {})])
def test_an_overload_is_a_breach_only_if_the_relays_knew_of_the_outage(builder, knew, broken):
    builder.add(rec.ConditionChanged(S, 0, Condition.OUT))
    for relay in range(knew):
        builder.add(rec.CallFailed(2 * S, relay, 0))
    builder.add(
        rec.ConditionChanged(3 * S, 0, Condition.COLD), rec.CallFailed(3 * S + 1, 5, 0)
    )  # this relay noticed too late
    builder.add(rec.RouteOverloaded(4 * S, 0, 5.0, dict.fromkeys(range(6), 1)))
    assert builder.finish() == broken
    if broken:
        assert "4 of them from relays that knew" in builder.checker.breaches[0].message


def test_each_outage_must_be_noticed_anew(builder):
    builder.add(
        rec.ConditionChanged(S, 0, Condition.OUT),
        rec.CallFailed(2 * S, 0, 0),
        rec.ConditionChanged(3 * S, 0, Condition.COLD),
    )
    builder.add(rec.ConditionChanged(4 * S, 0, Condition.OUT), rec.ConditionChanged(5 * S, 0, Condition.COLD))
    assert builder.add(rec.RouteOverloaded(6 * S, 0, 5.0, {0: 9})).finish() == {}


def test_an_answer_in_transit_to_a_relay_that_gave_up_does_not_count(builder):
    builder.accept(S, "t", NOTICE)
    call = builder.call(S + 1, "t")
    builder.add(rec.Responded(2 * S, 2 * S + 50, call, [Fate.DELIVERED], 0)).give_up(2 * S + 40, call)
    builder.end_call(4 * S, builder.call(3 * S, "t"))
    assert builder.finish() == {}


# Events that two processes record in real time, in either order.


def end_text(builder, end, at, text):
    """Adds the end of a text, as the stage records it."""
    if end == "delivered":
        builder.end_call(at, builder.call(at, text))
    else:
        builder.add(rec.NoticeAnswered(at, 0, text, end == "nacked", 0))


@pytest.mark.parametrize("end", ["delivered", "nacked", "undeliverable"])
def test_a_text_whose_end_is_recorded_before_its_client_reads_ok_is_finished(end):
    """The relay ends it at once; its client, in another process, is late to read that it was accepted.

    Guards against a false breach of order by the next text of its key.
    """
    builder = RecordBuilder(sockets=True)
    builder.add(rec.Submitted(S, 0, "t", "t", CHARGE, 1, 0, 7, 13 * S, 0))
    end_text(builder, end, S + 10, "t")
    builder.add(rec.Answered(S + 20, "t", Answer.TAKEN, 0))
    builder.accept(2 * S, "u", CHARGE, key=7)
    builder.end_call(3 * S, builder.call(2 * S + 10, "u"))
    assert builder.finish() == {}


def test_a_later_text_of_the_key_sent_before_that_end_still_breaks_the_order():
    builder = RecordBuilder(sockets=True).accept(S, "t", CHARGE, key=7)
    builder.accept(2 * S, "u", CHARGE, key=7)
    call = builder.call(2 * S + 10, "u")
    end_text(builder, "nacked", 2 * S + 600, "t")
    builder.end_call(3 * S, call)
    assert builder.finish() == {Rule.ORDER: 1}


def submit_unanswered(builder, answer=Answer.LOST):
    builder.add(rec.Submitted(S, 0, "t", "t", NOTICE, 1, 0, 0, 13 * S, 0))
    return builder.add(rec.Answered(S + 20, "t", answer, 0))


@pytest.mark.parametrize("answer", [Answer.LOST, Answer.SILENT])
def test_a_relay_killed_before_it_answered_the_client_may_send_the_text(answer):
    builder = submit_unanswered(RecordBuilder(sockets=True), answer)
    builder.end_call(4 * S, builder.call(3 * S, "t"))
    assert builder.finish() == {}


@pytest.mark.parametrize("end", ["nacked", "undeliverable"])
def test_a_text_without_an_answer_is_not_sent_after_its_final_answer(end):
    builder = submit_unanswered(RecordBuilder(sockets=True))
    end_text(builder, end, 3 * S, "t")
    builder.end_call(5 * S, builder.call(4 * S, "t"))
    assert builder.finish() == {Rule.LOST: 1}


@pytest.mark.parametrize("answer", [Answer.BUSY, Answer.ERROR])
def test_a_text_that_was_refused_on_submission_is_not_sent(answer):
    builder = submit_unanswered(RecordBuilder(sockets=True), answer)
    builder.end_call(4 * S, builder.call(3 * S, "t"))
    assert builder.finish() == {Rule.LOST: 1}
