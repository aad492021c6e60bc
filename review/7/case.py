"""Case 7: a class is dropped while its messages wait; a restart gives them all up without a call."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from rig import NOTICE_CLASS, Rig, Text, play, small_settings

KEYS, CHARGES = 6, 14
PARTS = os.environ.get("PARTS", "reload,restart")


async def scene(rig: Rig, trouble: bool) -> list[str]:
    host = await rig.host("s-main1", 1)
    host.service = 0.33
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
        rig.signal(relay, signal.SIGHUP)
    await asyncio.sleep(1.0)
    untried: list[Text] = []
    if trouble and "restart" in PARTS:
        await rig.kill(relay)
        untried = [
            text for text in old
            if text.taken and not any(text.id == each for _, each in host.arrivals) and not rig.platform.notices.get(text.id)
        ]  # fmt: skip
        await asyncio.sleep(0.6)
        relay = await rig.start_relay()
    deadline = max(text.sent_at + text.valid_ms for text in old)
    while rig.record.now_ms() < deadline + 350:
        if all(rig.runs_of(text.id) or rig.platform.notices.get(text.id) for text in old if text.taken):
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    given_up = [
        text for text in untried
        if not any(text.id == each for _, each in host.arrivals)
        and rig.platform.notices.get(text.id)
        and rig.platform.notices[text.id][0].at < text.sent_at + text.valid_ms / 2
    ]  # fmt: skip
    rig.record("count", taken=sum(text.taken for text in old), untried=len(untried), given_up_uncalled=len(given_up))
    if 2 * len(given_up) > len(untried):
        return [f"{len(given_up)} of {len(untried)} messages that the restart found untried, with over half of their "
                "time left, were given up with no call"]
    return []


sys.exit(play(__file__, scene))
