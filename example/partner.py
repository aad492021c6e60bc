"""A catalog, a platform and two hosts of destination 1, to try a relay against; everything is printed.

    python example/partner.py

The first host delivers; the second refuses every other text and tells a wait.
"""

import asyncio

from limelatch.standin.agent import AgentHandler, HostEntry
from limelatch.standin.host import Call, HostHandler, TextState
from limelatch.standin.http import Server

CATALOG, HOSTS = 8500, {"first": 8601, "second": 8602}
calls = 0


def called(name: str, call: Call) -> None:
    global calls
    calls += 1
    texts = ", ".join(f"{text.id} {text.body[:40]!r}" for text in call.texts)
    if name == "second" and calls % 2:
        print(f"{name} refuses {texts}", flush=True)
        call.answer([TextState.REFUSED] * len(call.texts), wait=0.5)
    else:
        print(f"{name} delivers {texts}", flush=True)
        call.answer([TextState.DELIVERED] * len(call.texts))


async def main() -> None:
    agent = AgentHandler(lambda notice: print(f"notice {notice}", flush=True))
    for name, port in HOSTS.items():
        server = Server(HostHandler(lambda call, name=name: called(name, call)), port=port)
        await server.start()
        agent.put(HostEntry(name, server.address, "ground", "portal", 1, weight=20.0))
    await Server(agent, port=CATALOG).start()
    print(f"catalog and platform at 127.0.0.1:{CATALOG}, hosts {', '.join(HOSTS)}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
