"""Small files of the folder that lasts: replaced whole, so that a process that ends meanwhile tears none."""

from __future__ import annotations

import os
from contextlib import suppress


def replace_file(path: str, content: bytes) -> None:
    """Put a file with this content in the place of the one there. Raises OSError; the old one stays then."""
    passing = f"{path}.{os.getpid()}"
    try:
        with open(passing, "wb") as file:
            file.write(content)
        os.replace(passing, path)
    except OSError:
        with suppress(OSError):  # the same disk may refuse this too
            os.remove(passing)
        raise
