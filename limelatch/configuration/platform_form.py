"""Converts between the platform's JSON and the model: keys, enum values and units.

The path of each key in that JSON is given next to the key in `model`. A key that is absent or null gets its
default, an unknown key is ignored, and an unknown enum value means the safest choice.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec import inspect

from limelatch.configuration.checks import conflicts
from limelatch.configuration.errors import ConfigError, invalid_value
from limelatch.configuration.model import Installation, ListDelivery, RateQuality, RepeatScope, RevenueDecay
from limelatch.configuration.reading import ADDRESS, Key, Reader, Unit, keys_of
from limelatch.configuration.units import MEGABYTE, to_units
from limelatch.interface import MS, Effect

MAX_NUMBER = 1e15  # any unit
EFFECTS = {"pure": Effect.RESENDABLE, "token": Effect.REFERENCED, "side_effect": Effect.ONCE_ONLY}
# By path of a key in the model: its enum values in the platform's JSON, and the meaning of any other value;
# None: any other value is an error.
ENUM_VALUES = {
    "products.effect": ({name: effect.value for name, effect in EFFECTS.items()}, Effect.ONCE_ONLY.value),
    "products.repeat_known": (
        {"all": RepeatScope.DESTINATION.value, "zone": RepeatScope.FLOOR.value},
        RepeatScope.FLOOR.value,
    ),
    "catalog.rates": (
        {"nominal": RateQuality.EXACT.value, "rough": RateQuality.ROUGH.value, "off": RateQuality.NONE.value},
        RateQuality.NONE.value,
    ),
    "catalog.news": ({"automatic": ListDelivery.PUSHED.value, "subscribe": ListDelivery.ASKED.value}, None),
    "revenue.falls": (
        {"halves": RevenueDecay.HALVES.value, "line": RevenueDecay.LINE.value},
        RevenueDecay.LINE.value,
    ),
}
RETRY_AFTER_LIMIT = "limits.advice"
RETRY_AFTER_FLAG = "settings.limits.retryAfter"
COLUMN_TABLES = ("kinds", "floors")  # each of their keys is a list of its own; equal indexes make a row
ROW_TABLES = ("products", "customers")  # a list of objects
NAME_KEY = "name"


def number(value: object) -> float:
    """Return the value if it is a number that is not negative; raises ValueError, also for a bool or NaN."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < MAX_NUMBER:
        raise ValueError(value)
    return value


PLATFORM_UNITS = {
    "span": Unit(
        lambda ms: to_units(number(ms)),
        "a number of milliseconds that is not negative",
        lambda ticks: ticks / MS,
    ),
    "size": Unit(
        lambda mb: round(number(mb) * MEGABYTE),
        "a number of megabytes that is not negative",
        lambda count: count / MEGABYTE,
    ),
    "count": Unit(lambda value: int(number(value)), "a number that is not negative", lambda value: value),
    "address": ADDRESS,
}


def readable(key: Key, value: object) -> bool:
    """Tell whether the platform's value is valid for the key."""
    try:
        msgspec.convert(
            PLATFORM_UNITS[key.unit].read(value) if key.unit in PLATFORM_UNITS else value, key.annotated_type
        )
    except (ValueError, TypeError, OverflowError, msgspec.ValidationError):
        return False
    return True


class Translation:
    """The platform's object, rearranged into the tables of the model.

    `translated` is the result, still with the platform's units; `source_path` maps the path of a key in the
    model to its path in the platform's object. What can't be rearranged is in `errors`.
    """

    def __init__(self, raw: object) -> None:
        self.raw, self.errors, self.source_paths = raw, [], {}
        # Values that are not understood and were replaced by the safest choice.
        self.substituted: list[ConfigError] = []
        self.broken: set[str] = set()  # paths where an object is expected and something else was found
        self.translated = self._translate() if isinstance(raw, dict) else raw

    def source_path(self, path: str) -> str:
        """Return the path in the platform's object of a key of the model."""
        return self.source_paths.get(path, path)

    def get(self, source: str) -> object:
        """Return the value at a dotted path, None if it is absent.

        Anything but an object on the way to it is an error.
        """
        value, path = self.raw, ""
        for name in source.split("."):
            if not isinstance(value, dict):
                if path not in self.broken:
                    self.broken.add(path)
                    self.errors.append(invalid_value(path, "an object", value))
                return None
            value, path = value.get(name), f"{path}.{name}" if path else name
            if value is None:
                return None
        return value

    def _list_at(self, source: str) -> list | None:
        """Return the list at a dotted path, None if it is absent; anything else is an error."""
        found = self.get(source)
        if found is not None and not isinstance(found, list):
            self.errors.append(invalid_value(source, "a list", found))
            return None
        return found

    def _translate(self) -> dict:
        translated: dict[str, object] = {}
        for name, key in keys_of(Installation).items():
            if name in ROW_TABLES:
                rows = self._rows(name, key)
                if rows is not None:
                    translated[name] = rows
            elif name in COLUMN_TABLES:
                rows = self._column_table(name, key)
                if rows is not None:
                    translated[name] = rows
            elif isinstance(key.type, inspect.StructType):
                translated[name] = self._table(name, key)
            else:
                self.source_paths[name] = source = key.metadata["platform"]
                if (value := self.get(source)) is not None:
                    translated[name] = value
        return translated

    def _table(self, table: str, key: Key) -> dict:
        found = {}
        for name, each in keys_of(key.type.cls).items():
            path = f"{table}.{name}"
            self.source_paths[path] = source = each.metadata["platform"]
            value = self._model_value(path, source, self.get(source))
            if value is not None:
                found[name] = value
        if table == "limits":
            self._apply_retry_after_flag(found)
        elif table == "relay" and found.get("relays") == 0:
            del found["relays"]  # a relay counts itself: 0 becomes the default of 1
            self._substitute(self.source_paths["relay.relays"], "a number over 0", 0)
        elif table == "membership" and found.get("on") is not True:
            # The platform lists peers for every relay. That alone does not turn membership on, and a wrong
            # value must not keep a relay without membership from starting.
            keys = keys_of(key.type.cls)
            found = {name: value for name, value in found.items() if readable(keys[name], value)}
        elif table == "log" and isinstance(found.get("level"), str):
            found["level"] = found["level"].lower()
        return found

    def _apply_retry_after_flag(self, limits: dict) -> None:
        """Drop the limit of retry delays unless the platform allows relays to send them to clients."""
        flag = self.get(RETRY_AFTER_FLAG)
        if flag is not None and not isinstance(flag, bool):
            self.errors.append(invalid_value(RETRY_AFTER_FLAG, "true or false", flag))
        elif flag is None:
            limits.pop("advice", None)
        elif not flag and "advice" in limits:
            limits["advice"] = 0

    def _model_value(self, path: str, source: str, value: object) -> object:
        """Convert the platform's enum value of a key to the model's; return other values unchanged."""
        if path not in ENUM_VALUES or not isinstance(value, str):
            return value
        names, safest = ENUM_VALUES[path]
        if value not in names and safest is not None:
            self._substitute(source, " or ".join(names), value)
            return safest
        return names.get(value, value)

    def _substitute(self, source: str, expected: str, value: object) -> None:
        """Record that a value is not understood and is replaced by the safest choice."""
        self.substituted.append(invalid_value(source, expected, value))

    def _rows(self, table: str, key: Key) -> list | None:
        """Translate a list of objects; a value that is no list is left for the reader to report."""
        source = key.metadata["platform"]
        self.source_paths[table] = source
        rows = self.get(source)
        if not isinstance(rows, list):
            return rows
        found = []
        for index, row in enumerate(rows):
            if row is not None and not isinstance(row, dict):
                self.source_paths[f"{table}[{index}]"] = f"{source}[{index}]"
                found.append(row)
                continue
            found.append(translated := {NAME_KEY: ""})
            for name, each in keys_of(key.type.item_type.cls).items():
                source_name = each.metadata["platform"]
                source_path = f"{source}[{index}].{source_name}"
                self.source_paths[f"{table}[{index}].{name}"] = source_path
                value = self._model_value(f"{table}.{name}", source_path, (row or {}).get(source_name))
                if value is None:
                    continue
                if table == "products" or name == NAME_KEY or is_share(value):
                    translated[name] = value
                else:
                    self._substitute(source_path, "a number from 0 to 1", value)
        return found

    def _column_table(self, table: str, key: Key) -> list[dict] | None:
        """Combine the lists of a table's columns to rows; where a list is too short, rows keep defaults.

        None if there is no list at all.
        """
        columns = keys_of(key.type.item_type.cls)
        sources = {name: each.metadata["platform"] for name, each in columns.items()}
        self.source_paths[table] = sources[NAME_KEY]
        lists = {name: self._list_at(source) for name, source in sources.items()}
        if all(values is None for values in lists.values()):
            return None
        rows: list[dict] = [{} for _ in range(max(len(values or ()) for values in lists.values()))]
        for name, source in sources.items():
            for index, row in enumerate(rows):
                source_path = f"{source}[{index}]"
                self.source_paths[f"{table}[{index}].{name}"] = source_path
                values = lists[name] or ()
                if index >= len(values):
                    continue
                if not isinstance(columns[name].type, inspect.BoolType) or isinstance(values[index], bool):
                    row[name] = values[index]
                elif values[index] is not None:
                    self._substitute(source_path, "true or false", values[index])
        return rows


def is_share(value: object) -> bool:
    """Tell whether the value is a number from 0 to 1."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= 1


def read_platform(raw: object) -> tuple[Installation | None, list[ConfigError], Reader]:
    """Read the platform's object.

    Returns the model, None if there are errors; the errors; the reader, which knows the keys that are set.
    """
    translation = Translation(raw)
    reader = Reader(
        PLATFORM_UNITS,
        strict=False,
        where=translation.source_path,
        errors=translation.errors,
        substituted=translation.substituted,
    )
    found = reader.read(translation.translated)
    for each in conflicts(found, is_toml=False) if found is not None else ():
        found = None
        reader.errors.append(ConfigError(translation.source_path(each.path), each.message))
    broken = tuple(f"{path}." for path in translation.broken)  # already reported: no object there
    return found, [each for each in reader.errors if not broken or not each.path.startswith(broken)], reader


def put(raw: dict, path: str, value: object) -> None:
    """Set the value at a dotted path, and add the objects on the way to it."""
    *tables, last = path.split(".")
    for name in tables:
        raw = raw.setdefault(name, {})
    raw[last] = value


def platform_value(path: str, key: Key, value: object) -> object:
    """Convert a value to the platform's form."""
    if path in ENUM_VALUES:
        return next(name for name, model in ENUM_VALUES[path][0].items() if model == value.value)
    if key.unit in PLATFORM_UNITS and key.unit != "address":
        return PLATFORM_UNITS[key.unit].write(value)
    if isinstance(value, dict):
        return {name: getattr(each, "value", each) for name, each in value.items()}
    return getattr(value, "value", value)


def write_platform(installation: Installation) -> dict:
    """Write the model as the platform's object, with every key."""
    raw: dict = {}
    for path, key, value in tables_of(installation):
        if path in ROW_TABLES:
            rows = [
                {
                    each.metadata["platform"]: platform_value(f"{path}.{name}", each, getattr(row, name))
                    for name, each in keys_of(type(row)).items()
                }
                for row in value
            ]
            put(raw, key.metadata["platform"], rows)
        elif path in COLUMN_TABLES:
            for name, each in keys_of(key.type.item_type.cls).items():
                put(raw, each.metadata["platform"], [getattr(row, name) for row in value])
        elif value not in ("", {}):
            put(raw, key.metadata["platform"], platform_value(path, key, value))
    put(raw, RETRY_AFTER_FLAG, installation.limits.advice > 0)
    return raw


def tables_of(installation: Installation) -> Iterator[tuple[str, Key, object]]:
    """Yield path, description and value of every key outside of rows, and of every list of rows."""
    for name, key in keys_of(Installation).items():
        value = getattr(installation, name)
        if isinstance(key.type, inspect.StructType):
            for column, each in keys_of(key.type.cls).items():
                yield f"{name}.{column}", each, getattr(value, column)
        else:
            yield name, key, value
