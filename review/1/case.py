"""Discovery moves by SIGHUP; then a broken file, short of the key `discovery`, comes with a second SIGHUP.

The rule: each message that was taken on is delivered or ended by a notice, 300 ms after its time at most.
With TROUBLE=0 the second file is whole.
"""

from __future__ import annotations

import asyncio
import copy
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from lab import (  # noqa: E402
    LOOPBACK,
    TROUBLE,
    Agent,
    Client,
    Host,
    HostCall,
    Notices,
    Record,
    Relay,
    answer_call,
    free_port,
    host_row,
    run_case,
)
from settings import KINDS, TENANTS, ZONES, configuration  # noqa: E402

VALID_MS = 4000
LATE_S = 0.3  # after a message's time, for its notice
SECONDS_BEFORE, SECONDS_AFTER = 5.0, 12.0  # of texts, before and after the second SIGHUP
FAILING_SHARE, FAILING_S = 0.6, 10.0  # of calls, for so long from the second SIGHUP on
RATE = 10.0  # texts a second


async def play(record: Record, folder: Path) -> list[str]:
    """Play the case and check the rule."""
    chance = random.Random(63)
    notices = Notices(record)
    delivered: dict[str, float] = {}
    taken: dict[str, float] = {}  # by text: when its client sent it
    loop = asyncio.get_running_loop()
    failing = [float("inf"), float("inf")]  # from when to when the partners fail

    def on_call(call: HostCall) -> None:
        fails = failing[0] <= call.at < failing[1] and chance.random() < FAILING_SHARE
        status = 500 if fails else 200
        loop.call_later(chance.uniform(0.1, 0.2), finish, call, status)

    def finish(call: HostCall, status: int) -> None:
        if call.peer.open:
            answer_call(call, status)
            for text, _, _ in call.texts if status == 200 else ():
                delivered.setdefault(text, record.now())

    first, second = Agent("agent-a", record, notices), Agent("agent-b", record, notices)
    hosts = [Host(f"s-{number}", record, on_call) for number in range(3)]
    for server in (first, second, *hosts):
        await server.start()
    for agent in (first, second):
        agent.put(*(host_row(host.name, host.address, 7, ZONES[0], KINDS[0]) for host in hosts))
    config = configuration(f"{LOOPBACK}:{free_port()}", first.address, str(folder / "state"))
    relay = Relay(record, folder, config)
    client = None
    try:
        relay.start(first.address)
        await relay.ready()
        client = Client(relay.port, record)

        async def hand_in(seconds: float) -> None:
            until = record.now() + seconds
            while record.now() < until:
                text, key = f"{chance.getrandbits(64):016x}", f"{chance.getrandbits(64):016x}"
                sent_at = record.now()
                if chance.random() < 0.5:
                    answer = await client.submit(text, "report-notice", TENANTS[0], VALID_MS, key, 7)
                else:
                    answer = await client.submit(
                        text, "usage-charge", TENANTS[0], VALID_MS, key, 7, f"{chance.getrandbits(64):016x}"
                    )
                if answer is not None and answer[:1] in "+$":
                    taken[text] = sent_at
                await asyncio.sleep(1 / RATE)

        await hand_in(2.0)
        moved = copy.deepcopy(config)
        moved["discovery"] = second.address
        relay.write_config(moved)
        relay.signal(signal.SIGHUP)
        record("agent-a", "accepts no new connection")
        first.stop_listening()
        loop.call_later(1.5, first.close)
        await hand_in(SECONDS_BEFORE)
        later = copy.deepcopy(moved)
        if TROUBLE:
            del later["discovery"]
        relay.write_config(later)
        relay.signal(signal.SIGHUP)
        failing[:] = record.now(), record.now() + FAILING_S
        await hand_in(SECONDS_AFTER)
        await asyncio.sleep(VALID_MS / 1000 + LATE_S + 0.5)
        if relay.process.poll() is not None:
            return [f"the relay ended with {relay.process.returncode}"]
        broken = []
        for text, sent_at in taken.items():
            due = sent_at + VALID_MS / 1000 + LATE_S
            ends = [at for at, _ in notices.by_text.get(text, [])]
            ends += [delivered[text]] if text in delivered else []
            if not ends or min(ends) > due:
                broken.append(f"{text}, sent at {sent_at:.3f}, neither delivered nor ended by a notice")
        record("case", f"{len(taken)} taken on, {len(delivered)} delivered, {len(notices.by_text)} notices")
        return broken
    finally:
        if client is not None:
            client.close()
        relay.end()
        for server in (first, second, *hosts):
            server.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
