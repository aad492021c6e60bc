"""The basic path of a text: token bucket, backoff, window of calls, limits on slots."""

from conftest import HOST, NOW, OTHER_HOST, REPORT, S

from limelatch.interface import Nack, Result, Submit
from limelatch.policy import BACKOFF_BASE, MAX_BACKOFF, TOKEN_BUCKET_SIZE, TOKEN_PRICE


def test_a_repeat_takes_a_token_and_a_delivery_gives_a_tenth(relay):
    destination, text = relay.host().destination, relay.accept_text(REPORT)
    relay.send_text(text, Result.FULL)
    assert destination.tokens == TOKEN_BUCKET_SIZE - TOKEN_PRICE
    relay.send_text(text, Result.DELIVERED, NOW + 15 * S, finished=True)
    assert destination.tokens == TOKEN_BUCKET_SIZE - TOKEN_PRICE + 1


def test_without_a_token_the_final_answer_comes_at_once(relay):
    relay.host().destination.tokens = TOKEN_PRICE - 1
    text = relay.accept_text(REPORT)
    relay.send_text(text, Result.FULL)
    assert relay.decide(Nack) == [Nack(text, 2 * S)]


def test_submits_stop_at_the_configured_maximum(relay):
    text = relay.accept_text(REPORT)
    relay.pending(text).submit_count = 3
    relay.send_text(text, Result.CONNECT)
    assert relay.decide(Nack) == [Nack(text, 2 * S)]


def test_the_backoff_is_random_below_a_doubling_and_limited_bound(relay):
    delays = [[relay.policy._backoff(n) for _ in range(200)] for n in (1, 2, 20)]
    assert [
        max(drawn) <= bound
        for drawn, bound in zip(delays, (BACKOFF_BASE, 2 * BACKOFF_BASE, MAX_BACKOFF), strict=True)
    ] == [True] * 3
    assert max(delays[0]) < max(delays[1]) < max(delays[2]) and min(delays[2]) < BACKOFF_BASE


def test_a_backoff_that_ends_after_the_deadline_is_not_waited_for(relay):
    text = relay.accept_text(REPORT, valid=3000)
    relay.send_text(text, Result.CONNECT)
    assert relay.decide(Nack) == [Nack(text, 2 * S)]


def test_the_window_grows_by_one_and_halves_once_for_calls_in_flight_together(relay):
    route = relay.host().route
    assert route.window == 4
    texts = [relay.accept_text(REPORT) for _ in range(3)]
    relay.decide()
    relay.end_submit(texts[0], Result.DELIVERED, finished=True)
    assert route.window == 5
    relay.end_submit(texts[1], Result.TIMEOUT)
    relay.end_submit(texts[2], Result.TIMEOUT)
    assert route.window == 2


def test_the_window_halves_when_the_median_duration_is_twice_the_usual(relay):
    route = relay.host().route
    route.usual_duration, route.duration_count = 1000, 50
    slow = [route.record_duration(2500) for _ in range(7)]
    assert slow == [False] * 6 + [True]


def test_one_slow_call_does_not_halve_the_window(relay):
    route = relay.host().route
    route.usual_duration, route.duration_count = 1000, 50
    assert not any(route.record_duration(took) for took in (900, 900, 900, 900, 900, 900, 30_000))


def test_a_destination_gets_three_quarters_of_the_slots_when_healthy_else_half(relay):
    host = relay.host()
    assert relay.policy._max_window(host) == 6
    host.in_outage = True
    assert relay.policy._max_window(host) == 4


def test_no_more_calls_than_slots_are_in_flight(relay):
    relay.list_hosts(OTHER_HOST, dest=2)
    for dest in (1, 2):
        relay.host(HOST if dest == 1 else OTHER_HOST).route.window = 6
        for _ in range(10):
            relay.accept_text(REPORT, dest=dest)
    assert len(relay.decide(Submit)) == 8


def test_a_call_carries_as_many_texts_as_its_kind_of_host_takes(relay):
    relay.list_hosts(OTHER_HOST, dest=3, kind=1)
    for _ in range(7):
        relay.accept_text(REPORT, dest=3)
    assert len(relay.decide(Submit)) == 7 and relay.policy.slots_used == 2
