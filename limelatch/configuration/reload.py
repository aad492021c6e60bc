"""Checks whether a running relay may replace its configuration by a new one at SIGHUP.

A start has nothing to fall back on: a missing key takes its default or comes from the environment, and a
value that is not understood is replaced by the safest one. At SIGHUP the configuration in force is known to
work, so a file that leaves out a key of it, or has a value that is not understood, is not applied at all.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from operator import attrgetter

import msgspec

from limelatch.configuration.errors import ConfigError
from limelatch.configuration.files import LoadedFile
from limelatch.configuration.model import Installation, Product, Table
from limelatch.configuration.platform_form import COLUMN_TABLES, NAME_KEY, ROW_TABLES
from limelatch.configuration.reading import keys_of
from limelatch.interface import Effect

ROW_KEY = re.compile(r"(\w+)\[(\d+)\]\.(\w+)")  # the path of a key in a row: table, index, name
EMPTY = ("", [])  # a value that is emptied counts as missing
ROW_INDEX = re.compile(r"\[\d+\]")
LISTS_OF_ROWS = ROW_TABLES + COLUMN_TABLES
LIST_OF_HOSTS = "known"  # data rather than a setting; a new file need not repeat it
REPEAT_KEYS = frozenset({"repeat_window", "repeat_known"})  # they only concern referenced products
REQUIRED_OF_PRODUCTS = frozenset({"effect", "validity_period"})
OPTIONAL_IN_NEW_ROWS = frozenset({"in_order"})
MISSING = "is set in the configuration in force, but missing in the new one"
MISSING_IN_NEW_ROW = "is required in a new row, but missing"


@dataclass(frozen=True)
class GivenKeys:
    """The keys that a file sets. All other keys have defaults, or come from the environment.

    Rows with the same keys share one set, so that a configuration with many rows takes little memory.
    """

    outside_rows: frozenset[str]  # paths, such as `catalog.address`
    of_rows: Mapping[str, tuple[frozenset[str], ...]]  # by table: for each row the names of its keys

    @classmethod
    def of(cls, paths: Iterable[str], installation: Installation) -> GivenKeys:
        """Sort the paths of a file's keys by table and row; an empty string or list counts as not given."""
        outside_rows: set[str] = set()
        names = {table: [set() for _ in getattr(installation, table)] for table in LISTS_OF_ROWS}
        for path in paths:
            if match := ROW_KEY.fullmatch(path):
                row = getattr(installation, match[1])[int(match[2])]
                if getattr(row, match[3]) not in EMPTY:
                    names[match[1]][int(match[2])].add(match[3])
            elif is_key_with_value(installation, path):
                outside_rows.add(path)
        shared: dict[frozenset[str], frozenset[str]] = {}
        of_rows = {}
        for table, rows in names.items():
            frozen_rows = (frozenset(found) for found in rows)
            of_rows[table] = tuple(shared.setdefault(found, found) for found in frozen_rows)
        return cls(frozenset(outside_rows), of_rows)


def is_key_with_value(installation: Installation, path: str) -> bool:
    """Tell whether the path is that of a key rather than a table, and its value is not empty."""
    value = attrgetter(path)(installation)
    return not isinstance(value, Table) and value not in EMPTY


@dataclass(frozen=True)
class ConfigurationSource:
    """A configuration and the keys that its file sets, without the list of hosts."""

    installation: Installation
    given: GivenKeys
    substitutions: frozenset[ConfigError] = frozenset()  # without the indexes of rows

    @classmethod
    def of(
        cls, installation: Installation, paths: Iterable[str], substituted: Iterable[ConfigError] = ()
    ) -> ConfigurationSource:
        """Keep what a later reload is compared with.

        `paths` are those of the keys that the file sets, `substituted` its values that were not understood.
        """
        return cls(
            msgspec.structs.replace(installation, known={}),
            GivenKeys.of(paths, installation),
            frozenset(without_index(each) for each in substituted),
        )


def source_of(loaded: LoadedFile) -> ConfigurationSource:
    """Return what a reload is compared with, while the configuration of this file is in force."""
    return ConfigurationSource.of(loaded.installation, loaded.given, loaded.reader.substituted)


def without_index(error: ConfigError) -> ConfigError:
    """Return the error without the indexes of rows in its path, so that rows may be moved."""
    return replace(error, path=ROW_INDEX.sub("[]", error.path))


def reload_errors(current: ConfigurationSource, new: LoadedFile) -> list[ConfigError]:
    """Return what prevents a file from replacing the current configuration, though a relay may start with it.

    Guards against a truncated or hastily edited file: a key that it leaves out would take a default that
    nobody intended, or a value of the environment that the configuration in force has overridden. A value
    that is not understood is no error where the file in force has it too.
    """
    source = source_of(new)
    missing = current.given.outside_rows - source.given.outside_rows - {LIST_OF_HOSTS}
    errors = [ConfigError(path, MISSING) for path in sorted(missing)]
    for table in LISTS_OF_ROWS:
        errors += row_errors(table, current, source)
    errors += [
        ConfigError(f"products[{index}].validity_period", "expected a validity period over 0")
        for index, row in enumerate(new.installation.products)
        if row.validity_period <= 0 and "validity_period" in source.given.of_rows["products"][index]
    ]
    errors = [replace(each, path=new.reader.where(each.path)) for each in errors]
    return errors + [
        each for each in new.reader.substituted if without_index(each) not in current.substitutions
    ]


def row_errors(table: str, current: ConfigurationSource, new: ConfigurationSource) -> Iterator[ConfigError]:
    """Yield the keys that rows of the new table lack.

    A row replaces the current one of its name, or without a name the one in its place; any other row is new
    and needs each key that all current rows set. A row may be dropped.
    """
    current_rows = list(zip(getattr(current.installation, table), current.given.of_rows[table], strict=True))
    by_name = {row.name: (row, keys) for row, keys in current_rows if row.name}
    common_keys = frozenset.intersection(*(keys for _, keys in current_rows)) if current_rows else frozenset()
    new_rows = zip(getattr(new.installation, table), new.given.of_rows[table], strict=True)
    for index, (row, keys) in enumerate(new_rows):
        in_place = current_rows[index] if index < len(current_rows) else None
        replaced = by_name.get(row.name) if row.name else in_place
        if replaced is not None:
            required, message = replaced[1], MISSING
        else:
            required, message = common_keys - OPTIONAL_IN_NEW_ROWS | {NAME_KEY}, MISSING_IN_NEW_ROW
        if isinstance(row, Product):
            required = required_of_product(row, replaced[0] if replaced is not None else None, required)
        for name in keys_of(type(row)):
            if name in required and name not in keys:
                yield ConfigError(f"{table}[{index}].{name}", message)


def required_of_product(row: Product, replaced: Table | None, required: frozenset[str]) -> frozenset[str]:
    """Return the keys that a product needs, of those required by the current rows and by its effect."""
    if row.effect is Effect.REFERENCED:
        return required | REQUIRED_OF_PRODUCTS | REPEAT_KEYS
    if replaced is None or replaced.effect is not row.effect:
        required -= REPEAT_KEYS
    return required | REQUIRED_OF_PRODUCTS
