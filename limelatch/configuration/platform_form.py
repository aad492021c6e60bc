"""The platform's JSON: its keys, words and units, and the way between them and the model.

Where each key stands in that JSON is told beside it in `model`. A key that is absent or null gets its
default, an unknown one is passed over, and a word that is not known means the safest thing.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec import inspect

from limelatch.configuration.checks import conflicts
from limelatch.configuration.errors import ConfigError, wrong
from limelatch.configuration.model import RevenueDecay, Installation, RepeatScope, ListDelivery, RateQuality
from limelatch.configuration.reading import ADDRESS, Key, Reader, Unit, keys_of
from limelatch.configuration.units import MEGABYTE, to_units
from limelatch.interface import MS, Effect

NUMBER_MOST = 1e15
EFFECTS = {"pure": Effect.RESENDABLE, "token": Effect.REFERENCED, "side_effect": Effect.ONCE_ONLY}
# By key of the model: the platform's words, and what any other word means; None: it is a fault.
WORDS = {
    "products.effect": ({word: effect.value for word, effect in EFFECTS.items()}, Effect.ONCE_ONLY.value),
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
ADVICE, ADVICE_FLAG = "limits.advice", "settings.limits.retryAfter"
BESIDE = ("kinds", "floors")  # whose keys are lists that stand beside each other
ROWS = ("products", "customers")
NAMED = "name"


def number(value: object) -> float:
    """A number that is not negative; ValueError for any other, a truth value or NaN too."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < NUMBER_MOST:
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
    """Whether a value of the platform's can be a key's."""
    try:
        msgspec.convert(
            PLATFORM_UNITS[key.unit].read(value) if key.unit in PLATFORM_UNITS else value, key.annotated_type
        )
    except (ValueError, TypeError, OverflowError, msgspec.ValidationError):
        return False
    return True


class Translation:
    """The platform's object in the model's shape; `place` tells where a key of the model stands in it."""

    def __init__(self, raw: object) -> None:
        self.raw, self.errors, self.places = raw, [], {}
        self.broken: set[str] = set()
        self.own = self._translate() if isinstance(raw, dict) else raw

    def place(self, path: str) -> str:
        return self.places.get(path, path)

    def get(self, place: str) -> object:
        """The value at a dotted path; None where it is absent. What is no object on the way is a fault."""
        at, path = self.raw, ""
        for name in place.split("."):
            if not isinstance(at, dict):
                if path not in self.broken:
                    self.broken.add(path)
                    self.errors.append(wrong(path, "an object", at))
                return None
            at, path = at.get(name), f"{path}.{name}" if path else name
            if at is None:
                return None
        return at

    def _listed(self, place: str) -> list:
        found = self.get(place)
        if found is not None and not isinstance(found, list):
            self.errors.append(wrong(place, "a list", found))
            return []
        return found or []

    def _translate(self) -> dict:
        own: dict[str, object] = {}
        for name, key in keys_of(Installation).items():
            if name in ROWS:
                rows = self._rows(name, key)
                if rows is not None:
                    own[name] = rows
            elif name in BESIDE:
                own[name] = self._beside(name, key)
            elif isinstance(key.type, inspect.StructType):
                own[name] = self._table(name, key)
            else:
                self.places[name] = place = key.metadata["platform"]
                if (value := self.get(place)) is not None:
                    own[name] = value
        return own

    def _table(self, table: str, key: Key) -> dict:
        found = {}
        for name, each in keys_of(key.type.cls).items():
            path = f"{table}.{name}"
            self.places[path] = place = each.metadata["platform"]
            value = said(path, self.get(place))
            if value is not None:
                found[name] = value
        if table == "limits":
            self._advice(found)
        elif table == "relay" and found.get("relays") == 0:
            del found["relays"]  # it counts itself
        elif table == "membership" and found.get("on") is not True:
            # The platform names every relay's peers: that alone turns nothing on, and keeps no relay down.
            keys = keys_of(key.type.cls)
            found = {name: value for name, value in found.items() if readable(keys[name], value)}
        elif table == "log" and isinstance(found.get("level"), str):
            found["level"] = found["level"].lower()
        return found

    def _advice(self, limits: dict) -> None:
        """Clients are told when to come again only where the platform says so."""
        given = self.get(ADVICE_FLAG)
        if given is not None and not isinstance(given, bool):
            self.errors.append(wrong(ADVICE_FLAG, "true or false", given))
        elif not given:
            limits.pop("advice", None)

    def _rows(self, table: str, key: Key) -> list | None:
        place = key.metadata["platform"]
        self.places[table] = place
        rows = self.get(place)
        if not isinstance(rows, list):
            return rows
        found = []
        for at, row in enumerate(rows):
            if row is not None and not isinstance(row, dict):
                self.places[f"{table}[{at}]"] = f"{place}[{at}]"
                found.append(row)
                continue
            found.append(one := {NAMED: ""})
            for name, each in keys_of(key.type.item_type.cls).items():
                path, word = f"{table}[{at}].{name}", each.metadata["platform"]
                self.places[path] = f"{place}[{at}].{word}"
                value = said(f"{table}.{name}", (row or {}).get(word))
                if value is not None and (table == "products" or name == NAMED or is_share(value)):
                    one[name] = value
        return found

    def _beside(self, table: str, key: Key) -> list[dict]:
        """Rows whose keys are lists, one beside the other; a list that is too short leaves defaults."""
        columns = keys_of(key.type.item_type.cls)
        lists = {name: self._listed(each.metadata["platform"]) for name, each in columns.items()}
        self.places[table] = columns[NAMED].metadata["platform"]
        rows: list[dict] = [{} for _ in range(max(len(each) for each in lists.values()))]
        for name, values in lists.items():
            for at, value in enumerate(values):
                self.places[f"{table}[{at}].{name}"] = f"{columns[name].metadata['platform']}[{at}]"
                if isinstance(columns[name].type, inspect.BoolType):
                    value = value is True
                rows[at][name] = value
        return rows


def said(path: str, value: object) -> object:
    """A value in the model's words."""
    if path in WORDS and isinstance(value, str):
        words, other = WORDS[path]
        return words.get(value, value if other is None else other)
    return value


def is_share(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= 1


def read_platform(raw: object) -> tuple[Installation | None, list[ConfigError], Reader]:
    """The model of the platform's object, all that is wrong with it, and the reader with what was told."""
    translation = Translation(raw)
    reader = Reader(PLATFORM_UNITS, strict=False, where=translation.place, errors=translation.errors)
    found = reader.read(translation.own)
    for each in conflicts(found, own=False) if found is not None else ():
        found = None
        reader.errors.append(ConfigError(translation.place(each.path), each.wanted))
    broken = tuple(f"{path}." for path in translation.broken)  # what is missing there is told already
    return found, [each for each in reader.errors if not broken or not each.path.startswith(broken)], reader


def put(raw: dict, place: str, value: object) -> None:
    *tables, last = place.split(".")
    for name in tables:
        raw = raw.setdefault(name, {})
    raw[last] = value


def platform_value(path: str, key: Key, value: object) -> object:
    """A value as the platform writes it."""
    if path in WORDS:
        return next(word for word, ours in WORDS[path][0].items() if ours == value.value)
    if key.unit in PLATFORM_UNITS and key.unit != "address":
        return PLATFORM_UNITS[key.unit].write(value)
    if isinstance(value, dict):
        return {name: getattr(each, "value", each) for name, each in value.items()}
    return getattr(value, "value", value)


def write_platform(installation: Installation) -> dict:
    """The model as the platform's object, its every key told."""
    raw: dict = {}
    for path, key, value in tables_of(installation):
        if path in ROWS:
            rows = [
                {
                    each.metadata["platform"]: platform_value(f"{path}.{name}", each, getattr(row, name))
                    for name, each in keys_of(type(row)).items()
                }
                for row in value
            ]
            put(raw, key.metadata["platform"], rows)
        elif path in BESIDE:
            for name, each in keys_of(key.type.item_type.cls).items():
                put(raw, each.metadata["platform"], [getattr(row, name) for row in value])
        elif value not in ("", {}):
            put(raw, key.metadata["platform"], platform_value(path, key, value))
    put(raw, ADVICE_FLAG, installation.limits.advice > 0)
    return raw


def tables_of(installation: Installation) -> Iterator[tuple[str, Key, object]]:
    """Every key that is not in a row, and every list of rows: its path, its description, its value."""
    for name, key in keys_of(Installation).items():
        value = getattr(installation, name)
        if isinstance(key.type, inspect.StructType):
            for inner, each in keys_of(key.type.cls).items():
                yield f"{name}.{inner}", each, getattr(value, inner)
        else:
            yield name, key, value
