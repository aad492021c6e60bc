"""Writes configurations, single values and changes in the TOML form."""

from __future__ import annotations

from collections.abc import Iterator, Set

import msgspec
import tomlkit
from msgspec import inspect
from tomlkit.items import Item, Table

from limelatch.configuration.changes import ABSENT, Change
from limelatch.configuration.files import LoadedFile
from limelatch.configuration.model import Installation
from limelatch.configuration.reading import TOML_UNITS, Key, keys_of

HIDDEN = "(hidden)"  # shown in place of a secret
DEFAULT = "default"  # marks a key that has its default value


def toml_value(key: Key, value: object) -> object:
    """Return a value as it is written in TOML."""
    if key.unit in TOML_UNITS and key.unit != "address":
        return TOML_UNITS[key.unit].write(value)
    if isinstance(value, dict):
        return {name: getattr(each, "value", each) for name, each in value.items()}
    return getattr(value, "value", value)


def hidden(key: Key, value: object, secrets: bool) -> bool:
    """Tell whether a value is a secret that must not be shown; `secrets` shows them."""
    return bool(key.metadata.get("secret")) and bool(value) and not secrets


def write_toml(installation: Installation, given: Set[str], whole: bool = False, secrets: bool = True) -> str:
    """Write the model as TOML.

    Contains the keys in `given`, or with `whole` all keys, those that are not given marked as defaults.
    Without `secrets`, secret values are hidden.
    """
    document = tomlkit.document()
    for name, key in keys_of(Installation).items():
        value = getattr(installation, name)
        if key.metadata.get("own", True) is False:
            continue
        if isinstance(key.type, inspect.StructType):
            table = tomlkit.table()
            _fill(table, value, name, given, whole, secrets)
            if table:
                document[name] = table
        elif value:
            rows = tomlkit.aot()
            for index, row in enumerate(value):
                table = tomlkit.table()
                _fill(table, row, f"{name}[{index}]", given, whole, secrets)
                rows.append(table)
            document[name] = rows
    return tomlkit.dumps(document)


def _fill(table: Table, row: msgspec.Struct, path: str, given: Set[str], whole: bool, secrets: bool) -> None:
    for name, key in keys_of(type(row)).items():
        if not whole and f"{path}.{name}" not in given:
            continue
        value = getattr(row, name)
        item: Item = tomlkit.item(HIDDEN if hidden(key, value, secrets) else toml_value(key, value))
        if whole and f"{path}.{name}" not in given:
            item.comment(DEFAULT)
        table.add(name, item)


def value_rows(loaded: LoadedFile, secrets: bool) -> Iterator[dict]:
    """Yield every key with its value as in TOML, and whether that is the default."""

    def walk(table: msgspec.Struct, path: str) -> Iterator[dict]:
        for name, key in keys_of(type(table)).items():
            key_path, value = f"{path}.{name}" if path else name, getattr(table, name)
            if isinstance(key.type, inspect.StructType):
                yield from walk(value, key_path)
            elif isinstance(getattr(key.type, "item_type", None), inspect.StructType):
                for index, row in enumerate(value):
                    yield from walk(row, f"{key_path}[{index}]")
            elif key.metadata.get("own", True) is not False:
                shown = HIDDEN if hidden(key, value, secrets) else toml_value(key, value)
                yield {"key": key_path, "value": shown, DEFAULT: key_path not in loaded.given}

    yield from walk(loaded.installation, "")


def describe(change: Change) -> str:
    """Format a change on one line, with the time at which a running relay applies it."""

    def format_value(value: object) -> str:
        if value is ABSENT:
            return "absent"
        return HIDDEN if hidden(change.key, value, False) else str(toml_value(change.key, value)) or '""'

    applied = {"at once": "at once on SIGHUP", "restart": "after a restart", "start": "at the next start"}
    return (
        f"{change.path}: {format_value(change.before)} -> {format_value(change.after)}"
        f" ({applied[change.reload.value]})"
    )
