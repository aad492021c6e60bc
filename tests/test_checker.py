"""The rule checker, by records in which each rule is broken on purpose, at its edge."""

import msgspec
import pytest

from limelatch.lab import record as rec
from limelatch.lab.checker import ENDED_BESIDE, Checker, Rule
from limelatch.lab.record import Answer, Condition, Fate
from limelatch.lab.scenario import parse
from limelatch.lab.stages.real import ALLOWANCES

S, MS = 10_000, 10
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


class Story:
    """Tells a record event by event, with a text's usual course in short words."""

    def __init__(self, sockets=False):
        scenario = msgspec.to_builtins(parse("story", SCENARIO))
        head = rec.Head(rec.VERSION, "story", 1, scenario, "", allowances=ALLOWANCES if sockets else {})
        self.checker, self.calls = Checker(head), 0
        for host in range(2):
            self.tell(rec.Host(0, host, f"p-1{'ab'[host]}", 1, 0, host, 10.0))

    def tell(self, *events):
        for event in events:
            self.checker.take(event)
        return self

    def taken(self, at, text, product=REPORT, key=0, relay=0, first=None, valid=12 * S):
        self.handed(at, text, product, key, relay, first, valid)
        return self.tell(rec.Answered(at, text, Answer.TAKEN, 0))

    def handed(self, at, text, product=REPORT, key=0, relay=0, first=None, valid=12 * S):
        return self.tell(rec.Submitted(at, relay, text, first or text, product, 1, 0, key, at + valid, 0))

    def called(self, at, text, host=0, relay=0):
        self.calls += 1
        self.tell(rec.Called(at, at, self.calls, relay, host, [text]))
        return self.calls

    def ends(self, at, call, fate=Fate.DELIVERED, wait=0):
        return self.tell(rec.Responded(at, at, call, [fate], wait))

    def gives_up(self, at, call):
        return self.tell(rec.GaveUp(at, call))

    def over(self, at=60 * S):
        """The rules that were broken, and how often."""
        self.tell(rec.RunEnded(at, True))
        return {rule: count for rule, count in self.checker.counts.items() if count}


@pytest.fixture
def story():
    return Story()


def test_a_text_delivered_in_time_is_no_breach(story):
    story.taken(S, "t")
    story.ends(2 * S, story.called(S + 10, "t"))
    assert story.over() == {} and story.checker.judged == 1


@pytest.mark.parametrize(
    "sockets, late, broken",
    [(False, 200, {}), (False, 201, {Rule.LOST: 1}), (True, 3500, {}), (True, 3501, {Rule.LOST: 1})],
)
def test_a_final_answer_is_due_when_the_texts_time_is_up(sockets, late, broken):
    story = Story(sockets).taken(S, "t")
    story.tell(rec.NoticeAnswered(13 * S + late, 0, "t", False, 0))
    assert story.over() == broken


def test_what_is_never_answered_is_lost_and_told_with_what_led_to_it(story):
    story.taken(S, "t")
    story.gives_up(3 * S, story.called(2 * S, "t"))
    assert story.over() == {Rule.LOST: 1}
    (breach,) = story.checker.breaches
    assert breach.subject == "text t" and breach.at == 13 * S + 200
    assert [line.partition(" ")[2] for line in breach.trail] == [
        "handed in at relay 0, try 1",
        "answered taken",
        "called at p-1a by relay 0",
        "given up by its relay",
    ]


@pytest.mark.parametrize("end", ["delivered", "nacked", "undeliverable"])
def test_nothing_is_sent_after_a_texts_end(story, end):
    story.taken(S, "t")
    if end == "delivered":
        story.ends(2 * S, story.called(S + 1, "t"))
    else:
        story.tell(rec.NoticeAnswered(2 * S, 0, "t", end == "nacked", 0))
    story.called(3 * S, "t")
    assert Rule.LOST in story.over()


def test_a_relay_that_is_down_or_just_back_owes_no_notice_yet():
    story = Story(sockets=True).taken(S, "t")
    story.tell(rec.Relay(12 * S, 0, "killed"), rec.Relay(14 * S, 0, "ready"))
    story.tell(rec.NoticeAnswered(15 * S + 4000, 0, "t", False, 0))
    assert story.over() == {}
    other = Story(sockets=True).taken(S, "t")
    other.tell(rec.Relay(12 * S, 0, "killed"), rec.Relay(14 * S, 0, "ready"))
    assert other.over() == {Rule.LOST: 1}


def test_what_a_lost_machine_held_is_its_duty_no_more(story):
    story.taken(S, "t").tell(rec.Relay(2 * S, 0, "wiped"))
    assert story.over() == {}


def test_a_text_that_nobody_handed_in_may_not_be_sent(story):
    story.called(S, "x")
    assert story.over() == {Rule.LOST: 1}


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
def test_a_once_only_text_goes_again_only_if_it_is_known_not_to_have_run(story, fate, broken):
    story.taken(S, "t", CHARGE)
    call = story.called(S + 1, "t")
    story.gives_up(2 * S, call) if fate is None else story.ends(2 * S, call, fate)
    story.ends(4 * S, story.called(3 * S, "t"))
    assert story.over() == broken


@pytest.mark.parametrize(
    "product, broken", [(CHARGE, {Rule.TWICE: 1}), (NOTICE, {Rule.TWICE: 1}), (REPORT, {})]
)
@pytest.mark.parametrize("at_once", [True, False])
def test_a_nack_invites_a_repeat_so_what_may_have_run_must_bear_one(story, product, broken, at_once):
    if at_once:  # the answer to its handing in; a text of which a call is out by then was sent too soon
        story.tell(rec.Submitted(S, 0, "t", "t", product, 1, 0, 0, 13 * S, 0))
    else:
        story.taken(S, "t", product)
    story.gives_up(2 * S, story.called(S + 1, "t"))
    story.tell(
        rec.Answered(3 * S, "t", Answer.BUSY, 0) if at_once else rec.NoticeAnswered(3 * S, 0, "t", True, 0)
    )
    assert story.over() == broken


@pytest.mark.parametrize(
    "host, after, broken", [(0, 5 * S, {}), (0, 5 * S + 1, {Rule.TWICE: 1}), (1, 2 * S, {Rule.TWICE: 1})]
)
def test_a_referenced_text_goes_again_within_its_window_and_on_its_floor(story, host, after, broken):
    story.taken(S, "t", NOTICE)
    story.gives_up(2 * S, story.called(S, "t", host=0))
    story.ends(9 * S, story.called(S + after, "t", host=host))
    assert story.over() == broken


def test_two_calls_of_one_text_may_not_be_out_together(story):
    story.taken(S, "t")
    first = story.called(S + 1, "t")
    second = story.called(S + 2, "t")
    story.ends(2 * S, first).ends(2 * S, second)
    assert Rule.TWICE in story.over()


@pytest.mark.parametrize("after, broken", [(500, {}), (501, {Rule.TWICE: 1})])
def test_on_sockets_an_end_may_be_seen_late_by_the_allowance(after, broken):
    story = Story(sockets=True).taken(S, "t")
    first = story.called(S + 1, "t")
    second = story.called(2 * S, "t")
    story.gives_up(2 * S + after, first).ends(3 * S, second)
    assert story.over() == broken


def test_an_effect_counts_by_the_first_try_and_a_once_only_one_counts_once(story):
    for text, at in (("t", S), ("u", 3 * S)):  # a nacked text comes again under a new id
        story.taken(at, text, CHARGE, first="t", key=at)
        call = story.called(at + 1, text)
        story.tell(rec.EffectTaken(at + 2, 0, text, "t", False)).ends(at + 3, call)
    assert story.over() == {Rule.TWICE: 1} and story.checker.doubles == 1


def test_what_a_client_heard_no_answer_of_counts_for_nothing(story):
    story.tell(
        rec.Submitted(S, 0, "t", "t", CHARGE, 1, 0, 0, 13 * S, 0), rec.Answered(S, "t", Answer.SILENT, 0)
    )
    story.tell(rec.EffectTaken(S + 2, 0, "t", "t", False))
    story.taken(2 * S, "u", CHARGE, first="t", relay=1)
    call = story.called(2 * S + 1, "u", relay=1)
    story.tell(rec.EffectTaken(2 * S + 2, 0, "u", "t", False)).ends(2 * S + 3, call)
    assert story.over() == {}


@pytest.mark.parametrize("after, relay, broken", [(2500, 0, {}), (2501, 0, {Rule.DRAINS: 1}), (9000, 1, {})])
def test_a_host_that_is_known_to_drain_gets_nothing_after_the_grace(story, after, relay, broken):
    story.tell(rec.ListingReceived(S, 0, 0, 1)).taken(S, "t", relay=relay)
    story.ends(3 * S, story.called(S + after, "t", relay=relay))
    assert story.over() == broken


def test_a_host_that_is_listed_again_may_be_sent_to(story):
    story.tell(rec.ListingReceived(S, 0, 0, 1), rec.ListingReceived(2 * S, 0, 0, 0)).taken(3 * S, "t")
    story.ends(4 * S, story.called(3 * S + 1, "t"))
    assert story.over() == {}


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
def test_a_told_wait_binds_every_text_and_every_host_of_the_route(sockets, after, broken):
    story = Story(sockets).taken(S, "t").taken(S, "u")
    story.ends(2 * S, story.called(S + 1, "t", host=0), Fate.REFUSED, wait=S)
    story.ends(4 * S, story.called(2 * S + after, "u", host=1))
    story.ends(5 * S, story.called(4 * S, "t"))
    assert story.over() == broken


def test_a_wait_ends_with_the_process_that_was_told_it(story):
    story.taken(S, "t")
    story.ends(2 * S, story.called(S + 1, "t"), Fate.REFUSED, wait=5 * S)
    story.tell(rec.Relay(2 * S + 1, 0, "killed"), rec.Relay(3 * S, 0, "ready"))
    story.ends(4 * S, story.called(3 * S + 1, "t"))
    assert story.over() == {}


def test_texts_of_a_key_go_in_the_order_they_were_taken(story):
    story.taken(S, "t", CHARGE, key=7).taken(S, "u", CHARGE, key=7).taken(S, "other", CHARGE, key=8)
    story.ends(2 * S, story.called(S + 1, "other"))
    call = story.called(S + 2, "u")
    assert story.checker.counts[Rule.ORDER] == 1
    story.ends(2 * S, call).ends(3 * S, story.called(2 * S + 1, "t"))
    assert story.over() == {Rule.ORDER: 1}
    assert "text u was sent while text t before it was not over" in story.checker.breaches[0].words


@pytest.mark.parametrize("after, broken", [(2999, {Rule.ORDER: 1}), (3000, {})])
@pytest.mark.parametrize("fate", [Fate.RESET, Fate.GARBLED, None])
def test_a_key_rests_after_what_may_still_run(story, after, broken, fate):
    story.taken(S, "t", CHARGE, key=7).taken(S, "u", CHARGE, key=7)
    call = story.called(S + 1, "t")
    story.gives_up(2 * S, call) if fate is None else story.ends(2 * S, call, fate)
    story.tell(rec.NoticeAnswered(2 * S, 0, "t", False, 0))
    story.ends(9 * S, story.called(2 * S + after, "u"))
    assert story.over() == broken


@pytest.mark.parametrize("handed_at, broken", [(S - 1, {}), (S + 1, {Rule.ORDER: 1})])
def test_a_text_whose_client_heard_nothing_has_its_turn_by_its_handing_in(story, handed_at, broken):
    """The relay took it on all the same, and sends it in the order in which the texts came."""
    tell = {S: lambda: story.taken(S, "t", CHARGE, key=7)}
    tell[handed_at] = lambda: story.handed(handed_at, "unheard", CHARGE, key=7)
    for at in sorted(tell):
        tell[at]()
    story.tell(rec.Answered(2 * S, "unheard", Answer.SILENT, 0))
    story.ends(3 * S, story.called(2 * S, "unheard"))
    story.ends(4 * S, story.called(3 * S, "t"))
    assert story.over() == broken


def test_a_key_does_not_rest_after_an_error_which_is_an_answer(story):
    story.taken(S, "t", CHARGE, key=7).taken(S, "u", CHARGE, key=7)
    story.ends(2 * S, story.called(S + 1, "t"), Fate.FAILED)
    story.tell(rec.NoticeAnswered(2 * S, 0, "t", False, 0))
    story.ends(9 * S, story.called(2 * S + 1, "u"))
    assert story.over() == {}


def test_texts_of_a_key_at_two_relays_have_no_order(story):
    story.taken(S, "t", CHARGE, key=7, relay=0).taken(S, "u", CHARGE, key=7, relay=1)
    story.ends(2 * S, story.called(S + 1, "u", relay=1)).ends(3 * S, story.called(2 * S, "t"))
    assert story.over() == {}


@pytest.mark.parametrize("before, broken", [(2001, {Rule.WAITS: 1}), (1999, {})])
def test_a_wait_that_a_process_was_told_at_its_end_may_not_have_reached_the_other(story, before, broken):
    """In an upgrade: one that was told earlier binds the relay; the host's answer may be unread at a kill."""
    story.taken(S, "t").taken(S, "u")
    story.ends(2 * S, story.called(S + 1, "t"), Fate.REFUSED, wait=3 * S)
    story.tell(rec.Relay(2 * S + before, 0, ENDED_BESIDE))
    story.ends(4 * S, story.called(3 * S, "u"))
    story.ends(7 * S, story.called(6 * S, "t"))
    assert story.over() == broken


@pytest.mark.parametrize("knew, broken", [(4, {Rule.PUSHED: 1}), (3, {})])
def test_who_pushed_a_returning_route_over_is_told_by_what_relays_knew(story, knew, broken):
    story.tell(rec.ConditionChanged(S, 0, Condition.OUT))
    for relay in range(knew):
        story.tell(rec.CallFailed(2 * S, relay, 0))
    story.tell(
        rec.ConditionChanged(3 * S, 0, Condition.COLD), rec.CallFailed(3 * S + 1, 5, 0)
    )  # that one learned too late
    story.tell(rec.RouteOverloaded(4 * S, 0, 5.0, dict.fromkeys(range(6), 1)))
    assert story.over() == broken
    if broken:
        assert "4 of them from relays that knew" in story.checker.breaches[0].words


def test_a_new_outage_is_learned_of_anew(story):
    story.tell(
        rec.ConditionChanged(S, 0, Condition.OUT),
        rec.CallFailed(2 * S, 0, 0),
        rec.ConditionChanged(3 * S, 0, Condition.COLD),
    )
    story.tell(rec.ConditionChanged(4 * S, 0, Condition.OUT), rec.ConditionChanged(5 * S, 0, Condition.COLD))
    assert story.tell(rec.RouteOverloaded(6 * S, 0, 5.0, {0: 9})).over() == {}


def test_an_answer_on_its_way_to_a_relay_that_gave_up_was_not_heard(story):
    story.taken(S, "t", NOTICE)
    call = story.called(S + 1, "t")
    story.tell(rec.Responded(2 * S, 2 * S + 50, call, [Fate.DELIVERED], 0)).gives_up(2 * S + 40, call)
    story.ends(4 * S, story.called(3 * S, "t"))
    assert story.over() == {}


# What one process records, and another one records later, in real time.


def end_of(story, end, at, text):
    """The text ends, as the stage records it."""
    if end == "delivered":
        story.ends(at, story.called(at, text))
    else:
        story.tell(rec.NoticeAnswered(at, 0, text, end == "nacked", 0))


@pytest.mark.parametrize("end", ["delivered", "nacked", "undeliverable"])
def test_a_text_whose_end_is_recorded_before_its_client_reads_ok_is_over(end):
    """The relay ends it at once; its client, in another process, is late to read that it was taken on. The
    next text of its key was said to have been sent while this one was not over."""
    story = Story(sockets=True)
    story.tell(rec.Submitted(S, 0, "t", "t", CHARGE, 1, 0, 7, 13 * S, 0))
    end_of(story, end, S + 10, "t")
    story.tell(rec.Answered(S + 20, "t", Answer.TAKEN, 0))
    story.taken(2 * S, "u", CHARGE, key=7)
    story.ends(3 * S, story.called(2 * S + 10, "u"))
    assert story.over() == {}


def test_a_text_of_its_key_sent_before_its_end_breaks_the_order_still():
    story = Story(sockets=True).taken(S, "t", CHARGE, key=7)
    story.taken(2 * S, "u", CHARGE, key=7)
    call = story.called(2 * S + 10, "u")
    end_of(story, "nacked", 2 * S + 600, "t")
    story.ends(3 * S, call)
    assert story.over() == {Rule.ORDER: 1}


def lost(story, answer=Answer.LOST):
    story.tell(rec.Submitted(S, 0, "t", "t", NOTICE, 1, 0, 0, 13 * S, 0))
    return story.tell(rec.Answered(S + 20, "t", answer, 0))


@pytest.mark.parametrize("answer", [Answer.LOST, Answer.SILENT])
def test_a_relay_that_took_a_text_on_and_was_killed_before_its_client_heard_may_send_it(answer):
    story = lost(Story(sockets=True), answer)
    story.ends(4 * S, story.called(3 * S, "t"))
    assert story.over() == {}


@pytest.mark.parametrize("end", ["nacked", "undeliverable"])
def test_such_a_text_is_not_sent_after_an_end_of_its_own(end):
    story = lost(Story(sockets=True))
    end_of(story, end, 3 * S, "t")
    story.ends(5 * S, story.called(4 * S, "t"))
    assert story.over() == {Rule.LOST: 1}


@pytest.mark.parametrize("answer", [Answer.BUSY, Answer.ERROR])
def test_a_text_that_was_refused_at_once_is_not_sent(answer):
    story = lost(Story(sockets=True), answer)
    story.ends(4 * S, story.called(3 * S, "t"))
    assert story.over() == {Rule.LOST: 1}
