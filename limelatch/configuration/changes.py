"""What differs between two configurations, and when a running relay takes each change."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from msgspec import inspect

from limelatch.configuration.model import Installation, Reload
from limelatch.configuration.reading import Key, keys_of

ABSENT = object()


@dataclass(frozen=True)
class Change:
    """One key that differs; `before` or `after` is ABSENT where its row is missing on that side."""

    path: str
    reload: Reload
    key: Key
    before: object
    after: object


def leaves(table: msgspec.Struct, path: str = "") -> Iterator[tuple[str, Key, object]]:
    """Every key with its path, description and value; rows go by name, by number where they have none."""
    for name, key in keys_of(type(table)).items():
        value, at = getattr(table, name), f"{path}.{name}" if path else name
        if isinstance(key.type, inspect.StructType):
            yield from leaves(value, at)
        elif isinstance(key.type, inspect.ListType) and isinstance(key.type.item_type, inspect.StructType):
            for number, row in enumerate(value):
                yield from leaves(row, f"{at}[{row.name or number}]")
        else:
            yield at, key, value


def changes(before: Installation, after: Installation) -> list[Change]:
    """Every key that differs, in the order of the paths."""
    if before == after:
        return []
    old, new = ({path: (key, value) for path, key, value in leaves(each)} for each in (before, after))
    found = []
    for path in sorted(old.keys() | new.keys()):
        key = (old.get(path) or new.get(path))[0]
        was, now = (each[path][1] if path in each else ABSENT for each in (old, new))
        if was is ABSENT or now is ABSENT or was != now:
            found.append(Change(path, key.metadata.get("reload", Reload.RESTART), key, was, now))
    return found
