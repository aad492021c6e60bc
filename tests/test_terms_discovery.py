"""The longest delay of a change of the list, from every state of the watch, on a simulated clock.

Discovery is down until some moment; calls made before it never succeed, later ones are answered at once. The
recovery is placed right after each call of the relay, which is the worst case: the change is then delayed
until that call is abandoned and the next one is made. The table in docs/relay.md has the longest times."""

import json

import pytest
from conftest import SETTINGS
from test_crossings import RunningReactor, page
from test_parts import VALID_CONFIG, SocketPairTransport
from twisted.internet.error import ConnectionDone, ConnectionRefusedError, UserError
from twisted.python.failure import Failure

from limelatch.configuration import Address, plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.relay.driver import Driver

MAX_CHANGE_DELAY = 6.0  # seconds within which a change of the list has to be known
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHANGED_HOST = "s-9"  # the host that is changed
OTHER_ADDRESS = ("127.0.0.1", 7)
POLLED = {"discovery": "subscribe", "rules": SETTINGS["rules"] | {"askEvery": 10_000}}
LONG_POLLED = {"discovery": "subscribe", "rules": SETTINGS["rules"] | {"askEvery": 60_000}}
LAST_BYTE_AT = 7.0  # seconds after which a watch that stops sends nothing more
CALLS = 12  # until the relay's backoff has reached its maximum


def chunk(raw):
    return b"%x\r\n%s\r\n" % (len(raw), raw)


def json_line(object_):
    return chunk(json.dumps(object_).encode() + b"\n")


class Call:
    """One connection of the relay to discovery, and its connector."""

    def __init__(self, agent, factory, where):
        self.agent, self.factory, self.state, self.protocol = agent, factory, "connecting", None
        self.requests, self.respond, self.at = [], None, agent.seconds()
        self.is_answered = where == OTHER_ADDRESS or self.at >= agent.recovers_at

    def connect(self):
        self.state, self.protocol = "connected", self.factory.buildProtocol(None)
        call = self

        class RecordingTransport(SocketPairTransport):
            def write(self, data):
                super().write(data)
                call.agent.callLater(0, call.request_received)

            def abortConnection(self):
                call.agent.callLater(0, call.end)

        self.protocol.makeConnection(RecordingTransport())

    def request_received(self):
        requests = self.protocol.transport.value()
        self.protocol.transport.clear()
        if requests and self.state == "connected":
            self.requests.append(requests.split()[1].decode())
            (Call.answer if self.is_answered else self.respond)(self)

    def send(self, raw):
        if self.state == "connected":
            self.protocol.dataReceived(raw)

    def send_every(self, seconds, raw):
        if self.state == "connected":
            self.send(raw)
            self.agent.callLater(seconds, self.send_every, seconds, raw)

    def answer(self):
        """As in the protocol: the whole list, or the changes since, followed by empty lines."""
        is_whole_list = "stream" not in self.requests[-1]
        raw = json.dumps(page(43, is_whole_list, name=CHANGED_HOST)).encode()
        if is_whole_list:
            self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(raw), raw))
        else:
            self.send(HEAD + chunk(raw + b"\n"))
            self.agent.callLater(2, self.send_every, 2, chunk(b"\n"))

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
    """The reactor's clock, and discovery at the other end of each connection.

    `state` decides what happens to a call made before `recovers_at`."""

    def __init__(self, state, recovers_at=float("inf")):
        super().__init__()
        self.state, self.recovers_at, self.calls_made = STATES[state], recovers_at, []

    def connectTCP(self, host, port, factory, timeout=None):
        call = Call(self, factory, (host, port))
        self.calls_made.append(call)
        self.callLater(0, self.handle_call, call)
        return call

    def handle_call(self, call):
        if call.state == "connecting":
            (Call.connect if call.is_answered else self.state)(call)

    def run(self, until):
        """Advance the clock timer by timer, so that each timer counts from its own moment."""
        while self.getDelayedCalls() and self.getDelayedCalls()[0].getTime() <= until:
            self.advance(max(0.0, self.getDelayedCalls()[0].getTime() - self.seconds()))
        self.advance(until - self.seconds())


# What happens to a call.


def refused(call):
    call.refuse()


def connecting_and_silent(call):
    pass


def refused_late(call):
    call.agent.callLater(4.4, call.refuse)


def connected(respond):
    def state(call):
        call.respond = respond
        call.connect()

    return state


def half_a_head(call):
    call.send(HEAD[:30])


def interim_answers(call):
    call.send_every(1, b"HTTP/1.1 100 Continue\r\n\r\n")


def half_an_object(call):
    call.send(HEAD + json_line(page(42))[:60])


def trickle_in_an_object(call):
    call.send(HEAD + chunk(b'{"index": 42,'))
    call.send_every(0.5, chunk(b" "))


def stops(call):
    """Sends empty lines until LAST_BYTE_AT, then nothing."""
    call.send(HEAD)
    for at in (1.9, 3.9, 5.9, LAST_BYTE_AT):
        call.agent.callLater(at, call.send, chunk(b"\n"))


def ends_late(call):
    """Sends nothing, and closes just before the relay would abandon it."""
    call.send(HEAD)
    call.agent.callLater(4.4, call.end)


def not_read(call):
    call.send(HEAD + chunk(b'{"index": 42}\n'))


def an_old_index(call):
    """The relay then requests the whole list, and that request gets no response."""
    if "stream" in call.requests[-1]:
        call.send(HEAD + json_line(page(40, status="left")))


def an_error(call):
    call.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


STATES = {each.__name__: each for each in (refused, connecting_and_silent, refused_late)}
STATES |= {
    each.__name__: connected(each)
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
STATES["no_head"] = connected(lambda call: None)


@pytest.fixture
def relays(tmp_path):
    """Makes relays without a port, each on its own clock."""
    drivers = []

    def make(agent, seed=7, **settings):
        folder = tmp_path / str(len(drivers))
        folder.mkdir()
        raw = VALID_CONFIG | {
            "state": str(folder),
            "seed": f"{seed:x}",
            "known": page(41, True),
            "settings": SETTINGS | settings,
        }
        driver = Driver(plan_of(read_platform(raw)[0]), agent, agent)
        driver.ready, driver.changed_at = True, None
        drivers.append(driver)
        original_on_update = driver.catalog.on_update

        def on_update(entries, is_whole_list):
            original_on_update(entries, is_whole_list)
            if driver.changed_at is None and driver.catalog.directory.find(CHANGED_HOST.encode()) is not None:
                driver.changed_at = agent.seconds()

        driver.catalog.on_update = on_update
        driver.start()
        return driver

    yield make
    for driver in drivers:
        driver.ledger.close()


def longest_delay(relays, state, seed=7, shift=0.0, **settings):
    """The longest delay from discovery's recovery to the change, over recoveries after each call."""
    silent = Agent(state)
    relays(silent, seed, **settings)
    while len(silent.calls_made) < CALLS:
        silent.run(silent.seconds() + 1)
    delays = []
    for call in silent.calls_made[:CALLS]:
        agent = Agent(state, recovered_at := call.at + shift + 0.001)
        driver = relays(agent, seed, **settings)
        while driver.changed_at is None:
            agent.run(agent.seconds() + 1)
        delays.append(driver.changed_at - recovered_at)
    return max(delays)


WATCHED_DELAYS = {  # seconds
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
MAX_POLLED_DELAY = 5.5  # seconds


@pytest.mark.parametrize("state", WATCHED_DELAYS)
def test_a_change_of_a_watched_list_is_known_in_time_from_any_state(relays, state):
    delay = longest_delay(relays, state, shift=LAST_BYTE_AT if state == "stops" else 0.0)
    assert WATCHED_DELAYS[state] - 0.01 < delay < WATCHED_DELAYS[state] + 0.01 < MAX_CHANGE_DELAY


@pytest.mark.parametrize("settings", [POLLED, LONG_POLLED])
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("state", WATCHED_DELAYS)
def test_a_change_of_a_polled_list_is_known_in_time_from_any_state(relays, state, seed, settings):
    """Guards against waits after failures that grow to three quarters of the polling interval: changes were
    known 11.8 s and 48 s late."""
    delay = longest_delay(relays, state, seed, shift=LAST_BYTE_AT if state == "stops" else 0.0, **settings)
    assert delay < MAX_POLLED_DELAY + 0.03 < MAX_CHANGE_DELAY  # the policy's timer may fire 20 ms late


@pytest.mark.parametrize("settings", [{}, POLLED, LONG_POLLED])
@pytest.mark.parametrize("state", WATCHED_DELAYS)
@pytest.mark.parametrize("moved", [0.0, 0.9, 3.0, 17.7, 40.0])
def test_after_a_change_of_address_the_new_one_is_requested_at_once(relays, state, settings, moved):
    """Guards against a wait after a failure of the old address that delays the request to the new one."""
    agent = Agent(state)
    driver = relays(agent, **settings)
    agent.run(moved)
    driver.catalog.change_address(Address(*OTHER_ADDRESS))
    agent.run(moved + 1)
    assert driver.changed_at is not None and driver.changed_at - moved < 0.26
    assert agent.calls_made[-1].requests[0] == "/catalog/members"
    agent.run(moved + 30)
    assert agent.calls_made[-1].state == "connected" and agent.calls_made[-1].at <= driver.changed_at


@pytest.mark.parametrize("state", ["refused", "connecting_and_silent"])
def test_relays_spread_their_retries(relays, state):
    """The last call has to be spread over the remaining time instead of made at its end."""
    agents = [Agent(state) for _ in range(40)]
    for seed, agent in enumerate(agents):
        relays(agent, seed=seed + 1, **POLLED)
        agent.run(60)
    spans = [
        sum(any(at <= call.at < at + 0.1 for call in agent.calls_made) for agent in agents)
        for at in (20 + number / 10 for number in range(300))
    ]
    assert max(spans) <= 8  # of forty, in a tenth of a second
