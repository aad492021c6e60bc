"""A catalog, a platform and two hosts of destination 1, to try out a relay; all that arrives is printed.

    python example/partner.py

The first host delivers; the second refuses calls, about every other one, with a Retry-After.
"""

import asyncio

from limelatch.standin.agent import AgentHandler, HostEntry
from limelatch.standin.host import Call, HostHandler, TextState
from limelatch.standin.http import Server

CATALOG_PORT = 8500
HOSTS = {"first": 8601, "second": 8602}  # ports
calls = 0  # of both hosts


def answer_call(name: str, call: Call) -> None:
    """Deliver the texts of a call, or refuse them."""
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
    """Serve until interrupted."""
    agent = AgentHandler(lambda notice: print(f"notice {notice}", flush=True))
    for name, port in HOSTS.items():
        server = Server(HostHandler(lambda call, name=name: answer_call(name, call)), port=port)
        await server.start()
        agent.put(HostEntry(name, server.address, "ground", "portal", 1, weight=20.0))
    await Server(agent, port=CATALOG_PORT).start()
    print(f"catalog and platform at 127.0.0.1:{CATALOG_PORT}, hosts {', '.join(HOSTS)}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
