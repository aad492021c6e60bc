"""Builds the preloaded fault library (shim.c) and controls it while a relay runs with it.

The rules are in a file that this process and the relay's process both map into memory; a rule takes effect
from the next system call that matches it.
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
SYSTEM_CALLS = (  # in the order of `enum call` in shim.c
    "socket bind listen accept connect getsockopt setsockopt epoll_wait recv send shutdown close "
    "open read write ftruncate fsync rename unlink mkdir flock"
).split()
MAX_RULES = 32  # as in shim.c
PATH_BYTES = 64  # as in shim.c
RULE_FORMAT = struct.Struct(f"11q{PATH_BYTES}s")  # as `struct rule` in shim.c
SEEN_INDEX = 9  # position among a rule's numbers
HITS_INDEX = 10  # position among a rule's numbers
INTEGER_FORMAT = struct.Struct("q")
NANOSECONDS = 1_000_000_000


class NoCompiler(RuntimeError):
    """No C compiler was found; machine faults need one (see README.md)."""


def build(folder: Path) -> Path:
    """Compile the library into the folder. Raises NoCompiler, or RuntimeError with the compiler's output."""
    compiler = next((path for name in COMPILERS if (path := shutil.which(name))), None)
    if compiler is None:
        raise NoCompiler(f"no C compiler found (tried {', '.join(COMPILERS)}): see README.md")
    library = folder / "shim.so"
    command = [compiler, "-O1", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    result = subprocess.run(command, capture_output=True, text=True)
    if result.returncode:
        raise RuntimeError(f"{SOURCE.name} does not compile:\n{result.stderr}")
    return library


class Rule:
    """An active rule."""

    def __init__(self, faults: Faults, number: int) -> None:
        self.faults, self.number = faults, number

    @property
    def hits(self) -> int:
        """The number of system calls that the rule has changed."""
        return self.faults.numbers(self.number)[HITS_INDEX]

    def end(self) -> None:
        """End the rule: it changes no further calls."""
        self.faults.clear(self.number)


class Faults:
    """The machine faults of one relay, in the file `path`."""

    def __init__(self, library: Path, path: Path) -> None:
        self.library, self.path = library, path
        self._shift = 0
        self.record: list[str] = []  # each change with its time, for the report of a failed test
        path.write_bytes(bytes(INTEGER_FORMAT.size + MAX_RULES * RULE_FORMAT.size))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), 0)

    @property
    def environment(self) -> dict[str, str]:
        """The environment variables that make a process run with the library."""
        return {"LD_PRELOAD": str(self.library), "LIMELATCH_TEST_FAULTS": str(self.path)}

    def step(self, seconds: float) -> None:
        """Step the wall clock, backwards if negative; the monotonic clock is not changed."""
        self._shift += int(seconds * NANOSECONDS)
        INTEGER_FORMAT.pack_into(self._map, 0, self._shift)
        self._log(f"step {seconds:+} s")

    def fail(self, call: str, error: int, **bounds: object) -> Rule:
        """Let the system call fail with the errno `error`; `bounds`: the bounds of `rule`."""
        return self.rule(call, error=error, **bounds)

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
        """Add a rule: after `skip` matching calls it applies at most `times` times, for at most `seconds`.

        `call`: name of the system call; `error`: errno with which it fails; `most`: maximum of bytes that a
        read or write moves; `delay`: seconds before the call; `port`: of the socket's peer, or its own;
        `path`: part of the file's path. 0 and "" mean no restriction. Raises ValueError for an unknown call,
        and if all rules are in use."""
        if call not in SYSTEM_CALLS:
            raise ValueError(f"no such system call: {call}")
        number = next((each for each in range(MAX_RULES) if not self.numbers(each)[0]), None)
        if number is None:
            raise ValueError(f"{MAX_RULES} rules at most at a time")
        until = time.monotonic_ns() + int(seconds * NANOSECONDS) if seconds else 0
        numbers = [
            0,
            SYSTEM_CALLS.index(call),
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
        RULE_FORMAT.pack_into(self._map, self._offset(number), *numbers, path.encode())
        INTEGER_FORMAT.pack_into(self._map, self._offset(number), 1)
        self._log(f"rule {number}: {call} {error=} {skip=} {times=} {seconds=} {most=} {path}{port or ''}")
        return Rule(self, number)

    def numbers(self, number: int) -> tuple[int, ...]:
        """The current numbers of a rule, in the order of `struct rule` in shim.c."""
        return RULE_FORMAT.unpack_from(self._map, self._offset(number))[:-1]

    def clear(self, number: int) -> None:
        """End a rule."""
        INTEGER_FORMAT.pack_into(self._map, self._offset(number), 0)
        self._log(f"rule {number} ends after {self.numbers(number)[HITS_INDEX]} hits")

    def clear_all(self) -> None:
        """End all rules; the wall clock keeps its steps."""
        for number in range(MAX_RULES):
            if self.numbers(number)[0]:
                self.clear(number)

    def _offset(self, number: int) -> int:
        return INTEGER_FORMAT.size + number * RULE_FORMAT.size

    def _log(self, change: str) -> None:
        self.record.append(f"{time.monotonic():.3f} {change}")
