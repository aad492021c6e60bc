"""What the tests share: terms, hosts, and a relay whose state a test sets directly."""

import pytest

from limelatch.interface import (
    Effect,
    HostEntry,
    HostKind,
    Listing,
    Product,
    Result,
    Submit,
    SubmitReport,
    Terms,
    Text,
)
from limelatch.policy import Policy

S = 10_000
NOW = 1_000 * S
NOTICE, CHARGE, REPORT = 0, 1, 2
HOST, TWIN, ROUTE = b"hosta1", b"hostb1", b"route1"


class Bench:
    """One relay and short ways to act on it."""

    def __init__(self, policy):
        self.policy, self.next_id = policy, 100

    def take(self, product=NOTICE, now=NOW, key=0, valid=24 * S, dest=1, customer=0):
        self.next_id += 1
        self.policy.text_taken(now, Text(self.next_id, dest, product, now + valid, customer, key))
        return self.next_id

    def end(self, text, result, now=NOW, host=HOST, took=1000, **more):
        self.policy.submit_ended(now, SubmitReport(text, host, result, took, **more))

    def decide(self, kind=None, now=NOW):
        actions = self.policy.decide(now)
        return [a for a in actions if kind is None or isinstance(a, kind)]

    def sent(self, now=NOW):
        return {action.text: action.host for action in self.decide(Submit, now)}

    def list(self, *hosts, dest=1, now=NOW, listing=Listing.READY, zone=0, kind=0, rate=0.0, whole=False):
        entries = [HostEntry(host, dest, zone, kind, rate, listing) for host in hosts]
        self.policy.hosts_listed(now, entries, whole)

    def out(self, text, result=None, now=NOW, **more):
        """Send the text, and end its submit if a result is given."""
        host = self.sent(now)[text]
        if result is not None:
            self.end(text, result, now, host=host, **more)
        return host

    def host(self, name=HOST):
        return self.policy.hosts[name]

    def held(self, text):
        return self.policy.texts[text]


@pytest.fixture
def terms():
    products = [
        Product(Effect.REFERENCED, 3 * S, 24 * S, 2.0, 0.5, True, 10 * S, repeats_anywhere=False),
        Product(Effect.ONCE_ONLY, 25 * S // 10, 28 * S, 1.0, 0.3, True, in_order=True),
        Product(Effect.RESENDABLE, 3 * S, 16 * S, 2.0, 0.4, False),
    ]
    return Terms(seed=7, relays=3, slots=8, max_texts=50, max_submits=4, max_advice=2 * S, products=products,
                 kinds=[HostKind(), HostKind(texts_per_call=5), HostKind(routes_apart=True)],
                 cold_share=0.2, cold_time=12 * S, fall_multiple=2.5, fall_time=2 * S, turn_gap=3000)


@pytest.fixture
def relay(terms):
    bench = Bench(Policy(terms, NOW))
    bench.list(HOST)
    return bench


FAILURES = (Result.ERROR, Result.TIMEOUT, Result.RESET)
