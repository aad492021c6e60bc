"""Decides how the memory limit of a relay is divided among its uses.

What the process needs at rest is measured at its start. What is left is divided, so that each use has its own
part: a crowd of clients takes nothing from accepted texts, notices, the catalog or operators. Does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

KILOBYTE, MEGABYTE = 1_000, 1_000_000  # bytes

MAX_FILE_SHARE = 8  # files are counted up to the limit divided by this; a larger folder is on a disk
RESERVE = 3 * MEGABYTE  # for hosts, catalog, platform, operators, log, and what the allocator can't use
CONNECTION_SIZE = 12 * KILOBYTE  # a client's connection with its objects, one read and one reply
TEXT_COPIES = 3  # of a text: its record, the body of a call, and the call as it is written
CONNECTION_SHARE = 0.4  # of what is left above rest, files and reserve; likewise the next two
COMMAND_SHARE = 0.3
TEXT_SHARE = 0.3
MAX_COMMAND_BYTES = 8 * MEGABYTE  # a hundred large commands at once; more would only grow the process
MIN_CONNECTIONS = 32
MIN_COMMAND_BYTES = 200 * KILOBYTE  # two of the largest commands, and many usual ones
MIN_TEXT_BYTES = 100 * KILOBYTE  # one of the largest texts, and some usual ones
MIN_LEFT = MIN_CONNECTIONS * CONNECTION_SIZE + MIN_COMMAND_BYTES + TEXT_COPIES * MIN_TEXT_BYTES


class MemoryTooSmall(Exception):
    """The relay can't serve within its memory limit; `needed` is what it needs, in bytes."""

    def __init__(self, limit: int, needed: int) -> None:
        self.limit, self.needed = limit, needed
        super().__init__(
            f"limits.memory is {limit / MEGABYTE:.1f} MB, and this relay needs {needed / MEGABYTE:.1f} MB"
        )


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What each use may take. `counts_program`: whether the limit leaves room for the pages of the program's
    files too, which several processes share; without them it is tight."""

    connections: int  # of clients, those that are closing included
    command_bytes: int  # of commands that are being received or wait
    text_bytes: int  # of the records of accepted texts
    counts_program: bool = True

    @property
    def half(self) -> MemoryPlan:
        """The part of one of the two processes of an upgrade."""
        return MemoryPlan(
            max(MIN_CONNECTIONS, self.connections // 2),
            max(MIN_COMMAND_BYTES, self.command_bytes // 2),
            self.text_bytes,  # a process may have to take over all texts of the other
            self.counts_program,
        )


def divide(left: int, counts_program: bool = True) -> MemoryPlan:
    """Divide what is left above rest, files and reserve, in bytes; each use has a least part."""
    return MemoryPlan(
        connections=max(MIN_CONNECTIONS, int(left * CONNECTION_SHARE) // CONNECTION_SIZE),
        command_bytes=min(MAX_COMMAND_BYTES, max(MIN_COMMAND_BYTES, int(left * COMMAND_SHARE))),
        text_bytes=max(MIN_TEXT_BYTES, int(left * TEXT_SHARE) // TEXT_COPIES),
        counts_program=counts_program,
    )


def needed_memory(files: int, private: int) -> int:
    """The least limit, in bytes, with which a relay can serve; the arguments as those of `plan_memory`."""
    besides_files = private + RESERVE + MIN_LEFT
    with_all_files = besides_files + files
    if files <= with_all_files // MAX_FILE_SHARE:
        return with_all_files
    return -(-besides_files * MAX_FILE_SHARE // (MAX_FILE_SHARE - 1))


def plan_memory(limit: int, files: int, resident: int, private: int) -> MemoryPlan:
    """Divide the limit. Sizes in bytes: `files` of the state directory count as memory; `resident` and
    `private` are the process's own at rest, with and without the pages of the program's files.

    Raises MemoryTooSmall."""
    needed = needed_memory(files, private)
    if needed > limit:
        raise MemoryTooSmall(limit, needed)
    files = min(files, limit // MAX_FILE_SHARE)
    left = limit - resident - files - RESERVE
    if left >= MIN_LEFT:
        return divide(left)
    return divide(limit - private - files - RESERVE, counts_program=False)
