"""Reads nested tables into the model and collects all their errors.

Types, bounds and defaults are in `model`; msgspec checks each value against them. The file formats differ in
how values with a unit are written: see `Unit`.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cache

import msgspec
from msgspec import inspect

from limelatch.configuration.errors import ConfigError, invalid_value
from limelatch.configuration.model import Installation
from limelatch.configuration.units import read_size, read_span, write_size, write_span

MIN_SIMILARITY = 0.6  # of a known key, by difflib, to be suggested for an unknown one


@dataclass(frozen=True)
class Unit:
    """How one file format writes the values of a unit; `read` raises ValueError or TypeError for bad ones."""

    read: Callable[[object], object]
    expected: str  # for error messages
    write: Callable[[int], object] = str


def read_address(text: object) -> str:
    """Return an IPv4 address with port, such as `127.0.0.1:6379`, in normal form; raises ValueError.

    Host names are not accepted.
    """
    host, colon, port = text.partition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not (port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535):
        raise ValueError(text)
    return f"{ipaddress.IPv4Address(host)}:{int(port)}"


ADDRESS = Unit(read_address, "an address such as 127.0.0.1:6379")
TOML_UNITS = {
    "span": Unit(read_span, 'a span such as "250ms" or "2s"', write_span),
    "size": Unit(read_size, 'a size such as "192MB"', write_size),
    "count": Unit(lambda value: value, "a whole number", lambda value: value),
    "address": ADDRESS,
}


@dataclass(frozen=True)
class Key:
    """A key of a table, as the model describes it."""

    name: str
    type: inspect.Type  # without its annotations
    annotated_type: type  # with its annotations, for msgspec.convert
    metadata: Mapping[str, object]
    description: str
    default: object
    required: bool

    @property
    def unit(self) -> str:
        """The name of the key's unit; empty if it has none."""
        return self.metadata.get("unit", "")


@cache
def keys_of(table: type[msgspec.Struct]) -> dict[str, Key]:
    """Return the keys of a table by name, in the model's order."""
    types = {each.name: each.type for each in inspect.type_info(table).fields}
    keys = {}
    for each in msgspec.structs.fields(table):
        key_type, metadata, description = types[each.name], {}, ""
        if isinstance(key_type, inspect.Metadata):
            metadata, description = (
                key_type.extra or {},
                (key_type.extra_json_schema or {}).get("description", ""),
            )
            key_type = key_type.type
        default = None if each.required else each.default
        if each.default_factory is not msgspec.NODEFAULT:
            default = each.default_factory()
        keys[each.name] = Key(each.name, key_type, each.type, metadata, description, default, each.required)
    return keys


def accepted_values(key: Key, unit: Unit | None) -> str:
    """Describe the values that a key accepts."""
    key_type = key.type
    if isinstance(key_type, inspect.EnumType):
        return " or ".join(
            [", ".join(each.value for each in list(key_type.cls)[:-1]), list(key_type.cls)[-1].value]
        )
    if isinstance(key_type, inspect.BoolType):
        return "true or false"
    if isinstance(key_type, inspect.DictType):
        return "a table"
    if isinstance(key_type, inspect.ListType):
        if key_type.min_length:
            return "a list with a row at least"
        return "a list of strings" if isinstance(key_type.item_type, inspect.StrType) else "a list"
    if isinstance(key_type, inspect.StrType):
        pattern = key.metadata.get("form")
        if unit is not None:
            return unit.expected
        if key_type.min_length:
            return "a string that is not empty"
        return "a string" if pattern is None else f"up to 16 hexadecimal digits ({pattern.pattern})"
    if key.unit in ("span", "size"):
        return unit.expected
    is_whole = isinstance(key_type, inspect.IntType)
    minimum, maximum = (f"{each:d}" if is_whole else f"{each:g}" for each in (key_type.ge, key_type.le))
    number_type = "a whole number" if is_whole else "a number"
    return f"{number_type} from {minimum} to {maximum}"


@dataclass
class Reader:
    """Reads one parsed file into the model; keeps the errors and the paths of the keys that the file sets."""

    units: Mapping[str, Unit]
    strict: bool  # whether an unknown key is an error
    where: Callable[[str], str] = str  # maps a key's path in the model to its path in the file
    root: type[msgspec.Struct] = Installation
    errors: list[ConfigError] = field(default_factory=list)
    given: set[str] = field(default_factory=set)
    # Values that are not understood and were replaced by the safest choice; the paths are those of the file.
    substituted: list[ConfigError] = field(default_factory=list)

    def read(self, raw: object) -> msgspec.Struct | None:
        """Return the model, an instance of `root`; None if there is any error."""
        model = self.table(self.root, raw, "")
        return model if not self.errors else None

    def add_error(self, path: str, expected: str, value: object) -> None:
        """Record that the value at `path` is not what is expected."""
        self.errors.append(invalid_value(self.where(path), expected, value))

    def table(self, table_type: type[msgspec.Struct], raw: object, path: str) -> msgspec.Struct | None:
        """Read a table and the tables in it; None if any of its keys is wrong."""
        if not isinstance(raw, dict):
            self.add_error(path or "the configuration", "a table", raw)
            return None
        keys, values, count = keys_of(table_type), {}, len(self.errors)
        if self.strict:
            for name in raw:
                if name not in keys or keys[name].metadata.get("own", True) is False:
                    self.add_unknown_key(table_type, str(name), path)
        for name, key in keys.items():
            key_path = f"{path}.{name}" if path else name
            if name in raw:
                self.given.add(key_path)
                values[name] = self.value(key, raw[name], key_path)
            elif key.required and isinstance(key.type, inspect.StructType):
                values[name] = self.table(key.type.cls, {}, key_path)  # reports each missing key
            elif key.required:
                expected = accepted_values(key, self.units.get(key.unit))
                self.errors.append(ConfigError(self.where(key_path), f"{expected} is required, but missing"))
        return table_type(**values) if len(self.errors) == count else None

    def add_unknown_key(self, table_type: type[msgspec.Struct], name: str, path: str) -> None:
        """Record an unknown key, and suggest the most similar known one, of this table or else of another."""
        from difflib import get_close_matches

        full = f"{path}.{name}" if path else name
        own_keys = {each: f"{path}.{each}" if path else each for each in keys_of(table_type)}
        elsewhere = {name: table for table, name in all_keys(self.root) if name not in own_keys}
        similar = get_close_matches(name, own_keys, 1, MIN_SIMILARITY)
        if similar:
            hint = f"; did you mean {own_keys[similar[0]]}?"
        else:
            similar = get_close_matches(name, elsewhere, 1, MIN_SIMILARITY)
            hint = f"; did you mean {elsewhere[similar[0]]}.{similar[0]}?" if similar else ""
        self.errors.append(ConfigError(self.where(full), f"no such key{hint}"))

    def value(self, key: Key, raw: object, path: str) -> object:
        """Read the value of a key; None, with an error recorded, if it is wrong."""
        key_type = key.type
        if isinstance(key_type, inspect.StructType):
            return self.table(key_type.cls, raw, path)
        if isinstance(key_type, inspect.ListType) and isinstance(key_type.item_type, inspect.StructType):
            return self.rows(key, raw, path)
        if isinstance(key_type, inspect.DictType) and not isinstance(key_type.value_type, inspect.AnyType):
            return self.enum_table(key_type, raw, path)
        unit = self.units.get(key.unit)
        try:
            value = unit.read(raw) if unit else raw
            if isinstance(value, float) and not math.isfinite(value):
                raise ValueError(raw)
            converted = msgspec.convert(value, key.annotated_type)
            if (pattern := key.metadata.get("form")) and converted and not pattern.fullmatch(converted):
                raise ValueError(raw)
            return converted
        except (ValueError, TypeError, OverflowError, msgspec.ValidationError):
            self.add_error(path, accepted_values(key, unit), raw)
            return None

    def rows(self, key: Key, raw: object, path: str) -> list:
        """Read a list of tables."""
        key_type = key.type
        if not isinstance(raw, list) or len(raw) < (key_type.min_length or 0):
            self.add_error(path, "a list with a row at least" if key_type.min_length else "a list", raw)
            return []
        if key_type.max_length is not None and len(raw) > key_type.max_length:
            self.add_error(path, f"at most {key_type.max_length} rows", raw)
            return []
        return [self.table(key_type.item_type.cls, row, f"{path}[{index}]") for index, row in enumerate(raw)]

    def enum_table(self, key_type: inspect.DictType, raw: object, path: str) -> dict:
        """Read a table with arbitrary keys whose values are all of one enum."""
        if not isinstance(raw, dict):
            self.add_error(path, "a table", raw)
            return {}
        found = {}
        for name, value in raw.items():
            try:
                found[name] = msgspec.convert(value, key_type.value_type.cls)
            except msgspec.ValidationError:
                self.add_error(
                    f"{path}.{name}", ", ".join(each.value for each in key_type.value_type.cls), value
                )
        return found


@cache
def all_keys(root: type[msgspec.Struct] = Installation) -> list[tuple[str, str]]:
    """Return the path of its table and the name of every key of the TOML form."""
    found: list[tuple[str, str]] = []

    def walk(table_type: type[msgspec.Struct], path: str) -> None:
        for name, key in keys_of(table_type).items():
            row = getattr(key.type, "item_type", None)
            if isinstance(key.type, inspect.StructType):
                walk(key.type.cls, name)
            elif isinstance(row, inspect.StructType):
                walk(row.cls, f"{name}[]")
            elif key.metadata.get("own", True) is not False:
                found.append((path, name))

    walk(root, "")
    return found
