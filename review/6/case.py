"""Case 6: a class is dropped and added again with another effect; a restart gives its open messages the new rules."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from rig import CHARGE_CLASS, NOTICE_CLASS, Rig, Text, play, small_settings

KEYS, CHARGES = 6, 12  # charges of one key are handed in one after another
NEW_CHARGE_CLASS = CHARGE_CLASS | {"effect": "pure"}
PARTS = os.environ.get("PARTS", "reload,kill")  # to look at one half of the disruption alone


async def scene(rig: Rig, trouble: bool) -> list[str]:
    host = await rig.host("s-main1", 1)
    host.service = 0.25
    rig.platform.put(host.row())
    relay = await rig.start_relay()
    old: list[Text] = []

    async def hand_in(key: str) -> None:
        client = rig.client()
        for _ in range(CHARGES):
            old.append(await client.submit("usage-charge", 1, key=key))
        client.close()

    await asyncio.sleep(1.2)
    await asyncio.gather(*(hand_in(f"{number:016x}") for number in range(1, KEYS + 1)))
    if trouble and "reload" in PARTS:
        rig.settings = small_settings([NOTICE_CLASS])
        rig.write_config()
        rig.signal(relay, signal.SIGHUP)  # the class is dropped
    await asyncio.sleep(1.5)
    if trouble and "reload" in PARTS:
        rig.settings = small_settings([NOTICE_CLASS, NEW_CHARGE_CLASS])
        rig.write_config()
        rig.signal(relay, signal.SIGHUP)  # a new class, with another effect
    await asyncio.sleep(1.1)
    if trouble and "kill" in PARTS:
        await rig.kill(relay)
        await asyncio.sleep(0.6)
        relay = await rig.start_relay()
    deadline = max(text.sent_at + text.valid_ms for text in old)
    while rig.record.now_ms() < deadline + 350:
        if all(rig.runs_of(text.id) or rig.platform.notices.get(text.id) for text in old if text.taken):
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    rig.record("count", taken=sum(text.taken for text in old), ran=sum(bool(rig.runs_of(text.id)) for text in old))
    return [
        f"{text.id}: a side_effect message, handed in before the reloads, ran {len(runs)} times, at "
        + ", ".join(f"{at:.0f} ms" for at in runs)
        for text in old
        if len(runs := rig.runs_of(text.id)) > 1
    ]


sys.exit(play(__file__, scene))
