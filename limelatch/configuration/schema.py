"""JSON Schemas of both forms, from the model."""

from __future__ import annotations

import msgspec
from msgspec import inspect

from limelatch.configuration.model import FULL_SEED, Installation
from limelatch.configuration.toml_form import toml_value
from limelatch.configuration.platform_form import (
    ADVICE_FLAG,
    BESIDE,
    ROWS,
    PLATFORM_UNITS,
    WORDS,
    platform_value,
)
from limelatch.configuration.reading import Key, keys_of
from limelatch.configuration.units import SIZE_PATTERN, SPAN_PATTERN

DIALECT = "https://json-schema.org/draft/2020-12/schema"
ADDRESS_FORM = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
OWN_UNITS = {"span": SPAN_PATTERN, "size": SIZE_PATTERN, "address": ADDRESS_FORM}


def schema_of(form: str) -> dict:
    """The schema of `toml` or `json`."""
    tables = own_table(Installation) if form == "toml" else platform_object()
    return {"$schema": DIALECT, "title": f"limelatch, {form}"} | tables


def leaf(key: Key) -> dict:
    """A key's schema by its type alone."""
    found = msgspec.json.schema(key.annotated_type)
    while "$ref" in found:  # an enumeration
        found = {
            name: each
            for name, each in found["$defs"][found["$ref"].rpartition("/")[2]].items()
            if name != "title"
        }
    return {name: each for name, each in found.items() if name not in ("$defs", "default")}


def own_leaf(key: Key) -> dict:
    found = leaf(key) if not isinstance(key.type, inspect.DictType) else {"type": "object"}
    if key.unit in OWN_UNITS:
        found = {"type": "string", "pattern": OWN_UNITS[key.unit]}
    if key.metadata.get("form") is FULL_SEED:
        found["pattern"] = f"^({FULL_SEED.pattern})?$"
    if key.description:
        found["description"] = key.description
    if not key.required:
        found["default"] = toml_value(key, key.default)
    return found


def own_table(table: type[msgspec.Struct]) -> dict:
    properties, needed = {}, []
    for name, key in keys_of(table).items():
        row = getattr(key.type, "item_type", None)
        if key.metadata.get("own", True) is False:
            continue
        if isinstance(key.type, inspect.StructType):
            properties[name] = own_table(key.type.cls)
        elif isinstance(row, inspect.StructType):
            properties[name] = {"type": "array", "items": own_table(row.cls)}
            if key.type.min_length:
                properties[name]["minItems"] = key.type.min_length
        else:
            properties[name] = own_leaf(key)
        if key.required:
            needed.append(name)
    found = {"type": "object", "properties": properties, "additionalProperties": False}
    if table.__doc__:
        found["description"] = table.__doc__.split("\n")[0]
    return found | ({"required": needed} if needed else {})


def platform_leaf(path: str, key: Key) -> dict:
    found = (
        {"type": "number", "minimum": 0}
        if key.unit in PLATFORM_UNITS and key.unit != "address"
        else leaf(key)
    )
    if key.unit == "address":
        found = {"type": "string", "pattern": ADDRESS_FORM}
    if path in WORDS:
        found = {"type": "string", "examples": list(WORDS[path][0])}
    if key.description:
        found["description"] = key.description
    if not key.required and key.default not in ("", {}):
        found["default"] = platform_value(path, key, key.default)
    return found


def platform_object() -> dict:
    """The platform's one object; keys that are not named there are passed over, so others may stand in it."""
    top: dict = {"type": "object", "properties": {}}

    def put(place: str, schema: dict, needed: bool = False) -> None:
        *tables, last = place.split(".")
        at = top
        for name in tables:
            at = at["properties"].setdefault(name, {"type": "object", "properties": {}})
        at["properties"][last] = schema
        if needed:
            at.setdefault("required", []).append(last)

    for name, key in keys_of(Installation).items():
        if name in ROWS:
            columns = {
                each.metadata["platform"]: platform_leaf(f"{name}.{column}", each)
                for column, each in keys_of(key.type.item_type.cls).items()
            }
            rows = {"type": "array", "items": {"type": "object", "properties": columns}}
            put(
                key.metadata["platform"],
                rows | ({"minItems": 1} if key.type.min_length else {}),
                key.required,
            )
        elif name in BESIDE:
            for each in keys_of(key.type.item_type.cls).values():
                items = {"type": "number"} if each.unit == "count" else leaf(each)
                put(
                    each.metadata["platform"],
                    {"type": "array", "items": items, "description": each.description},
                )
        elif isinstance(key.type, inspect.StructType):
            for column, each in keys_of(key.type.cls).items():
                put(each.metadata["platform"], platform_leaf(f"{name}.{column}", each), each.required)
        else:
            put(key.metadata["platform"], {"type": "object", "description": key.description})
    put(
        ADVICE_FLAG,
        {"type": "boolean", "default": False, "description": "whether clients are told when to come again"},
    )
    return top
