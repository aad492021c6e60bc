"""The design's path: bucket, waits, window, caps."""

from conftest import HOST, NOW, REPORT, OTHER_HOST, S

from limelatch.interface import Nack, Result, Submit
from limelatch.policy import BASE, CAP, TOKEN, TOKEN_BUCKET_SIZE


def test_a_repeat_takes_a_token_and_a_delivery_gives_a_tenth(relay):
    dest, text = relay.host().dest, relay.take(REPORT)
    relay.out(text, Result.FULL)
    assert dest.tokens == TOKEN_BUCKET_SIZE - TOKEN
    relay.out(text, Result.DELIVERED, NOW + 15 * S, finished=True)
    assert dest.tokens == TOKEN_BUCKET_SIZE - TOKEN + 1


def test_without_a_token_the_answer_comes_at_once(relay):
    relay.host().dest.tokens = TOKEN - 1
    text = relay.take(REPORT)
    relay.out(text, Result.FULL)
    assert relay.decide(Nack) == [Nack(text, 2 * S)]


def test_submits_stop_at_the_told_most(relay):
    text = relay.take(REPORT)
    relay.pending(text).submits = 3
    relay.out(text, Result.CONNECT)
    assert relay.decide(Nack) == [Nack(text, 2 * S)]


def test_waits_are_jittered_under_a_doubling_capped_ceiling(relay):
    waits = [[relay.policy._jitter(n) for _ in range(200)] for n in (1, 2, 20)]
    assert [max(w) <= ceiling for w, ceiling in zip(waits, (BASE, 2 * BASE, CAP), strict=True)] == [True] * 3
    assert max(waits[0]) < max(waits[1]) < max(waits[2]) and min(waits[2]) < BASE


def test_a_wait_that_ends_too_late_is_not_waited(relay):
    text = relay.take(REPORT, valid=3000)
    relay.out(text, Result.CONNECT)
    assert relay.decide(Nack) == [Nack(text, 2 * S)]


def test_the_window_grows_by_one_and_halves_once_for_calls_out_together(relay):
    route = relay.host().route
    assert route.window == 4
    texts = [relay.take(REPORT) for _ in range(3)]
    relay.decide()
    relay.end(texts[0], Result.DELIVERED, finished=True)
    assert route.window == 5
    relay.end(texts[1], Result.TIMEOUT)
    relay.end(texts[2], Result.TIMEOUT)
    assert route.window == 2


def test_the_window_halves_when_the_median_is_twice_the_usual(relay):
    route = relay.host().route
    route.usual, route.seen = 1000, 50
    slow = [route.learn_latency(2500) for _ in range(7)]
    assert slow == [False] * 6 + [True]


def test_one_slow_call_halves_nothing(relay):
    route = relay.host().route
    route.usual, route.seen = 1000, 50
    assert not any(route.learn_latency(took) for took in (900, 900, 900, 900, 900, 900, 30_000))


def test_three_quarters_of_the_slots_when_healthy_half_otherwise(relay):
    host = relay.host()
    assert relay.policy._window_cap(host) == 6
    host.in_outage = True
    assert relay.policy._window_cap(host) == 4


def test_slots_are_never_passed(relay):
    relay.list(OTHER_HOST, dest=2)
    for dest in (1, 2):
        relay.host(HOST if dest == 1 else OTHER_HOST).route.window = 6
        for _ in range(10):
            relay.take(REPORT, dest=dest)
    assert len(relay.decide(Submit)) == 8


def test_texts_share_a_call_up_to_the_kind_of_destination(relay):
    relay.list(OTHER_HOST, dest=3, kind=1)
    for _ in range(7):
        relay.take(REPORT, dest=3)
    assert len(relay.decide(Submit)) == 7 and relay.policy.slots_used == 2
