"""How late a change of the list can be: from every state of the watch, on a test clock.

Discovery is down until some moment and not to be had by calls made before; each call made later is answered
at once. Its return is laid right behind each call that the relay makes, which is the worst moment: a change
then waits until that call is given up and for the next. The table in docs/relay.md has the longest times."""

import json

import pytest
from conftest import SETTINGS
from test_crossings import RunningReactor, page
from test_parts import GOOD, Wire
from twisted.internet.error import ConnectionDone, ConnectionRefusedError, UserError
from twisted.python.failure import Failure

from limelatch.configuration import Address, plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.relay.driver import Driver

TOLD_WITHIN = 6.0  # seconds after which a change counts as told
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHANGED = "s-9"  # the host that the change is about
ELSEWHERE = ("127.0.0.1", 7)
ASKED = {"discovery": "subscribe", "rules": SETTINGS["rules"] | {"askEvery": 10_000}}
LONG_ASKED = {"discovery": "subscribe", "rules": SETTINGS["rules"] | {"askEvery": 60_000}}
LAST_WORD = 7.0  # seconds after which a watch that stops does
CALLS = 12  # of a relay that has backed off as far as it does


def chunk(raw):
    return b"%x\r\n%s\r\n" % (len(raw), raw)


def line(object_):
    return chunk(json.dumps(object_).encode() + b"\n")


class Call:
    """One connection of the relay to discovery, and its connector."""

    def __init__(self, agent, factory, where):
        self.agent, self.factory, self.state, self.protocol = agent, factory, "connecting", None
        self.asked, self.then, self.at = [], None, agent.seconds()
        self.answers = where == ELSEWHERE or self.at >= agent.back_at

    def up(self):
        self.state, self.protocol = "connected", self.factory.buildProtocol(None)
        call = self

        class Line(Wire):
            def write(self, data):
                super().write(data)
                call.agent.callLater(0, call.heard)

            def abortConnection(self):
                call.agent.callLater(0, call.end)

        self.protocol.makeConnection(Line())

    def heard(self):
        asked = self.protocol.transport.value()
        self.protocol.transport.clear()
        if asked and self.state == "connected":
            self.asked.append(asked.split()[1].decode())
            (Call.answer if self.answers else self.then)(self)

    def say(self, raw):
        if self.state == "connected":
            self.protocol.dataReceived(raw)

    def say_every(self, seconds, raw):
        if self.state == "connected":
            self.say(raw)
            self.agent.callLater(seconds, self.say_every, seconds, raw)

    def answer(self):
        """As the protocol page has it: the whole list, or what has changed since, then empty lines."""
        whole = "stream" not in self.asked[-1]
        raw = json.dumps(page(43, whole, name=CHANGED)).encode()
        if whole:
            self.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))
        else:
            self.say(HEAD + chunk(raw + b"\n"))
            self.agent.callLater(2, self.say_every, 2, chunk(b"\n"))

    def refuse(self):
        if self.state == "connecting":
            self.state = "disconnected"
            self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))

    def stopConnecting(self):
        assert self.state == "connecting"
        self.state = "disconnected"
        self.factory.clientConnectionFailed(self, Failure(UserError()))

    def end(self):
        if self.state == "connected":
            self.state = "disconnected"
            self.protocol.connectionLost(Failure(ConnectionDone()))


class Agent(RunningReactor):
    """The reactor's clock and, at the other end of each connection, discovery.

    `state` gives what becomes of a call that is made before `back_at`."""

    def __init__(self, state, back_at=float("inf")):
        super().__init__()
        self.state, self.back_at, self.calls_made = STATES[state], back_at, []

    def connectTCP(self, host, port, factory, timeout=None):
        call = Call(self, factory, (host, port))
        self.calls_made.append(call)
        self.callLater(0, self.come, call)
        return call

    def come(self, call):
        if call.state == "connecting":
            (Call.up if call.answers else self.state)(call)

    def run(self, until):
        """Pass the time call by call: what a call asks for is counted from its own moment."""
        while self.getDelayedCalls() and self.getDelayedCalls()[0].getTime() <= until:
            self.advance(max(0.0, self.getDelayedCalls()[0].getTime() - self.seconds()))
        self.advance(until - self.seconds())


# What becomes of a call.


def refused(call):
    call.refuse()


def connecting_and_silent(call):
    pass


def refused_late(call):
    call.agent.callLater(4.4, call.refuse)


def comes_up(then):
    def state(call):
        call.then = then
        call.up()

    return state


def half_a_head(call):
    call.say(HEAD[:30])


def interim_answers(call):
    call.say_every(1, b"HTTP/1.1 100 Continue\r\n\r\n")


def half_an_object(call):
    call.say(HEAD + line(page(42))[:60])


def trickle_in_an_object(call):
    call.say(HEAD + chunk(b'{"index": 42,'))
    call.say_every(0.5, chunk(b" "))


def stops(call):
    """Lives until its last word, then says nothing."""
    call.say(HEAD)
    for at in (1.9, 3.9, 5.9, LAST_WORD):
        call.agent.callLater(at, call.say, chunk(b"\n"))


def ends_late(call):
    """Stops, and ends just before it is given up."""
    call.say(HEAD)
    call.agent.callLater(4.4, call.end)


def not_read(call):
    call.say(HEAD + chunk(b'{"index": 42}\n'))


def an_old_index(call):
    """Then the whole list is asked for, and that call is left without an answer."""
    if "stream" in call.asked[-1]:
        call.say(HEAD + line(page(40, status="left")))


def an_error(call):
    call.say(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


STATES = {each.__name__: each for each in (refused, connecting_and_silent, refused_late)}
STATES |= {
    each.__name__: comes_up(each)
    for each in (
        half_a_head,
        interim_answers,
        half_an_object,
        trickle_in_an_object,
        ends_late,
        not_read,
        an_old_index,
        an_error,
        stops,
    )
}
STATES["no_head"] = comes_up(lambda call: None)


@pytest.fixture
def relays(tmp_path):
    """Makes relays without a port, each on a clock of its own."""
    made = []

    def make(agent, seed=7, **settings):
        folder = tmp_path / str(len(made))
        folder.mkdir()
        raw = GOOD | {
            "state": str(folder),
            "seed": f"{seed:x}",
            "known": page(41, True),
            "settings": SETTINGS | settings,
        }
        driver = Driver(plan_of(read_platform(raw)[0]), agent, agent)
        driver.ready, driver.told_at = True, None
        made.append(driver)
        listed = driver.catalog.on_update

        def told(entries, whole):
            listed(entries, whole)
            if driver.told_at is None and driver.catalog.directory.find(CHANGED.encode()) is not None:
                driver.told_at = agent.seconds()

        driver.catalog.on_update = told
        driver.start()
        return driver

    yield make
    for driver in made:
        driver.ledger.close()


def latest(relays, state, seed=7, shift=0.0, **settings):
    """The longest time from discovery's return to the change at the relay, over returns behind each call."""
    silent = Agent(state)
    relays(silent, seed, **settings)
    while len(silent.calls_made) < CALLS:
        silent.run(silent.seconds() + 1)
    waits = []
    for call in silent.calls_made[:CALLS]:
        agent = Agent(state, back := call.at + shift + 0.001)
        driver = relays(agent, seed, **settings)
        while driver.told_at is None:
            agent.run(agent.seconds() + 1)
        waits.append(driver.told_at - back)
    return max(waits)


PUSHED = {
    "refused": 0.25,
    "an_error": 0.25,
    "not_read": 0.25,
    "refused_late": 4.65,
    "ends_late": 4.65,
    "connecting_and_silent": 4.75,
    "no_head": 4.75,
    "half_a_head": 4.75,
    "interim_answers": 4.75,
    "half_an_object": 4.75,
    "trickle_in_an_object": 4.75,
    "stops": 4.75,
    "an_old_index": 4.75,
}
ASKED_MOST = 5.5


@pytest.mark.parametrize("state", PUSHED)
def test_a_pushed_list_s_change_is_had_from_any_state(relays, state):
    late = latest(relays, state, shift=LAST_WORD if state == "stops" else 0.0)
    assert PUSHED[state] - 0.01 < late < PUSHED[state] + 0.01 < TOLD_WITHIN


@pytest.mark.parametrize("settings", [ASKED, LONG_ASKED])
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("state", PUSHED)
def test_an_asked_list_s_change_is_had_from_any_state(relays, state, seed, settings):
    """The waits after failures once went up to three quarters of the time to ask within: 11.8 s, and 48 s."""
    late = latest(relays, state, seed, shift=LAST_WORD if state == "stops" else 0.0, **settings)
    assert late < ASKED_MOST + 0.03 < TOLD_WITHIN  # the module's timer may come 20 ms after its time


@pytest.mark.parametrize("settings", [{}, ASKED, LONG_ASKED])
@pytest.mark.parametrize("state", PUSHED)
@pytest.mark.parametrize("moved", [0.0, 0.9, 3.0, 17.7, 40.0])
def test_after_a_move_the_new_address_is_asked_at_once(relays, state, settings, moved):
    """In a wait after a failure the new address was once asked only when that wait was over."""
    agent = Agent(state)
    driver = relays(agent, **settings)
    agent.run(moved)
    driver.catalog.change_address(Address(*ELSEWHERE))
    agent.run(moved + 1)
    assert driver.told_at is not None and driver.told_at - moved < 0.26
    assert agent.calls_made[-1].asked[0] == "/catalog/members"
    agent.run(moved + 30)
    assert agent.calls_made[-1].state == "connected" and agent.calls_made[-1].at <= driver.told_at


@pytest.mark.parametrize("state", ["refused", "connecting_and_silent"])
def test_relays_that_ask_again_do_not_ask_together(relays, state):
    """The last call is laid over what is left of the time, not on its end."""
    agents = [Agent(state) for _ in range(40)]
    for seed, agent in enumerate(agents):
        relays(agent, seed=seed + 1, **ASKED)
        agent.run(60)
    spans = [
        sum(any(at <= call.at < at + 0.1 for call in agent.calls_made) for agent in agents)
        for at in (20 + number / 10 for number in range(300))
    ]
    assert max(spans) <= 8  # of forty, in a tenth of a second
