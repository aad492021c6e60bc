"""A simulated world: a scenario's partners, list of hosts and faults, with events to a listener."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import fnmatchcase
from typing import Protocol

import numpy as np

from limelatch.configuration.model import RateQuality
from limelatch.interface import Listing
from limelatch.lab.record import Condition
from limelatch.lab.scenario.check import destinations
from limelatch.lab.scenario.model import FaultKeys, Scenario, What
from limelatch.lab.world.random_streams import RandomStreams
from limelatch.lab.world.clock import Clock
from limelatch.lab.world.endpoint import FaultEffect, Destination, Endpoint, Route, EndpointContext, WorldText

ROUGH_RATE_ERROR = 0.5  # maximum relative error of a rough rate
DEFAULT_DRAIN_TIME = 30_000  # ticks from a drain to the removal of the endpoint, unless the fault sets them
RELAY_FAULTS = (What.KILL, What.RESTART, What.RELOAD, What.WIPE)
CLIENT_FAULTS = (What.SURGE, What.CLUMP)


class WorldListener(Protocol):
    """The events that a stage receives from its world."""

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        """A text was processed; if `known`, it was recognized as a repeat and had no effect."""

    def host(self, endpoint: Endpoint) -> None:
        """A host was added."""

    def condition(self, endpoint: Endpoint, condition: Condition) -> None:
        """A host's condition has changed."""

    def reachable(self, endpoint: Endpoint) -> None:
        """Whether a host accepts connections has changed."""

    def route_overloaded(self, route: Route, max_load: float, load: dict[int, float]) -> None:
        """A cold route went down by overload; `load` is the work of each relay, in texts."""

    def listed(self, endpoint: Endpoint, listing: Listing) -> None:
        """The list of hosts has changed; the stage passes it on to each relay after its lag."""

    def fault(self, number: int, on: bool, endpoints: list[Endpoint]) -> None:
        """A fault begins or ends."""

    def relay_fault(self, fault: FaultKeys, relay: int) -> None:
        """A relay must be killed, restarted or wiped, or must reload its configuration."""

    def cut_off(self, relays: list[int], endpoints: list[Endpoint], on: bool) -> None:
        """Relays lose (`on`) or regain the connection to endpoints."""

    def list_lag(self, fault: FaultKeys, relays: list[int], on: bool) -> None:
        """The catalog begins or ceases to be late or silent for these relays."""


class World(EndpointContext):
    """The partners of a scenario and the faults that happen to them."""

    def __init__(self, scenario: Scenario, seed: int, clock: Clock, listener: WorldListener) -> None:
        self.scenario, self.clock, self.listener = scenario, clock, listener
        self.random_streams = RandomStreams(seed)
        self.rules, self.products = scenario.rules, scenario.products
        self.kinds = [row.name for row in scenario.kinds]
        self.floors = [row.name for row in scenario.floors] or [""]
        self.destinations: list[Destination] = []
        self.endpoints: list[Endpoint] = []  # by number, with the removed ones
        self.routes: list[Route] = []
        self.listing: dict[int, Listing] = {}  # by the number of each listed endpoint
        self._build()

    # Construction.

    def _build(self) -> None:
        uneven, rate = self.random_streams.generator("uneven"), self.random_streams.generator("rates")
        for number, (name, group) in enumerate(destinations(self.scenario), start=1):
            low, high = 1 - group.uneven, 1 + group.uneven
            capacity = group.capacity * float(uneven.uniform(low, high))
            latency = group.latency * float(uneven.uniform(low, high))
            kind = self.kinds.index(group.kind) if group.kind else 0
            destination = Destination(number, name, group, kind, capacity, latency)
            destination.rate_error = float(rate.uniform(1 - ROUGH_RATE_ERROR, 1 + ROUGH_RATE_ERROR))
            self.destinations.append(destination)
            apart = bool(self.scenario.kinds) and self.scenario.kinds[kind].routes_apart
            shared = None if apart else self._route(group.limit, capacity)
            for each in range(group.endpoints):
                route = shared or self._route(group.limit, capacity / group.endpoints)
                self._add(
                    f"{name}{chr(ord('a') + each % 26)}{each // 26 or ''}",
                    destination,
                    route,
                    (number + each) % len(self.floors),
                )

    def _route(self, limit, capacity: float) -> Route:
        route = Route(len(self.routes), limit, capacity)
        self.routes.append(route)
        return route

    def _add(self, name: str, destination: Destination, route: Route, floor: int) -> Endpoint:
        endpoint = Endpoint(len(self.endpoints), name, floor, destination, route, self)
        self.endpoints.append(endpoint)
        destination.endpoints.append(endpoint)
        route.endpoints.append(endpoint)
        self.listing[endpoint.number] = Listing.READY
        self.listener.host(endpoint)
        return endpoint

    def weight(self, endpoint: Endpoint) -> float:
        """Returns the rate in the list of hosts; 0 if the list has no rates."""
        rates = self.scenario.catalog.rates
        if rates is RateQuality.NONE:
            return 0.0
        listed_rate = endpoint.route.limit.current_rate or sum(
            each.capacity for each in endpoint.route.endpoints
        )
        return listed_rate * (endpoint.destination.rate_error if rates is RateQuality.ROUGH else 1.0)

    # Events of endpoints, passed on to the stage.

    def ran(self, endpoint: Endpoint, text: WorldText, known: bool) -> None:
        self.listener.ran(endpoint, text, known)

    def condition(self, endpoint: Endpoint, condition: Condition) -> None:
        self.listener.condition(endpoint, condition)

    def reachable(self, endpoint: Endpoint) -> None:
        self.listener.reachable(endpoint)

    def route_overloaded(self, route: Route, max_load: float, load: dict[int, float]) -> None:
        self.listener.route_overloaded(route, max_load, load)

    # Faults over time.

    def begin(self) -> None:
        """Schedules all faults."""
        for number, fault in enumerate(self.scenario.faults):
            if fault.what not in CLIENT_FAULTS:
                self.clock.at(fault.at, self._begin_fault, number, fault)

    def affected_endpoints(self, number: int, fault: FaultKeys) -> list[Endpoint]:
        """Returns the endpoints that a fault affects: a random part of those in its scope."""
        floors = {self.floors.index(name) for name in fault.floors}
        kinds = {self.kinds.index(name) for name in fault.kinds}
        found = [
            each
            for each in self.endpoints
            if not each.leaving
            and (
                not fault.partners
                or any(fnmatchcase(each.destination.name, pattern) for pattern in fault.partners)
            )
            and (not floors or each.floor in floors)
            and (not kinds or each.destination.kind in kinds)
        ]
        return self._random_part(f"fault {number}", found, fault.part)

    def _random_part(self, concern: str, found: list, part: float) -> list:
        if part >= 1 or not found:
            return found
        count = max(1, round(len(found) * part))
        drawn = self.random_streams.generator(concern).permutation(len(found))[:count]
        return [found[at] for at in sorted(drawn.tolist())]

    def affected_relays(self, number: int, fault: FaultKeys) -> list[int]:
        """Returns the relays that a fault affects."""
        every = fault.relays or list(range(self.scenario.relays.count))
        return self._random_part(f"fault {number}", every, fault.part)

    def _begin_fault(self, number: int, fault: FaultKeys) -> None:
        if fault.what in RELAY_FAULTS:
            self.listener.fault(number, True, [])
            relays, now = self.affected_relays(number, fault), self.clock.now()
            for at, relay in enumerate(relays):
                self.clock.at(now + at * fault.period, self.listener.relay_fault, fault, relay)
            self.clock.at(now + (len(relays) - 1) * fault.period, self.listener.fault, number, False, [])
            return
        if fault.what in (What.LIST_LATE, What.LIST_SILENT):
            relays = fault.relays or list(range(self.scenario.relays.count))
            self._apply_for_duration(number, fault, [], lambda on: self.listener.list_lag(fault, relays, on))
            return
        endpoints = self.affected_endpoints(number, fault)
        if fault.what is What.DRAIN:
            self.listener.fault(number, True, endpoints)
            for at, endpoint in enumerate(endpoints):
                self.clock.at(self.clock.now() + at * fault.period, self._drain, endpoint, fault.lasts)
            finished = (
                self.clock.now()
                + max(0, len(endpoints) - 1) * fault.period
                + (fault.lasts or DEFAULT_DRAIN_TIME)
            )
            self.clock.at(finished, self.listener.fault, number, False, endpoints)
        elif fault.what is What.CUT_OFF:
            relays = fault.relays or list(range(self.scenario.relays.count))
            self._apply_for_duration(
                number, fault, endpoints, lambda on: self.listener.cut_off(relays, endpoints, on)
            )
        elif fault.what is What.LIMIT:
            limits = list({id(each.route): each.route.limit for each in endpoints}.values())

            def cut(on: bool) -> None:
                for limit in limits:
                    limit.factor *= fault.times if on else 1 / fault.times

            self._apply_for_duration(number, fault, endpoints, cut)
        elif fault.what is What.SWING:
            effect = FaultEffect(slow=fault.times)
            self.listener.fault(number, True, endpoints)
            self._swing(number, fault, endpoints, effect, self.clock.now() + fault.lasts, True)
        else:
            effect = fault_effect_of(fault)

            def switch_effect(on: bool) -> None:
                for endpoint in endpoints:
                    (endpoint.add_fault_effect if on else endpoint.remove_fault_effect)(effect)

            self._apply_for_duration(number, fault, endpoints, switch_effect)

    def _apply_for_duration(
        self, number: int, fault: FaultKeys, endpoints: list[Endpoint], switch: Callable[[bool], None]
    ) -> None:
        """Begins a fault now and ends it after its duration."""
        self.listener.fault(number, True, endpoints)
        switch(True)
        self.clock.at(self.clock.now() + fault.lasts, self._end_fault, number, endpoints, switch)

    def _end_fault(self, number: int, endpoints: list[Endpoint], switch: Callable[[bool], None]) -> None:
        self.listener.fault(number, False, endpoints)
        switch(False)

    def _swing(
        self,
        number: int,
        fault: FaultKeys,
        endpoints: list[Endpoint],
        effect: FaultEffect,
        until: int,
        slow: bool,
    ) -> None:
        finished = self.clock.now() >= until
        for endpoint in endpoints:
            (endpoint.add_fault_effect if slow and not finished else endpoint.remove_fault_effect)(effect)
        if finished:
            self.listener.fault(number, False, endpoints)
        else:
            self.clock.at(
                min(until, self.clock.now() + fault.period),
                self._swing,
                number,
                fault,
                endpoints,
                effect,
                until,
                not slow,
            )

    def _drain(self, endpoint: Endpoint, lasts: int) -> None:
        """Adds an endpoint that replaces this one, which finishes its calls and is removed later."""
        if endpoint.leaving or self.listing.get(endpoint.number) is not Listing.READY:
            return
        base, _, count = endpoint.name.partition("~")
        new = self._add(f"{base}~{int(count or 0) + 1}", endpoint.destination, endpoint.route, endpoint.floor)
        self.listener.listed(new, Listing.READY)
        self.listener.reachable(new)
        self.listing[endpoint.number] = Listing.DRAINING
        self.listener.listed(endpoint, Listing.DRAINING)
        self.clock.at(self.clock.now() + (lasts or DEFAULT_DRAIN_TIME), self._remove, endpoint)

    def _remove(self, endpoint: Endpoint) -> None:
        self.listing.pop(endpoint.number, None)
        self.listener.listed(endpoint, Listing.GONE)
        endpoint.leave()
        endpoint.route.endpoints.remove(endpoint)
        endpoint.destination.endpoints.remove(endpoint)


def fault_effect_of(fault: FaultKeys) -> FaultEffect:
    """Returns what a fault does to each affected endpoint. Raises TypeError for other kinds of faults."""
    match fault.what:
        case What.HANG:
            return FaultEffect(hang=True, runs=fault.runs)
        case What.SILENT:
            return FaultEffect(silent=True, runs=fault.runs)
        case What.DOWN:
            return FaultEffect(down=True)
        case What.SHUT:
            return FaultEffect(shut=fault.wait)
        case What.SLOW:
            return FaultEffect(slow=fault.times)
        case What.ERRORS:
            return FaultEffect(errors=fault.share, runs=fault.runs)
        case What.RESET:
            return FaultEffect(reset=fault.share, runs=fault.runs)
        case What.GARBLE:
            return FaultEffect(garble=fault.share)
        case What.LOSS:
            return FaultEffect(loss=fault.share)
    raise TypeError(fault.what)


def zipf_weights(count: int, exponent: float) -> np.ndarray:
    """Returns `count` shares by rank, with a sum of 1."""
    weights = np.arange(1, count + 1, dtype=float) ** -exponent
    return weights / weights.sum()
