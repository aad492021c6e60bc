"""Reads nested tables into the model and finds all that is wrong with them at once.

The model's types, bounds and defaults stand in `model`; msgspec checks each value against them. What differs
by form is how a value is written in its unit: see `Unit`.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cache

import msgspec
from msgspec import inspect

from limelatch.configuration.errors import ConfigError, wrong
from limelatch.configuration.model import Installation
from limelatch.configuration.units import read_size, read_span, write_size, write_span

NEAR = 0.6  # likeness of an unknown key to a known one that is worth naming


@dataclass(frozen=True)
class Unit:
    """How one form writes the values of a unit: `read` raises ValueError or TypeError on any other."""

    read: Callable[[object], object]
    wanted: str
    write: Callable[[int], object] = str


def read_address(word: object) -> str:
    """`127.0.0.1:6379`: an IPv4 address and a port; a name is not looked up."""
    host, colon, port = word.partition(":") if isinstance(word, str) else ("", "", "")
    if not colon or not (port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535):
        raise ValueError(word)
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
    """One key of a table, as the model describes it."""

    name: str
    type: inspect.Type  # without its notes
    annotated_type: type  # with them, as msgspec takes it
    metadata: Mapping[str, object]
    description: str
    default: object
    required: bool

    @property
    def unit(self) -> str:
        return self.metadata.get("unit", "")


@cache
def keys_of(table: type[msgspec.Struct]) -> dict[str, Key]:
    """The keys of a table by name, in the model's order."""
    kinds = {each.name: each.type for each in inspect.type_info(table).fields}
    keys = {}
    for each in msgspec.structs.fields(table):
        kind, notes, words = kinds[each.name], {}, ""
        if isinstance(kind, inspect.Metadata):
            notes, words = kind.extra or {}, (kind.extra_json_schema or {}).get("description", "")
            kind = kind.type
        default = None if each.required else each.default
        if each.default_factory is not msgspec.NODEFAULT:
            default = each.default_factory()
        keys[each.name] = Key(each.name, kind, each.type, notes, words, default, each.required)
    return keys


def accepted_values(key: Key, unit: Unit | None) -> str:
    """What a key takes, in words."""
    kind = key.type
    if isinstance(kind, inspect.EnumType):
        return " or ".join([", ".join(each.value for each in list(kind.cls)[:-1]), list(kind.cls)[-1].value])
    if isinstance(kind, inspect.BoolType):
        return "true or false"
    if isinstance(kind, inspect.DictType):
        return "a table"
    if isinstance(kind, inspect.ListType):
        if kind.min_length:
            return "a list with a row at least"
        return "a list of strings" if isinstance(kind.item_type, inspect.StrType) else "a list"
    if isinstance(kind, inspect.StrType):
        form = key.metadata.get("form")
        if unit is not None:
            return unit.wanted
        if kind.min_length:
            return "a string that is not empty"
        return "a string" if form is None else f"up to 16 hexadecimal digits ({form.pattern})"
    if key.unit in ("span", "size"):
        return unit.wanted
    whole = isinstance(kind, inspect.IntType)
    low, high = (f"{each:d}" if whole else f"{each:g}" for each in (kind.ge, kind.le))
    what = "a whole number" if whole else "a number"
    return f"{what} from {low} to {high}"


@dataclass
class Reader:
    """Reads one raw object into the model; what was told and what is wrong stays with it."""

    units: Mapping[str, Unit]
    strict: bool  # whether an unknown key is a fault
    where: Callable[[str], str] = str  # a key's path in the model, as the file has it
    root: type[msgspec.Struct] = Installation
    errors: list[ConfigError] = field(default_factory=list)
    given: set[str] = field(default_factory=set)

    def read(self, raw: object) -> msgspec.Struct | None:
        """The model, of the root's type; None where anything is wrong."""
        found = self.table(self.root, raw, "")
        return found if not self.errors else None

    def add_error(self, path: str, wanted: str, value: object) -> None:
        self.errors.append(wrong(self.where(path), wanted, value))

    def table(self, kind: type[msgspec.Struct], raw: object, path: str) -> msgspec.Struct | None:
        if not isinstance(raw, dict):
            self.add_error(path or "the configuration", "a table", raw)
            return None
        keys, values, count = keys_of(kind), {}, len(self.errors)
        if self.strict:
            for name in raw:
                if name not in keys or keys[name].metadata.get("own", True) is False:
                    self.unknown(kind, str(name), path)
        for name, key in keys.items():
            at = f"{path}.{name}" if path else name
            if name in raw:
                self.given.add(at)
                values[name] = self.value(key, raw[name], at)
            elif key.required and isinstance(key.type, inspect.StructType):
                values[name] = self.table(key.type.cls, {}, at)  # so that each key that is missing is named
            elif key.required:
                wanted = accepted_values(key, self.units.get(key.unit))
                self.errors.append(ConfigError(self.where(at), f"{wanted} is wanted; it is missing"))
        return kind(**values) if len(self.errors) == count else None

    def unknown(self, kind: type[msgspec.Struct], name: str, path: str) -> None:
        """A key that the model has not: name the nearest that it has, here or in another table."""
        from difflib import get_close_matches

        full = f"{path}.{name}" if path else name
        own = {each: f"{path}.{each}" if path else each for each in keys_of(kind)}
        elsewhere = {name: table for table, name in all_keys(self.root) if name not in own}
        near = get_close_matches(name, own, 1, NEAR)
        if near:
            hint = f"; did you mean {own[near[0]]}?"
        else:
            near = get_close_matches(name, elsewhere, 1, NEAR)
            hint = f"; did you mean {elsewhere[near[0]]}.{near[0]}?" if near else ""
        self.errors.append(ConfigError(self.where(full), f"no such key{hint}"))

    def value(self, key: Key, raw: object, path: str) -> object:
        kind = key.type
        if isinstance(kind, inspect.StructType):
            return self.table(kind.cls, raw, path)
        if isinstance(kind, inspect.ListType) and isinstance(kind.item_type, inspect.StructType):
            return self.rows(key, raw, path)
        if isinstance(kind, inspect.DictType) and not isinstance(kind.value_type, inspect.AnyType):
            return self.words(kind, raw, path)
        unit = self.units.get(key.unit)
        try:
            value = unit.read(raw) if unit else raw
            if isinstance(value, float) and not math.isfinite(value):
                raise ValueError(raw)
            found = msgspec.convert(value, key.annotated_type)
            if (form := key.metadata.get("form")) and found and not form.fullmatch(found):
                raise ValueError(raw)
            return found
        except (ValueError, TypeError, OverflowError, msgspec.ValidationError):
            self.add_error(path, accepted_values(key, unit), raw)
            return None

    def rows(self, key: Key, raw: object, path: str) -> list:
        kind = key.type
        if not isinstance(raw, list) or len(raw) < (kind.min_length or 0):
            self.add_error(path, "a list with a row at least" if kind.min_length else "a list", raw)
            return []
        if kind.max_length is not None and len(raw) > kind.max_length:
            self.add_error(path, f"at most {kind.max_length} rows", raw)
            return []
        return [self.table(kind.item_type.cls, row, f"{path}[{at}]") for at, row in enumerate(raw)]

    def words(self, kind: inspect.DictType, raw: object, path: str) -> dict:
        """A table whose keys are free and whose values are of one type."""
        if not isinstance(raw, dict):
            self.add_error(path, "a table", raw)
            return {}
        found = {}
        for name, value in raw.items():
            try:
                found[name] = msgspec.convert(value, kind.value_type.cls)
            except msgspec.ValidationError:
                self.add_error(f"{path}.{name}", ", ".join(each.value for each in kind.value_type.cls), value)
        return found


@cache
def all_keys(root: type[msgspec.Struct] = Installation) -> list[tuple[str, str]]:
    """Every key of a model in people's own form: the path of its table, and its name."""
    found: list[tuple[str, str]] = []

    def walk(kind: type[msgspec.Struct], path: str) -> None:
        for name, key in keys_of(kind).items():
            row = getattr(key.type, "item_type", None)
            if isinstance(key.type, inspect.StructType):
                walk(key.type.cls, name)
            elif isinstance(row, inspect.StructType):
                walk(row.cls, f"{name}[]")
            elif key.metadata.get("own", True) is not False:
                found.append((path, name))

    walk(root, "")
    return found
