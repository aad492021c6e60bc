"""Gives memory that the process has freed back to the kernel.

The interpreter frees objects that refer to each other only in a collection, and the C library keeps freed
pages for later use (gc, malloc_trim(3))."""

from __future__ import annotations

import ctypes
import gc
from collections.abc import Callable


def _c_library_trim() -> Callable[[int], int] | None:
    """malloc_trim of the C library; None where it has none."""
    try:
        return ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None


_trim = _c_library_trim()


def settle_start() -> None:
    """Collect what the start has left behind, and leave what remains out of later collections."""
    gc.collect()
    gc.freeze()
    _trim_c_library()


def return_free_memory() -> None:
    """Collect unreachable objects, and give free pages back."""
    gc.collect()
    _trim_c_library()


def _trim_c_library() -> None:
    if _trim is not None:
        _trim(0)
