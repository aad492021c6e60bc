"""Configuration errors: each names the key, its line, what is expected and what was found."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SHOWN_CHARACTERS = 60  # of a value in an error message
MAX_SUMMARIZED_ERRORS = 20  # of a configuration, in one line of the log


@dataclass(frozen=True)
class ConfigError:
    """One error in a configuration. `line` counts from 1; 0 means that the line is unknown."""

    path: str
    message: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.path}: {self.message}" + (f" (line {self.line})" if self.line else "")


class ConfigurationError(Exception):
    """Raised for a configuration that can't be used; holds every error found, in the order of the model."""

    def __init__(self, errors: list[ConfigError], text: str = "") -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors, self.text = errors, text  # `text` is the file's content, empty if it could not be read

    def summary(self) -> str:
        """Return the first errors in one line, and how many more there are."""
        shown = "; ".join(str(error) for error in self.errors[:MAX_SUMMARIZED_ERRORS])
        left_out = len(self.errors) - MAX_SUMMARIZED_ERRORS
        return f"{shown}; and {left_out} more" if left_out > 0 else shown


def format_value(value: object) -> str:
    """Format a value for an error message: short, on one line, and cheap even for a huge value."""
    if isinstance(value, dict):
        return "a table" if value else "an empty table"
    if isinstance(value, list):
        return f"a list of {len(value)}" if value else "an empty list"
    if isinstance(value, int) and abs(value) >= 1 << 64:
        return "a number of more than 64 bits"
    text = repr(value[:MAX_SHOWN_CHARACTERS] if isinstance(value, str) else value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS + 2 else text[: MAX_SHOWN_CHARACTERS - 2] + "..."


def invalid_value(path: str, expected: str, value: object) -> ConfigError:
    """Return the error for a value that is not what the key expects."""
    return ConfigError(path, f"{expected} is expected, not {format_value(value)}")
