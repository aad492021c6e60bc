"""The memory of this process, as the kernel counts it (proc(5))."""

from __future__ import annotations

import os
from dataclasses import dataclass

STATUS_PATH = "/proc/self/status"
MAX_STATUS_SIZE = 8 * 1024  # bytes that are read of the file
KIB = 1024
FIELDS = {b"VmRSS": "resident", b"VmHWM": "peak", b"RssAnon": "anonymous", b"RssShmem": "shared"}


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Sizes in bytes; 0 where the kernel does not tell.

    `resident`: all pages in memory, those of the program's files included; `peak`: its highest value;
    `anonymous`: pages without a file, which no other process shares; `shared`: of memory file systems."""

    resident: int = 0
    peak: int = 0
    anonymous: int = 0
    shared: int = 0

    @property
    def private(self) -> int:
        """Pages that the process alone causes: without those of the program's files."""
        return self.anonymous + self.shared


def parse_status(raw: bytes) -> ProcessMemory:
    """Parse the content of /proc/PID/status; lines of another form are ignored."""
    found = {}
    for line in raw.splitlines():
        name, _, rest = line.partition(b":")
        words = rest.split()
        if name in FIELDS and len(words) == 2 and words[0].isdigit():
            found[FIELDS[name]] = int(words[0]) * KIB
    return ProcessMemory(**found)


def process_memory(path: str = STATUS_PATH) -> ProcessMemory:
    """The memory of this process; all sizes are 0 where the file can't be read."""
    try:
        file = os.open(path, os.O_RDONLY)
    except OSError:
        return ProcessMemory()
    try:
        return parse_status(os.read(file, MAX_STATUS_SIZE))
    except OSError:
        return ProcessMemory()
    finally:
        os.close(file)
