"""Writes small files of the state directory atomically: an interrupted write leaves the old file in place."""

from __future__ import annotations

import os
from contextlib import suppress


def replace_file(path: str, content: bytes) -> None:
    """Replace the file at `path` by one with this content. Raises OSError, and the old file stays."""
    temporary = f"{path}.{os.getpid()}"
    try:
        with open(temporary, "wb") as file:
            file.write(content)
        os.replace(temporary, path)
    except OSError:
        with suppress(OSError):  # may fail on the same disk
            os.remove(temporary)
        raise
