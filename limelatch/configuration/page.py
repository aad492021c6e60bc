"""The operators' page of the configuration, made from the model."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec import inspect

from limelatch.configuration.model import Installation, Reload
from limelatch.configuration.toml_form import toml_value
from limelatch.configuration.platform_form import WORDS
from limelatch.configuration.reading import TOML_UNITS, Key, accepted_values, keys_of

HEAD = """# Configuration

<!-- Made by `limelatch config page` from limelatch/configuration/model.py; a test fails where it is stale.
-->

A relay reads one file: `limelatch relay run --config FILE`, or the file that `$RELAY_CONFIG` names. A file
whose name ends with `.toml` is in people's own form, described here; any other is the platform's JSON, whose
key stands in the last column. Both are one model: `limelatch config convert` writes one as the other.

    limelatch config check FILE     all that is wrong, with line, key, what is wanted and what stood there
    limelatch config show FILE      what is in force; defaults are marked, secrets hidden
    limelatch config diff A B       what a reload takes at once, and what waits for a restart
    limelatch config schema         a JSON Schema, for editors

Spans are written `"250ms"`, `"2s"`, `"1h30m"` (units `us`, `ms`, `s`, `m`, `h`, `d`; nothing finer than
100us), sizes `"192MB"` (`kB`, `MB`, `GB` of a thousand, `KiB`, `MiB`, `GiB` of 1,024). In people's own form
an unknown key is a fault that names the nearest known one. In the platform's JSON spans are milliseconds and
sizes megabytes, null is the same as absent, an unknown key is passed over, and an unknown word means the
safest thing.

SIGHUP has the file read again, all or nothing: where anything is wrong the configuration in force stays,
whole. Keys marked "at once" are then taken, the others are named in the log (`event=configured
restart_for=...`) and wait for a restart; "start" keys mean nothing to a running relay.

For the platform's JSON `$RELAY_NAME`, `$RELAY_LISTEN`, `$RELAY_DISCOVERY`, `$RELAY_STATE` and
`$RELAY_OPERATOR` fill in `name`, `listen`, `discovery`, `state` and `operator` where the file has none.

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
COLUMNS = ("key", "what is wanted", "default", "taken", "what for", "the platform's JSON")
TAKEN = {Reload.AT_ONCE: "at once", Reload.RESTART: "restart", Reload.START: "start"}


def page() -> str:
    """The whole page, in Markdown."""
    return "\n".join([HEAD, *sections()]) + "\n"


def sections() -> Iterator[str]:
    for name, key in keys_of(Installation).items():
        row = getattr(key.type, "item_type", None)
        if isinstance(key.type, inspect.StructType):
            yield from section(f"[{name}]", name, key.type.cls, "")
        elif isinstance(row, inspect.StructType):
            yield from section(f"[[{name}]]", name, row.cls, key.metadata["platform"], key)


def section(
    title: str, path: str, table: type[msgspec.Struct], place: str, of: Key | None = None
) -> Iterator[str]:
    yield f"## {title}\n"
    needed = " At least one." if of is not None and of.type.min_length else ""
    yield (
        f"{table.__doc__.strip()}{needed}"
        f"{f' {of.description.capitalize()}.' if of and of.description else ''}\n"
    )
    yield f"| {' | '.join(COLUMNS)} |"
    yield f"|{' --- |' * len(COLUMNS)}"
    for name, key in keys_of(table).items():
        yield f"| {' | '.join(cells(path, name, key, place))} |"
    yield ""


def cells(path: str, name: str, key: Key, place: str) -> list[str]:
    default = "needed" if key.required else code(toml_value(key, key.default))
    wanted = (
        accepted_values(key, TOML_UNITS.get(key.unit)) if key.unit != "count" else accepted_values(key, None)
    )
    there = key.metadata.get("platform", "")
    there = f"`{place}[].{there}`" if place and "." not in there else f"`{there}`"
    words = WORDS.get(f"{path}.{name}")
    if words:
        there += ": " + ", ".join(f"`{word}` = `{ours}`" for word, ours in words[0].items())
    when = TAKEN[key.metadata.get("reload", Reload.RESTART)]
    return [f"`{name}`", wanted, default, when, key.description, there]


def code(value: object) -> str:
    """A default as people write it."""
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    return f"`{value}`" if value not in ("", [], {}) else "none"
