"""Health, pace, trials and warm-up, idle connections, the order of waiting texts, and memory."""

import pytest
from conftest import CHARGE, HOST, NOTICE, NOW, OTHER_HOST, REPORT, ROUTE, S

from limelatch.interface import CloseIdle, Listing, LogLine, Nack, Result, Submit, Text, Wake
from limelatch.policy import (
    CALL_TIMEOUT,
    MAX_STALE_SHARE_ONCE_ONLY,
    OUTAGE_CUT_COUNT,
    OUTAGE_FAILURE_SHARE,
    OUTAGE_REFUSAL_TIME,
    SHORT_CALL_TIMEOUT,
    Call,
)


def host_in_outage(relay, cause=Result.CONNECT):
    """Put the host into an outage by one failed submit; its text doesn't go again."""
    text = relay.accept_text(REPORT)
    relay.send_text(text, cause)
    relay.pending(text).due_at = NOW + 100 * S
    return relay.host()


def test_a_failure_without_a_recent_delivery_is_an_outage_and_the_host_gets_one_trial(relay):
    host = host_in_outage(relay)
    assert host.in_outage and "sick: connect" in relay.decide(LogLine)[0].line
    texts = {relay.accept_text(REPORT) for _ in range(3)}
    assert relay.sent_texts(NOW) == {}
    assert len(texts & set(relay.sent_texts(host.route.next_trial_at))) == 1


def test_a_delivered_trial_starts_the_warm_up(relay):
    host = host_in_outage(relay)
    relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, host.route.next_trial_at, finished=True)
    assert not host.in_outage and host.recovered_at is not None


def test_one_timeout_is_an_outage_and_a_trial_carries_one_text(relay):
    """Guards against trials that carry a whole batch into a host that hangs."""
    relay.list_hosts(HOST, kind=1)
    relay.host().kind = 1
    relay.send_text(relay.accept_text(REPORT, now=NOW), Result.TIMEOUT)
    assert relay.host().in_outage
    for _ in range(3):
        relay.accept_text(REPORT)
    assert len(relay.sent_texts(relay.host().route.next_trial_at)) == 1


def test_a_once_only_text_is_no_trial_while_another_text_can_be(relay):
    host = host_in_outage(relay)
    relay.accept_text(CHARGE)
    text = relay.accept_text(REPORT, now=NOW + 1)
    assert relay.sent_texts(host.route.next_trial_at) == {text: HOST}


def test_an_overdue_call_delays_further_texts(relay):
    relay.send_text(relay.accept_text(REPORT))
    relay.accept_text(REPORT)
    assert len(relay.sent_texts(NOW + 2 * S)) == 1  # one more once the first is overdue
    relay.accept_text(REPORT)
    assert relay.sent_texts(NOW + 2 * S + 1) == {}


def test_while_slots_are_scarce_timeouts_are_short_but_for_once_only_texts(relay):
    """Guards against lost answers that occupy all slots while healthy hosts are idle."""
    relay.host().route.duration_count, relay.host().route.usual_duration = 10, 3000
    notice, charge = relay.pending(relay.accept_text(REPORT)), relay.pending(relay.accept_text(CHARGE))
    notice.call = charge.call = Call(relay.host(), NOW)
    assert relay.policy._timeout(notice) == CALL_TIMEOUT
    relay.policy.slots_used = 7  # all but one
    assert (relay.policy._timeout(notice), relay.policy._timeout(charge)) == (12_000, SHORT_CALL_TIMEOUT)


def test_no_connections_are_kept_while_many_of_them_are_reset(relay):
    """Guards against taking a host that closes after each answer for one in an outage.

    A tenth of the calls to such hosts was reset."""
    relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, idle_time=0, finished=True)
    now = NOW + S
    for _ in range(2):
        text = relay.accept_text(REPORT)
        relay.send_text(text, Result.RESET, took=100, idle_time=300)
        relay.pending(text).due_at = now
    assert not relay.host().failure_share
    actions = [each for each in relay.decide(now=now) if isinstance(each, (CloseIdle, Submit))]
    assert [type(each) for each in actions[:2]] == [CloseIdle, Submit] and actions[1].idle_limit <= 0
    for action in actions[1::2]:
        relay.end_submit(action.text, Result.DELIVERED, now, finished=True, idle_time=0)
    for _ in range(80):  # calls on new connections: the share falls
        relay.send_text(relay.accept_text(REPORT, now=now), Result.DELIVERED, now, finished=True, idle_time=0)
    assert relay.policy.stale_share[0] < MAX_STALE_SHARE_ONCE_ONLY


def test_a_timeout_leaves_a_referenced_text_time_for_a_repeat(relay):
    """Guards against a lost answer whose timeout uses up 9 s of a retry window of 10 s."""
    relay.host().route.duration_count, relay.host().route.usual_duration = 10, 1000
    text = relay.accept_text(NOTICE)
    assert relay.decide(Submit)[0].timeout == 10 * S // 4
    relay.end_submit(text, Result.TIMEOUT, NOW + 10 * S // 4)
    assert relay.pending(text).final_action is None and relay.pending(text).due_at < NOW + 5 * S
    slow = relay.pending(relay.accept_text(NOTICE))
    slow.call, relay.host().route.usual_duration = Call(relay.host(), NOW), 5000
    assert relay.policy._timeout(slow) == 8 * 5000


def test_a_timeout_between_deliveries_weighs_less_than_silence(relay):
    """Guards against taking a host that loses a third of its answers for one in an outage."""
    first, second = relay.accept_text(REPORT), relay.accept_text(REPORT)
    relay.decide()
    relay.end_submit(first, Result.DELIVERED, NOW + S, finished=True)
    relay.end_submit(second, Result.TIMEOUT, NOW + 9 * S)
    assert 0 < relay.host().failure_share < 0.2 and not relay.host().in_outage


def test_a_reset_of_an_idle_connection_is_no_outage(relay):
    """Guards against taking a network path that drops idle connections for an outage of every host."""
    relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, finished=True)
    relay.send_text(relay.accept_text(REPORT), Result.RESET, NOW + 2 * S, took=100)
    assert relay.host().failure_share == 0.0 and relay.policy.max_idle_by_kind[0] < 2 * S


def test_connections_are_kept_longer_only_where_no_connect_failed_for_as_long(fleet_relay):
    """Guards against two failures.

    With connections kept for 6 s at most, nine of ten calls needed a new one. Kept for longer from the start,
    they filled all connection tables in the first seconds after many relays had been killed together."""
    fleet_relay.list_hosts(OTHER_HOST, dest=2)
    for now, closed in ((NOW, [CloseIdle(OTHER_HOST)]), (NOW + 9 * S, [])):
        fleet_relay.send_text(
            fleet_relay.accept_text(REPORT, dest=2, now=now), Result.DELIVERED, now, finished=True
        )
        assert fleet_relay.decide(CloseIdle, now) == closed
    text = fleet_relay.accept_text(REPORT, now=now)
    fleet_relay.send_text(text, Result.CONNECT, now)  # no recent delivery: half the weight of an outage
    assert 0 < fleet_relay.host().failure_share < OUTAGE_FAILURE_SHARE and not fleet_relay.host().in_outage
    assert fleet_relay.decide(CloseIdle, now) == [CloseIdle(OTHER_HOST), CloseIdle(HOST)]
    # The second failed connect is not explained by this relay's own idle connections.
    fleet_relay.send_text(text, Result.CONNECT, fleet_relay.pending(text).due_at)
    assert fleet_relay.host().in_outage and fleet_relay.policy.max_idle_by_kind[0] < S


def test_one_product_that_fails_at_one_host_is_no_outage_and_goes_to_the_other_host(fleet_relay):
    """Guards against taking a host that does not answer one product for a destination that hangs."""
    fleet_relay.list_hosts(HOST, OTHER_HOST)
    fleet_relay.policy.products_by_kind[0] = {CHARGE, REPORT}
    first = fleet_relay.accept_text(REPORT)
    bad = fleet_relay.send_text(first)
    fleet_relay.end_submit(first, Result.TIMEOUT, NOW + 9 * S, host=bad)
    good, now = OTHER_HOST if bad == HOST else HOST, fleet_relay.pending(first).due_at
    assert not fleet_relay.host(bad).in_outage and not fleet_relay.host(bad).failure_share
    assert fleet_relay.send_text(first, now=now) == good
    for _ in range(4):
        assert (
            fleet_relay.send_text(
                fleet_relay.accept_text(REPORT, now=now), Result.DELIVERED, now, finished=True
            )
            == good
        )
    fleet_relay.end_submit(
        first, Result.TIMEOUT, now + 9 * S, host=good
    )  # a second host: the destination hangs
    assert fleet_relay.host(good).in_outage and fleet_relay.host(bad).in_outage


def test_of_two_drawn_hosts_the_one_with_an_idle_connection_is_chosen(relay):
    """Guards against calls that open a new connection while another host has an idle one."""
    relay.list_hosts(HOST, OTHER_HOST)
    kept = relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, finished=True)
    for at in range(1, 6):
        assert (
            relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, NOW + at * S, finished=True) == kept
        )
    relay.host(kept).failure_share = OUTAGE_FAILURE_SHARE - 0.1  # health comes first
    assert relay.send_text(relay.accept_text(REPORT), now=NOW + 6 * S) != kept


def test_a_failed_connect_between_deliveries_is_a_full_table_and_no_failure(relay):
    relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, finished=True)
    relay.send_text(relay.accept_text(REPORT), Result.CONNECT, NOW + S)
    assert relay.host().failure_share == 0.0


def test_a_refusal_cuts_the_pace_to_the_relay_s_own_rate(relay):
    """Guards against a pace of the whole limit at each of hundreds of relays.

    It took many refusals to come down, which used up the limit for all."""
    route = relay.host().route
    relay.policy.settings.relays = 200
    route.learn_limit(20.0, 200)
    relay.send_text(relay.accept_text(REPORT), Result.FULL)
    assert 0.04 <= route.pace < 0.2


def test_a_long_retry_after_is_an_outage_unless_the_limit_is_used_up(relay):
    """At a small limit the waits for many relays are long. Guards against taking them for an outage."""
    relay.send_text(relay.accept_text(REPORT), Result.FULL, retry_after=OUTAGE_REFUSAL_TIME, limit_left=0.0)
    assert not relay.host().in_outage
    relay.list_hosts(OTHER_HOST, dest=2)
    relay.send_text(relay.accept_text(REPORT, dest=2), Result.FULL, retry_after=OUTAGE_REFUSAL_TIME)
    assert relay.host(OTHER_HOST).in_outage


def answer_at(relay, now, result, **more):
    """Have the host's wait end, and end all that is sent then with this result."""
    host = relay.host()
    host.route.wait_until, host.route.credit, host.destination.check_at = now, 1.0, 0
    relay.accept_text(REPORT)
    assert (texts := relay.sent_texts(now))
    for text in texts:
        relay.end_submit(text, result, now, **more)


@pytest.mark.parametrize("wait", [S, 2 * S, 3 * S])
def test_a_host_that_refuses_all_calls_beside_its_limit_for_3_s_is_in_an_outage(relay, wait):
    """Guards against sending all that was held for a closed host at its return."""
    now = NOW
    while now + wait < NOW + OUTAGE_REFUSAL_TIME:
        answer_at(relay, now, Result.FULL, retry_after=wait, limit_left=0.9)
        assert not relay.host().in_outage
        now += 2 * wait
    answer_at(relay, now, Result.FULL, retry_after=wait, limit_left=0.9)
    assert relay.host().in_outage


@pytest.mark.parametrize("limit_left", [0.0, 0.9])
def test_refusals_by_the_limit_or_with_deliveries_between_are_no_outage(relay, limit_left):
    for number in range(5):
        now = NOW + number * 4 * S
        answer_at(relay, now, Result.FULL, retry_after=2 * S, limit_left=limit_left)
        if limit_left:
            answer_at(relay, now + 3 * S, Result.DELIVERED, finished=True)
        assert not relay.host().in_outage


def test_an_outage_covers_the_route_but_for_hosts_with_a_recent_delivery(relay):
    """Guards against finding out host by host that a whole destination is down."""
    relay.list_hosts(OTHER_HOST, ROUTE)
    relay.host(ROUTE).last_success_at = NOW
    relay.policy._record_failure(NOW, relay.host(), "connect", 1.0)
    assert [relay.host(name).in_outage for name in (HOST, OTHER_HOST, ROUTE)] == [True, True, False]


def test_the_parts_of_the_relays_that_know_of_an_outage_add_up_to_what_is_safe(relay):
    """Guards against a part of limit / relays with no credit at the start.

    It kept hundreds of relays silent through all of the warm-up."""
    policy, route = relay.policy, relay.host().route
    policy.settings.relays, route.limit, route.outage_since = 200, 4.0, NOW
    assert (
        policy._informed_relay_count(NOW + 5 * S, route) == 40
        and policy._informed_relay_count(NOW + 100 * S, route) == 200
    )
    relay.host().in_outage = True
    policy._end_outage(NOW, route)
    assert 0.0 <= relay.host().warm_up_credit < 1.0 and relay.host().recovered_at == NOW


def test_a_decision_looks_only_at_destinations_with_waiting_texts(relay):
    """Guards against a decision that takes time for each destination of the list."""
    relay.list_hosts(OTHER_HOST, dest=2)
    relay.host(OTHER_HOST).in_outage, relay.host(OTHER_HOST).route.next_trial_at = True, NOW + S
    relay.accept_text(REPORT, dest=2)
    assert relay.decide(Wake) == [Wake(S)] and list(relay.policy.active_destinations) == [2]
    assert not relay.policy.destinations[1].waiting


def test_trials_are_spaced_by_the_limit(relay):
    """Refused calls count. Guards against trials of several relays that keep a small limit used up."""
    host = relay.host()
    host.route.learn_limit(3.0, 3)
    relay.policy._schedule_trial(NOW, host.route)
    assert host.route.next_trial_at - NOW >= S


def test_credit_is_spent_and_comes_back_with_the_pace(relay):
    route = relay.host().route
    route.learn_limit(5.0, 3)
    route.credit, route.credit_updated_at = 0.0, NOW
    text = relay.accept_text(REPORT)
    assert relay.sent_texts(NOW) == {}
    assert relay.sent_texts(NOW + S // 2) == {text: HOST}


def test_a_text_that_can_make_its_sla_time_goes_before_a_late_one(relay):
    late = relay.accept_text(NOTICE, valid=15 * S)
    fresh = relay.accept_text(NOTICE)
    relay.host().route.window = 1
    assert relay.sent_texts() == {fresh: HOST} and late in relay.policy.texts


def test_a_nearly_full_relay_nacks_the_text_with_the_least_at_stake(relay):
    relay.host().in_outage, relay.host().route.next_trial_at = True, NOW + 4 * S
    late = relay.accept_text(REPORT, valid=5 * S)
    for _ in range(46):
        relay.accept_text(REPORT)
    assert relay.decide(Nack) == [Nack(late, 2 * S)]


def test_a_host_listed_during_an_outage_of_its_route_is_in_the_outage_too(relay):
    """Guards against overloading the new hosts of a destination that refuses all calls."""
    relay.policy._record_failure(NOW, relay.host(), "refused", 1.0)
    relay.list_hosts(HOST, listing=Listing.GONE)
    relay.list_hosts(OTHER_HOST)
    assert relay.host(OTHER_HOST).in_outage


def test_many_cuts_of_the_pace_without_a_delivery_are_an_outage(relay):
    """This relay's even part of the limit is more than such a destination bears when it returns."""
    route = relay.host().route
    route.learn_limit(20.0, 3)
    for step in range(OUTAGE_CUT_COUNT):
        relay.policy._record_refusal(NOW + step * S, relay.host(), 0, None)
    assert relay.host().in_outage


def test_scarce_slots_shorten_timeouts_at_hosts_of_unknown_duration(relay):
    """Guards against lost calls that occupy the few slots of a relay for 9 s."""
    notice = relay.pending(relay.accept_text(REPORT))
    notice.call = Call(relay.host(), NOW)
    relay.policy.slots_used = 8
    assert relay.policy._timeout(notice) == SHORT_CALL_TIMEOUT


def test_a_report_that_the_limit_has_room_raises_the_pace(relay):
    """Guards against a pace that stays low after a cut although the limit has room."""
    route = relay.host().route
    route.limit, route.pace, route.credit_updated_at = 10.0, 1.0, NOW
    relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, limit_left=0.5, finished=True)
    assert 1.5 <= route.pace < 1.6


def test_after_cuts_the_pace_grows_slower_until_a_delivery(relay):
    """Guards against a pace that grows by time while all calls are refused.

    It overloaded the destination as it came back."""
    route = relay.host().route
    grown = []
    for cuts in (0, 2):
        route.limit, route.pace, route.credit_updated_at, route.cut_count = 10.0, 1.0, NOW, cuts
        route.update_pace(NOW + S, 3)
        grown.append(route.pace - 1.0)
    assert grown[1] < grown[0] / 2


def test_without_a_known_limit_a_refusal_sets_a_pace_until_deliveries_lift_it(fleet_relay):
    """Guards against hundreds of relays that keep an unknown limit used up by refused calls."""
    fleet_relay.send_text(fleet_relay.accept_text(REPORT), Result.FULL)
    route, now = fleet_relay.host().route, NOW + 8 * S
    assert 0 < route.pace < 0.2 and fleet_relay.sent_texts(now) == {} and route.total_rate(200) == 2
    for step in [30 * S] * 40 + [S] * 20:
        now += step
        fleet_relay.send_text(fleet_relay.accept_text(REPORT, now=now), Result.DELIVERED, now, finished=True)
    assert route.pace == 0 and 100 < route.total_rate(200) < 200
    text = fleet_relay.accept_text(REPORT, now=now)
    assert text in fleet_relay.sent_texts(now)
    route.pace = 1.0
    fleet_relay.end_submit(text, Result.DELIVERED, now, finished=True)
    assert route.pace > 1.0


def test_a_timeout_on_a_kept_connection_weighs_half(fleet_relay):
    """Guards against taking a path that silently drops idle connections for a destination that hangs."""
    for now, in_outage in ((NOW + 4 * S, False), (NOW + 14 * S, True)):
        fleet_relay.host().has_idle_connection, fleet_relay.host().last_used_at = True, now - 4 * S
        text = fleet_relay.accept_text(REPORT, now=now)
        fleet_relay.send_text(text, Result.TIMEOUT, now, finished=True)
        assert (
            fleet_relay.host().in_outage is in_outage
            and fleet_relay.policy.stale_share[0] > MAX_STALE_SHARE_ONCE_ONLY
        )


def test_a_resubmitted_text_sets_a_pace_on_a_route_that_this_relay_does_not_know(fleet_relay):
    """Guards against texts nacked at one relay that use up the limit through others, which send at once."""
    fleet_relay.policy.text_accepted(NOW, Text(1, 1, REPORT, NOW + 40 * S, resubmitted=True))
    assert fleet_relay.sent_texts() == {} and fleet_relay.sent_texts(NOW + 20 * S) == {1: HOST}


def test_in_a_large_fleet_a_relay_starts_at_its_even_part_and_follows_the_reported_limit(fleet_relay, relay):
    """Guards against forty relays that each start at the whole limit and use it up by refusals."""
    for harness, room in ((fleet_relay, (0.1, 0.11)), (relay, (20.0, 20.0))):
        route = harness.host().route
        route.credit_updated_at = NOW
        route.learn_limit(20.0, harness.policy.settings.relays)
        harness.send_text(harness.accept_text(REPORT), Result.DELIVERED, limit_left=1.0, finished=True)
        assert room[0] <= route.pace <= room[1]
    fleet_relay.host().route.learn_limit(10.0, 200)  # a lower limit counts at once, without a refusal
    assert 0.05 <= fleet_relay.host().route.pace < 0.06


def test_in_a_large_fleet_a_relay_saves_up_calls_for_texts_that_come_together(fleet_relay):
    (route := fleet_relay.host().route).learn_limit(20.0, 200)
    route.credit_updated_at = NOW
    fleet_relay.policy._advance_host(NOW + 60 * S, fleet_relay.host())
    assert {fleet_relay.accept_text(REPORT, now=NOW + 60 * S) for _ in range(2)} == set(
        fleet_relay.sent_texts(NOW + 60 * S)
    )


def test_a_delivery_of_a_call_sent_before_a_refused_one_does_not_end_the_outage(relay):
    """A closed host still answers what it took before: the warm-up would be over at its true return."""
    early, refused = relay.accept_text(REPORT), relay.accept_text(REPORT)
    assert set(relay.sent_texts()) == {early, refused}
    relay.end_submit(refused, Result.FULL, NOW + 500, retry_after=3 * S)
    assert relay.host().in_outage
    relay.end_submit(early, Result.DELIVERED, NOW + 900, finished=True)
    assert relay.host().in_outage
    now = NOW + 500
    while not (sent := relay.sent_texts(now)):
        now += S // 10
    trial = next(iter(sent))
    relay.end_submit(trial, Result.DELIVERED, now + 900, finished=True)
    assert not relay.host().in_outage and relay.host().recovered_at == now + 900
