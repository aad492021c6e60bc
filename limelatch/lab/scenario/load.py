"""Scenario files: found by path or by name in the library, read, checked as a whole."""

from __future__ import annotations

from collections.abc import Iterator
from importlib import resources

from limelatch.configuration import ConfigurationError, ConfigError
from limelatch.configuration.files import MAX_TOML_BYTES, decode, parse_toml, read_bytes
from limelatch.configuration.reading import TOML_UNITS, Reader
from limelatch.lab.scenario.check import doubts, faults_of
from limelatch.lab.scenario.model import Scenario

LIBRARY = "limelatch.lab.scenario.library"
LIKE_MOST = 5  # scenarios that are like each other, one after another


def library() -> Iterator[tuple[str, str]]:
    """The name and the text of each scenario that comes with limelatch, by name."""
    for entry in sorted(resources.files(LIBRARY).iterdir(), key=lambda each: each.name):
        if entry.name.endswith(".toml"):
            yield entry.name.removesuffix(".toml"), entry.read_text(encoding="utf-8")


def text_of(path_or_name: str) -> tuple[str, str]:
    """What to call the scenario in faults, and its text."""
    for name, text in library():
        if name == path_or_name:
            return f"{name}.toml", text
    if "/" not in path_or_name and not path_or_name.endswith(".toml"):
        names = ", ".join(name for name, _ in library())
        raise ConfigurationError([ConfigError(path_or_name, f"no such scenario; the library has {names}")])
    return path_or_name, decode(path_or_name, read_bytes(path_or_name, MAX_TOML_BYTES))


def merged(base: dict, over: dict) -> dict:
    """What is not told in `over` is as in `base`; tables are merged, lists taken whole."""
    found = dict(base)
    for name, value in over.items():
        both = isinstance(value, dict) and isinstance(found.get(name), dict)
        found[name] = merged(found[name], value) if both else value
    return found


def raw_of(path: str, text: str, depth: int = 0) -> object:
    """A scenario's tables, with those of the scenario that it is like."""
    raw = parse_toml(path, text)
    head = raw.get("scenario") if isinstance(raw, dict) else None
    like = head.get("like") if isinstance(head, dict) else None
    if not isinstance(like, str) or not like:
        return raw
    if depth >= LIKE_MOST:
        raise ConfigurationError(
            [ConfigError("scenario.like", "scenarios are like each other in a circle")], text
        )
    return merged(raw_of(*text_of(like), depth + 1), raw)


def parse(path: str, text: str) -> Scenario:
    """The scenario; ConfigurationError tells all that is wrong with it."""
    reader = Reader(TOML_UNITS, strict=True, root=Scenario)
    found = reader.read(raw_of(path, text))
    faults = reader.errors if found is None else faults_of(found)
    if faults:
        raise ConfigurationError(faults, text)
    return found


def load(path_or_name: str) -> Scenario:
    return parse(*text_of(path_or_name))


__all__ = ["doubts", "library", "load", "parse", "text_of"]
