"""Generates the operators' page of the scenario keys from the model."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec import inspect

from limelatch.configuration.toml_form import toml_value
from limelatch.configuration.page import code
from limelatch.configuration.reading import TOML_UNITS, Key, accepted_values, keys_of
from limelatch.lab.scenario.check import ALLOWED_KEYS
from limelatch.lab.scenario.model import Scenario

HEAD = """# Keys of a scenario

<!-- Made by `limelatch lab keys --page` from limelatch/lab/scenario/model.py; a test fails where it is
stale. -->

A scenario is a TOML file in the same form as a relay's configuration: spans `"250ms"`, sizes `"192MB"`,
unknown keys are faults that name the nearest known one. `limelatch lab check FILE` tells all that is wrong
with one. With `scenario.like` it takes over what it does not tell from another one; tables are merged, lists
taken whole.
"""
COLUMNS = ("key", "what is wanted", "default", "what for")


def page() -> str:
    """The whole page in Markdown."""
    return "\n".join([HEAD, *table_sections(Scenario), *fault_tables()]) + "\n"


def table_sections(root: type[msgspec.Struct]) -> Iterator[str]:
    """The section of each table of the scenario."""
    for name, key in keys_of(root).items():
        row = getattr(key.type, "item_type", None)
        if isinstance(key.type, inspect.StructType):
            yield from table_section(f"[{name}]", key.type.cls)
        elif isinstance(row, inspect.StructType):
            yield from table_section(f"[[{name}]]", row.cls)


def table_section(title: str, table: type[msgspec.Struct]) -> Iterator[str]:
    """The heading and the keys of one table."""
    yield f"## {title}\n\n{table.__doc__.strip()}\n"
    yield f"| {' | '.join(COLUMNS)} |\n|{' --- |' * len(COLUMNS)}"
    for name, key in keys_of(table).items():
        if isinstance(key.type, inspect.StructType):
            for inner, each in keys_of(key.type.cls).items():
                yield table_row(f"{name}.{inner}", each)
        else:
            yield table_row(name, key)
    yield ""


def table_row(name: str, key: Key) -> str:
    """The row of one key."""
    unit = TOML_UNITS.get(key.unit) if key.unit != "count" else None
    default = "needed" if key.required else code(toml_value(key, key.default))
    return f"| `{name}` | {accepted_values(key, unit)} | {default} | {key.description} |"


def fault_tables() -> Iterator[str]:
    """The table of the keys that each fault allows."""
    yield "## What each fault takes\n\nBeside `what` and `at`:\n\n| what | keys |\n| --- | --- |"
    for what, keys in ALLOWED_KEYS.items():
        yield f"| `{what.value}` | {', '.join(f'`{name}`' for name in sorted(keys))} |"
