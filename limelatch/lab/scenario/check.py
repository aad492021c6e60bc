"""What is wrong with a scenario though each key alone is right, and what it asks for that can't be had."""

from __future__ import annotations

from collections.abc import Iterator
from fnmatch import fnmatchcase

from limelatch.configuration.checks import duplicate_names
from limelatch.configuration.errors import ConfigError
from limelatch.configuration.units import write_span
from limelatch.interface import SECOND, Effect
from limelatch.lab.scenario.model import ENDPOINTS_MOST, FaultKeys, LimitForm, PartnerKeys, Scenario, What

# What each fault takes beside `what` and `at`; any other key that is told is a fault of the scenario.
SCOPE = {"partners", "floors", "kinds", "part"}
TAKES = {
    What.HANG: SCOPE | {"lasts", "runs"},
    What.SILENT: SCOPE | {"lasts", "runs"},
    What.DOWN: SCOPE | {"lasts"},
    What.ERRORS: SCOPE | {"lasts", "share", "runs"},
    What.SHUT: SCOPE | {"lasts", "wait"},
    What.SLOW: SCOPE | {"lasts", "times"},
    What.SWING: SCOPE | {"lasts", "times", "period"},
    What.RESET: SCOPE | {"lasts", "share", "runs"},
    What.GARBLE: SCOPE | {"lasts", "share"},
    What.LOSS: SCOPE | {"lasts", "share"},
    What.LIMIT: SCOPE | {"lasts", "times"},
    What.DRAIN: SCOPE | {"lasts", "period"},
    What.LIST_LATE: {"lasts", "times", "relays"},
    What.LIST_SILENT: {"lasts", "relays"},
    What.KILL: {"lasts", "period", "part", "relays"},
    What.RESTART: {"lasts", "period", "part", "relays"},
    What.RELOAD: {"lasts", "period", "part", "relays"},
    What.WIPE: {"lasts", "period", "part", "relays"},
    What.CUT_OFF: SCOPE | {"lasts", "relays"},
    What.SURGE: {"lasts", "times", "partners", "kinds", "products", "customers"},
    What.CLUMP: {"partners", "kinds", "products", "customers", "texts"},
}
LASTING = {what for what, keys in TAKES.items() if "lasts" in keys} - {
    What.KILL,
    What.RESTART,
    What.RELOAD,
    What.WIPE,
}
NEEDS = {
    What.SLOW: "times",
    What.SWING: "times",
    What.LIMIT: "times",
    What.LIST_LATE: "times",
    What.SURGE: "times",
    What.CLUMP: "texts",
}
DEFAULTS = {name: getattr(FaultKeys(what=What.HANG, at=0), name) for name in FaultKeys.__struct_fields__}


def destinations(scenario: Scenario) -> Iterator[tuple[str, PartnerKeys]]:
    """Every destination's name with its group, in the order of their numbers."""
    for group in scenario.partners:
        for number in range(1, group.count + 1):
            yield f"{group.name}-{number}", group


def faults_of(scenario: Scenario) -> list[ConfigError]:
    """All that makes it unplayable, by key."""
    found: list[ConfigError] = []
    for table in ("products", "customers", "kinds", "floors", "partners"):
        found += duplicate_names(table, [row.name for row in getattr(scenario, table)])
    found += partners_faults(scenario)
    found += products_faults(scenario)
    names = {
        "partners": [name for name, _ in destinations(scenario)],
        "floors": [row.name for row in scenario.floors],
        "kinds": [row.name for row in scenario.kinds],
        "products": [row.name for row in scenario.products],
        "customers": [row.name for row in scenario.customers],
    }
    for at, fault in enumerate(scenario.faults):
        found += fault_faults(scenario, f"faults[{at}]", fault, names)
    if scenario.scenario.warm_up >= scenario.scenario.seconds:
        found.append(ConfigError("scenario.warm_up", "it is no shorter than the scenario"))
    if scenario.clients.rate <= 0:
        found.append(ConfigError("clients.rate", "no text would come"))
    return found


def partners_faults(scenario: Scenario) -> list[ConfigError]:
    found, kinds = [], [row.name for row in scenario.kinds]
    products = [row.name for row in scenario.products]
    endpoints = sum(group.count * group.endpoints for group in scenario.partners)
    if endpoints > ENDPOINTS_MOST:
        found.append(ConfigError("partners", f"{endpoints} endpoints in all, {ENDPOINTS_MOST} at most"))
    for at, group in enumerate(scenario.partners):
        path = f"partners[{at}]"
        if group.kind and group.kind not in kinds:
            found.append(ConfigError(f"{path}.kind", f"no such kind: {group.kind!r}"))
        for name in group.products:
            if name not in products:
                found.append(ConfigError(f"{path}.products", f"no such product: {name!r}"))
        if not group.capacity:
            found.append(ConfigError(f"{path}.capacity", "it can do nothing"))
        if group.limit.form is not LimitForm.NONE and not group.limit.of_capacity:
            found.append(ConfigError(f"{path}.limit.of_capacity", "it would take nothing"))
    if not any(group.share for group in scenario.partners):
        found.append(ConfigError("partners", "none has a share of the texts"))
    return found


def products_faults(scenario: Scenario) -> list[ConfigError]:
    found = []
    for at, row in enumerate(scenario.products):
        path = f"products[{at}]"
        if not row.validity_period:
            found.append(ConfigError(f"{path}.validity_period", "it is over at once"))
        if row.sla_time > row.validity_period:
            found.append(ConfigError(f"{path}.sla_time", "it is longer than the validity period"))
        if (row.effect is Effect.REFERENCED) != bool(row.repeat_window):
            found.append(ConfigError(f"{path}.repeat_window", "a referenced product has one, and no other"))
        if row.share and not any(
            not group.products or row.name in group.products for group in scenario.partners if group.share
        ):
            found.append(ConfigError(path, "no partner takes it"))
    if not any(row.share for row in scenario.products):
        found.append(ConfigError("products", "none has a share of the texts"))
    return found


def fault_faults(
    scenario: Scenario, path: str, fault: FaultKeys, names: dict[str, list[str]]
) -> list[ConfigError]:
    """What is wrong with one entry of the time-line."""
    found, takes = [], TAKES[fault.what] | {"what", "at"}
    for name, default in DEFAULTS.items():
        if name not in takes and getattr(fault, name) != default:
            found.append(ConfigError(f"{path}.{name}", f"{fault.what.value} has no such key"))
    if fault.at >= scenario.scenario.seconds:
        end = write_span(scenario.scenario.seconds)
        found.append(ConfigError(f"{path}.at", f"it begins after the last text, at {end}"))
    if fault.what in LASTING and not fault.lasts:
        found.append(ConfigError(f"{path}.lasts", "it would end as it begins"))
    if "period" in takes and not fault.period:
        found.append(ConfigError(f"{path}.period", "one after the other without a pause"))
    if fault.what in NEEDS and getattr(fault, NEEDS[fault.what]) == DEFAULTS[NEEDS[fault.what]]:
        found.append(
            ConfigError(f"{path}.{NEEDS[fault.what]}", f"{fault.what.value} does nothing without it")
        )
    for pattern in fault.partners:
        if not any(fnmatchcase(name, pattern) for name in names["partners"]):
            found.append(ConfigError(f"{path}.partners", f"no such destination: {pattern!r}"))
    for table in ("floors", "kinds", "products", "customers"):
        for name in getattr(fault, table):
            if name not in names[table]:
                found.append(ConfigError(f"{path}.{table}", f"none of this name: {name!r}"))
    for number in fault.relays:
        if not 0 <= number < scenario.relays.count:
            found.append(ConfigError(f"{path}.relays", f"there is no relay {number}"))
    if fault.what in (What.SLOW, What.SWING, What.LIST_LATE) and fault.times < 1:
        found.append(ConfigError(f"{path}.times", "at least 1 is wanted: so many times as slow or late"))
    if fault.what is What.LIMIT and not any(
        group.limit.form is not LimitForm.NONE for group in scenario.partners
    ):
        found.append(ConfigError(f"{path}.what", "no partner has a limit to cut"))
    return found


def doubts(scenario: Scenario) -> list[ConfigError]:
    """What can be played, and will hardly show what is meant: rates that can't be reached."""
    found = []
    offered, shares = scenario.clients.rate, sum(group.share for group in scenario.partners)
    busy = 0.0
    for at, group in enumerate(scenario.partners):
        asked, bears = offered * group.share / shares, group.capacity * group.count
        busy += asked * group.latency / SECOND
        if asked > 1.2 * bears:
            found.append(
                ConfigError(
                    f"partners[{at}].capacity",
                    f"{asked:.0f} texts a second come for a group that serves {bears:.0f}",
                )
            )
    slots = scenario.relays.count * scenario.relays.slots
    if busy > slots:
        found.append(
            ConfigError("relays.slots", f"{busy:.0f} calls would be out at once, and there are {slots} slots")
        )
    return found
