"""Configuration files: found, bounded, parsed, read into the model, with every fault and its line."""

from __future__ import annotations

import json
import re
import os
import stat
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from limelatch.configuration.checks import doubts, conflicts
from limelatch.configuration.errors import ConfigurationError, ConfigError
from limelatch.configuration.model import Installation
from limelatch.configuration.platform_form import PLATFORM_UNITS, read_platform
from limelatch.configuration.reading import TOML_UNITS, Reader, Unit

MAX_JSON_BYTES, MAX_TOML_BYTES = 8_000_000, 500_000  # bytes of a file; the parsers' time grows with it
LINES_MOST = 500_000  # bytes of a file whose lines are looked up
QUOTED_ADDRESS = re.compile(r'"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}"')  # a list of peers has its dots in these
KEY_MOST = 2000  # dots in a key of TOML, whose parser goes as deep
VARIABLES = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "state": "RELAY_STATE",
    "operator": "RELAY_OPERATOR",
}


class Form(Enum):
    """How a configuration is written."""

    TOML = "toml"
    PLATFORM = "json"


UNITS_OF: dict[Form, Mapping[str, Unit]] = {Form.TOML: TOML_UNITS, Form.PLATFORM: PLATFORM_UNITS}


@dataclass(frozen=True)
class LoadedFile:
    """A file that was read: its form, its text, its model, and the reader that knows which keys it tells."""

    path: str
    form: Form
    text: str
    installation: Installation
    reader: Reader

    @property
    def given(self) -> set[str]:
        """The paths of the keys that it tells; all others have their defaults."""
        return self.reader.given

    def doubts(self) -> list[ConfigError]:
        """What is taken as it is, though it can't be right."""
        found = [replace(each, path=self.reader.where(each.path)) for each in doubts(self.installation)]
        return with_lines(found, self.text, self.form)


def form_of(path: str) -> Form:
    """By the file's name: `.toml` is people's own form, any other the platform's JSON."""
    return Form.TOML if path.endswith(".toml") else Form.PLATFORM


def read_bytes(path: str, most: int) -> bytes:
    """A whole plain file of at most `most` bytes; ConfigurationError says why not."""
    try:
        with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
            status = os.fstat(file.fileno())
            if not stat.S_ISREG(status.st_mode):
                raise ConfigurationError([ConfigError(path, "a file is wanted, and this is none")])
            if status.st_size > most:
                raise ConfigurationError(
                    [ConfigError(path, f"a file of {most} bytes at most is wanted, not of {status.st_size}")]
                )
            raw = file.read(most + 1)
    except (OSError, ValueError) as error:
        raise ConfigurationError(
            [ConfigError(path, getattr(error, "strerror", None) or str(error))]
        ) from None
    if not raw.strip():
        raise ConfigurationError([ConfigError(path, "the file is empty")])
    return raw


def decode(path: str, raw: bytes) -> str:
    try:
        return raw.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        raise ConfigurationError([ConfigError(path, f"byte {error.start} is not UTF-8", line)]) from None


def parse_json(path: str, text: str) -> object:
    """JSON; a key that stands twice in one object, and a number that is none, are faults."""
    twice: list[str] = []

    def pairs(found: list[tuple[str, object]]) -> dict:
        table = dict(found)
        if len(table) < len(found):
            seen: set[str] = set()
            twice.extend(name for name, _ in found if name in seen or seen.add(name))
        return table

    def constant(word: str) -> None:
        raise ValueError(f"{word} is no number")

    try:
        raw = json.loads(text, object_pairs_hook=pairs, parse_constant=constant)
    except json.JSONDecodeError as error:
        raise ConfigurationError([ConfigError(path, f"no JSON: {error.msg}", error.lineno)]) from None
    except RecursionError:
        raise ConfigurationError([ConfigError(path, "nested too deeply")]) from None
    except ValueError as error:
        raise ConfigurationError([ConfigError(path, f"no JSON: {error}")]) from None
    if twice:
        raise ConfigurationError(
            [
                ConfigError(path, f"the key {name!r} stands twice in one object")
                for name in dict.fromkeys(twice)
            ]
        )
    return raw


def parse_toml(path: str, text: str) -> object:
    if any(QUOTED_ADDRESS.sub("", line).count(".") > KEY_MOST for line in text.split("\n")):
        raise ConfigurationError([ConfigError(path, "nested too deeply")])
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([ConfigError(path, f"no TOML: {error}")]) from None
    except RecursionError:
        raise ConfigurationError([ConfigError(path, "nested too deeply")]) from None
    except ValueError as error:  # a number with too many digits, a date that is none
        raise ConfigurationError([ConfigError(path, f"no TOML: {error}")]) from None


def load(path: str, form: Form | None = None, environment: Mapping[str, str] | None = None) -> LoadedFile:
    """Read a file in its form; ConfigurationError tells every fault at once.

    For the platform's JSON, `environment` fills in what the file leaves out."""
    form = form or form_of(path)
    text = decode(path, read_bytes(path, MAX_TOML_BYTES if form is Form.TOML else MAX_JSON_BYTES))
    if form is Form.TOML:
        reader = Reader(TOML_UNITS, strict=True)
        installation = reader.read(parse_toml(path, text))
        errors = reader.errors
    else:
        raw = parse_json(path, text)
        if isinstance(raw, dict):
            given = {
                key: (environment or {})[word]
                for key, word in VARIABLES.items()
                if word in (environment or {})
            }
            raw = given | {key: value for key, value in raw.items() if value is not None}
        installation, errors, reader = read_platform(raw)
    if form is Form.TOML and installation is not None:  # the platform's is taken as it is
        errors = errors + conflicts(installation, own=True) + doubts(installation)
    if errors:
        raise ConfigurationError(errors, text)
    return LoadedFile(path, form, text, installation, reader)


def with_lines(errors: list[ConfigError], text: str, form: Form) -> list[ConfigError]:
    """The faults with the lines where they stand, if the library that finds them is at hand."""
    if not errors or not 0 < len(text) <= LINES_MOST:
        return errors
    try:
        from limelatch.configuration.line_numbers import lines_of
    except ImportError:  # the platform's build does without it
        return errors
    try:
        lines = lines_of(text, form is Form.TOML)
    except RecursionError:
        return errors
    found = [each if each.line else replace(each, line=line_for(each.path, lines)) for each in errors]
    return sorted(found, key=lambda each: each.line)


def error_line(path: str, fault: ConfigError) -> str:
    """A fault as compilers print theirs: file, line, key, what is wanted."""
    place = f"{path}:{fault.line}" if fault.line else path
    return f"{place}: {fault.wanted}" if fault.path == path else f"{place}: {fault.path}: {fault.wanted}"


def error_lines(error: ConfigurationError, path: str, form: Form) -> list[str]:
    """All faults of a file, a line each, by their lines."""
    return [error_line(path, fault) for fault in with_lines(error.errors, error.text, form)]


def line_for(path: str, lines: Mapping[str, int]) -> int:
    """The line of the key, or of the nearest table or list that it is missing from; 0 for none."""
    while path and path not in lines:
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return lines.get(path, 0)


def configured_path(environment: Mapping[str, str]) -> str:
    """The file that $RELAY_CONFIG names."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError([ConfigError("RELAY_CONFIG", "the path of a file is wanted")])
    return path
