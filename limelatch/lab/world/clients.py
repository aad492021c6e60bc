"""Those who hand in texts: arrivals ahead of time, and how a nacked text comes again."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from fnmatch import fnmatchcase

import numpy as np

from limelatch.interface import SECOND
from limelatch.lab.scenario.check import destinations
from limelatch.lab.scenario.model import Backoff, FaultKeys, Scenario, Shape, What
from limelatch.lab.world.random_streams import Streams
from limelatch.lab.world.world import zipf_weights

CHUNK = SECOND  # arrivals are drawn for so long at once
STEP = 100  # ticks of the curve's resolution
CLUMP_TIME = SECOND // 5  # in which a clump comes
JITTER = (0.5, 1.5)  # of a client's wait


@dataclass(frozen=True, slots=True)
class Arrival:
    """A text's first try: when it is due, and what it is. `key` is 0 where its product has no order."""

    at: int
    product: int
    destination: int
    customer: int
    key: int


class Arrivals:
    """The texts of a scenario, in the order of their times; none depends on what a relay does."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.streams = scenario, Streams(seed)
        self.names = [name for name, _ in destinations(scenario)]
        self.groups = [group for _, group in destinations(scenario)]
        self.kind = [row.name for row in scenario.kinds]
        self.weights = self._destination_weights()
        shares = np.array([row.share for row in scenario.products])
        takes = np.array([self.weights[at].sum() for at in range(len(shares))])
        self.products = shares * (takes > 0) / (shares * (takes > 0)).sum()
        self.customers = np.array([row.share for row in scenario.customers] or [1.0])
        self.customers = self.customers / self.customers.sum()

    def _destination_weights(self) -> list[np.ndarray]:
        """For each product, the weight of each destination."""
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
        """Texts a second at each step of the scenario, without surges."""
        keys, steps = self.scenario.clients, -(-self.scenario.scenario.seconds // STEP)
        at = np.arange(steps) * STEP
        rates = np.full(steps, keys.rate)
        if keys.swing:
            rates *= 1 + keys.swing * np.sin(2 * np.pi * at / keys.period)
        if keys.shape is Shape.BURSTS:
            cycle = int(keys.burst_time * keys.burst)  # so that the mean stays
            offset = int(self.streams.generator("burst").integers(cycle))
            rates *= np.where((at + offset) % cycle < keys.burst_time, keys.burst, 0.0)
        return rates

    def _times(self, generator: np.random.Generator, rates: np.ndarray, begin: int = 0) -> np.ndarray:
        """When texts come, for rates at each step from `begin` on."""
        if self.scenario.clients.shape is Shape.STEADY:
            due = np.concatenate([[0.0], np.cumsum(rates) * STEP / SECOND])
            wanted = np.arange(0.5, due[-1], 1.0)
            return begin + np.interp(wanted, due, np.arange(len(due)) * STEP)
        counts = generator.poisson(rates * STEP / SECOND)
        starts = np.repeat(np.arange(len(rates)) * STEP, counts)
        return begin + np.sort(starts + generator.random(len(starts)) * STEP)

    def _draw(
        self,
        concern: str,
        times: np.ndarray,
        products: np.ndarray,
        weights: list[np.ndarray],
        customers: np.ndarray,
    ) -> np.ndarray:
        """Rows of `Arrival` for these times, columns in its order."""
        keys = self.scenario.clients
        count, generator = len(times), self.streams.generator(concern)
        product = generator.choice(len(products), count, p=products)
        destination = np.zeros(count, dtype=int)
        key = np.zeros(count, dtype=int)
        for number, row in enumerate(self.scenario.products):
            mine = product == number
            if not mine.any():
                continue
            share = weights[number] / weights[number].sum()
            destination[mine] = generator.choice(len(share), int(mine.sum()), p=share) + 1
            if row.in_order:
                drawn = generator.integers(1, row.keys + 1, int(mine.sum()))
                hot = generator.random(int(mine.sum())) < keys.hot_key
                # A key belongs to one destination and product: an account that is charged.
                drawn = np.where(hot, 1, drawn)
                key[mine] = (number * 65536 + destination[mine]) * 100_000 + drawn
        customer = generator.choice(len(customers), count, p=customers)
        return np.column_stack([times.astype(int), product, destination, customer, key])

    def _surge(self, number: int, fault: FaultKeys) -> np.ndarray:
        """The texts that a surge brings beside the usual ones."""
        products, weights, customers = self._scope(fault)
        share = self._share(products, weights, customers)
        steps = -(-min(fault.lasts, self.scenario.scenario.seconds - fault.at) // STEP)
        rates = np.full(steps, self.scenario.clients.rate * share * (fault.times - 1))
        times = self._times(self.streams.generator(f"surge times {number}"), rates, fault.at)
        return self._draw(
            f"surge {number}", times, products / products.sum(), weights, customers / customers.sum()
        )

    def _clump(self, number: int, fault: FaultKeys) -> np.ndarray:
        products, weights, customers = self._scope(fault)
        generator = self.streams.generator(f"clump times {number}")
        times = np.sort(fault.at + generator.random(fault.texts) * CLUMP_TIME)
        return self._draw(
            f"clump {number}", times, products / products.sum(), weights, customers / customers.sum()
        )

    def _scope(self, fault: FaultKeys) -> tuple[np.ndarray, list[np.ndarray], np.ndarray]:
        """Products, destinations and customers that a fault names; what it does not name is all."""
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
        """Which share of the usual texts is in this scope."""
        found = 0.0
        for at, product in enumerate(products):
            if product:
                found += product * weights[at].sum() / self.weights[at].sum()
        return found * customers.sum()

    def __iter__(self) -> Iterator[Arrival]:
        parts = [
            self._draw(
                "texts",
                self._times(self.streams.generator("arrivals"), self._rates()),
                self.products,
                self.weights,
                self.customers,
            )
        ]
        for number, fault in enumerate(self.scenario.faults):
            if fault.what is What.SURGE and fault.times > 1:
                parts.append(self._surge(number, fault))
            elif fault.what is What.CLUMP:
                parts.append(self._clump(number, fault))
        rows = np.concatenate(parts)
        rows = rows[np.argsort(rows[:, 0], kind="stable")]
        for begin in range(0, len(rows), 4096):
            for row in rows[begin : begin + 4096].tolist():
                yield Arrival(*row)


class Habits:
    """How clients come again after a nack, and which relay gets a text."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.keys, self.streams = scenario.clients, Streams(seed)
        self.count = scenario.relays.count
        weights = zipf_weights(self.count, 3 * scenario.relays.uneven)
        self.cumulative = np.cumsum(weights).tolist()
        self.even = not scenario.relays.uneven

    def relay(self, key: int) -> int:
        """The relay that gets a text; those of one key go to one."""
        if key:
            return zlib.crc32(key.to_bytes(8, "big")) % self.count
        drawn = self.streams.uniform("relay")
        if self.even:
            return int(drawn * self.count)
        return next(at for at, bound in enumerate(self.cumulative) if drawn < bound or at == self.count - 1)

    def comes_again(self, tries: int, told: int) -> int | None:
        """The ticks until a text that was nacked is handed in again; None if it is not."""
        if tries >= self.keys.retries:
            return None
        low, high = JITTER
        if told and self.streams.uniform("honour") < self.keys.honour:
            return told + round(told * 0.1 * self.streams.uniform("again"))
        wait = self.keys.backoff << (tries if self.keys.grows is Backoff.DOUBLES else 0)
        return round(wait * (low + (high - low) * self.streams.uniform("again")))
