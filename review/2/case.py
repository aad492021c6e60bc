"""A broken file, short of the key `group` of a class, comes with a SIGHUP.

The rule: a message of a `token` class that may have run is sent again only in the zone where it may have run.
With TROUBLE=0 the file is whole.
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
from settings import KINDS, NOTICE, TENANTS, ZONES, configuration  # noqa: E402

VALID_MS = 8000
FAILING_SHARE, FAILING_S = 0.6, 15.0  # of calls, for so long from the SIGHUP on
SECONDS_BEFORE, SECONDS_AFTER = 3.0, 15.0  # of texts, before and after the SIGHUP
RATE = 10.0  # texts a second


async def play(record: Record, folder: Path) -> list[str]:
    """Play the case and check the rule."""
    chance = random.Random(64)
    notices = Notices(record)
    zones: dict[str, str] = {}  # by host
    ran: dict[str, list[tuple[float, str]]] = {}  # by idempotency key: when and in which zone it took effect
    loop = asyncio.get_running_loop()
    failing = [float("inf"), float("inf")]  # from when to when the partners fail

    def on_call(call: HostCall) -> None:
        """The host runs the call, unless its zone knows the key; some calls fail after that."""
        fails = failing[0] <= call.at < failing[1] and chance.random() < FAILING_SHARE
        zone = zones[call.host.name]
        for text, key, _ in call.texts:
            known = [at for at, where in ran.get(key, []) if where == zone]
            if not known or call.at - known[0] > NOTICE["dedupWindow"] / 1000:
                ran.setdefault(key, []).append((call.at, zone))
                record(call.host.name, f"ran {text}/{key} in {zone}")
        loop.call_later(chance.uniform(0.1, 0.2), finish, call, 500 if fails else 200)

    def finish(call: HostCall, status: int) -> None:
        if call.peer.open:
            answer_call(call, status)

    agent = Agent("agent", record, notices)
    hosts = [Host(f"s-{number}", record, on_call) for number in range(4)]
    for server in (agent, *hosts):
        await server.start()
    zones.update({host.name: ZONES[number % 2] for number, host in enumerate(hosts)})
    agent.put(*(host_row(host.name, host.address, 7, zones[host.name], KINDS[0]) for host in hosts))
    config = configuration(f"{LOOPBACK}:{free_port()}", agent.address, str(folder / "state"))
    relay = Relay(record, folder, config)
    client = None
    try:
        relay.start(agent.address)
        await relay.ready()
        client = Client(relay.port, record)
        taken = 0

        async def hand_in(seconds: float) -> None:
            nonlocal taken
            until = record.now() + seconds
            while record.now() < until:
                text, key = f"{chance.getrandbits(64):016x}", f"{chance.getrandbits(64):016x}"
                answer = await client.submit(text, "report-notice", TENANTS[0], VALID_MS, key, 7)
                taken += answer is not None and answer[:1] in "+$"
                await asyncio.sleep(1 / RATE)

        await hand_in(SECONDS_BEFORE)
        later = copy.deepcopy(config)
        if TROUBLE:
            del later["settings"]["classes"][0]["group"]
        relay.write_config(later)
        relay.signal(signal.SIGHUP)
        failing[:] = record.now(), record.now() + FAILING_S
        await hand_in(SECONDS_AFTER)
        await asyncio.sleep(VALID_MS / 1000 + 0.5)
        if relay.process.poll() is not None:
            return [f"the relay ended with {relay.process.returncode}"]
        record("case", f"{taken} taken on, {len(ran)} keys ran")
        return [
            f"{key} ran {len(runs)} times: " + ", ".join(f"{at:.3f} {zone}" for at, zone in runs)
            for key, runs in ran.items()
            if len(runs) > 1
        ]
    finally:
        if client is not None:
            client.close()
        relay.end()
        for server in (agent, *hosts):
            server.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
