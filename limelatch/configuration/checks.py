"""What can't be right though each key alone is: a fault in people's own form, a doubt in the platform's."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable

from limelatch.configuration.errors import ConfigError
from limelatch.configuration.model import Installation, Membership, ListDelivery
from limelatch.configuration.reading import read_address
from limelatch.configuration.units import write_span
from limelatch.events import PARTS
from limelatch.interface import SECOND, Effect
from limelatch.membership.timing import PAUSE_LEAST, PAUSE_MOST, PERIOD_LEAST, PERIOD_MOST
from limelatch.membership.view import MEMBERS_MOST

WIRE_WORD = re.compile(r"[^\s,=]{1,64}")
ASK_LEAST = SECOND
SHARES_MOST = 1.0 + 1e-9


def duplicate_names(table: str, names: Iterable[str]) -> list[ConfigError]:
    return [
        ConfigError(table, f"the name {name!r} stands {count} times")
        for name, count in Counter(names).items()
        if name and count > 1
    ]


def membership_errors(membership: Membership) -> list[ConfigError]:
    """What keeps a relay from taking part with the others: refused at the start where it is to."""
    if not membership.on:
        return []
    errors, peers = [], membership.peers
    own, spans = (
        membership.address or membership.listen,
        (
            ("probe_period", membership.probe_period, PERIOD_LEAST, PERIOD_MOST),
            ("pause", membership.pause, PAUSE_LEAST, PAUSE_MOST),
        ),
    )
    if not membership.listen:
        errors.append(ConfigError("membership.listen", "an address is wanted where `on` is true"))
    if not 2 <= len(peers) <= MEMBERS_MOST:
        wanted = f"2 to {MEMBERS_MOST} addresses are wanted, {len(peers)} found"
        errors.append(ConfigError("membership.peers", wanted))
    errors += [
        ConfigError("membership.peers", f"{peer!r} is no address such as 10.0.0.1:7946")
        for peer in peers
        if not is_address(peer)
    ]
    errors += [
        ConfigError("membership.peers", f"{peer!r} stands {count} times")
        for peer, count in Counter(peers).items()
        if count > 1
    ]
    if own and peers and own not in peers:
        errors.append(ConfigError("membership.peers", f"this relay's own address {own} is not among them"))
    if membership.zones and len(membership.zones) != len(peers):
        errors.append(
            ConfigError("membership.zones", f"{len(peers)} zones are wanted, one for each of `peers`")
        )
    errors += [
        ConfigError(f"membership.{name}", f"a span from {write_span(least)} to {write_span(most)} is wanted")
        for name, span, least, most in spans
        if not least <= span <= most
    ]
    return errors


def is_address(word: str) -> bool:
    try:
        return read_address(word) == word
    except ValueError:
        return False


def conflicts(installation: Installation, own: bool) -> list[ConfigError]:
    """Keys of a list that is pushed and of one that is asked for, together: refused at the start.

    Guards against a relay that never asks, or asks all the time, and is taken as told of drains. The
    platform tells `ask_within` in every case; in people's own form it stands with an asked list alone."""
    catalog = installation.catalog
    if errors := membership_errors(installation.membership):
        return errors
    if catalog.news is ListDelivery.ASKED and catalog.ask_within < ASK_LEAST:
        return [ConfigError("catalog.ask_within", "a list that is asked for needs 1 s at the least here")]
    if own and catalog.news is ListDelivery.PUSHED and catalog.ask_within:
        return [ConfigError("catalog.ask_within", 'it goes with `news = "asked"`, and this list is pushed')]
    return []


def doubts(installation: Installation) -> list[ConfigError]:
    """Every such thing, by the path of its key in the model."""
    found: list[ConfigError] = []
    for table in ("products", "customers", "kinds", "floors"):
        found += duplicate_names(table, [row.name for row in getattr(installation, table)])
    for table in ("products", "customers"):
        for at, row in enumerate(getattr(installation, table)):
            if not WIRE_WORD.fullmatch(row.name):
                found.append(
                    ConfigError(f"{table}[{at}].name", "1 to 64 letters without space, comma or = are wanted")
                )
    for at, row in enumerate(installation.products):
        path = f"products[{at}]"
        if row.validity_period and row.sla_time > row.validity_period:
            found.append(ConfigError(f"{path}.sla_time", "it is longer than the validity period"))
        if row.effect is Effect.REFERENCED and not row.repeat_window:
            found.append(ConfigError(f"{path}.repeat_window", "a referenced product needs one"))
        if row.effect is not Effect.REFERENCED and row.repeat_window:
            found.append(ConfigError(f"{path}.repeat_window", "only a referenced product has one"))
    for part in installation.log.parts:
        if part not in PARTS:
            found.append(ConfigError(f"log.parts.{part}", f"no such part; there are {', '.join(PARTS)}"))
    if sum(row.share for row in installation.customers) > SHARES_MOST:
        found.append(ConfigError("customers", "their shares add up to more than 1"))
    if installation.stop.least > installation.stop.most:
        found.append(ConfigError("stop.least", "it is longer than stop.most"))
    if installation.rules.cold_time and installation.rules.fall_multiple < 1:
        found.append(
            ConfigError("rules.fall_multiple", "under 1, a cold destination falls at what it can do")
        )
    return found


def reload_errors(installation: Installation, given: set[str]) -> list[ConfigError]:
    """What makes a new configuration unfit to be taken at SIGHUP, though it could start a relay.

    Guards against a file cut off or written in haste: a product without its effect or validity period would
    take defaults that nobody meant, and open texts would keep their rules while new ones got these."""
    errors = []
    for number, row in enumerate(installation.products):
        for name in ("effect", "validity_period"):
            if f"products[{number}].{name}" not in given:
                errors.append(ConfigError(f"products[{number}].{name}", "is wanted in a new configuration"))
        if row.validity_period <= 0 and f"products[{number}].validity_period" in given:
            errors.append(
                ConfigError(f"products[{number}].validity_period", "a validity period over 0 is wanted")
            )
    return errors
