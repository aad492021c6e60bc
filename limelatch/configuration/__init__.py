"""Reads and checks a relay's configuration.

There is one model of it (`model`). A file in either form, TOML or the platform's JSON (`files`), is read into
this model. A missing key takes its default; a value of the wrong type or out of bounds is an error that names
the key. In the platform's JSON, null counts as missing and an unknown key is ignored; in TOML an unknown key
is an error.
"""

from __future__ import annotations

from collections.abc import Mapping

from limelatch.configuration.errors import ConfigError, ConfigurationError
from limelatch.configuration.files import Form, LoadedFile, configured_path, load
from limelatch.configuration.plan import Address, Names, RelayPlan, bench_settings, plan_of
from limelatch.configuration.reload import reload_errors, source_of
from limelatch.configuration.units import to_units

__all__ = [
    "Address",
    "ConfigurationError",
    "ConfigError",
    "Form",
    "LoadedFile",
    "Names",
    "RelayPlan",
    "bench_settings",
    "load",
    "plan_of",
    "relay_plan",
    "reloaded_plan",
    "to_units",
]


def relay_plan(
    environment: Mapping[str, str], path: str | None = None, form: Form | None = None
) -> RelayPlan:
    """Read the file at `path`, or the one that $RELAY_CONFIG names, into the plan to start a relay with.

    For the platform's JSON, other variables of `environment` fill in missing keys. Raises ConfigurationError.
    """
    loaded = load(path or configured_path(environment), form, environment)
    return plan_of(loaded.installation, source_of(loaded))


def reloaded_plan(
    environment: Mapping[str, str], current: RelayPlan, path: str | None = None, form: Form | None = None
) -> RelayPlan:
    """Read a new configuration after SIGHUP, to replace that of the plan `current`.

    Raises ConfigurationError if any part of it is unusable or missing; the caller then keeps the current one.
    """
    loaded = load(path or configured_path(environment), form, environment)
    if errors := reload_errors(current.source, loaded):
        raise ConfigurationError(errors, loaded.text)
    return plan_of(loaded.installation, source_of(loaded))
