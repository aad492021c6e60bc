"""Responses that no request asked for, on real relay processes over loopback: hosts and a platform that
repeat a response later on the same connection. No outcome may rest on a response to another request.
"""

import contextlib
import itertools
import queue
import threading
import time

import pytest
from conftest import WAIT_TIMEOUT, Agent, Program

SPREAD = 0.02  # seconds from a response to its copy, at the most, unless the next request comes before
FAR = 2.0  # the same, for texts that are sent on connections of their own
LONG = 20_000  # milliseconds of validity
FORMS = {  # what is written behind a response, by its status
    "copy": lambda status: response(status),
    "first half of a copy": lambda status: response(status)[:20],
    "interim response": lambda status: b"HTTP/1.1 100 Continue\r\n\r\n",
    "noise": lambda status: b"\x00\xffHTTP",
    "other status": lambda status: response(703 - status),
    "refusal with a wait": lambda status: response(429, b"Retry-After: 0.2\r\n"),
}


def response(status, headers=b""):
    return b"HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n" % (status, headers)


class RepeatingHost:
    """A host that repeats responses: on the same connection, as soon as the next request has come on it, or
    else after the spread."""

    def __init__(self, make_host, spread=SPREAD):
        self.spread, self.lock = spread, threading.Condition()
        self.form = FORMS["copy"]
        self.statuses = {}  # status of each call of a text, by its id; 200 after the last
        self.repeated = set()  # texts whose responses are repeated
        self.calls = []  # id of the text, number of the connection, and time of each call
        self.copies = 0  # copies written while the next request was out
        self.delivered = []
        self.server = make_host(self._called)

    def _called(self, request):
        text, handler = request.headers["X-Txn"], request.handler
        self._repeat(handler)
        with self.lock:
            status = (self.statuses.get(text) or [200]).pop(0)
            self.calls.append((text, id(handler), time.monotonic()))
            if status == 200:
                self.delivered.append(text)
            self.lock.notify_all()
        if text in self.repeated:
            handler.copy = self.form(status)
        request.answer(status)
        if self.spread:
            threading.Timer(self.spread, self._repeat, [handler, False]).start()
        else:
            self._repeat(handler, False)

    def _repeat(self, handler, is_next_request=True):
        """Write the copy of the connection's last response, once."""
        with self.lock:
            copy, handler.copy = getattr(handler, "copy", None), None
            if copy is None:
                return
            self.copies += is_next_request
        try:
            handler.wfile.write(copy)
        except (OSError, ValueError):
            pass  # the relay has closed the connection

    def wait_for(self, condition):
        """Wait until the condition holds; False after WAIT_TIMEOUT seconds."""
        with self.lock:
            return self.lock.wait_for(condition, WAIT_TIMEOUT)

    def calls_of(self, text):
        return [call for call in self.calls if call[0] == text]


def submit_in_turn(client, host, texts, **fields):
    """Hand in each text as soon as the first call of the one before has come to the host."""
    for text in texts:
        assert client.submit(text, d=LONG, **fields) == "+OK"
        assert host.wait_for(lambda text=text: host.calls_of(text)), f"{text} was not sent"


def assert_each_delivered_once(host, texts):
    assert host.wait_for(lambda: set(host.delivered) == set(texts)), set(texts) - set(host.delivered)
    assert [text for text in texts if host.delivered.count(text) > 1] == []


def test_a_repeated_200_does_not_end_a_text_that_its_host_refused(program, agent, make_host):
    host = RepeatingHost(make_host)
    texts = [f"a{number}" for number in range(12)]
    host.repeated = set(texts[::2])
    host.statuses = {text: [503] for text in texts[1::2]}
    agent.list(host.server.address)
    client = program.start()
    submit_in_turn(client, host, texts)
    assert host.wait_for(lambda: set(host.delivered) == set(texts)), set(texts) - set(host.delivered)


def test_a_repeated_503_does_not_send_a_text_again_that_its_host_took(program, agent, make_host):
    host = RepeatingHost(make_host)
    texts = [f"a{number}" for number in range(12)]
    host.repeated = set(texts[::2])
    host.statuses = {text: [503] for text in texts[::2]}
    agent.list(host.server.address)
    client = program.start()
    submit_in_turn(client, host, texts, product="notice")
    assert_each_delivered_once(host, texts)


def test_a_once_only_text_never_gets_the_response_to_another_one_however_late(program, agent, make_host):
    host = RepeatingHost(make_host, FAR)
    texts = [f"a{number}" for number in range(12)]
    statuses = itertools.cycle([200, 503, 503, 200])  # the response and, for the next text, not the same one
    host.repeated = set(texts[::2])
    host.statuses = {text: [next(statuses)] for text in texts}
    agent.list(host.server.address)
    client = program.start()
    submit_in_turn(client, host, texts, product="charge")
    assert_each_delivered_once(host, texts)


@pytest.mark.parametrize("spread", [0, SPREAD], ids=["at once", "later"])
@pytest.mark.parametrize("form", FORMS)
def test_no_form_of_a_surplus_response_decides_about_another_text(program, agent, make_host, form, spread):
    host = RepeatingHost(make_host, spread)
    texts = [f"a{number}" for number in range(8)]
    statuses = itertools.cycle([200, 503, 503, 200])
    host.form, host.repeated = FORMS[form], set(texts[::2])
    host.statuses = {text: [next(statuses)] for text in texts}
    agent.list(host.server.address)
    client = program.start()
    submit_in_turn(client, host, texts, product="notice")
    assert_each_delivered_once(host, texts)


class DoubtfulHost:
    """A host that refuses the first text on a connection that has carried another one, with a wait of 2 s,
    and a moment later writes a response that no request asked for."""

    def __init__(self, make_host):
        self.texts, self.refused, self.seen = queue.Queue(), None, set()
        self.server = make_host(self._called)

    def _called(self, request):
        text, is_reused = request.headers["X-Txn"], request.handler in self.seen
        self.seen.add(request.handler)
        if is_reused and self.refused is None:
            self.refused = text
            request.answer(429, Retry_After="2")
            threading.Timer(SPREAD, request.handler.wfile.write, [response(200)]).start()
        else:
            request.answer(200)
        self.texts.put(text)


def test_a_text_whose_refusal_was_in_doubt_goes_to_no_other_zone_after_a_kill(program, agent, make_host):
    host, other = DoubtfulHost(make_host), make_host()
    agent.list(host.server.address)
    client = program.start()
    for number in itertools.count():
        assert client.submit(f"a{number}", "notice", d=4000) == "+OK"
        assert host.texts.get(timeout=WAIT_TIMEOUT) == f"a{number}"
        if host.refused is not None:
            break
    program.wait_for_log("event=surplus-response")
    assert client.ask("PING") == "+PONG"  # answered after the response has been handled
    program.kill()
    agent.list(host.server.address, status="leaving")
    agent.list(other.address, "s-2", zone="b")
    client = program.start()
    assert client.submit("b", "report") == "+OK" and other.next().headers["X-Txn"] == "b"
    assert agent.notice() == {"ref": host.refused, "result": "dead"} and other.requests.empty()


class RepeatingPlatform(Agent):
    """A platform that repeats a 204 as the next request comes on its connection, and keeps no notices of
    every second request: it ends their connection without a response."""

    def __init__(self):
        self.report_count, self.reported = 0, queue.Queue()
        super().__init__()

    def act(self, request):
        if request.path != "/reports":
            return super().act(request)
        if getattr(request.handler, "has_answered", False):
            request.answer(204)
        self.report_count += 1
        self.reported.put(request.body)
        if self.report_count % 2 == 0:
            request.cut()
            return None
        request.handler.has_answered = True
        return super().act(request)


class RepeatingCatalog(Agent):
    """A catalog that repeats the whole list, as an old copy, before the response to the watch."""

    def act(self, request):
        if request.path == "/catalog/members":
            status, body = super().act(request)
            request.handler.copy = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            return status, body
        if copy := getattr(request.handler, "copy", b""):
            request.handler.copy = b""
            request.handler.wfile.write(copy)
        return super().act(request)


def test_a_repeated_list_hides_no_change(tmp_path, make_host):
    catalog = RepeatingCatalog()
    program = Program(tmp_path, catalog)
    try:
        host, other = make_host(), make_host()
        catalog.list(host.address)
        client = program.start()
        assert client.submit("a1") == "+OK" and host.next().headers["X-Txn"] == "a1"
        watch = catalog.watches.get(timeout=WAIT_TIMEOUT)
        catalog.list(other.address, "s-2", dest=2)
        with contextlib.suppress(ConnectionError):  # the relay may have opened another watch
            catalog.tell(watch)
        assert client.submit("a2") == "+OK" and host.next().headers["X-Txn"] == "a2"
        while (answer := client.submit("a3", dest=2)) != "+OK":
            assert answer == "-ERR unknown destination"  # the change is on its way
        assert other.next().headers["X-Txn"] == "a3"
    finally:
        program.kill()
        catalog.released.set()
        catalog.shutdown()


def test_a_submit_that_comes_twice_is_taken_once_and_the_answers_can_be_told_apart(program, agent, make_host):
    host = make_host(lambda request: request.hang())
    agent.list(host.address)
    client = program.start()
    assert client.submit("a1") == "+OK"
    assert client.submit("a1").startswith("-ERR this id was handed in before")
    assert host.next().headers["X-Txn"] == "a1" and host.requests.empty()


@pytest.fixture
def agent():
    agent = RepeatingPlatform()
    yield agent
    agent.released.set()
    agent.shutdown()


def test_a_repeated_204_does_not_acknowledge_notices_that_the_platform_did_not_keep(
    program, agent, make_host
):
    host, texts = make_host(lambda request: (500,)), [f"a{number}" for number in range(8)]
    for number, _ in enumerate(texts):
        agent.list(host.address, name=f"s-{number}", dest=number)
    client = program.start()
    for number, text in enumerate(texts):
        assert client.submit(text, product="charge", d=LONG, dest=number) == "+OK"
        agent.reported.get(timeout=WAIT_TIMEOUT)
    assert {agent.notice()["ref"] for _ in texts} == set(texts)
