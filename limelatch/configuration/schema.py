"""Makes the JSON Schemas of both configuration forms from the model."""

from __future__ import annotations

import msgspec
from msgspec import inspect

from limelatch.configuration.model import FULL_SEED, Installation
from limelatch.configuration.platform_form import (
    COLUMN_TABLES,
    ENUM_VALUES,
    PLATFORM_UNITS,
    RETRY_AFTER_FLAG,
    ROW_TABLES,
    platform_value,
)
from limelatch.configuration.reading import Key, keys_of
from limelatch.configuration.toml_form import toml_value
from limelatch.configuration.units import SIZE_PATTERN, SPAN_PATTERN

DIALECT = "https://json-schema.org/draft/2020-12/schema"
ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
TOML_PATTERNS = {"span": SPAN_PATTERN, "size": SIZE_PATTERN, "address": ADDRESS_PATTERN}


def schema_of(form: str) -> dict:
    """Return the schema of the form `toml` or `json`."""
    tables = toml_table(Installation) if form == "toml" else platform_object()
    return {"$schema": DIALECT, "title": f"limelatch, {form}"} | tables


def type_schema(key: Key) -> dict:
    """Return the schema of a key's type, without description and default."""
    found = msgspec.json.schema(key.annotated_type)
    while "$ref" in found:  # an enumeration
        found = {
            name: each
            for name, each in found["$defs"][found["$ref"].rpartition("/")[2]].items()
            if name != "title"
        }
    return {name: each for name, each in found.items() if name not in ("$defs", "default")}


def toml_key(key: Key) -> dict:
    """Return the schema of a key in TOML."""
    found = type_schema(key) if not isinstance(key.type, inspect.DictType) else {"type": "object"}
    if key.unit in TOML_PATTERNS:
        found = {"type": "string", "pattern": TOML_PATTERNS[key.unit]}
    if key.metadata.get("form") is FULL_SEED:
        found["pattern"] = f"^({FULL_SEED.pattern})?$"
    if key.description:
        found["description"] = key.description
    if not key.required:
        found["default"] = toml_value(key, key.default)
    return found


def toml_table(table: type[msgspec.Struct]) -> dict:
    """Return the schema of a table in TOML."""
    properties, required = {}, []
    for name, key in keys_of(table).items():
        row = getattr(key.type, "item_type", None)
        if key.metadata.get("own", True) is False:
            continue
        if isinstance(key.type, inspect.StructType):
            properties[name] = toml_table(key.type.cls)
        elif isinstance(row, inspect.StructType):
            properties[name] = {"type": "array", "items": toml_table(row.cls)}
            if key.type.min_length:
                properties[name]["minItems"] = key.type.min_length
        else:
            properties[name] = toml_key(key)
        if key.required:
            required.append(name)
    found = {"type": "object", "properties": properties, "additionalProperties": False}
    if table.__doc__:
        found["description"] = table.__doc__.split("\n")[0]
    return found | ({"required": required} if required else {})


def platform_key(path: str, key: Key) -> dict:
    """Return the schema of a key in the platform's JSON; `path` is its path in the model."""
    found = (
        {"type": "number", "minimum": 0}
        if key.unit in PLATFORM_UNITS and key.unit != "address"
        else type_schema(key)
    )
    if key.unit == "address":
        found = {"type": "string", "pattern": ADDRESS_PATTERN}
    if path in ENUM_VALUES:
        found = {"type": "string", "examples": list(ENUM_VALUES[path][0])}
    if key.description:
        found["description"] = key.description
    if not key.required and key.default not in ("", {}):
        found["default"] = platform_value(path, key, key.default)
    return found


def platform_object() -> dict:
    """Return the schema of the platform's object; it allows other keys, which relays ignore."""
    top: dict = {"type": "object", "properties": {}}

    def put(path: str, schema: dict, required: bool = False) -> None:
        *tables, last = path.split(".")
        parent = top
        for name in tables:
            parent = parent["properties"].setdefault(name, {"type": "object", "properties": {}})
        parent["properties"][last] = schema
        if required:
            parent.setdefault("required", []).append(last)

    for name, key in keys_of(Installation).items():
        if name in ROW_TABLES:
            columns = {
                each.metadata["platform"]: platform_key(f"{name}.{column}", each)
                for column, each in keys_of(key.type.item_type.cls).items()
            }
            rows = {"type": "array", "items": {"type": "object", "properties": columns}}
            put(
                key.metadata["platform"],
                rows | ({"minItems": 1} if key.type.min_length else {}),
                key.required,
            )
        elif name in COLUMN_TABLES:
            for each in keys_of(key.type.item_type.cls).values():
                items = {"type": "number"} if each.unit == "count" else type_schema(each)
                put(
                    each.metadata["platform"],
                    {"type": "array", "items": items, "description": each.description},
                )
        elif isinstance(key.type, inspect.StructType):
            for column, each in keys_of(key.type.cls).items():
                put(each.metadata["platform"], platform_key(f"{name}.{column}", each), each.required)
        else:
            put(key.metadata["platform"], {"type": "object", "description": key.description})
    put(
        RETRY_AFTER_FLAG,
        {"type": "boolean", "default": False, "description": "whether nacks give clients a retry delay"},
    )
    return top
