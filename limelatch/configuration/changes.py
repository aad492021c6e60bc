"""Compares two configurations and tells when a running relay applies each changed key."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from msgspec import inspect

from limelatch.configuration.model import Installation, Reload
from limelatch.configuration.reading import Key, keys_of

ABSENT = object()  # stands for the value of a key whose row is missing on one side


@dataclass(frozen=True)
class Change:
    """A key whose value differs; `before` or `after` is ABSENT if its row is missing on that side."""

    path: str
    reload: Reload
    key: Key
    before: object
    after: object


def key_values(table: msgspec.Struct, path: str = "") -> Iterator[tuple[str, Key, object]]:
    """Yield the path, description and value of every key.

    A row is identified by its name, or by its index if it has none.
    """
    for name, key in keys_of(type(table)).items():
        value, key_path = getattr(table, name), f"{path}.{name}" if path else name
        if isinstance(key.type, inspect.StructType):
            yield from key_values(value, key_path)
        elif isinstance(key.type, inspect.ListType) and isinstance(key.type.item_type, inspect.StructType):
            for index, row in enumerate(value):
                yield from key_values(row, f"{key_path}[{row.name or index}]")
        else:
            yield key_path, key, value


def changes(before: Installation, after: Installation) -> list[Change]:
    """Return every key that differs, sorted by path."""
    if before == after:
        return []
    old, new = ({path: (key, value) for path, key, value in key_values(each)} for each in (before, after))
    found = []
    for path in sorted(old.keys() | new.keys()):
        key = (old.get(path) or new.get(path))[0]
        old_value, new_value = (each[path][1] if path in each else ABSENT for each in (old, new))
        if old_value is ABSENT or new_value is ABSENT or old_value != new_value:
            found.append(Change(path, key.metadata.get("reload", Reload.RESTART), key, old_value, new_value))
    return found
