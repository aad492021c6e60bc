"""Loads scenario files by path or by their name in the library, and validates them."""

from __future__ import annotations

from collections.abc import Iterator
from importlib import resources

from limelatch.configuration import ConfigurationError, ConfigError
from limelatch.configuration.files import MAX_TOML_BYTES, decode, parse_toml, read_bytes
from limelatch.configuration.reading import TOML_UNITS, Reader
from limelatch.lab.scenario.check import doubts, scenario_errors
from limelatch.lab.scenario.model import Scenario

LIBRARY = "limelatch.lab.scenario.library"
MAX_LIKE_DEPTH = 5  # longest chain of `scenario.like`


def library() -> Iterator[tuple[str, str]]:
    """The name and the TOML text of each bundled scenario, sorted by name."""
    for entry in sorted(resources.files(LIBRARY).iterdir(), key=lambda each: each.name):
        if entry.name.endswith(".toml"):
            yield entry.name.removesuffix(".toml"), entry.read_text(encoding="utf-8")


def text_of(path_or_name: str) -> tuple[str, str]:
    """The name of a scenario for error messages, and its TOML text.

    Raises ConfigurationError if the library has no such name or the file cannot be read."""
    for name, text in library():
        if name == path_or_name:
            return f"{name}.toml", text
    if "/" not in path_or_name and not path_or_name.endswith(".toml"):
        names = ", ".join(name for name, _ in library())
        raise ConfigurationError([ConfigError(path_or_name, f"no such scenario; the library has {names}")])
    return path_or_name, decode(path_or_name, read_bytes(path_or_name, MAX_TOML_BYTES))


def merge_tables(base: dict, overrides: dict) -> dict:
    """The tables of `base` overridden by those of `overrides`: tables are merged, lists replaced."""
    result = dict(base)
    for name, value in overrides.items():
        are_tables = isinstance(value, dict) and isinstance(result.get(name), dict)
        result[name] = merge_tables(result[name], value) if are_tables else value
    return result


def resolved_tables(path: str, text: str, depth: int = 0) -> object:
    """The tables of a scenario, merged onto those of the scenario that `scenario.like` names.

    Raises ConfigurationError for a chain that is too long."""
    raw = parse_toml(path, text)
    head = raw.get("scenario") if isinstance(raw, dict) else None
    like = head.get("like") if isinstance(head, dict) else None
    if not isinstance(like, str) or not like:
        return raw
    if depth >= MAX_LIKE_DEPTH:
        raise ConfigurationError(
            [ConfigError("scenario.like", "scenarios are like each other in a circle")], text
        )
    return merge_tables(resolved_tables(*text_of(like), depth + 1), raw)


def parse(path: str, text: str) -> Scenario:
    """Parse and validate a scenario. Raises ConfigurationError with all errors."""
    reader = Reader(TOML_UNITS, strict=True, root=Scenario)
    scenario = reader.read(resolved_tables(path, text))
    errors = reader.errors if scenario is None else scenario_errors(scenario)
    if errors:
        raise ConfigurationError(errors, text)
    return scenario


def load(path_or_name: str) -> Scenario:
    """Load a scenario by path or by name. Raises ConfigurationError."""
    return parse(*text_of(path_or_name))


__all__ = ["doubts", "library", "load", "parse", "text_of"]
