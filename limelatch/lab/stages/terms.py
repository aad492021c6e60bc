"""Derives the decision module's settings from a scenario."""

from __future__ import annotations

import zlib

from limelatch import interface as li
from limelatch.configuration.model import RevenueDecay, RepeatScope, RateQuality
from limelatch.lab.scenario.model import PartnerKeys, Scenario


def products_of(scenario: Scenario) -> list[li.Product]:
    """Returns the scenario's products for the decision module."""
    return [
        li.Product(
            effect=row.effect,
            sla_time=row.sla_time,
            validity_period=row.validity_period,
            revenue=row.revenue,
            late_share=row.late_share,
            by_halves=scenario.revenue.falls is RevenueDecay.HALVES,
            retry_window=row.repeat_window,
            retry_anywhere=row.repeat_known is RepeatScope.DESTINATION,
            in_order=row.in_order,
        )
        for row in scenario.products
    ]


def idle_time(scenario: Scenario) -> int:
    """Returns the shortest time, in ticks, after which any partner closes an idle connection."""
    groups: list[PartnerKeys] = scenario.partners
    return min(group.idle_time for group in groups)


def policy_settings_of(scenario: Scenario, seed: int, relay: int, start: int) -> li.PolicySettings:
    """Returns the settings of one relay's decision module; `start` counts the relay's starts."""
    relays, rules = scenario.relays, scenario.rules
    return li.PolicySettings(
        seed=zlib.crc32(f"{seed} {relay} {start}".encode()) << 16 | 1,
        relays=relays.count,
        slots=relays.slots,
        max_texts=relays.texts,
        max_submits=relays.submits,
        max_advice=relays.advice,
        products=products_of(scenario),
        kinds=[li.HostKind(row.texts_per_call, row.routes_apart) for row in scenario.kinds]
        or [li.HostKind()],
        zone_fees=[0.0] * len(scenario.floors),
        rates_listed=scenario.catalog.rates is not RateQuality.NONE,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        fall_multiple=rules.fall_multiple,
        fall_time=rules.fall_time,
        key_cooldown=rules.key_rest,
        connection_idle_limit=idle_time(scenario),
    )
