"""Restarted relays with full ledgers serve without the list; see `limelatch lab scale ready`."""

import asyncio

from limelatch.lab.scale.ready import fill, points, restarts

LIST_MS = 400


def test_relays_killed_with_full_ledgers_serve_although_discovery_is_silent(tmp_path):
    """Real processes: each waits `list_ms` for the list and logs it, whatever its state directory holds."""
    texts = fill(str(tmp_path))
    starts = asyncio.run(restarts(relays=4, killed=3, silent=60.0, seed=1, list_ms=LIST_MS))
    assert len(starts) == 3 and all(start.texts == texts > 1000 for start in starts)
    assert all(start.waits == ["list"] and start.fresh_list is False for start in starts)
    assert all(
        start.waited >= (LIST_MS - 1) / 1000 for start in starts
    )  # log lines round down to milliseconds
    ready, processor, *_ = points(starts, 4, 0.4)
    assert ready.note.endswith("logged as waited for: list; 0 had the list; at 0.4 of a core")
    assert all(at_share > used / 0.4 for at_share, used in zip(ready.values, processor.values, strict=True))
