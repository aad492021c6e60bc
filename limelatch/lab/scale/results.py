"""The files of results that measuring commands write and the capacity page is made from."""

from __future__ import annotations

import os
import platform
import subprocess
from pathlib import Path

import msgspec


class Point(msgspec.Struct, frozen=True, omit_defaults=True):
    """One measured place: `values` are of single runs, `unit` is theirs; `x` is counted in `axis`.

    `scenario` and `measure` name the series, as in "start" and "memory"; `note` says what a reader must know,
    such as that the program refused to go on. A point without values: none were to be had, and why."""

    scenario: str
    measure: str
    unit: str
    axis: str
    x: float
    values: list[float] = []
    note: str = ""


class Results(msgspec.Struct, frozen=True):
    """One command's measurements at one commit. `subject`: a program or a version of it, as in "before"."""

    subject: str
    command: str
    commit: str
    at: str
    machine: str
    points: list[Point]


def commit_of(folder: str | Path = ".") -> str:
    """The commit of the tree, with a + where files differ from it; "unknown" outside a repository."""

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", "-C", str(folder), *words], capture_output=True, text=True, check=False
        ).stdout.strip()

    commit = git("rev-parse", "--short", "HEAD")
    return commit + ("+" if git("status", "--porcelain", "--", "limelatch") else "") if commit else "unknown"


def machine() -> str:
    """What the figures were taken on, in few words."""
    return f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}"


def save(path: str | Path, results: Results) -> None:
    """Write the file whole; OSError where it can't be written."""
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load(path: str | Path) -> Results:
    """Read a file; msgspec.ValidationError where it is of another form."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Results)
