"""People's own form, written: TOML by tomlkit, and keys and changes in its words."""

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

HIDDEN = "(hidden)"
DEFAULT = "default"


def toml_value(key: Key, value: object) -> object:
    """A value as people write it."""
    if key.unit in TOML_UNITS and key.unit != "address":
        return TOML_UNITS[key.unit].write(value)
    if isinstance(value, dict):
        return {name: getattr(each, "value", each) for name, each in value.items()}
    return getattr(value, "value", value)


def hidden(key: Key, value: object, secrets: bool) -> bool:
    return bool(key.metadata.get("secret")) and bool(value) and not secrets


def write_toml(installation: Installation, given: Set[str], whole: bool = False, secrets: bool = True) -> str:
    """The model as TOML: the keys in `told`, or with `whole` all of them, the others marked as defaults."""
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
            for at, row in enumerate(value):
                table = tomlkit.table()
                _fill(table, row, f"{name}[{at}]", given, whole, secrets)
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


def value_rows(found: LoadedFile, secrets: bool) -> Iterator[dict]:
    """Every key with its value in people's words, and whether it is a default."""

    def walk(table: msgspec.Struct, path: str) -> Iterator[dict]:
        for name, key in keys_of(type(table)).items():
            at, value = f"{path}.{name}" if path else name, getattr(table, name)
            if isinstance(key.type, inspect.StructType):
                yield from walk(value, at)
            elif isinstance(getattr(key.type, "item_type", None), inspect.StructType):
                for number, row in enumerate(value):
                    yield from walk(row, f"{at}[{number}]")
            elif key.metadata.get("own", True) is not False:
                shown = HIDDEN if hidden(key, value, secrets) else toml_value(key, value)
                yield {"key": at, "value": shown, DEFAULT: at not in found.given}

    yield from walk(found.installation, "")


def describe(change: Change) -> str:
    """A change on one line, and when it is taken."""

    def side(value: object) -> str:
        if value is ABSENT:
            return "absent"
        return HIDDEN if hidden(change.key, value, False) else str(toml_value(change.key, value)) or '""'

    when = {"at once": "at once on SIGHUP", "restart": "after a restart", "start": "at the next start"}
    return f"{change.path}: {side(change.before)} -> {side(change.after)} ({when[change.reload.value]})"
