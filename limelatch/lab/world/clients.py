"""Simulated clients: arrivals of texts, generated ahead of time, and resubmissions of nacked texts."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from fnmatch import fnmatchcase

import numpy as np

from limelatch.interface import SECOND
from limelatch.lab.scenario.check import destinations
from limelatch.lab.scenario.model import Backoff, FaultKeys, Scenario, Shape, What
from limelatch.lab.world.random_streams import RandomStreams
from limelatch.lab.world.world import zipf_weights

ARRIVAL_CHUNK = SECOND  # ticks of arrivals generated at once
RATE_STEP = 100  # ticks: resolution of the arrival rate
CLUMP_TIME = SECOND // 5  # ticks within which all texts of a clump arrive
RETRY_JITTER = (0.5, 1.5)  # factors between which a client's own backoff varies


@dataclass(frozen=True, slots=True)
class Arrival:
    """A text's first submission: its time in ticks and properties; `key` is 0 without an order."""

    at: int
    product: int
    destination: int
    customer: int
    key: int


class Arrivals:
    """The texts of a scenario in order of time, independent of what the relays do."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.random_streams = scenario, RandomStreams(seed)
        self.names = [name for name, _ in destinations(scenario)]
        self.groups = [group for _, group in destinations(scenario)]
        self.kind = [row.name for row in scenario.kinds]
        self.weights = self._destination_weights()
        shares = np.array([row.share for row in scenario.products])
        total_weights = np.array([self.weights[at].sum() for at in range(len(shares))])
        self.products = shares * (total_weights > 0) / (shares * (total_weights > 0)).sum()
        self.customers = np.array([row.share for row in scenario.customers] or [1.0])
        self.customers = self.customers / self.customers.sum()

    def _destination_weights(self) -> list[np.ndarray]:
        """Returns for each product the weight of each destination."""
        total = np.zeros(len(self.names))
        at = 0
        for group in self.scenario.partners:
            total[at : at + group.count] = group.share * zipf_weights(group.count, self.scenario.clients.zipf)
            at += group.count
        return [
            np.array(
                [
                    weight if not group.products or row.name in group.products else 0.0
                    for weight, group in zip(total, self.groups, strict=True)
                ]
            )
            for row in self.scenario.products
        ]

    def _rates(self) -> np.ndarray:
        """Returns the texts per second at each step of the scenario, without surges."""
        keys, steps = self.scenario.clients, -(-self.scenario.scenario.seconds // RATE_STEP)
        at = np.arange(steps) * RATE_STEP
        rates = np.full(steps, keys.rate)
        if keys.swing:
            rates *= 1 + keys.swing * np.sin(2 * np.pi * at / keys.period)
        if keys.shape is Shape.BURSTS:
            cycle = int(keys.burst_time * keys.burst)  # keeps the mean rate
            offset = int(self.random_streams.generator("burst").integers(cycle))
            rates *= np.where((at + offset) % cycle < keys.burst_time, keys.burst, 0.0)
        return rates

    def _times(self, generator: np.random.Generator, rates: np.ndarray, begin: int = 0) -> np.ndarray:
        """Returns arrival times in ticks for the rates at each step from `begin` on."""
        if self.scenario.clients.shape is Shape.STEADY:
            due = np.concatenate([[0.0], np.cumsum(rates) * RATE_STEP / SECOND])
            wanted = np.arange(0.5, due[-1], 1.0)
            return begin + np.interp(wanted, due, np.arange(len(due)) * RATE_STEP)
        counts = generator.poisson(rates * RATE_STEP / SECOND)
        starts = np.repeat(np.arange(len(rates)) * RATE_STEP, counts)
        return begin + np.sort(starts + generator.random(len(starts)) * RATE_STEP)

    def _draw(
        self,
        concern: str,
        times: np.ndarray,
        products: np.ndarray,
        weights: list[np.ndarray],
        customers: np.ndarray,
    ) -> np.ndarray:
        """Returns a row per time, with the fields of `Arrival` as its columns, in their order."""
        keys = self.scenario.clients
        count, generator = len(times), self.random_streams.generator(concern)
        product = generator.choice(len(products), count, p=products)
        destination = np.zeros(count, dtype=int)
        key = np.zeros(count, dtype=int)
        for number, row in enumerate(self.scenario.products):
            selected = product == number
            if not selected.any():
                continue
            share = weights[number] / weights[number].sum()
            destination[selected] = generator.choice(len(share), int(selected.sum()), p=share) + 1
            if row.in_order:
                drawn = generator.integers(1, row.keys + 1, int(selected.sum()))
                hot = generator.random(int(selected.sum())) < keys.hot_key
                # A key belongs to one destination and product, like an account that is charged.
                drawn = np.where(hot, 1, drawn)
                key[selected] = (number * 65536 + destination[selected]) * 100_000 + drawn
        customer = generator.choice(len(customers), count, p=customers)
        return np.column_stack([times.astype(int), product, destination, customer, key])

    def _surge_arrivals(self, number: int, fault: FaultKeys) -> np.ndarray:
        """Returns the texts that a surge adds to the usual ones."""
        products, weights, customers = self._scope(fault)
        share = self._share(products, weights, customers)
        steps = -(-min(fault.lasts, self.scenario.scenario.seconds - fault.at) // RATE_STEP)
        rates = np.full(steps, self.scenario.clients.rate * share * (fault.times - 1))
        times = self._times(self.random_streams.generator(f"surge times {number}"), rates, fault.at)
        return self._draw(
            f"surge {number}", times, products / products.sum(), weights, customers / customers.sum()
        )

    def _clump_arrivals(self, number: int, fault: FaultKeys) -> np.ndarray:
        """Returns the texts of a clump, all of which arrive within CLUMP_TIME."""
        products, weights, customers = self._scope(fault)
        generator = self.random_streams.generator(f"clump times {number}")
        times = np.sort(fault.at + generator.random(fault.texts) * CLUMP_TIME)
        return self._draw(
            f"clump {number}", times, products / products.sum(), weights, customers / customers.sum()
        )

    def _scope(self, fault: FaultKeys) -> tuple[np.ndarray, list[np.ndarray], np.ndarray]:
        """Returns the shares of products, destinations and customers in a fault's scope.

        Whatever the fault does not name is in its scope as a whole.
        """
        products, customers = self.products.copy(), self.customers.copy()
        for at, row in enumerate(self.scenario.products):
            if fault.products and row.name not in fault.products:
                products[at] = 0.0
        for at, row in enumerate(self.scenario.customers):
            if fault.customers and row.name not in fault.customers:
                customers[at] = 0.0
        chosen = np.array(
            [
                (not fault.partners or any(fnmatchcase(name, each) for each in fault.partners))
                and (not fault.kinds or group.kind in fault.kinds)
                for name, group in zip(self.names, self.groups, strict=True)
            ],
            dtype=float,
        )
        weights = [each * chosen for each in self.weights]
        for at, each in enumerate(weights):
            if not each.sum():
                products[at] = 0.0
        return products, weights, customers

    def _share(self, products: np.ndarray, weights: list[np.ndarray], customers: np.ndarray) -> float:
        """Returns the share of the usual texts that is within this scope."""
        found = 0.0
        for at, product in enumerate(products):
            if product:
                found += product * weights[at].sum() / self.weights[at].sum()
        return found * customers.sum()

    def __iter__(self) -> Iterator[Arrival]:
        parts = [
            self._draw(
                "texts",
                self._times(self.random_streams.generator("arrivals"), self._rates()),
                self.products,
                self.weights,
                self.customers,
            )
        ]
        for number, fault in enumerate(self.scenario.faults):
            if fault.what is What.SURGE and fault.times > 1:
                parts.append(self._surge_arrivals(number, fault))
            elif fault.what is What.CLUMP:
                parts.append(self._clump_arrivals(number, fault))
        rows = np.concatenate(parts)
        rows = rows[np.argsort(rows[:, 0], kind="stable")]
        for begin in range(0, len(rows), 4096):
            for row in rows[begin : begin + 4096].tolist():
                yield Arrival(*row)


class ClientBehavior:
    """How clients resubmit after a nack, and which relay they choose for a text."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.keys, self.random_streams = scenario.clients, RandomStreams(seed)
        self.count = scenario.relays.count
        weights = zipf_weights(self.count, 3 * scenario.relays.uneven)
        self.cumulative = np.cumsum(weights).tolist()
        self.even = not scenario.relays.uneven

    def relay(self, key: int) -> int:
        """Returns the relay that receives a text; all texts of an ordering key go to the same one."""
        if key:
            return zlib.crc32(key.to_bytes(8, "big")) % self.count
        drawn = self.random_streams.uniform("relay")
        if self.even:
            return int(drawn * self.count)
        return next(at for at, bound in enumerate(self.cumulative) if drawn < bound or at == self.count - 1)

    def retry_delay(self, tries: int, retry_after: int) -> int | None:
        """Returns the ticks until a nacked text is resubmitted, or None if the client gives up."""
        if tries >= self.keys.retries:
            return None
        low, high = RETRY_JITTER
        if retry_after and self.random_streams.uniform("honour") < self.keys.honour:
            return retry_after + round(retry_after * 0.1 * self.random_streams.uniform("again"))
        wait = self.keys.backoff << (tries if self.keys.grows is Backoff.DOUBLES else 0)
        return round(wait * (low + (high - low) * self.random_streams.uniform("again")))
