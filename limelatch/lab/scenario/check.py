"""Checks of a whole scenario: errors across keys that are each valid, and rates that cannot be reached."""

from __future__ import annotations

from collections.abc import Iterator
from fnmatch import fnmatchcase

from limelatch.configuration.checks import duplicate_names
from limelatch.configuration.errors import ConfigError
from limelatch.configuration.units import write_span
from limelatch.interface import SECOND, Effect
from limelatch.lab.scenario.model import MAX_ENDPOINTS, FaultKeys, LimitForm, PartnerKeys, Scenario, What

# The keys that each fault allows besides `what` and `at`; any other key that is set is an error.
SCOPE_KEYS = {"partners", "floors", "kinds", "part"}
ALLOWED_KEYS = {
    What.HANG: SCOPE_KEYS | {"lasts", "runs"},
    What.SILENT: SCOPE_KEYS | {"lasts", "runs"},
    What.DOWN: SCOPE_KEYS | {"lasts"},
    What.ERRORS: SCOPE_KEYS | {"lasts", "share", "runs"},
    What.SHUT: SCOPE_KEYS | {"lasts", "wait"},
    What.SLOW: SCOPE_KEYS | {"lasts", "times"},
    What.SWING: SCOPE_KEYS | {"lasts", "times", "period"},
    What.RESET: SCOPE_KEYS | {"lasts", "share", "runs"},
    What.GARBLE: SCOPE_KEYS | {"lasts", "share"},
    What.LOSS: SCOPE_KEYS | {"lasts", "share"},
    What.LIMIT: SCOPE_KEYS | {"lasts", "times"},
    What.DRAIN: SCOPE_KEYS | {"lasts", "period"},
    What.LIST_LATE: {"lasts", "times", "relays"},
    What.LIST_SILENT: {"lasts", "relays"},
    What.KILL: {"lasts", "period", "part", "relays"},
    What.RESTART: {"lasts", "period", "part", "relays"},
    What.RELOAD: {"lasts", "period", "part", "relays"},
    What.WIPE: {"lasts", "period", "part", "relays"},
    What.CUT_OFF: SCOPE_KEYS | {"lasts", "relays"},
    What.SURGE: {"lasts", "times", "partners", "kinds", "products", "customers"},
    What.CLUMP: {"partners", "kinds", "products", "customers", "texts"},
}
FAULTS_WITH_DURATION = {what for what, keys in ALLOWED_KEYS.items() if "lasts" in keys} - {
    What.KILL,
    What.RESTART,
    What.RELOAD,
    What.WIPE,
}
REQUIRED_KEYS = {
    What.SLOW: "times",
    What.SWING: "times",
    What.LIMIT: "times",
    What.LIST_LATE: "times",
    What.SURGE: "times",
    What.CLUMP: "texts",
}
DEFAULTS = {name: getattr(FaultKeys(what=What.HANG, at=0), name) for name in FaultKeys.__struct_fields__}


def destinations(scenario: Scenario) -> Iterator[tuple[str, PartnerKeys]]:
    """The name and the group of each destination, in the order of their numbers."""
    for group in scenario.partners:
        for number in range(1, group.count + 1):
            yield f"{group.name}-{number}", group


def scenario_errors(scenario: Scenario) -> list[ConfigError]:
    """All errors that prevent a run of the scenario, each with the path of its key."""
    errors: list[ConfigError] = []
    for table in ("products", "customers", "kinds", "floors", "partners"):
        errors += duplicate_names(table, [row.name for row in getattr(scenario, table)])
    errors += partner_errors(scenario)
    errors += product_errors(scenario)
    names = {
        "partners": [name for name, _ in destinations(scenario)],
        "floors": [row.name for row in scenario.floors],
        "kinds": [row.name for row in scenario.kinds],
        "products": [row.name for row in scenario.products],
        "customers": [row.name for row in scenario.customers],
    }
    for at, fault in enumerate(scenario.faults):
        errors += fault_errors(scenario, f"faults[{at}]", fault, names)
    if scenario.scenario.warm_up >= scenario.scenario.seconds:
        errors.append(ConfigError("scenario.warm_up", "must be shorter than the scenario"))
    if scenario.clients.rate <= 0:
        errors.append(ConfigError("clients.rate", "must be greater than 0: no texts would be submitted"))
    return errors


def partner_errors(scenario: Scenario) -> list[ConfigError]:
    """The errors of the partners."""
    errors, kinds = [], [row.name for row in scenario.kinds]
    products = [row.name for row in scenario.products]
    endpoints = sum(group.count * group.endpoints for group in scenario.partners)
    if endpoints > MAX_ENDPOINTS:
        errors.append(ConfigError("partners", f"{endpoints} endpoints in total, {MAX_ENDPOINTS} at most"))
    for at, group in enumerate(scenario.partners):
        path = f"partners[{at}]"
        if group.kind and group.kind not in kinds:
            errors.append(ConfigError(f"{path}.kind", f"no such kind: {group.kind!r}"))
        for name in group.products:
            if name not in products:
                errors.append(ConfigError(f"{path}.products", f"no such product: {name!r}"))
        if not group.capacity:
            errors.append(ConfigError(f"{path}.capacity", "must be greater than 0"))
        if group.limit.form is not LimitForm.NONE and not group.limit.of_capacity:
            errors.append(
                ConfigError(
                    f"{path}.limit.of_capacity", "must be greater than 0: the limit would let nothing through"
                )
            )
    if not any(group.share for group in scenario.partners):
        errors.append(ConfigError("partners", "at least one must have a share of the texts"))
    return errors


def product_errors(scenario: Scenario) -> list[ConfigError]:
    """The errors of the products."""
    errors = []
    for at, row in enumerate(scenario.products):
        path = f"products[{at}]"
        if not row.validity_period:
            errors.append(ConfigError(f"{path}.validity_period", "must be greater than 0"))
        if row.sla_time > row.validity_period:
            errors.append(ConfigError(f"{path}.sla_time", "must not be longer than the validity period"))
        if (row.effect is Effect.REFERENCED) != bool(row.repeat_window):
            errors.append(
                ConfigError(
                    f"{path}.repeat_window", "is required for referenced products, and allowed for no other"
                )
            )
        if row.share and not any(
            not group.products or row.name in group.products for group in scenario.partners if group.share
        ):
            errors.append(ConfigError(path, "has a share of the texts, but no partner accepts it"))
    if not any(row.share for row in scenario.products):
        errors.append(ConfigError("products", "at least one must have a share of the texts"))
    return errors


def fault_errors(
    scenario: Scenario, path: str, fault: FaultKeys, names: dict[str, list[str]]
) -> list[ConfigError]:
    """The errors of one entry of the timeline."""
    errors, allowed = [], ALLOWED_KEYS[fault.what] | {"what", "at"}
    for name, default in DEFAULTS.items():
        if name not in allowed and getattr(fault, name) != default:
            errors.append(ConfigError(f"{path}.{name}", f"{fault.what.value} has no such key"))
    if fault.at >= scenario.scenario.seconds:
        end = write_span(scenario.scenario.seconds)
        errors.append(ConfigError(f"{path}.at", f"begins after the last text, which comes at {end}"))
    if fault.what in FAULTS_WITH_DURATION and not fault.lasts:
        errors.append(ConfigError(f"{path}.lasts", "must be greater than 0"))
    if "period" in allowed and not fault.period:
        errors.append(ConfigError(f"{path}.period", "must be greater than 0"))
    if (
        fault.what in REQUIRED_KEYS
        and getattr(fault, REQUIRED_KEYS[fault.what]) == DEFAULTS[REQUIRED_KEYS[fault.what]]
    ):
        errors.append(
            ConfigError(f"{path}.{REQUIRED_KEYS[fault.what]}", f"{fault.what.value} has no effect without it")
        )
    for pattern in fault.partners:
        if not any(fnmatchcase(name, pattern) for name in names["partners"]):
            errors.append(ConfigError(f"{path}.partners", f"no such destination: {pattern!r}"))
    for table in ("floors", "kinds", "products", "customers"):
        for name in getattr(fault, table):
            if name not in names[table]:
                errors.append(ConfigError(f"{path}.{table}", f"no such name: {name!r}"))
    for number in fault.relays:
        if not 0 <= number < scenario.relays.count:
            errors.append(ConfigError(f"{path}.relays", f"there is no relay {number}"))
    if fault.what in (What.SLOW, What.SWING, What.LIST_LATE) and fault.times < 1:
        errors.append(ConfigError(f"{path}.times", "must be at least 1: the factor by which times grow"))
    if fault.what is What.LIMIT and not any(
        group.limit.form is not LimitForm.NONE for group in scenario.partners
    ):
        errors.append(ConfigError(f"{path}.what", "no partner has a limit that can be reduced"))
    return errors


def doubts(scenario: Scenario) -> list[ConfigError]:
    """Warnings about a scenario that can be run, but whose rates cannot be reached."""
    errors = []
    offered, shares = scenario.clients.rate, sum(group.share for group in scenario.partners)
    mean_calls = 0.0  # calls in flight, by Little's law
    for at, group in enumerate(scenario.partners):
        asked, capacity = offered * group.share / shares, group.capacity * group.count
        mean_calls += asked * group.latency / SECOND
        if asked > 1.2 * capacity:
            errors.append(
                ConfigError(
                    f"partners[{at}].capacity",
                    f"{asked:.0f} texts a second are submitted to a group that serves {capacity:.0f}",
                )
            )
    slots = scenario.relays.count * scenario.relays.slots
    if mean_calls > slots:
        errors.append(
            ConfigError(
                "relays.slots",
                f"{mean_calls:.0f} calls would be in flight at once, but there are {slots} slots",
            )
        )
    return errors
