"""Case 9: a relay is drained by PAUSE and then upgraded; nobody resumes it, and PING says yes again."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from rig import Rig, encode, play

WATCHED = 9.0  # seconds after PAUSE


async def scene(rig: Rig, trouble: bool) -> list[str]:
    host = await rig.host("s-main1", 1)
    rig.platform.put(host.row())
    old = await rig.start_relay(with_operator=True)
    client = rig.client()
    for number in range(8):  # the relay is at work
        await client.submit("report-notice", 1, valid_ms=24000, mark=f"{number + 1:016x}")
        await asyncio.sleep(0.1)
    client.close()
    await asyncio.sleep(0.6)  # all of them are delivered

    answer = await rig.operate(old, "PAUSE")
    if not (answer or "").startswith("+OK"):
        return ["PAUSE is answered " + str(answer)]
    paused_at = rig.record.now_ms()

    async def upgrade() -> None:
        await asyncio.sleep(0.5)
        await rig.start_relay(with_operator=True, ready_within=6.0)  # until STATUS says yes
        rig.signal(old, signal.SIGTERM)
        try:
            async with asyncio.timeout(3.7):
                await old.process.wait()
        except TimeoutError:
            await rig.kill(old)

    task = asyncio.ensure_future(upgrade()) if trouble else None
    answers: list[tuple[float, str | None]] = []
    while rig.record.now_ms() < paused_at + WATCHED * 1000:
        front = rig.client()  # the front asks on a connection of its own
        said = await front.ask(encode("PING"))
        front.close()
        answers.append((rig.record("front asks PING", answer=(said or "none").replace(" ", "_")) - paused_at, said))
        await asyncio.sleep(0.1)
    if task is not None:
        await task
    yes = [at for at, said in answers if said == "+PONG" and at >= 4000]
    rig.record("count", asked=len(answers), yes_after_4_s=len(yes))
    if yes:
        return [f"the relay is drained and nobody has resumed it; from {yes[0]:.0f} ms after PAUSE on it said yes "
                f"{len(yes)} times"]
    return []


sys.exit(play(__file__, scene))
