"""Loads configuration files: size check, parsing, reading into the model, errors with their lines."""

from __future__ import annotations

import json
import os
import re
import stat
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from limelatch.configuration.checks import conflicts, inconsistencies
from limelatch.configuration.errors import ConfigError, ConfigurationError
from limelatch.configuration.model import Installation
from limelatch.configuration.platform_form import PLATFORM_UNITS, read_platform
from limelatch.configuration.reading import TOML_UNITS, Reader, Unit

# Sizes of a file. The time that the parsers take grows with them.
MAX_JSON_BYTES = 8_000_000
MAX_TOML_BYTES = 500_000
MAX_LOCATED_LENGTH = 500_000  # characters of a file whose errors get line numbers
QUOTED_ADDRESS = re.compile(r'"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}"')  # these dots don't nest tables
MAX_LINE_DOTS = 2000  # in a line of TOML: its parser recurses once for each dot of a key
# Keys of the platform's JSON and the environment variables that fill them in.
VARIABLES = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "state": "RELAY_STATE",
    "operator": "RELAY_OPERATOR",
}


class Form(Enum):
    """The format of a configuration file."""

    TOML = "toml"
    PLATFORM = "json"


UNITS_OF: dict[Form, Mapping[str, Unit]] = {Form.TOML: TOML_UNITS, Form.PLATFORM: PLATFORM_UNITS}


@dataclass(frozen=True)
class LoadedFile:
    """A configuration file that was read successfully; `reader` knows which keys the file sets."""

    path: str
    form: Form
    text: str
    installation: Installation
    reader: Reader
    filled_in: frozenset[str] = frozenset()  # keys of the platform's JSON that came from the environment

    @property
    def given(self) -> set[str]:
        """The paths of the keys that the file itself sets."""
        return {path for path in self.reader.given if self.reader.where(path) not in self.filled_in}

    def warnings(self) -> list[ConfigError]:
        """Return warnings: values that are inconsistent or not understood, but accepted at a start."""
        found = [
            replace(each, path=self.reader.where(each.path)) for each in inconsistencies(self.installation)
        ]
        return with_lines(self.reader.substituted + found, self.text, self.form)


def form_of(path: str) -> Form:
    """Return the form by the file's name: `.toml` is TOML, any other name is the platform's JSON."""
    return Form.TOML if path.endswith(".toml") else Form.PLATFORM


def read_bytes(path: str, max_bytes: int) -> bytes:
    """Read a regular file of at most `max_bytes` bytes.

    Raises ConfigurationError if it is no regular file, too large, empty or unreadable. It is opened without
    blocking, so that a pipe can't stall the relay.
    """
    try:
        with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
            status = os.fstat(file.fileno())
            if not stat.S_ISREG(status.st_mode):
                raise ConfigurationError([ConfigError(path, "not a regular file")])
            if status.st_size > max_bytes:
                raise ConfigurationError(
                    [ConfigError(path, f"expected a file of at most {max_bytes} bytes, got {status.st_size}")]
                )
            raw = file.read(max_bytes + 1)
    except (OSError, ValueError) as error:
        raise ConfigurationError(
            [ConfigError(path, getattr(error, "strerror", None) or str(error))]
        ) from None
    if not raw.strip():
        raise ConfigurationError([ConfigError(path, "the file is empty")])
    return raw


def decode(path: str, raw: bytes) -> str:
    """Decode a file as UTF-8, with or without a byte order mark; raises ConfigurationError."""
    try:
        return raw.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        raise ConfigurationError([ConfigError(path, f"byte {error.start} is not UTF-8", line)]) from None


def parse_json(path: str, text: str) -> object:
    """Parse JSON; raises ConfigurationError, also for a duplicate key in an object, NaN and Infinity."""
    duplicates: list[str] = []

    def make_object(pairs: list[tuple[str, object]]) -> dict:
        table = dict(pairs)
        if len(table) < len(pairs):
            seen: set[str] = set()
            duplicates.extend(name for name, _ in pairs if name in seen or seen.add(name))
        return table

    def reject_constant(word: str) -> None:
        raise ValueError(f"{word} is not a number in JSON")

    try:
        raw = json.loads(text, object_pairs_hook=make_object, parse_constant=reject_constant)
    except json.JSONDecodeError as error:
        raise ConfigurationError([ConfigError(path, f"invalid JSON: {error.msg}", error.lineno)]) from None
    except RecursionError:
        raise ConfigurationError([ConfigError(path, "nested too deeply")]) from None
    except ValueError as error:
        raise ConfigurationError([ConfigError(path, f"invalid JSON: {error}")]) from None
    if duplicates:
        raise ConfigurationError(
            [
                ConfigError(path, f"the key {name!r} occurs twice in one object")
                for name in dict.fromkeys(duplicates)
            ]
        )
    return raw


def parse_toml(path: str, text: str) -> object:
    """Parse TOML; raises ConfigurationError."""
    if any(QUOTED_ADDRESS.sub("", line).count(".") > MAX_LINE_DOTS for line in text.split("\n")):
        raise ConfigurationError([ConfigError(path, "nested too deeply")])
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([ConfigError(path, f"invalid TOML: {error}")]) from None
    except RecursionError:
        raise ConfigurationError([ConfigError(path, "nested too deeply")]) from None
    except ValueError as error:  # a number with too many digits, an impossible date
        raise ConfigurationError([ConfigError(path, f"invalid TOML: {error}")]) from None


def load(path: str, form: Form | None = None, environment: Mapping[str, str] | None = None) -> LoadedFile:
    """Read and check a file; ConfigurationError holds all its errors at once.

    Without `form`, the file's name decides. For the platform's JSON, variables of `environment` fill in keys
    that the file leaves out.
    """
    form, filled_in = form or form_of(path), frozenset()
    text = decode(path, read_bytes(path, MAX_TOML_BYTES if form is Form.TOML else MAX_JSON_BYTES))
    if form is Form.TOML:
        reader = Reader(TOML_UNITS, strict=True)
        installation = reader.read(parse_toml(path, text))
        errors = reader.errors
    else:
        raw = parse_json(path, text)
        if isinstance(raw, dict):
            raw = {key: value for key, value in raw.items() if value is not None}
            fallbacks = {
                key: (environment or {})[variable]
                for key, variable in VARIABLES.items()
                if variable in (environment or {}) and key not in raw
            }
            raw, filled_in = raw | fallbacks, frozenset(fallbacks)
        installation, errors, reader = read_platform(raw)
    if form is Form.TOML and installation is not None:  # in the platform's JSON inconsistencies are warnings
        errors = errors + conflicts(installation, is_toml=True) + inconsistencies(installation)
    if errors:
        raise ConfigurationError(errors, text)
    return LoadedFile(path, form, text, installation, reader, filled_in)


def with_lines(errors: list[ConfigError], text: str, form: Form) -> list[ConfigError]:
    """Add line numbers to the errors and sort by them, if the tree-sitter libraries are installed."""
    if not errors or not 0 < len(text) <= MAX_LOCATED_LENGTH:
        return errors
    try:
        from limelatch.configuration.line_numbers import lines_of
    except ImportError:  # they are not part of the platform's build
        return errors
    try:
        lines = lines_of(text, form is Form.TOML)
    except RecursionError:
        return errors
    found = [each if each.line else replace(each, line=line_for(each.path, lines)) for each in errors]
    return sorted(found, key=lambda each: each.line)


def error_line(path: str, error: ConfigError) -> str:
    """Format an error as compilers do: file, line, key, message."""
    location = f"{path}:{error.line}" if error.line else path
    return (
        f"{location}: {error.message}" if error.path == path else f"{location}: {error.path}: {error.message}"
    )


def error_lines(error: ConfigurationError, path: str, form: Form) -> list[str]:
    """Format all errors of a file, one line each, sorted by line number."""
    return [error_line(path, each) for each in with_lines(error.errors, error.text, form)]


def line_for(path: str, lines: Mapping[str, int]) -> int:
    """Return the line of the key, or of the nearest enclosing table or list; 0 if there is none."""
    while path and path not in lines:
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return lines.get(path, 0)


def configured_path(environment: Mapping[str, str]) -> str:
    """Return the path in $RELAY_CONFIG; raises ConfigurationError if it is not set."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError(
            [ConfigError("RELAY_CONFIG", "not set; it has to hold the path of the configuration file")]
        )
    return path
