"""A machine's wall clock is stepped while the relay is at work: spans of real time stay what they are."""

import time

SLACK = 0.3  # seconds after a text's time within which it must have its end, as the protocol allows
CLIENT_WAIT = 0.4  # seconds that a client waits for the answer to its handing in


def answered(client, text, **more):
    """The relay's answer, which comes within the time that a client waits for it."""
    asked = time.monotonic()
    answer = client.submit(text, **more)
    assert time.monotonic() - asked < CLIENT_WAIT, f"{text} was answered too late"
    return answer


def test_a_wall_clock_stepped_back_delays_no_answer_no_repeat_and_no_end(faulty, faults, agent, party):
    """The incident's machine n4: 17 s back while a text waits to be tried again, another is out."""
    program = faulty()
    host = party(lambda request: (429,) if request.headers["X-Txn"] == "refused" else (200,))
    silent = party(lambda request: request.hang())
    agent.list(host.address)
    agent.list(silent.address, "s-2", dest=2)
    client = program.start()
    assert answered(client, "refused", d=5000) == "+OK"
    assert host.next().headers["X-Txn"] == "refused"
    assert answered(client, "out", dest=2, d=1500) == "+OK"
    taken = time.monotonic()
    silent.next()
    host.reply = lambda request: (200,)
    faults.step(-17)  # nothing else happens until the due time that the relay's timer is set to has passed
    assert agent.notice()["ref"] == "out" and time.monotonic() - taken < 1.5 + SLACK
    assert host.next().headers["X-Txn"] == "refused"
    assert answered(client, "after", d=5000) == "+OK" and host.next().headers["X-Txn"] == "after"
    faults.step(+20)
    assert answered(client, "later") == "+OK" and host.next().headers["X-Txn"] == "later"
