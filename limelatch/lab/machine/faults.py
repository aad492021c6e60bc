"""Builds the preloaded library (shim.c) and steers it while a relay runs with it.

The rules stand in a file that whoever steers it and the relay's process both map; a rule takes effect with
the next call that matches it.
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
import time
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
COMPILERS = ("cc", "gcc", "clang")
CALLS = (  # in the order of `enum call` in shim.c
    "socket bind listen accept connect getsockopt setsockopt epoll_wait recv send shutdown close "
    "open read write ftruncate fsync rename unlink mkdir flock"
).split()
RULES, WORD = 32, 64
RULE = struct.Struct(f"11q{WORD}s")  # as `struct rule` in shim.c
SEEN, HITS = 9, 10  # places among a rule's numbers
SHIFT = struct.Struct("q")
NANOSECONDS = 1_000_000_000


class NoCompiler(RuntimeError):
    """Faults of a machine need a C compiler, as README.md says."""


def build(folder: Path) -> Path:
    """The library, compiled into the folder. Raises NoCompiler, or RuntimeError with the compiler's words."""
    compiler = next((path for name in COMPILERS if (path := shutil.which(name))), None)
    if compiler is None:
        raise NoCompiler(f"no C compiler found (tried {', '.join(COMPILERS)}): see README.md")
    library = folder / "shim.so"
    command = [compiler, "-O1", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    done = subprocess.run(command, capture_output=True, text=True)
    if done.returncode:
        raise RuntimeError(f"{SOURCE.name} does not compile:\n{done.stderr}")
    return library


class Rule:
    """One rule in force; `hits` counts the calls that it has changed."""

    def __init__(self, faults: Faults, number: int) -> None:
        self.faults, self.number = faults, number

    @property
    def hits(self) -> int:
        return self.faults.numbers(self.number)[HITS]

    def end(self) -> None:
        """The next call goes through unchanged."""
        self.faults.clear(self.number)


class Faults:
    """The faults of one relay's machine."""

    def __init__(self, library: Path, path: Path) -> None:
        self.library, self.path = library, path
        self._shift = 0
        self.record: list[str] = []  # what was done and when, for a failed test's report
        path.write_bytes(bytes(SHIFT.size + RULES * RULE.size))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), 0)

    @property
    def environment(self) -> dict[str, str]:
        """What a process needs to run with the library."""
        return {"LD_PRELOAD": str(self.library), "LIMELATCH_TEST_FAULTS": str(self.path)}

    def step(self, seconds: float) -> None:
        """Step the wall clock, back where negative; the monotonic clock runs on."""
        self._shift += int(seconds * NANOSECONDS)
        SHIFT.pack_into(self._map, 0, self._shift)
        self._say(f"step {seconds:+} s")

    def fail(self, call: str, error: int, **more: object) -> Rule:
        """The call fails with this errno; see `rule` for the bounds."""
        return self.rule(call, error=error, **more)

    def rule(
        self,
        call: str,
        *,
        error: int = 0,
        skip: int = 0,
        times: int = 0,
        seconds: float = 0.0,
        most: int = 0,
        delay: float = 0.0,
        port: int = 0,
        path: str = "",
    ) -> Rule:
        """A rule from now on: after `skip` matching calls, `times` times at most, for `seconds` at most.

        `most`: bytes that a read or write moves; `delay`: seconds before the call; `port`: of the socket's
        peer, or its own; `path`: part of the file's path."""
        if call not in CALLS:
            raise ValueError(f"no such call: {call}")
        number = next((each for each in range(RULES) if not self.numbers(each)[0]), None)
        if number is None:
            raise ValueError(f"{RULES} rules at most at a time")
        until = time.monotonic_ns() + int(seconds * NANOSECONDS) if seconds else 0
        numbers = [
            0,
            CALLS.index(call),
            error,
            skip,
            times,
            until,
            most,
            int(delay * NANOSECONDS),
            port,
            0,
            0,
        ]
        RULE.pack_into(self._map, self._place(number), *numbers, path.encode())
        SHIFT.pack_into(self._map, self._place(number), 1)
        self._say(f"rule {number}: {call} {error=} {skip=} {times=} {seconds=} {most=} {path}{port or ''}")
        return Rule(self, number)

    def numbers(self, number: int) -> tuple[int, ...]:
        """A rule's numbers as they stand."""
        return RULE.unpack_from(self._map, self._place(number))[:-1]

    def clear(self, number: int) -> None:
        SHIFT.pack_into(self._map, self._place(number), 0)
        self._say(f"rule {number} ends after {self.numbers(number)[HITS]} hits")

    def clear_all(self) -> None:
        """No rule is in force any more; the wall clock stays as it was stepped."""
        for number in range(RULES):
            if self.numbers(number)[0]:
                self.clear(number)

    def _place(self, number: int) -> int:
        return SHIFT.size + number * RULE.size

    def _say(self, what: str) -> None:
        self.record.append(f"{time.monotonic():.3f} {what}")
