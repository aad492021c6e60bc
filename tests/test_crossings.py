"""Faults at narrow moments: what comes between two lines of the relay; one side is held still."""

import time

from conftest import WAIT, S

from limelatch.interface import Result
from limelatch.relay.inspection import look
from limelatch.relay.ledger import Ledger


def until(true):
    """Looks again until it is so; the relay has no other sign of it."""
    last = time.monotonic() + WAIT
    while not true():
        assert time.monotonic() < last


def ledger_in(folder):
    return Ledger(str(folder), 100_000, 10_000_000)


def take(ledger, text, **more):
    ledger.taken(text, b"body", **{"key": "", "mark": "m", "dest": 1, "product": "notice", "customer": 0,
                                   "until": 9 * S} | more)


def test_a_submit_out_at_a_kill_may_have_run_though_a_later_one_is_refused(tmp_path):
    """The refusal once passed for the proof of both: after a second kill the text went to another floor."""
    before = ledger_in(tmp_path)
    take(before, b"a")
    before.going(b"a", 5, 1)
    before.close()  # killed, the submit out
    between = ledger_in(tmp_path)
    between.going(b"a", 9, 1)
    between.ended(b"a", ran=False)
    between.compact()
    between.close()  # killed again
    entry = ledger_in(tmp_path).entries[b"a"]
    assert (entry.submits, entry.out, entry.ran_at, entry.ran_zone) == (2, False, 5, 1)


def test_after_two_kills_and_a_refusal_a_text_stays_on_the_floor_where_it_may_have_run(program, agent, party):
    first, other = party(lambda request: request.hang()), party()
    agent.list(first.address, zone="a")
    program.start().submit("t1", "notice", d=20_000)
    assert first.next().headers["X-Txn"] == "t1"
    program.kill()
    first.reply = lambda request: request.answer(429, Retry_After="9")
    program.start()
    assert first.next().headers["X-Txn"] == "t1"  # again, and refused: it has not run this time
    until(lambda: not look(str(program.state)).entries[b"t1"].out)
    program.kill()
    agent.list(first.address, zone="a", status="leaving")
    agent.list(other.address, name="s-2", zone="b")
    assert program.start().submit("t2", "report") == "+OK"
    assert other.next().headers["X-Txn"] == "t2" and other.asked.empty()


def test_a_text_near_its_end_takes_no_others_into_its_call(relay):
    """A call is given up whole when the first of its texts is out of time."""
    relay.list(b"batch1", dest=2, kind=1)
    relay.out(relay.take(dest=2), Result.DELIVERED)
    near = relay.take(dest=2, valid=S // 2)
    others = [relay.take(dest=2, valid=9 * S) for _ in range(2)]
    calls = {}
    for text in relay.sent():
        calls.setdefault(id(relay.held(text).call), []).append(text)
    assert sorted(calls.values()) == [[near], others]
