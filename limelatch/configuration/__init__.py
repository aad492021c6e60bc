"""Configuration: one model (`model`), read from people's own TOML or the platform's JSON (`files`).

A key that is absent gets its default, a value of the wrong form is a fault that names the key. In the
platform's JSON null is absent too and an unknown key is passed over; in people's own form it is a fault.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from limelatch.configuration.checks import reload_errors
from limelatch.configuration.errors import ConfigurationError, ConfigError
from limelatch.configuration.files import Form, LoadedFile, load, configured_path
from limelatch.configuration.plan import Address, Names, RelayPlan, bench_terms, plan_of
from limelatch.configuration.units import to_units

__all__ = [
    "Address",
    "ConfigurationError",
    "ConfigError",
    "Form",
    "LoadedFile",
    "Names",
    "RelayPlan",
    "bench_terms",
    "load",
    "plan_of",
    "relay_plan",
    "reloaded_plan",
    "to_units",
]


def relay_plan(
    environment: Mapping[str, str], path: str | None = None, form: Form | None = None
) -> RelayPlan:
    """The plan from a file, or the one that $RELAY_CONFIG names, and for what that leaves out the others."""
    return plan_of(load(path or configured_path(environment), form, environment).installation)


def reloaded_plan(
    environment: Mapping[str, str], path: str | None = None, form: Form | None = None
) -> RelayPlan:
    """The plan of a new configuration at SIGHUP; ConfigurationError where it can't be taken, and the one in
    force stays whole."""
    found = load(path or configured_path(environment), form, environment)
    errors = [
        replace(each, path=found.reader.where(each.path))
        for each in reload_errors(found.installation, found.given)
    ]
    if errors:
        raise ConfigurationError(errors, found.text)
    return plan_of(found.installation)
