"""Makes the operators' page of the configuration from the model."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec import inspect

from limelatch.configuration.model import Installation, Reload
from limelatch.configuration.platform_form import ENUM_VALUES
from limelatch.configuration.reading import TOML_UNITS, Key, accepted_values, keys_of
from limelatch.configuration.toml_form import toml_value

HEAD = """# Configuration

<!-- Made by `limelatch config page` from limelatch/configuration/model.py; a test fails where it is stale.
-->

A relay reads one file: `limelatch relay run --config FILE`, or the file that `$RELAY_CONFIG` names. A file
whose name ends with `.toml` is TOML as described here; any other is the platform's JSON, whose key is in the
last column. Both hold the same configuration: `limelatch config convert` translates one to the other.

    limelatch config check FILE     all errors, with line, key, what is expected and what was found
    limelatch config show FILE      the resulting configuration; defaults are marked, secrets hidden
    limelatch config diff A B       what a reload applies at once, and what takes effect after a restart
    limelatch config schema         a JSON Schema, for editors

Spans of time are written `"250ms"`, `"2s"`, `"1h30m"` (units `us`, `ms`, `s`, `m`, `h`, `d`; the resolution
is 100us), sizes `"192MB"` (`kB`, `MB`, `GB`: powers of 1,000; `KiB`, `MiB`, `GiB`: powers of 1,024). In TOML
an unknown key is an error, which suggests the most similar known one. In the platform's JSON spans are in
milliseconds and sizes in megabytes, null is the same as absent, an unknown key is ignored, and an unknown
value of an enumeration means the safest choice.

On SIGHUP the relay reads the file again. If there is any error in it, if it lacks a key that the file in
force sets, or if it has a value that is not understood, the relay keeps its whole current configuration.
Otherwise changes of keys marked "at once" are applied, changed keys marked "restart" are named
in the log (`event=configured restart_for=...`) and take effect after a restart, and "start" keys have no
effect on a running relay.

For the platform's JSON, `$RELAY_NAME`, `$RELAY_LISTEN`, `$RELAY_DISCOVERY`, `$RELAY_STATE` and
`$RELAY_OPERATOR` fill in `name`, `listen`, `discovery`, `state` and `operator` if the file doesn't set them;
at SIGHUP only where the file in force doesn't set them either.

The smallest file:

    [relay]
    listen = "127.0.0.1:6379"
    state = "/var/lib/limelatch"

    [catalog]
    address = "127.0.0.1:8500"

    [[products]]
    name = "notice"
    effect = "referenced"
    repeat_window = "10s"
    sla_time = "3s"
    validity_period = "24s"

    [[kinds]]
    name = "portal"

    [[floors]]
    name = "ground"
"""
COLUMNS = ("key", "value", "default", "applied", "purpose", "platform's JSON")
APPLIED = {Reload.AT_ONCE: "at once", Reload.RESTART: "restart", Reload.START: "start"}


def page() -> str:
    """Return the whole page in Markdown."""
    return "\n".join([HEAD, *sections()]) + "\n"


def sections() -> Iterator[str]:
    """Yield the parts of the page, a section for each table."""
    for name, key in keys_of(Installation).items():
        row = getattr(key.type, "item_type", None)
        if isinstance(key.type, inspect.StructType):
            yield from section(f"[{name}]", name, key.type.cls, "")
        elif isinstance(row, inspect.StructType):
            yield from section(f"[[{name}]]", name, row.cls, key.metadata["platform"], key)


def section(
    title: str, path: str, table: type[msgspec.Struct], source: str, list_key: Key | None = None
) -> Iterator[str]:
    """Yield a table's section; `source` is the path of its rows in the platform's JSON, if it has rows."""
    yield f"## {title}\n"
    minimum = " At least one." if list_key is not None and list_key.type.min_length else ""
    yield (
        f"{table.__doc__.strip()}{minimum}"
        f"{f' {list_key.description.capitalize()}.' if list_key and list_key.description else ''}\n"
    )
    yield f"| {' | '.join(COLUMNS)} |"
    yield f"|{' --- |' * len(COLUMNS)}"
    for name, key in keys_of(table).items():
        yield f"| {' | '.join(cells(path, name, key, source))} |"
    yield ""


def cells(path: str, name: str, key: Key, source: str) -> list[str]:
    """Return the row of a key."""
    default = "required" if key.required else code(toml_value(key, key.default))
    accepted = (
        accepted_values(key, TOML_UNITS.get(key.unit)) if key.unit != "count" else accepted_values(key, None)
    )
    platform_key = key.metadata.get("platform", "")
    platform_key = (
        f"`{source}[].{platform_key}`" if source and "." not in platform_key else f"`{platform_key}`"
    )
    values = ENUM_VALUES.get(f"{path}.{name}")
    if values:
        platform_key += ": " + ", ".join(f"`{theirs}` = `{ours}`" for theirs, ours in values[0].items())
    applied = APPLIED[key.metadata.get("reload", Reload.RESTART)]
    return [f"`{name}`", accepted, default, applied, key.description, platform_key]


def code(value: object) -> str:
    """Format a default value for the page."""
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    return f"`{value}`" if value not in ("", [], {}) else "none"
