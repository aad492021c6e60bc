"""What stands beside the design: health, pacing, order of held texts, room."""

from conftest import CHARGE, HOST, NOTICE, NOW, REPORT, ROUTE, OTHER_HOST, S

from limelatch.interface import CloseIdle, Listing, LogLine, Nack, Result, Submit, Text, Wake
from limelatch.policy import GUIDE_TIME_OUT, REFUSED_OFTEN, SICK_SHARE, STALE_ONCE, TIME_OUT, TOLD_SHUT, Call


def sick(relay, cause=Result.CONNECT):
    text = relay.take(REPORT)
    relay.out(text, cause)
    relay.pending(text).due = NOW + 100 * S
    return relay.host()


def test_a_failure_without_a_delivery_lately_makes_a_host_sick_and_it_gets_one_trial(relay):
    host = sick(relay)
    assert host.in_outage and "sick: connect" in relay.decide(LogLine)[0].line
    texts = {relay.take(REPORT) for _ in range(3)}
    assert relay.sent(NOW) == {}
    assert len(texts & set(relay.sent(host.route.trial_at))) == 1


def test_a_trial_that_works_starts_the_warm_up(relay):
    host = sick(relay)
    relay.out(relay.take(REPORT), Result.DELIVERED, host.route.trial_at, finished=True)
    assert not host.in_outage and host.back_at is not None


def test_one_silent_time_out_makes_a_host_sick_and_a_trial_takes_one_text(relay):
    """Trials once carried five texts each into hosts that hung."""
    relay.list(HOST, kind=1)
    relay.host().kind = 1
    relay.out(relay.take(REPORT, now=NOW), Result.TIMEOUT)
    assert relay.host().in_outage
    for _ in range(3):
        relay.take(REPORT)
    assert len(relay.sent(relay.host().route.trial_at)) == 1


def test_a_once_only_text_is_no_trial_while_another_can_be(relay):
    host = sick(relay)
    relay.take(CHARGE)
    text = relay.take(REPORT, now=NOW + 1)
    assert relay.sent(host.route.trial_at) == {text: HOST}


def test_an_overdue_call_holds_back_further_texts(relay):
    relay.out(relay.take(REPORT))
    relay.take(REPORT)
    assert len(relay.sent(NOW + 2 * S)) == 1  # one more once the first is overdue
    relay.take(REPORT)
    assert relay.sent(NOW + 2 * S + 1) == {}


def test_time_outs_are_short_only_for_repeatable_texts_while_slots_are_scarce(relay):
    """Lost answers once held all slots while healthy hosts stood idle."""
    relay.host().route.seen, relay.host().route.usual = 10, 3000
    notice, charge = relay.pending(relay.take(REPORT)), relay.pending(relay.take(CHARGE))
    notice.call = charge.call = Call(relay.host(), NOW)
    assert relay.policy._time_out(notice) == TIME_OUT
    relay.policy.slots_used = 7  # all but one
    assert (relay.policy._time_out(notice), relay.policy._time_out(charge)) == (12_000, GUIDE_TIME_OUT)


def test_kept_connections_are_given_up_while_many_of_them_are_reset(relay):
    """Hosts that close after an answer once had a tenth of all calls reset, and were taken for sick."""
    relay.out(relay.take(REPORT), Result.DELIVERED, idle=0, finished=True)
    now = NOW + S
    for _ in range(2):
        text = relay.take(REPORT)
        relay.out(text, Result.RESET, took=100, idle=300)
        relay.pending(text).due = now
    assert not relay.host().failing
    actions = [each for each in relay.decide(now=now) if isinstance(each, (CloseIdle, Submit))]
    assert [type(each) for each in actions[:2]] == [CloseIdle, Submit] and actions[1].idle_limit <= 0
    for action in actions[1::2]:
        relay.end(action.text, Result.DELIVERED, now, finished=True, idle=0)
    for _ in range(80):  # calls on new connections: it fades
        relay.out(relay.take(REPORT, now=now), Result.DELIVERED, now, finished=True, idle=0)
    assert relay.policy.stale[0] < STALE_ONCE


def test_a_time_out_leaves_a_referenced_text_time_for_the_repeat(relay):
    """Lost answers once cost the text: 9 s of its window of 10 s were over before it could go again."""
    relay.host().route.seen, relay.host().route.usual = 10, 1000
    text = relay.take(NOTICE)
    assert relay.decide(Submit)[0].timeout == 10 * S // 4
    relay.end(text, Result.TIMEOUT, NOW + 10 * S // 4)
    assert relay.pending(text).verdict is None and relay.pending(text).due < NOW + 5 * S
    slow = relay.pending(relay.take(NOTICE))
    slow.call, relay.host().route.usual = Call(relay.host(), NOW), 5000
    assert relay.policy._time_out(slow) == 8 * 5000


def test_a_time_out_beside_deliveries_weighs_less_than_silence(relay):
    """A host of whose answers a third was lost once counted as down, and all its texts waited for trials."""
    first, second = relay.take(REPORT), relay.take(REPORT)
    relay.decide()
    relay.end(first, Result.DELIVERED, NOW + S, finished=True)
    relay.end(second, Result.TIMEOUT, NOW + 9 * S)
    assert 0 < relay.host().failing < 0.2 and not relay.host().in_outage


def test_a_reset_after_idleness_is_a_dead_connection_and_no_outage(relay):
    """A path that drops idle connections once looked like an outage of every host."""
    relay.out(relay.take(REPORT), Result.DELIVERED, finished=True)
    relay.out(relay.take(REPORT), Result.RESET, NOW + 2 * S, took=100)
    assert relay.host().failing == 0.0 and relay.policy.idle_most[0] < 2 * S


def test_connections_are_kept_longer_only_where_no_connect_failed_for_as_long(fleet_relay):
    """Kept for 6 s at most, nine of ten calls once paid for a new connection; kept for longer from the start,
    relays killed together filled all tables in their first seconds."""
    fleet_relay.list(OTHER_HOST, dest=2)
    for now, closed in ((NOW, [CloseIdle(OTHER_HOST)]), (NOW + 9 * S, [])):
        fleet_relay.out(fleet_relay.take(REPORT, dest=2, now=now), Result.DELIVERED, now, finished=True)
        assert fleet_relay.decide(CloseIdle, now) == closed
    text = fleet_relay.take(REPORT, now=now)
    fleet_relay.out(text, Result.CONNECT, now)  # no delivery lately: half a sign of an outage
    assert 0 < fleet_relay.host().failing < SICK_SHARE and not fleet_relay.host().in_outage
    assert fleet_relay.decide(CloseIdle, now) == [CloseIdle(OTHER_HOST), CloseIdle(HOST)]
    fleet_relay.out(
        text, Result.CONNECT, fleet_relay.pending(text).due
    )  # the second is no table of this relay's making
    assert fleet_relay.host().in_outage and fleet_relay.policy.idle_most[0] < S


def test_one_product_failing_at_one_host_is_no_outage_and_goes_to_the_other(fleet_relay):
    """An endpoint that left one product unanswered once passed for a hung destination at each relay."""
    fleet_relay.list(HOST, OTHER_HOST)
    fleet_relay.policy.products[0] = {CHARGE, REPORT}
    first = fleet_relay.take(REPORT)
    bad = fleet_relay.out(first)
    fleet_relay.end(first, Result.TIMEOUT, NOW + 9 * S, host=bad)
    good, now = OTHER_HOST if bad == HOST else HOST, fleet_relay.pending(first).due
    assert not fleet_relay.host(bad).in_outage and not fleet_relay.host(bad).failing
    assert fleet_relay.out(first, now=now) == good
    for _ in range(4):
        assert (
            fleet_relay.out(fleet_relay.take(REPORT, now=now), Result.DELIVERED, now, finished=True) == good
        )
    fleet_relay.end(first, Result.TIMEOUT, now + 9 * S, host=good)  # a second host: the destination hangs
    assert fleet_relay.host(good).in_outage and fleet_relay.host(bad).in_outage


def test_of_two_hosts_drawn_the_one_with_an_idle_connection_is_taken(relay):
    """Calls spread over hosts at random once paid for a new connection each, beside an idle one."""
    relay.list(HOST, OTHER_HOST)
    kept = relay.out(relay.take(REPORT), Result.DELIVERED, finished=True)
    for at in range(1, 6):
        assert relay.out(relay.take(REPORT), Result.DELIVERED, NOW + at * S, finished=True) == kept
    relay.host(kept).failing = SICK_SHARE - 0.1  # health comes first
    assert relay.out(relay.take(REPORT), now=NOW + 6 * S) != kept


def test_no_connection_while_others_go_through_is_a_full_table(relay):
    relay.out(relay.take(REPORT), Result.DELIVERED, finished=True)
    relay.out(relay.take(REPORT), Result.CONNECT, NOW + S)
    assert relay.host().failing == 0.0


def test_a_refusal_cuts_the_pace_to_the_relays_own_rate(relay):
    """A pace of the whole limit at hundreds of relays once took many refusals to matter; limits collapsed."""
    route = relay.host().route
    relay.policy.settings.relays = 200
    route.learn_limit(20.0, 200)
    relay.out(relay.take(REPORT), Result.FULL)
    assert 0.04 <= route.pace < 0.2


def test_a_long_told_wait_is_an_outage_unless_the_limit_is_used_up(relay):
    """Told waits of many relays reach far at a small limit and once looked like an outage."""
    relay.out(relay.take(REPORT), Result.FULL, retry_after=TOLD_SHUT + 1, limit_left=0.0)
    assert not relay.host().in_outage
    relay.list(OTHER_HOST, dest=2)
    relay.out(relay.take(REPORT, dest=2), Result.FULL, retry_after=TOLD_SHUT + 1)
    assert relay.host(OTHER_HOST).in_outage


def test_a_route_falls_sick_as_one_but_for_hosts_that_delivered_lately(relay):
    """Each relay once found out host by host that a whole destination was down."""
    relay.list(OTHER_HOST, ROUTE)
    relay.host(ROUTE).last_ok = NOW
    relay.policy._failed(NOW, relay.host(), "connect", 1.0)
    assert [relay.host(name).in_outage for name in (HOST, OTHER_HOST, ROUTE)] == [True, True, False]


def test_the_parts_of_the_relays_that_know_add_up_to_what_is_safe(relay):
    """A part of limit / relays from nothing once kept hundreds of relays silent through the cold time."""
    policy, route = relay.policy, relay.host().route
    policy.settings.relays, route.limit, route.down_at = 200, 4.0, NOW
    assert policy._seers(NOW + 5 * S, route) == 40 and policy._seers(NOW + 100 * S, route) == 200
    relay.host().in_outage = True
    policy._come_back(NOW, route)
    assert 0.0 <= relay.host().warm_credit < 1.0 and relay.host().back_at == NOW


def test_a_tick_looks_only_at_destinations_with_texts_waiting(relay):
    """Every tick once visited each destination of the list."""
    relay.list(OTHER_HOST, dest=2)
    relay.host(OTHER_HOST).in_outage, relay.host(OTHER_HOST).route.trial_at = True, NOW + S
    relay.take(REPORT, dest=2)
    assert relay.decide(Wake) == [Wake(S)] and list(relay.policy.active) == [2]
    assert not relay.policy.destinations[1].waiting


def test_trials_are_spaced_by_the_limit(relay):
    """Trials of several relays once used up a small limit for good, as refused calls counted."""
    host = relay.host()
    host.route.learn_limit(3.0, 3)
    relay.policy._next_trial(NOW, host.route)
    assert host.route.trial_at - NOW >= S


def test_pace_is_spent_and_comes_back(relay):
    route = relay.host().route
    route.learn_limit(5.0, 3)
    route.credit, route.credit_at = 0.0, NOW
    text = relay.take(REPORT)
    assert relay.sent(NOW) == {}
    assert relay.sent(NOW + S // 2) == {text: HOST}


def test_a_text_that_can_make_its_sla_time_goes_before_a_late_one(relay):
    late = relay.take(NOTICE, valid=15 * S)
    fresh = relay.take(NOTICE)
    relay.host().route.window = 1
    assert relay.sent() == {fresh: HOST} and late in relay.policy.texts


def test_a_nearly_full_relay_nacks_what_is_least_at_stake(relay):
    relay.host().in_outage, relay.host().route.trial_at = True, NOW + 4 * S
    late = relay.take(REPORT, valid=5 * S)
    for _ in range(46):
        relay.take(REPORT)
    assert relay.decide(Nack) == [Nack(late, 2 * S)]


def test_a_host_new_in_an_outage_of_its_route_is_taken_as_sick(relay):
    """Replaced hosts of a shut destination were once taken as sound by all relays, and pushed over."""
    relay.policy._failed(NOW, relay.host(), "refused", 1.0)
    relay.list(HOST, listing=Listing.GONE)
    relay.list(OTHER_HOST)
    assert relay.host(OTHER_HOST).in_outage


def test_cuts_in_a_row_without_a_delivery_are_an_outage(relay):
    """The even part of a shut destination is more than it bears when it returns."""
    route = relay.host().route
    route.learn_limit(20.0, 3)
    for step in range(REFUSED_OFTEN):
        relay.policy._refused(NOW + step * S, relay.host(), 0, None)
    assert relay.host().in_outage


def test_few_free_slots_shorten_time_outs_of_unknown_destinations(relay):
    """Calls lost at hosts that no relay knew well once held the few slots of each for 9 s."""
    notice = relay.pending(relay.take(REPORT))
    notice.call = Call(relay.host(), NOW)
    relay.policy.slots_used = 8
    assert relay.policy._time_out(notice) == GUIDE_TIME_OUT


def test_told_room_raises_the_pace(relay):
    """Paces once cut did not come back while the told limit had room."""
    route = relay.host().route
    route.limit, route.pace, route.credit_at = 10.0, 1.0, NOW
    relay.out(relay.take(REPORT), Result.DELIVERED, limit_left=0.5, finished=True)
    assert 1.5 <= route.pace < 1.6


def test_a_cut_pace_grows_slower_before_a_delivery(relay):
    """Paces that grew by the clock while all was refused once pushed over a destination as it came back."""
    route = relay.host().route
    grown = []
    for cuts in (0, 2):
        route.limit, route.pace, route.credit_at, route.cuts = 10.0, 1.0, NOW, cuts
        route.refill(NOW + S, 3)
        grown.append(route.pace - 1.0)
    assert grown[1] < grown[0] / 2


def test_a_refusal_where_no_limit_is_known_paces_the_route_until_deliveries_lift_it(fleet_relay):
    """Hundreds of relays once kept a limit used up by being refused, and knew two calls a second at most."""
    fleet_relay.out(fleet_relay.take(REPORT), Result.FULL)
    route, now = fleet_relay.host().route, NOW + 8 * S
    assert 0 < route.pace < 0.2 and fleet_relay.sent(now) == {} and route.rate(200) == 2
    for step in [30 * S] * 40 + [S] * 20:
        now += step
        fleet_relay.out(fleet_relay.take(REPORT, now=now), Result.DELIVERED, now, finished=True)
    assert route.pace == 0 and 100 < route.rate(200) < 200
    text = fleet_relay.take(REPORT, now=now)
    assert text in fleet_relay.sent(now)
    route.pace = 1.0
    fleet_relay.end(text, Result.DELIVERED, now, finished=True)
    assert route.pace > 1.0


def test_a_time_out_on_a_kept_connection_is_half_a_sign_of_an_outage(fleet_relay):
    """Paths that drop idle connections in silence once made sound destinations pass for hung."""
    for now, sick in ((NOW + 4 * S, False), (NOW + 14 * S, True)):
        fleet_relay.host().kept, fleet_relay.host().used_at = True, now - 4 * S
        text = fleet_relay.take(REPORT, now=now)
        fleet_relay.out(text, Result.TIMEOUT, now, finished=True)
        assert fleet_relay.host().in_outage is sick and fleet_relay.policy.stale[0] > STALE_ONCE


def test_a_text_handed_in_again_paces_a_route_that_this_relay_does_not_know(fleet_relay):
    """Texts nacked at one relay once kept a limit used up by way of others, which sent them on at once."""
    fleet_relay.policy.text_accepted(NOW, Text(1, 1, REPORT, NOW + 40 * S, resubmitted=True))
    assert fleet_relay.sent() == {} and fleet_relay.sent(NOW + 20 * S) == {1: HOST}


def test_one_of_many_relays_starts_at_its_even_part_and_follows_the_limit_told(fleet_relay, relay):
    """Forty relays that each started at the whole limit once used it up by refusals, all day."""
    for bench, room in ((fleet_relay, (0.1, 0.11)), (relay, (20.0, 20.0))):
        route = bench.host().route
        route.credit_at = NOW
        route.learn_limit(20.0, bench.policy.settings.relays)
        bench.out(bench.take(REPORT), Result.DELIVERED, limit_left=1.0, finished=True)
        assert room[0] <= route.pace <= room[1]
    fleet_relay.host().route.learn_limit(10.0, 200)  # once only refusals told each, late and alone
    assert 0.05 <= fleet_relay.host().route.pace < 0.06


def test_one_of_many_relays_saves_up_calls_for_texts_that_come_together(fleet_relay):
    (route := fleet_relay.host().route).learn_limit(20.0, 200)
    route.credit_at = NOW
    fleet_relay.policy._advance(NOW + 60 * S, fleet_relay.host())
    assert {fleet_relay.take(REPORT, now=NOW + 60 * S) for _ in range(2)} == set(
        fleet_relay.sent(NOW + 60 * S)
    )
