"""What is wrong with a configuration: each fault by its path and line, what is wanted and what stood."""

from __future__ import annotations

from dataclasses import dataclass

SHOWN_MOST = 60  # characters of a value that a fault shows


@dataclass(frozen=True)
class ConfigError:
    """One fault. `line` counts from 1; 0 where it is not known."""

    path: str
    wanted: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.path}: {self.wanted}" + (f" (line {self.line})" if self.line else "")


class ConfigurationError(Exception):
    """A configuration that can't be used; it holds every fault that was found, in the order of the model."""

    def __init__(self, errors: list[ConfigError], text: str = "") -> None:
        super().__init__("\n".join(str(fault) for fault in errors))
        self.errors, self.text = errors, text  # the file's, where it could be read at all


def shown(value: object) -> str:
    """A value as a fault shows it: short, on one line, and never dearer to print than to read."""
    if isinstance(value, dict):
        return "a table" if value else "an empty table"
    if isinstance(value, list):
        return f"a list of {len(value)}" if value else "an empty list"
    if isinstance(value, int) and abs(value) >= 1 << 64:
        return "a number past 64 bits"
    word = repr(value[:SHOWN_MOST] if isinstance(value, str) else value)
    return word if len(word) <= SHOWN_MOST + 2 else word[: SHOWN_MOST - 2] + "..."


def wrong(path: str, wanted: str, value: object) -> ConfigError:
    """The fault of a value that is not what was wanted."""
    return ConfigError(path, f"{wanted} is wanted, not {shown(value)}")
