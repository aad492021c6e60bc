"""The stage "fleet": hundreds of decision modules in virtual time on one event queue.

A relay of this stage is the decision module, the table of texts that its ledger would keep, and its
connections to hosts; the rest of the relay is modelled, not run. The same seed gives the same record, byte
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
from limelatch.lab.stages.host_record import host_record
from limelatch.lab.stages.terms import policy_settings_of
from limelatch.lab.world.random_streams import RandomStreams
from limelatch.lab.world.clients import Arrival, Arrivals, ClientBehavior
from limelatch.lab.world.endpoint import Endpoint, Reply, Route, WorldCall, WorldText
from limelatch.lab.world.world import World
from limelatch.policy import Policy

STAGE = "fleet"
RESULT_BY_FATE = {
    Fate.DELIVERED: Result.DELIVERED,
    Fate.FAILED: Result.ERROR,
    Fate.REFUSED: Result.FULL,
    Fate.RESET: Result.RESET,
    Fate.GARBLED: Result.MALFORMED,
    Fate.OVER: Result.NOT_SENT,
    Fate.SPENT: Result.NOT_SENT,
}
MAY_HAVE_RUN = (Result.ERROR, Result.MALFORMED, Result.TIMEOUT, Result.RESET, Result.CANCELLED)
FAILED_RESULTS = (Result.ERROR, Result.MALFORMED, Result.TIMEOUT, Result.RESET, Result.CONNECT, Result.FULL)
NOTICE_TIME = 2 * MS  # ticks from a notice to the platform's acknowledgement
FAILOVER_DELAY = 5 * MS  # ticks until a client that lost its relay tries another one
NO_RELAY_DELAY = 200 * MS  # ticks until a client tries again when no relay serves
MIN_STOP_TIME = 500 * MS  # ticks from SIGTERM to the earliest end of the process
MAX_STOP_TIME = 3300 * MS  # ticks from SIGTERM to the latest end
LISTING_CODES = {Listing.READY: 0, Listing.DRAINING: 1, Listing.GONE: 2}
RESUBMIT_DELAYS = (500 * MS, 1800 * MS)  # ticks until the texts of a lost relay are resubmitted
Subject = Callable[[li.PolicySettings, int], Policy]


@dataclass(slots=True, eq=False)
class FleetText:
    """One submission of a text, and what the ledger would hold of it."""

    text: li.Text
    first: int
    tries: int
    world: WorldText
    submit_count: int = 0
    in_flight: bool = False
    may_have_run: bool = False
    first_run_at: int | None = None
    first_run_zone: int | None = None
    notice: tuple[bool, int] | None = None  # whether it is a nack, and the advised wait


@dataclass(slots=True, eq=False)
class IdleConnection:
    """An idle connection to a host."""

    idle_since: int
    until: int
    open: bool = True


@dataclass(slots=True, eq=False)
class FleetCall:
    """One call of a relay, from the module's decision to its end."""

    relay: FleetRelay
    endpoint: Endpoint
    texts: list[FleetText]
    sent: int
    idle_limit: int
    idle_time: int = 0
    world: WorldCall | None = None
    number: int = 0
    is_finished: bool = False
    has_connection: bool = False  # it counts as a connection at the host
    is_written: bool = False  # its request was written


class FleetRelay:
    """One relay: its decision module, texts and connections."""

    def __init__(self, number: int, stage: Fleet) -> None:
        self.number, self.stage = number, stage
        self.floor = number % len(stage.world.floors)
        self.starts = 0
        self.up = self.stopping = False
        self.policy: Policy | None = None
        self.texts: dict[int, FleetText] = {}  # accepted and unfinished
        self.new_texts: dict[int, FleetText] = {}
        self.idle_by_host: dict[int, list[IdleConnection]] = {}
        self.calls: dict[int, FleetCall] = {}  # unfinished, in the order of sending
        self.host_list: dict[int, li.HostEntry] = {}  # the list as last received
        self.turn_due = False
        self.lag = 0
        self.last_list_update = 0
        self.is_list_silent = False
        self.held_updates: list[tuple[Endpoint, Listing]] = []
        self.cut_off: set[int] = set()

    # Start and stop.

    def start(self) -> None:
        """Starts a process with a new module, the last known list and the texts of the ledger."""
        now = self.stage.clock.now()
        self.policy = self.stage.subject(
            policy_settings_of(self.stage.scenario, self.stage.seed, self.number, self.starts), now
        )
        self.starts, self.up, self.stopping, self.turn_due = self.starts + 1, True, False, False
        self.policy.hosts_listed(now, list(self.host_list.values()), True)
        for each in list(self.texts.values()):
            history = li.TextHistory(
                each.submit_count,
                each.first_run_at,
                each.first_run_zone,
                each.in_flight,
                each.notice is not None,
            )
            self.policy.text_accepted(now, each.text, history)
            if each.notice is not None:
                self.stage.clock.at(now + NOTICE_TIME, self.stage.noticed, self, each)
            each.in_flight = False
        self.stage.note(rec.Relay(now, self.number, "ready"))
        self.schedule_turn()

    def end(self, what: str) -> None:
        """Ends the process: connections are reset, and calls in progress may still run."""
        now = self.stage.clock.now()
        self.up, self.turn_due = False, False
        for call in list(self.calls.values()):
            self.stage.abandon(call)
            call.is_finished = True
        self.calls.clear()
        for host in list(self.idle_by_host):
            self.close_idle(host)
        new_texts, self.new_texts = self.new_texts, {}
        self.stage.note(rec.Relay(now, self.number, what))
        for each in new_texts.values():
            self.stage.answered(each, Answer.LOST, 0)

    def stop(self) -> None:
        """Handles SIGTERM: no new texts; calls in progress may finish."""
        now = self.stage.clock.now()
        self.stopping = True
        self.policy.stopping(now + MAX_STOP_TIME)
        self.stage.note(rec.Relay(now, self.number, "stopping"))
        self.stage.clock.at(now + MIN_STOP_TIME, self._stop_if_done, self.starts, now + MAX_STOP_TIME)

    def _stop_if_done(self, starts: int, until: int) -> None:
        if not self.up or starts != self.starts:
            return
        now = self.stage.clock.now()
        if now >= until or not self.calls and not self.texts:
            self.end("ended")
            self.stage.clock.at(now + self.stage.scenario.relays.start_time, self.start)
        else:
            self.stage.clock.at(min(until, now + 50 * MS), self._stop_if_done, starts, until)

    # Inputs.

    def listed(self, endpoint: Endpoint, listing: Listing) -> None:
        """Receives a host's state in the list."""
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
            self.host_list.pop(endpoint.number, None)
            self.close_idle(endpoint.number)
        else:
            self.host_list[endpoint.number] = entry
        stage.note(
            rec.ListingReceived(stage.clock.now(), self.number, endpoint.number, LISTING_CODES[listing])
        )
        if self.up:
            self.policy.hosts_listed(stage.clock.now(), [entry], False)
            self.schedule_turn()

    def submit(self, text: FleetText) -> None:
        """Receives a text of a client, or answers that the relay is busy."""
        if self.stopping or len(self.texts) + len(self.new_texts) >= self.stage.scenario.relays.texts:
            self.stage.answered(text, Answer.BUSY, 0)
            return
        self.new_texts[text.text.id] = text
        self.policy.text_accepted(self.stage.clock.now(), text.text)
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """Schedules the next decision, unless one is scheduled already."""
        if not self.turn_due and self.up:
            self.turn_due = True
            self.stage.clock.at(
                self.stage.clock.now() + self.stage.scenario.relays.turn, self._turn, self.starts
            )

    def _turn(self, starts: int) -> None:
        """Lets the module decide on all events so far, and carries out its actions."""
        if starts != self.starts or not self.up:
            return
        stage = self.stage
        self.turn_due = False
        now = stage.clock.now()
        actions = self.policy.decide(now)
        new_texts, self.new_texts = self.new_texts, {}
        for action in actions:
            if isinstance(action, (li.Nack, li.Undeliverable)) and action.text in new_texts:
                text = new_texts.pop(action.text)
                nack = isinstance(action, li.Nack)
                stage.answered(text, Answer.BUSY if nack else Answer.ERROR, action.advice if nack else 0)
                self.policy.text_finished(now, action.text)
        for each in new_texts.values():
            self.texts[each.text.id] = each
            stage.answered(each, Answer.TAKEN, 0)
        submits_by_host: dict[li.HostId, list[li.Submit]] = {}
        for action in actions:
            if type(action) is li.Submit:
                submits_by_host.setdefault(action.host, []).append(action)
            elif type(action) is li.Wake:
                stage.clock.at(now + action.after, self._wake, self.starts)
            elif isinstance(action, (li.Nack, li.Undeliverable)):
                if (text := self.texts.get(action.text)) is not None:
                    nack = isinstance(action, li.Nack)
                    text.notice, text.in_flight = (nack, action.advice if nack else 0), False
                    stage.clock.at(now + NOTICE_TIME, stage.noticed, self, text)
            elif type(action) is li.CloseIdle:
                self.close_idle(stage.numbers[action.host])
            elif type(action) is li.LogLine:
                stage.note(
                    rec.BeliefChanged(now, self.number, stage.numbers.get(action.host, -1), action.line)
                )
        for host, submits in submits_by_host.items():
            endpoint = stage.world.endpoints[stage.numbers[host]]
            max_texts = stage.policy_kinds[endpoint.destination.kind].texts_per_call
            for begin in range(0, len(submits), max_texts):
                self._send(now, endpoint, submits[begin : begin + max_texts])

    def _wake(self, starts: int) -> None:
        if starts == self.starts and self.up:
            self.schedule_turn()

    # Calls.

    def _send(self, now: int, endpoint: Endpoint, submits: list[li.Submit]) -> None:
        stage = self.stage
        texts = [self.texts[each.text] for each in submits]
        call = FleetCall(self, endpoint, texts, now, min(each.idle_limit for each in submits))
        stage.count += 1
        call.number = stage.count
        self.calls[call.number] = call
        stage.clock.at(now + min(each.timeout for each in submits), self._time_out, call)
        connection = self._take_idle_connection(now, endpoint)
        one_way_delay = stage.one_way_delay(self, endpoint)
        if connection is not None:
            call.has_connection, call.idle_time = True, max(1, now - connection.idle_since)
            self.write_call(call)
        elif endpoint.silent or endpoint.number in self.cut_off:
            stage.clock.at(now + stage.scenario.network.connect_wait, self.outcome, call, Result.CONNECT)
        elif (
            endpoint.down
            or endpoint.leaving
            or stage.open_at(now, endpoint) >= (endpoint.destination.group.connections)
        ):
            stage.clock.at(now + 2 * one_way_delay, self.outcome, call, Result.CONNECT)
        else:
            endpoint.connections += 1
            call.has_connection = True
            stage.clock.at(now + 2 * one_way_delay, self.write_call, call)

    def _take_idle_connection(self, now: int, endpoint: Endpoint) -> IdleConnection | None:
        connections = self.idle_by_host.get(endpoint.number)
        while connections:
            connection = connections.pop()
            if connection.open and connection.until > now:
                connection.open = False  # in use now; it still counts at the host
                return connection
        return None

    def close_idle(self, host: int) -> None:
        """Closes all idle connections to a host."""
        for connection in self.idle_by_host.pop(host, []):
            if connection.open:
                connection.open = False
                self.stage.world.endpoints[host].connections -= 1

    def write_call(self, call: FleetCall) -> None:
        """Writes the request, without the texts that may no longer be sent."""
        if call.is_finished:
            return
        stage, now = self.stage, self.stage.clock.now()
        host = call.endpoint.name.encode()
        held = [each for each in call.texts if not self.policy.may_send(now, each.text.id, host)]
        if held:
            call.texts = [each for each in call.texts if each not in held]
            for each in held:
                self._submit_ended(now, call, each, Result.NOT_SENT)
            self.schedule_turn()
            if not call.texts:
                self._finish(call, True)
                return
        for each in call.texts:
            each.submit_count, each.in_flight = each.submit_count + 1, True
            if each.first_run_at is None:
                each.first_run_at, each.first_run_zone = call.sent, call.endpoint.floor
        call.is_written = True
        stage.clock.at(now + stage.one_way_delay(self, call.endpoint), stage.arrive, call, now)

    def response_received(self, call: FleetCall, reply: Reply) -> None:
        """Handles the answer of a call."""
        if call.is_finished:
            return
        now, first = self.stage.clock.now(), reply.fates[0]
        for each, fate in zip(call.texts, reply.fates, strict=True):
            self._submit_ended(now, call, each, RESULT_BY_FATE[fate], reply)
        self._finish(call, first not in (Fate.RESET, Fate.GARBLED))
        self.schedule_turn()

    def outcome(self, call: FleetCall, result: Result) -> None:
        """Handles the end of a call without an answer."""
        if call.is_finished:
            return
        now = self.stage.clock.now()
        self.stage.abandon(call)
        for each in call.texts:
            self._submit_ended(now, call, each, result)
        self._finish(call, False)
        self.schedule_turn()

    def _time_out(self, call: FleetCall) -> None:
        if not call.is_finished:
            self.outcome(call, Result.TIMEOUT if call.is_written else Result.CONNECT)

    def _submit_ended(
        self, now: int, call: FleetCall, text: FleetText, result: Result, reply: Reply | None = None
    ) -> None:
        if text.text.id not in self.texts:
            return
        retry_after = reply.wait if reply is not None else 0
        report = li.SubmitReport(
            text.text.id,
            call.endpoint.name.encode(),
            result,
            now - call.sent,
            result is Result.DELIVERED,
            retry_after,
            reply.left if reply else None,
            (reply.rate or None) if reply else None,
            call.idle_time,
        )
        self.policy.submit_ended(now, report)
        if result in FAILED_RESULTS:
            self.stage.note(rec.CallFailed(now, self.number, call.endpoint.number))
        text.in_flight = False
        if result is Result.DELIVERED:
            del self.texts[text.text.id]
            self.stage.delivered(text)
        elif call.is_written:
            text.may_have_run = text.may_have_run or result in MAY_HAVE_RUN
            if not text.may_have_run:
                text.first_run_at = text.first_run_zone = None

    def _finish(self, call: FleetCall, keep_alive: bool) -> None:
        """Finishes a call; its connection stays idle for as long as the module said, or is closed."""
        call.is_finished = True
        del self.calls[call.number]
        if not call.has_connection:
            return
        endpoint, now = call.endpoint, self.stage.clock.now()
        if keep_alive and call.idle_limit > 0 and endpoint.number in self.host_list and not endpoint.down:
            connection = IdleConnection(now, now + min(call.idle_limit, endpoint.destination.group.idle_time))
            self.idle_by_host.setdefault(endpoint.number, []).append(connection)
            self.stage.add_idle(endpoint, connection)
        else:
            endpoint.connections -= 1


class Fleet:
    """All relays of a scenario, their clients, and the world that they send to."""

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
        self.idle_connections: dict[
            int, list[tuple[int, int, IdleConnection]]
        ] = {}  # by host, ordered by their end
        self.relays: list[FleetRelay] = []
        self.world = World(scenario, seed, clock, self)
        self.policy_kinds = policy_settings_of(scenario, seed, 0, 0).kinds
        self.random_streams, self.client_behavior = RandomStreams(seed), ClientBehavior(scenario, seed)
        self.count = self.next_id = self.unfinished_count = 0
        self.queues_by_key: dict[int, deque[FleetText]] = {}
        self.arrivals = iter(Arrivals(scenario, seed))
        self.all_arrived = False
        self.lag_factors: dict[int, float] = {}

    # Clients.

    def begin(self) -> None:
        """Starts the relays with the whole list, and schedules the first text."""
        lag, spread = self.scenario.catalog.lag, self.scenario.catalog.spread
        for number in range(self.scenario.relays.count):
            relay = FleetRelay(number, self)
            relay.lag = round(lag * (1 + spread * (2 * self.random_streams.uniform("lag") - 1)))
            for endpoint in self.world.endpoints:
                relay.host_list[endpoint.number] = li.HostEntry(
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
            self.all_arrived = True
        else:
            self.clock.at(arrival.at, self._arrive_first, arrival)

    def _arrive_first(self, arrival: Arrival) -> None:
        self._next_arrival()
        self.next_id += 1
        until = arrival.at + self.scenario.products[arrival.product].validity_period
        self.submit_text(
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

    def submit_text(self, text: FleetText) -> None:
        """Submits a text; texts of one key wait until the one before has its answer."""
        key = text.text.key
        self.unfinished_count += 1
        if key:
            waiting = self.queues_by_key.setdefault(key, deque())
            waiting.append(text)
            if len(waiting) > 1:
                return
        self._send_to_relay(text, self.client_behavior.relay(key))

    def _send_to_relay(self, text: FleetText, number: int) -> None:
        now, row = self.clock.now(), text.text
        if row.valid_until <= now:
            self._client_finished(text)
            return
        relay = self.relays[number]
        if not relay.up or relay.stopping:
            serving = [each for each in self.relays if each.up and not each.stopping]
            if not serving:
                self.clock.at(now + NO_RELAY_DELAY, self._send_to_relay, text, number)
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
        relay.submit(text)

    def answered(self, text: FleetText, answer: Answer, wait: int) -> None:
        """Handles the answer that a client receives."""
        now, row = self.clock.now(), text.text
        self.note(rec.Answered(now, row.id, answer, wait))
        if answer is Answer.LOST:
            resubmission = self._resubmission(text)
            self._key_free(text)
            self.unfinished_count -= 1
            self.clock.at(now + FAILOVER_DELAY, self.submit_text, resubmission)
            return
        if answer is not Answer.TAKEN:
            self.unfinished_count -= 1
            if answer is Answer.BUSY:
                self._resubmit(text, wait)
        self._key_free(text)

    def _resubmission(self, text: FleetText) -> FleetText:
        """The text as its client hands it in again, under a new id."""
        row = text.text
        return self._text(
            text.first,
            row.product,
            row.destination,
            row.customer,
            row.key,
            row.valid_until,
            text.tries + 1,
        )

    def _resubmit(self, text: FleetText, retry_after: int) -> None:
        """Schedules the resubmission of a nacked text, if its client retries and there is time."""
        now, row = self.clock.now(), text.text
        wait = self.client_behavior.retry_delay(text.tries, retry_after)
        if wait is not None and now + wait < row.valid_until:
            resubmission = self._resubmission(text)
            self.unfinished_count += 1
            self.clock.at(now + wait, self._resubmit_now, resubmission)

    def _resubmit_now(self, text: FleetText) -> None:
        self.unfinished_count -= 1
        self.submit_text(text)

    def _client_finished(self, text: FleetText) -> None:
        self.unfinished_count -= 1
        self._key_free(text)

    def _key_free(self, text: FleetText) -> None:
        """Lets the next text of the key be submitted."""
        waiting = self.queues_by_key.get(text.text.key)
        if waiting and waiting[0] is text:
            waiting.popleft()
            if waiting:
                self.clock.at(
                    self.clock.now() + 1,
                    self._send_to_relay,
                    waiting[0],
                    self.client_behavior.relay(text.text.key),
                )
            else:
                del self.queues_by_key[text.text.key]

    def delivered(self, text: FleetText) -> None:
        """A text was delivered."""
        self.unfinished_count -= 1

    def noticed(self, relay: FleetRelay, text: FleetText) -> None:
        """The platform acknowledged a notice."""
        if not relay.up or text.text.id not in relay.texts:
            return
        now, (nack, wait) = self.clock.now(), text.notice
        del relay.texts[text.text.id]
        self.note(rec.NoticeAnswered(now, relay.number, text.text.id, nack, wait))
        self.unfinished_count -= 1
        relay.policy.text_finished(now, text.text.id)
        relay.schedule_turn()
        if nack:
            self._resubmit(text, wait)

    @property
    def over(self) -> bool:
        """Whether all texts have been submitted and are finished."""
        return self.all_arrived and self.unfinished_count <= 0

    # The network to the hosts.

    def one_way_delay(self, relay: FleetRelay, endpoint: Endpoint) -> int:
        """Returns a random one-way delay in ticks."""
        keys = self.scenario.network
        base = keys.same_floor if relay.floor == endpoint.floor else keys.cross_floor
        return max(1, round(base * (1 + keys.jitter * self.random_streams.uniform("network"))))

    def open_at(self, now: int, endpoint: Endpoint) -> int:
        """Returns the number of connections at a host, after closing those idle for too long."""
        idle_connections = self.idle_connections.get(endpoint.number, [])
        while idle_connections and idle_connections[0][0] <= now:
            connection = heapq.heappop(idle_connections)[2]
            if connection.open:
                connection.open = False
                endpoint.connections -= 1
        return endpoint.connections

    def add_idle(self, endpoint: Endpoint, connection: IdleConnection) -> None:
        """Adds an idle connection at a host."""
        self.count += 1
        idle_connections = self.idle_connections.setdefault(endpoint.number, [])
        heapq.heappush(idle_connections, (connection.until, self.count, connection))
        if len(idle_connections) > 4 * endpoint.connections + 16:  # remove those that were used again
            idle_connections[:] = [entry for entry in idle_connections if entry[2].open]
            heapq.heapify(idle_connections)

    def arrive(self, call: FleetCall, sent: int) -> None:
        """Delivers a complete call to its host, unless the host can't be reached."""
        endpoint, now = call.endpoint, self.clock.now()
        if endpoint.number in call.relay.cut_off or endpoint.silent:
            return
        if endpoint.down:
            if not call.is_finished:
                self.clock.at(
                    now + self.one_way_delay(call.relay, endpoint), call.relay.outcome, call, Result.RESET
                )
            return
        texts = [each.world for each in call.texts]
        self.note(
            rec.Called(
                now, sent, call.number, call.relay.number, endpoint.number, [each.id for each in texts]
            )
        )
        call.world = WorldCall(
            call.relay.number,
            texts,
            lambda reply: self.respond(call, reply),
            call.number,
            gone=call.is_finished,
        )
        endpoint.arrive(call.world)

    def respond(self, call: FleetCall, reply: Reply) -> None:
        """Sends a host's answer to the relay."""
        if call.is_finished:
            return
        now = self.clock.now()
        received_at = now + self.one_way_delay(call.relay, call.endpoint)
        self.note(
            rec.Responded(now, received_at, call.number, [int(each) for each in reply.fates], reply.wait)
        )
        call.world = None
        if call.endpoint.number not in call.relay.cut_off:
            self.clock.at(received_at, call.relay.response_received, call, reply)

    def abandon(self, call: FleetCall) -> None:
        """The relay stops waiting for a call, which may still run."""
        if call.is_written:
            self.note(rec.GaveUp(self.clock.now(), call.number))
        if call.world is not None:
            call.world.gone = True

    # Events of the world, see WorldListener.

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        """A text was processed at a host."""
        self.note(rec.EffectTaken(self.clock.now(), endpoint.number, text.id, text.first, known))

    def host(self, endpoint: Endpoint) -> None:
        """A host was added."""
        self.numbers[endpoint.name.encode()] = endpoint.number
        self.note(host_record(self.clock.now(), endpoint))

    def condition(self, endpoint: Endpoint, condition: rec.Condition) -> None:
        """A host's condition has changed."""
        self.note(rec.ConditionChanged(self.clock.now(), endpoint.number, int(condition)))

    def reachable(self, endpoint: Endpoint) -> None:
        """Resets calls at a host that went down, or that is back after silence."""
        if endpoint.silent:
            return
        for relay in self.relays:
            if endpoint.down or endpoint.leaving:
                relay.close_idle(endpoint.number)
            for call in list(relay.calls.values()):
                if call.endpoint is endpoint and call.is_written:
                    self.clock.at(
                        self.clock.now() + self.one_way_delay(relay, endpoint),
                        relay.outcome,
                        call,
                        Result.RESET,
                    )

    def route_overloaded(self, route: Route, max_load: float, load: dict[int, float]) -> None:
        """A cold route went down by overload."""
        self.note(rec.RouteOverloaded(self.clock.now(), route.number, max_load, load))

    def listed(self, endpoint: Endpoint, listing: Listing) -> None:
        """Passes a change of the list on to all relays."""
        for relay in self.relays:
            self._update_list(relay, endpoint, listing)

    def _update_list(self, relay: FleetRelay, endpoint: Endpoint, listing: Listing) -> None:
        if relay.is_list_silent:
            relay.held_updates.append((endpoint, listing))
            return
        lag = round(relay.lag * self.lag_factors.get(relay.number, 1.0))
        relay.last_list_update = max(
            relay.last_list_update, self.clock.now() + lag
        )  # updates never overtake each other
        self.clock.at(relay.last_list_update, relay.listed, endpoint, listing)

    def fault(self, number: int, on: bool, endpoints: list[Endpoint]) -> None:
        """A fault began or ended."""
        self.note(rec.Fault(self.clock.now(), number, on, [each.number for each in endpoints]))

    def relay_fault(self, fault: FaultKeys, number: int) -> None:
        """Kills, restarts or wipes a relay; a reload has no effect here."""
        relay, now = self.relays[number], self.clock.now()
        if not relay.up or relay.stopping or fault.what is What.RELOAD:
            return
        if fault.what is What.RESTART:
            relay.stop()
            return
        relay.end("killed" if fault.what is What.KILL else "wiped")
        if fault.what is What.WIPE:
            self._resubmit_lost(relay)
        self.clock.at(now + self.scenario.relays.start_time, relay.start)

    def _resubmit_lost(self, relay: FleetRelay) -> None:
        """Resubmits the texts of a lost relay, except those that may have run and may not be repeated."""
        low, high = RESUBMIT_DELAYS
        for each in list(relay.texts.values()):
            self.unfinished_count -= 1
            row, product = each.text, self.scenario.products[each.text.product]
            if each.first_run_at is None or product.effect is li.Effect.RESENDABLE:
                resubmission = self._text(
                    each.first,
                    row.product,
                    row.destination,
                    row.customer,
                    row.key,
                    row.valid_until,
                    each.tries + 1,
                )
                self.unfinished_count += 1
                wait = low + round((high - low) * self.random_streams.uniform("handed on"))
                self.clock.at(self.clock.now() + wait, self._resubmit_now, resubmission)
        relay.texts.clear()

    def cut_off(self, relays: list[int], endpoints: list[Endpoint], on: bool) -> None:
        """Cuts or restores the connection of relays to endpoints."""
        for number in relays:
            relay = self.relays[number]
            for endpoint in endpoints:
                (relay.cut_off.add if on else relay.cut_off.discard)(endpoint.number)
                if not on:
                    for call in list(relay.calls.values()):
                        if call.endpoint is endpoint and call.is_written:
                            relay.outcome(call, Result.RESET)

    def list_lag(self, fault: FaultKeys, relays: list[int], on: bool) -> None:
        """Delays or stops list updates to relays, or ends that."""
        for number in relays:
            if fault.what is What.LIST_LATE:
                self.lag_factors[number] = fault.times if on else 1.0
                continue
            relay = self.relays[number]
            relay.is_list_silent = on
            held, relay.held_updates = relay.held_updates, []
            for endpoint, listing in held if not on else ():
                self._update_list(relay, endpoint, listing)


def duration(scenario: Scenario) -> int:
    """Returns the latest end of a run in ticks."""
    return scenario.scenario.seconds + scenario.scenario.settle


STEP = SECOND  # ticks of virtual time between two checks whether the run has ended
