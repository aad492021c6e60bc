"""The stage "fleet": decision modules alone, hundreds of them, in virtual time on one event queue.

A relay here is the module, the table of texts that its ledger would keep, and its connections to hosts; what
the program does around the module on sockets is modelled, not run. The same seed gives the same record, byte
for byte.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from limelatch import interface as li
from limelatch.interface import MS, SECOND, Listing, Result
from limelatch.lab import record as rec
from limelatch.lab.record import Answer, Fate
from limelatch.lab.scenario.model import FaultKeys, Scenario, What
from limelatch.lab.stages.terms import terms_of
from limelatch.lab.world.random_streams import RandomStreams
from limelatch.lab.world.clients import Arrival, Arrivals, ClientBehavior
from limelatch.lab.world.endpoint import Endpoint, Reply, Route, WorldCall, WorldText
from limelatch.lab.world.world import World
from limelatch.policy import Policy

STAGE = "fleet"
RESULT_OF = {
    Fate.DELIVERED: Result.DELIVERED,
    Fate.FAILED: Result.ERROR,
    Fate.REFUSED: Result.FULL,
    Fate.RESET: Result.RESET,
    Fate.GARBLED: Result.MALFORMED,
    Fate.OVER: Result.NOT_SENT,
    Fate.SPENT: Result.NOT_SENT,
}
RAN = (Result.ERROR, Result.MALFORMED, Result.TIMEOUT, Result.RESET, Result.CANCELLED)
FAILED = (Result.ERROR, Result.MALFORMED, Result.TIMEOUT, Result.RESET, Result.CONNECT, Result.FULL)
PLATFORM = 2 * MS  # from a notice to its answer
FRONT = 5 * MS  # until a client that found a relay dead asks another
NOBODY = 200 * MS  # and if none serves
STOP_LEAST, STOP_MOST = 500 * MS, 3300 * MS
LISTED = {Listing.READY: 0, Listing.DRAINING: 1, Listing.GONE: 2}
HANDED_ON = (500 * MS, 1800 * MS)  # until what a lost machine held is handed in again
Subject = Callable[[li.PolicySettings, int], Policy]


@dataclass(slots=True, eq=False)
class FleetText:
    """One handing in of a text, and what a ledger would say of it."""

    text: li.Text
    first: int
    tries: int
    world: WorldText
    submits: int = 0
    out: bool = False
    ran: bool = False
    ran_at: int | None = None
    ran_zone: int | None = None
    notice: tuple[bool, int] | None = None  # whether nacked, and the wait that is told


@dataclass(slots=True, eq=False)
class Link:
    """One connection to a host, while it stands idle."""

    rested: int
    until: int
    open: bool = True


@dataclass(slots=True, eq=False)
class FleetCall:
    """One call of a relay, from the module's decision to its outcome."""

    relay: FleetRelay
    endpoint: Endpoint
    texts: list[FleetText]
    sent: int
    keep: int
    idle: int = 0
    world: WorldCall | None = None
    number: int = 0
    done: bool = False
    linked: bool = False  # it has a connection at the host
    going: bool = False  # it was written


class FleetRelay:
    """One relay: its module, its texts, its connections."""

    def __init__(self, number: int, stage: Fleet) -> None:
        self.number, self.stage = number, stage
        self.floor = number % len(stage.world.floors)
        self.starts = 0
        self.up = self.stopping = False
        self.policy: Policy | None = None
        self.texts: dict[int, FleetText] = {}  # taken on, and not over
        self.arrived: dict[int, FleetText] = {}
        self.idle: dict[int, list[Link]] = {}
        self.calls: dict[int, FleetCall] = {}  # not done, by the order of their sending
        self.known: dict[int, li.HostEntry] = {}  # the list as it was last told
        self.turn_due = False
        self.lag = 0
        self.last_news = 0
        self.silent_list = False
        self.held_news: list[tuple[Endpoint, Listing]] = []
        self.cut_off: set[int] = set()

    # Its life.

    def start(self) -> None:
        """A process begins: the module is new, the list is the last one, the ledger is read."""
        now = self.stage.clock.now()
        self.policy = self.stage.subject(
            terms_of(self.stage.scenario, self.stage.seed, self.number, self.starts), now
        )
        self.starts, self.up, self.stopping, self.turn_due = self.starts + 1, True, False, False
        self.policy.hosts_listed(now, list(self.known.values()), True)
        for each in list(self.texts.values()):
            history = li.TextHistory(
                each.submits, each.ran_at, each.ran_zone, each.out, each.notice is not None
            )
            self.policy.text_accepted(now, each.text, history)
            if each.notice is not None:
                self.stage.clock.at(now + PLATFORM, self.stage.noticed, self, each)
            each.out = False
        self.stage.note(rec.Relay(now, self.number, "ready"))
        self.touch()

    def end(self, what: str) -> None:
        """Its process is over: open connections are reset, what is out may run."""
        now = self.stage.clock.now()
        self.up, self.turn_due = False, False
        for call in list(self.calls.values()):
            self.stage.abandon(call)
            call.done = True
        self.calls.clear()
        for host in list(self.idle):
            self.close_idle(host)
        arrived, self.arrived = self.arrived, {}
        self.stage.note(rec.Relay(now, self.number, what))
        for each in arrived.values():
            self.stage.answered(each, Answer.LOST, 0)

    def stop(self) -> None:
        """SIGTERM: nothing new, calls that are out finish."""
        now = self.stage.clock.now()
        self.stopping = True
        self.policy.stopping(now + STOP_MOST)
        self.stage.note(rec.Relay(now, self.number, "stopping"))
        self.stage.clock.at(now + STOP_LEAST, self._stop_if_done, self.starts, now + STOP_MOST)

    def _stop_if_done(self, starts: int, until: int) -> None:
        if not self.up or starts != self.starts:
            return
        now = self.stage.clock.now()
        if now >= until or not self.calls and not self.texts:
            self.end("ended")
            self.stage.clock.at(now + self.stage.scenario.relays.start_time, self.start)
        else:
            self.stage.clock.at(min(until, now + 50 * MS), self._stop_if_done, starts, until)

    # What it is told.

    def listed(self, endpoint: Endpoint, listing: Listing) -> None:
        stage, host = self.stage, endpoint.name.encode()
        entry = li.HostEntry(
            host,
            endpoint.destination.number,
            endpoint.floor,
            endpoint.destination.kind,
            stage.world.weight(endpoint),
            listing,
        )
        if listing is Listing.GONE:
            self.known.pop(endpoint.number, None)
            self.close_idle(endpoint.number)
        else:
            self.known[endpoint.number] = entry
        stage.note(rec.ListingReceived(stage.clock.now(), self.number, endpoint.number, LISTED[listing]))
        if self.up:
            self.policy.hosts_listed(stage.clock.now(), [entry], False)
            self.touch()

    def handed_in(self, text: FleetText) -> None:
        if self.stopping or len(self.texts) + len(self.arrived) >= self.stage.scenario.relays.texts:
            self.stage.answered(text, Answer.BUSY, 0)
            return
        self.arrived[text.text.id] = text
        self.policy.text_accepted(self.stage.clock.now(), text.text)
        self.touch()

    def touch(self) -> None:
        if not self.turn_due and self.up:
            self.turn_due = True
            self.stage.clock.at(
                self.stage.clock.now() + self.stage.scenario.relays.turn, self._turn, self.starts
            )

    def _turn(self, starts: int) -> None:
        """Decide once for all that has happened, and carry it out."""
        if starts != self.starts or not self.up:
            return
        stage = self.stage
        self.turn_due = False
        now = stage.clock.now()
        actions = self.policy.decide(now)
        arrived, self.arrived = self.arrived, {}
        for action in actions:
            if isinstance(action, (li.Nack, li.Undeliverable)) and action.text in arrived:
                text = arrived.pop(action.text)
                nack = isinstance(action, li.Nack)
                stage.answered(text, Answer.BUSY if nack else Answer.ERROR, action.advice if nack else 0)
                self.policy.text_finished(now, action.text)
        for each in arrived.values():
            self.texts[each.text.id] = each
            stage.answered(each, Answer.TAKEN, 0)
        packs: dict[li.HostId, list[li.Submit]] = {}
        for action in actions:
            if type(action) is li.Submit:
                packs.setdefault(action.host, []).append(action)
            elif type(action) is li.Wake:
                stage.clock.at(now + action.after, self._wake, self.starts)
            elif isinstance(action, (li.Nack, li.Undeliverable)):
                if (text := self.texts.get(action.text)) is not None:
                    nack = isinstance(action, li.Nack)
                    text.notice, text.out = (nack, action.advice if nack else 0), False
                    stage.clock.at(now + PLATFORM, stage.noticed, self, text)
            elif type(action) is li.CloseIdle:
                self.close_idle(stage.numbers[action.host])
            elif type(action) is li.LogLine:
                stage.note(
                    rec.BeliefChanged(now, self.number, stage.numbers.get(action.host, -1), action.line)
                )
        for host, submits in packs.items():
            endpoint = stage.world.endpoints[stage.numbers[host]]
            most = stage.policy_kinds[endpoint.destination.kind].texts_per_call
            for begin in range(0, len(submits), most):
                self._send(now, endpoint, submits[begin : begin + most])

    def _wake(self, starts: int) -> None:
        if starts == self.starts and self.up:
            self.touch()

    # Its calls.

    def _send(self, now: int, endpoint: Endpoint, submits: list[li.Submit]) -> None:
        stage = self.stage
        texts = [self.texts[each.text] for each in submits]
        call = FleetCall(self, endpoint, texts, now, min(each.idle_limit for each in submits))
        stage.count += 1
        call.number = stage.count
        self.calls[call.number] = call
        stage.clock.at(now + min(each.timeout for each in submits), self._out_of_time, call)
        link = self._idle_link(now, endpoint)
        way = stage.way(self, endpoint)
        if link is not None:
            call.linked, call.idle = True, max(1, now - link.rested)
            self.go(call)
        elif endpoint.silent or endpoint.number in self.cut_off:
            stage.clock.at(now + stage.scenario.network.connect_wait, self.outcome, call, Result.CONNECT)
        elif (
            endpoint.down
            or endpoint.leaving
            or stage.open_at(now, endpoint) >= (endpoint.destination.group.connections)
        ):
            stage.clock.at(now + 2 * way, self.outcome, call, Result.CONNECT)
        else:
            endpoint.connections += 1
            call.linked = True
            stage.clock.at(now + 2 * way, self.go, call)

    def _idle_link(self, now: int, endpoint: Endpoint) -> Link | None:
        links = self.idle.get(endpoint.number)
        while links:
            link = links.pop()
            if link.open and link.until > now:
                link.open = False  # it is in use; its place at the host goes on
                return link
        return None

    def close_idle(self, host: int) -> None:
        for link in self.idle.pop(host, []):
            if link.open:
                link.open = False
                self.stage.world.endpoints[host].connections -= 1

    def go(self, call: FleetCall) -> None:
        """Its connection is up: what may still go is written."""
        if call.done:
            return
        stage, now = self.stage, self.stage.clock.now()
        host = call.endpoint.name.encode()
        held = [each for each in call.texts if not self.policy.may_send(now, each.text.id, host)]
        if held:
            call.texts = [each for each in call.texts if each not in held]
            for each in held:
                self._ended(now, call, each, Result.NOT_SENT)
            self.touch()
            if not call.texts:
                self._finish(call, True)
                return
        for each in call.texts:
            each.submits, each.out = each.submits + 1, True
            if each.ran_at is None:
                each.ran_at, each.ran_zone = call.sent, call.endpoint.floor
        call.going = True
        stage.clock.at(now + stage.way(self, call.endpoint), stage.arrive, call, now)

    def heard(self, call: FleetCall, reply: Reply) -> None:
        """The answer is here."""
        if call.done:
            return
        now, first = self.stage.clock.now(), reply.fates[0]
        for each, fate in zip(call.texts, reply.fates, strict=True):
            self._ended(now, call, each, RESULT_OF[fate], reply)
        self._finish(call, first not in (Fate.RESET, Fate.GARBLED))
        self.touch()

    def outcome(self, call: FleetCall, result: Result) -> None:
        """It ended without an answer."""
        if call.done:
            return
        now = self.stage.clock.now()
        self.stage.abandon(call)
        for each in call.texts:
            self._ended(now, call, each, result)
        self._finish(call, False)
        self.touch()

    def _out_of_time(self, call: FleetCall) -> None:
        if not call.done:
            self.outcome(call, Result.TIMEOUT if call.going else Result.CONNECT)

    def _ended(
        self, now: int, call: FleetCall, text: FleetText, result: Result, reply: Reply | None = None
    ) -> None:
        if text.text.id not in self.texts:
            return
        told = reply.wait if reply is not None else 0
        report = li.SubmitReport(
            text.text.id,
            call.endpoint.name.encode(),
            result,
            now - call.sent,
            result is Result.DELIVERED,
            told,
            reply.left if reply else None,
            (reply.rate or None) if reply else None,
            call.idle,
        )
        self.policy.submit_ended(now, report)
        if result in FAILED:
            self.stage.note(rec.CallFailed(now, self.number, call.endpoint.number))
        text.out = False
        if result is Result.DELIVERED:
            del self.texts[text.text.id]
            self.stage.delivered(text)
        elif call.going:
            text.ran = text.ran or result in RAN
            if not text.ran:
                text.ran_at = text.ran_zone = None

    def _finish(self, call: FleetCall, kept: bool) -> None:
        """The call is over; its connection rests for as long as the module said, or is closed."""
        call.done = True
        del self.calls[call.number]
        if not call.linked:
            return
        endpoint, now = call.endpoint, self.stage.clock.now()
        if kept and call.keep > 0 and endpoint.number in self.known and not endpoint.down:
            link = Link(now, now + min(call.keep, endpoint.destination.group.idle_time))
            self.idle.setdefault(endpoint.number, []).append(link)
            self.stage.rest(endpoint, link)
        else:
            endpoint.connections -= 1


class Fleet:
    """All relays of a scenario and the world that they send to."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        clock,
        note: Callable[[rec.Event], None],
        subject: Subject = Policy,
    ) -> None:
        self.scenario, self.seed, self.clock, self.note, self.subject = scenario, seed, clock, note, subject
        self.numbers: dict[li.HostId, int] = {}
        self.resting: dict[int, list[tuple[int, int, Link]]] = {}  # idle connections at a host, by their end
        self.relays: list[FleetRelay] = []
        self.world = World(scenario, seed, clock, self)
        self.policy_kinds = terms_of(scenario, seed, 0, 0).kinds
        self.random_streams, self.client_behavior = RandomStreams(seed), ClientBehavior(scenario, seed)
        self.count = self.next_id = self.open = 0
        self.waiting_keys: dict[int, deque[FleetText]] = {}
        self.arrivals = iter(Arrivals(scenario, seed))
        self.all_came = False
        self.factor_of_lag: dict[int, float] = {}

    # The course of it.

    def begin(self) -> None:
        """Relays start with the whole list; the first text is put on the clock."""
        lag, spread = self.scenario.catalog.lag, self.scenario.catalog.spread
        for number in range(self.scenario.relays.count):
            relay = FleetRelay(number, self)
            relay.lag = round(lag * (1 + spread * (2 * self.random_streams.uniform("lag") - 1)))
            for endpoint in self.world.endpoints:
                relay.known[endpoint.number] = li.HostEntry(
                    endpoint.name.encode(),
                    endpoint.destination.number,
                    endpoint.floor,
                    endpoint.destination.kind,
                    self.world.weight(endpoint),
                    Listing.READY,
                )
            self.relays.append(relay)
            relay.start()
        self.world.begin()
        self._next_arrival()

    def _next_arrival(self) -> None:
        arrival = next(self.arrivals, None)
        if arrival is None:
            self.all_came = True
        else:
            self.clock.at(arrival.at, self._arrive_first, arrival)

    def _arrive_first(self, arrival: Arrival) -> None:
        self._next_arrival()
        self.next_id += 1
        until = arrival.at + self.scenario.products[arrival.product].validity_period
        self.hand_in(
            self._text(
                self.next_id, arrival.product, arrival.destination, arrival.customer, arrival.key, until, 0
            )
        )

    def _text(
        self, first: int, product: int, destination: int, customer: int, key: int, until: int, tries: int
    ) -> FleetText:
        identity = first if not tries else self._new_id()
        text = li.Text(identity, destination, product, until, customer, key)
        return FleetText(text, first, tries, WorldText(identity, first, product))

    def _new_id(self) -> int:
        self.next_id += 1
        return self.next_id

    def hand_in(self, text: FleetText) -> None:
        """A client hands it in; those of one key in turn, each when the one before has its answer."""
        key = text.text.key
        self.open += 1
        if key:
            waiting = self.waiting_keys.setdefault(key, deque())
            waiting.append(text)
            if len(waiting) > 1:
                return
        self._ask(text, self.client_behavior.relay(key))

    def _ask(self, text: FleetText, number: int) -> None:
        now, row = self.clock.now(), text.text
        if row.valid_until <= now:
            self._client_done(text)
            return
        relay = self.relays[number]
        if not relay.up or relay.stopping:
            serving = [each for each in self.relays if each.up and not each.stopping]
            if not serving:
                self.clock.at(now + NOBODY, self._ask, text, number)
                return
            relay = serving[number % len(serving)]
        self.note(
            rec.Submitted(
                now,
                relay.number,
                row.id,
                text.first,
                row.product,
                row.destination,
                row.customer,
                row.key,
                row.valid_until,
                text.tries,
            )
        )
        relay.handed_in(text)

    def answered(self, text: FleetText, answer: Answer, wait: int) -> None:
        """The client has its answer."""
        now, row = self.clock.now(), text.text
        self.note(rec.Answered(now, row.id, answer, wait))
        if answer is Answer.LOST:
            again = self._text(
                text.first,
                row.product,
                row.destination,
                row.customer,
                row.key,
                row.valid_until,
                text.tries + 1,
            )
            self._key_free(text)
            self.open -= 1
            self.clock.at(now + FRONT, self.hand_in, again)
            return
        if answer is not Answer.TAKEN:
            self.open -= 1
            if answer is Answer.BUSY:
                self._again(text, wait)
        self._key_free(text)

    def _again(self, text: FleetText, told: int) -> None:
        """A nacked text is handed in again, if its client does so and its time lasts."""
        now, row = self.clock.now(), text.text
        wait = self.client_behavior.retry_delay(text.tries, told)
        if wait is not None and now + wait < row.valid_until:
            again = self._text(
                text.first,
                row.product,
                row.destination,
                row.customer,
                row.key,
                row.valid_until,
                text.tries + 1,
            )
            self.open += 1
            self.clock.at(now + wait, self._hand_in_again, again)

    def _hand_in_again(self, text: FleetText) -> None:
        self.open -= 1
        self.hand_in(text)

    def _client_done(self, text: FleetText) -> None:
        self.open -= 1
        self._key_free(text)

    def _key_free(self, text: FleetText) -> None:
        """The next text of its key may be handed in."""
        waiting = self.waiting_keys.get(text.text.key)
        if waiting and waiting[0] is text:
            waiting.popleft()
            if waiting:
                self.clock.at(
                    self.clock.now() + 1, self._ask, waiting[0], self.client_behavior.relay(text.text.key)
                )
            else:
                del self.waiting_keys[text.text.key]

    def delivered(self, text: FleetText) -> None:
        self.open -= 1

    def noticed(self, relay: FleetRelay, text: FleetText) -> None:
        """The platform has answered a notice."""
        if not relay.up or text.text.id not in relay.texts:
            return
        now, (nack, wait) = self.clock.now(), text.notice
        del relay.texts[text.text.id]
        self.note(rec.NoticeAnswered(now, relay.number, text.text.id, nack, wait))
        self.open -= 1
        relay.policy.text_finished(now, text.text.id)
        relay.touch()
        if nack:
            self._again(text, wait)

    @property
    def over(self) -> bool:
        """All texts have come and have their ends."""
        return self.all_came and self.open <= 0

    # The way to hosts.

    def way(self, relay: FleetRelay, endpoint: Endpoint) -> int:
        """One way, in ticks."""
        keys = self.scenario.network
        base = keys.same_floor if relay.floor == endpoint.floor else keys.cross_floor
        return max(1, round(base * (1 + keys.jitter * self.random_streams.uniform("network"))))

    def open_at(self, now: int, endpoint: Endpoint) -> int:
        """Connections at a host, less those whose idle time is over."""
        resting = self.resting.get(endpoint.number, [])
        while resting and resting[0][0] <= now:
            link = heapq.heappop(resting)[2]
            if link.open:
                link.open = False
                endpoint.connections -= 1
        return endpoint.connections

    def rest(self, endpoint: Endpoint, link: Link) -> None:
        self.count += 1
        resting = self.resting.setdefault(endpoint.number, [])
        heapq.heappush(resting, (link.until, self.count, link))
        if len(resting) > 4 * endpoint.connections + 16:  # those that were used again
            resting[:] = [entry for entry in resting if entry[2].open]
            heapq.heapify(resting)

    def arrive(self, call: FleetCall, sent: int) -> None:
        """A whole call is at its host, unless the way there is cut."""
        endpoint, now = call.endpoint, self.clock.now()
        if endpoint.number in call.relay.cut_off or endpoint.silent:
            return
        if endpoint.down:
            if not call.done:
                self.clock.at(now + self.way(call.relay, endpoint), call.relay.outcome, call, Result.RESET)
            return
        texts = [each.world for each in call.texts]
        self.note(
            rec.Called(
                now, sent, call.number, call.relay.number, endpoint.number, [each.id for each in texts]
            )
        )
        call.world = WorldCall(
            call.relay.number, texts, lambda reply: self.respond(call, reply), call.number, gone=call.done
        )
        endpoint.arrive(call.world)

    def respond(self, call: FleetCall, reply: Reply) -> None:
        """The host answers."""
        if call.done:
            return
        now = self.clock.now()
        heard = now + self.way(call.relay, call.endpoint)
        self.note(rec.Responded(now, heard, call.number, [int(each) for each in reply.fates], reply.wait))
        call.world = None
        if call.endpoint.number not in call.relay.cut_off:
            self.clock.at(heard, call.relay.heard, call, reply)

    def abandon(self, call: FleetCall) -> None:
        """The relay waits for it no longer; it may run all the same."""
        if call.going:
            self.note(rec.GaveUp(self.clock.now(), call.number))
        if call.world is not None:
            call.world.gone = True

    # What the world tells.

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        self.note(rec.EffectTaken(self.clock.now(), endpoint.number, text.id, text.first, known))

    def host(self, endpoint: Endpoint) -> None:
        self.numbers[endpoint.name.encode()] = endpoint.number
        self.note(
            rec.Host(
                self.clock.now(),
                endpoint.number,
                endpoint.name,
                endpoint.destination.number,
                endpoint.route.number,
                endpoint.floor,
                endpoint.capacity,
            )
        )

    def condition(self, endpoint: Endpoint, condition: rec.Condition) -> None:
        self.note(rec.ConditionChanged(self.clock.now(), endpoint.number, int(condition)))

    def reachable(self, endpoint: Endpoint) -> None:
        """A host that died resets what is open; one that was silent resets it once it is back."""
        if endpoint.silent:
            return
        for relay in self.relays:
            if endpoint.down or endpoint.leaving:
                relay.close_idle(endpoint.number)
            for call in list(relay.calls.values()):
                if call.endpoint is endpoint and call.going:
                    self.clock.at(
                        self.clock.now() + self.way(relay, endpoint), relay.outcome, call, Result.RESET
                    )

    def route_overloaded(self, route: Route, bore: float, load: dict[int, int]) -> None:
        self.note(rec.RouteOverloaded(self.clock.now(), route.number, bore, load))

    def listed(self, endpoint: Endpoint, listing: Listing) -> None:
        for relay in self.relays:
            self._news(relay, endpoint, listing)

    def _news(self, relay: FleetRelay, endpoint: Endpoint, listing: Listing) -> None:
        if relay.silent_list:
            relay.held_news.append((endpoint, listing))
            return
        lag = round(relay.lag * self.factor_of_lag.get(relay.number, 1.0))
        relay.last_news = max(relay.last_news, self.clock.now() + lag)  # news never overtake each other
        self.clock.at(relay.last_news, relay.listed, endpoint, listing)

    def fault(self, number: int, on: bool, endpoints: list[Endpoint]) -> None:
        self.note(rec.Fault(self.clock.now(), number, on, [each.number for each in endpoints]))

    def relay_fault(self, fault: FaultKeys, number: int) -> None:
        relay, now = self.relays[number], self.clock.now()
        if not relay.up or relay.stopping or fault.what is What.RELOAD:
            return
        if fault.what is What.RESTART:
            relay.stop()
            return
        relay.end("killed" if fault.what is What.KILL else "wiped")
        if fault.what is What.WIPE:
            self._hand_on(relay)
        self.clock.at(now + self.scenario.relays.start_time, relay.start)

    def _hand_on(self, relay: FleetRelay) -> None:
        """What a lost machine held comes again to others, unless it may have run and may not be repeated."""
        low, high = HANDED_ON
        for each in list(relay.texts.values()):
            self.open -= 1
            row, product = each.text, self.scenario.products[each.text.product]
            if each.ran_at is None or product.effect is li.Effect.RESENDABLE:
                again = self._text(
                    each.first,
                    row.product,
                    row.destination,
                    row.customer,
                    row.key,
                    row.valid_until,
                    each.tries + 1,
                )
                self.open += 1
                wait = low + round((high - low) * self.random_streams.uniform("handed on"))
                self.clock.at(self.clock.now() + wait, self._hand_in_again, again)
        relay.texts.clear()

    def cut_off(self, relays: list[int], endpoints: list[Endpoint], on: bool) -> None:
        for number in relays:
            relay = self.relays[number]
            for endpoint in endpoints:
                (relay.cut_off.add if on else relay.cut_off.discard)(endpoint.number)
                if not on:
                    for call in list(relay.calls.values()):
                        if call.endpoint is endpoint and call.going:
                            relay.outcome(call, Result.RESET)

    def list_lag(self, fault: FaultKeys, relays: list[int], on: bool) -> None:
        for number in relays:
            if fault.what is What.LIST_LATE:
                self.factor_of_lag[number] = fault.times if on else 1.0
                continue
            relay = self.relays[number]
            relay.silent_list = on
            held, relay.held_news = relay.held_news, []
            for endpoint, listing in held if not on else ():
                self._news(relay, endpoint, listing)


def duration(scenario: Scenario) -> int:
    """The latest end of a run."""
    return scenario.scenario.seconds + scenario.scenario.settle


STEP = SECOND  # of virtual time between two looks at whether it is over
