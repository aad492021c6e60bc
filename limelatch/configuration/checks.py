"""Checks across several keys: combinations that are wrong although each key is valid by itself."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable

from limelatch.configuration.errors import ConfigError
from limelatch.configuration.model import Installation, ListDelivery, Membership
from limelatch.configuration.reading import read_address
from limelatch.configuration.units import write_span
from limelatch.events import PARTS
from limelatch.interface import SECOND, Effect
from limelatch.membership.timing import MIN_PAUSE, MAX_PAUSE, MIN_PROBE_PERIOD, MAX_PROBE_PERIOD
from limelatch.membership.view import MAX_MEMBERS

PROTOCOL_NAME = re.compile(r"[^\s,=]{1,64}")  # a name that a client can write in a SUBMIT command
MIN_ASK_WITHIN = SECOND
MAX_SHARES_SUM = 1.0 + 1e-9  # allows for rounding


def duplicate_names(table: str, names: Iterable[str]) -> list[ConfigError]:
    """Return an error for each name that several rows of the table have; empty names are not compared."""
    return [
        ConfigError(table, f"the name {name!r} occurs {count} times")
        for name, count in Counter(names).items()
        if name and count > 1
    ]


def membership_errors(membership: Membership) -> list[ConfigError]:
    """Return what is wrong with the `membership` table; with any error the relay doesn't start.

    Nothing is checked while membership is off.
    """
    if not membership.on:
        return []
    errors, peers = [], membership.peers
    own_address, bounded_spans = (
        membership.address or membership.listen,
        (
            ("probe_period", membership.probe_period, MIN_PROBE_PERIOD, MAX_PROBE_PERIOD),
            ("pause", membership.pause, MIN_PAUSE, MAX_PAUSE),
        ),
    )
    if not membership.listen:
        errors.append(ConfigError("membership.listen", "an address is required where `on` is true"))
    if not 2 <= len(peers) <= MAX_MEMBERS:
        message = f"expected 2 to {MAX_MEMBERS} addresses, {len(peers)} given"
        errors.append(ConfigError("membership.peers", message))
    errors += [
        ConfigError("membership.peers", f"{peer!r} is not an address such as 10.0.0.1:7946")
        for peer in peers
        if not is_address(peer)
    ]
    errors += [
        ConfigError("membership.peers", f"{peer!r} occurs {count} times")
        for peer, count in Counter(peers).items()
        if count > 1
    ]
    if own_address and peers and own_address not in peers:
        errors.append(
            ConfigError("membership.peers", f"this relay's own address {own_address} is not among them")
        )
    if membership.zones and len(membership.zones) != len(peers):
        errors.append(
            ConfigError(
                "membership.zones", f"{len(peers)} zones are required, one for each address of `peers`"
            )
        )
    errors += [
        ConfigError(
            f"membership.{name}", f"a span from {write_span(minimum)} to {write_span(maximum)} is required"
        )
        for name, span, minimum, maximum in bounded_spans
        if not minimum <= span <= maximum
    ]
    return errors


def is_address(text: str) -> bool:
    """Tell whether the text is an IPv4 address and port in normal form."""
    try:
        return read_address(text) == text
    except ValueError:
        return False


def conflicts(installation: Installation, is_toml: bool) -> list[ConfigError]:
    """Return combinations of keys with which a relay must not start; `is_toml` tells the file's form.

    Guards against a mix of keys for a pushed host list and for one that is asked for: the relay would never
    ask, or ask all the time, and would count as informed of drains. The platform's JSON always has
    `ask_within`; in TOML it is allowed with a list that is asked for only.
    """
    catalog = installation.catalog
    if errors := membership_errors(installation.membership):
        return errors
    if catalog.news is ListDelivery.ASKED and catalog.ask_within < MIN_ASK_WITHIN:
        return [ConfigError("catalog.ask_within", "a list that is asked for needs at least 1 s here")]
    if is_toml and catalog.news is ListDelivery.PUSHED and catalog.ask_within:
        return [
            ConfigError("catalog.ask_within", 'only valid with `news = "asked"`, and this list is pushed')
        ]
    return []


def inconsistencies(installation: Installation) -> list[ConfigError]:
    """Return all other inconsistencies, by the path of their key in the model.

    They are errors in TOML and warnings in the platform's JSON.
    """
    found: list[ConfigError] = []
    for table in ("products", "customers", "kinds", "floors"):
        found += duplicate_names(table, [row.name for row in getattr(installation, table)])
    for table in ("products", "customers"):
        for index, row in enumerate(getattr(installation, table)):
            if not PROTOCOL_NAME.fullmatch(row.name):
                found.append(
                    ConfigError(
                        f"{table}[{index}].name", "expected 1 to 64 characters without space, comma or ="
                    )
                )
    for index, row in enumerate(installation.products):
        path = f"products[{index}]"
        if row.validity_period and row.sla_time > row.validity_period:
            found.append(ConfigError(f"{path}.sla_time", "longer than the validity period"))
        if row.effect is Effect.REFERENCED and not row.repeat_window:
            found.append(ConfigError(f"{path}.repeat_window", "required for a referenced product"))
        if row.effect is not Effect.REFERENCED and row.repeat_window:
            found.append(ConfigError(f"{path}.repeat_window", "only valid for a referenced product"))
    for part in installation.log.parts:
        if part not in PARTS:
            found.append(ConfigError(f"log.parts.{part}", f"no such part; the parts are {', '.join(PARTS)}"))
    if sum(row.share for row in installation.customers) > MAX_SHARES_SUM:
        found.append(ConfigError("customers", "the shares add up to more than 1"))
    if installation.stop.least > installation.stop.most:
        found.append(ConfigError("stop.least", "longer than stop.most"))
    if installation.rules.cold_time and installation.rules.fall_multiple < 1:
        found.append(
            ConfigError(
                "rules.fall_multiple", "below 1, a cold destination would fail under a load that it can carry"
            )
        )
    return found
