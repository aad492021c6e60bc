"""One relay process among its stand-ins, and what is done to it: the steps that measurements are made of."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path

from limelatch.lab.scale.partners import OK, SHUT, AnswerFace, CountedServer, ListFace, Refusing, row_of
from limelatch.lab.scale.process import NotServing, RelayProcess, hand_in, trickle_in

ASKED_MOST = 5  # whole lists asked for in vain, then the list counts as one that is never read
REFUSED_LONG = 3.0  # seconds for which a text is refused while others are delivered, then it counts as never
REFUSED_ALL = 20.0  # the same where none is taken on: the relay may still be reading
NEWS_WAIT, IDLE_TIME = 0.2, 5.0  # seconds: for news on its way; for which hosts keep idle connections
LOOK = 0.005  # seconds between two looks at what was delivered
AGAIN = 0.1  # seconds before a refused first text is handed in again


@dataclass(frozen=True, slots=True)
class Served:
    """When the first texts had been delivered: seconds of processor, and by the clock, since the start."""

    processor: float
    clock: float


class Session:
    """A relay over `numbers`, one host each; `async with` cleans up.

    `shut`: more of them, whose hosts tell every call to wait; `down`: more, whose hosts refuse connections;
    `trickle`: seconds that a whole list takes to arrive; `texts`: room for texts held at once."""

    def __init__(
        self,
        tree: Path,
        numbers: range | list[int],
        shut: range | list[int] = (),
        down: range | list[int] = (),
        texts: int = 2000,
        trickle: float = 0.0,
    ) -> None:
        self.numbers, self.shut_ones, self.down_ones = list(numbers), list(shut), list(down)
        self.refusing = Refusing()
        self.here, self.moved, self.shut = AnswerFace(OK), AnswerFace(OK), AnswerFace(SHUT)
        self.servers = [CountedServer(face) for face in (self.here, self.moved, self.shut)]
        self.list = ListFace([], trickle)
        self.control = CountedServer(self.list)
        self.folder = Path(tempfile.mkdtemp(prefix="limelatch-scale-"))
        self.tree, self.texts = tree, texts
        self.relay: RelayProcess | None = None
        self.idle = 0.0  # seconds of processor a second, at rest
        self.away: set[int] = set()  # places of hosts at their other address

    async def __aenter__(self) -> Session:
        for server in (*self.servers, self.control):
            await server.start()
        here, _, shut = (server.address for server in self.servers)
        self.list.rows += [row_of(number, here, place) for place, number in enumerate(self.numbers, 1)]
        others = [(number, shut) for number in self.shut_ones]
        others += [(number, self.refusing.address) for number in self.down_ones]
        self.list.rows += [
            row_of(number, address, place)
            for place, (number, address) in enumerate(others, len(self.numbers) + 1)
        ]
        self.relay = RelayProcess(self.tree, self.folder, self.control.address, self.texts)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.relay.stop(signal.SIGKILL)
        for server in (*self.servers, self.control):
            server.down()
        self.refusing.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def control_bytes(self) -> int:
        """Payload so far on the connections of catalog and platform, both ways."""
        return self.control.received + self.control.sent

    def delivered(self) -> int:
        return len(self.here.texts | self.moved.texts)

    def probes(self) -> list[int]:
        """The first, the middle and the last destination of the list."""
        return sorted({self.numbers[0], self.numbers[len(self.numbers) // 2], self.numbers[-1]})

    async def serve(self, seconds: float = 120.0, probes: list[int] | None = None) -> Served:
        """Start the relay; wait until a text for each of `probes` (first, middle, last) is delivered.

        NotServing, with what was seen, where PING stays without answer, where a text is refused for good, and
        where texts are taken on and not delivered while the whole list is asked for again and again."""
        wanted = dict.fromkeys(self.probes() if probes is None else probes, "")
        until, before = time.monotonic() + seconds, self.delivered()
        asked = self.list.whole
        await self.relay.start(seconds)
        refused_since: float | None = None
        while True:
            for number, said in list(wanted.items()):
                if said != "+OK":
                    try:
                        wanted[number] = str(next(iter(await hand_in(self.relay.port, [number], 1))))
                    except (NotServing, OSError) as error:
                        wanted[number] = f"({error})"
            taken = sum(said == "+OK" for said in wanted.values())
            reached = await self.deliver(before + taken, AGAIN)
            if reached and taken == len(wanted):
                return Served(self.relay.processor(), time.monotonic() - self.relay.began)
            now = time.monotonic()
            refused = reached and self.list.watches  # the list is told whole, and some are not taken on
            refused_since = (refused_since or now) if refused else None
            long = REFUSED_LONG if taken else REFUSED_ALL
            never = self.list.whole - asked >= ASKED_MOST and not reached
            if never or now > until or refused_since is not None and now - refused_since > long:
                raise NotServing(self._seen(wanted, self.delivered() - before, asked))
            if taken < len(wanted):
                await asyncio.sleep(AGAIN)

    def _seen(self, wanted: dict[int, str], delivered: int, asked: int) -> str:
        said = ", ".join(f"{number}: {words}" for number, words in wanted.items())
        return (
            f"PING is answered; texts by destination: {said}; delivered {delivered} of {len(wanted)}; "
            f"list of {len(self.list.list_bytes())} B asked for {self.list.whole - asked} times"
        )

    async def again(self, seconds: float = 120.0) -> Served:
        """Stop it in order and start it again in its folder."""
        await self.relay.stop()
        return await self.serve(seconds)

    async def calm(self) -> None:
        """Wait until no connection to a host is kept any more.

        Guards against what the ends of kept connections cost, which would pass for that of the next step."""
        await asyncio.sleep(IDLE_TIME)
        await self.relay.settle()

    async def rest(self, seconds: float) -> tuple[float, float]:
        """Seconds of processor and control bytes a second, with nothing to do."""
        await self.calm()
        used, control, began = self.relay.processor(), self.control_bytes(), time.monotonic()
        await asyncio.sleep(seconds)
        span = time.monotonic() - began
        self.idle = (self.relay.processor() - used) / span
        return self.idle, (self.control_bytes() - control) / span

    async def over(self, step: Awaitable[object]) -> float:
        """Seconds of processor while this step is awaited, all told."""
        used = self.relay.processor()
        await step
        return self.relay.processor() - used

    @contextlib.asynccontextmanager
    async def cost(self, spent: list[float], seconds: float = 120.0):
        """Appends to `spent` the seconds of processor that the block causes, until the relay is calm again,
        less what it uses at rest."""
        used, began = self.relay.processor(), time.monotonic()
        yield
        await self.relay.settle(seconds)
        span = time.monotonic() - began
        spent.append(self.relay.processor() - used - self.idle * span)

    def _moved(self, places: list[int]) -> list[bytes]:
        self.away ^= set(places)
        return [
            row_of(self.numbers[place], self.servers[place in self.away].address, place + 1)
            for place in places
        ]

    def move(self, places: list[int]) -> int:
        """Tell, in one object, that the hosts at these places of the list are at their other address; returns
        its bytes on the wire."""
        return self.list.change(places, self._moved(places))

    def relist(self, places: list[int]) -> int:
        """Tell the whole list anew on the watch, with the hosts at these places at their other address."""
        for place, row in zip(places, self._moved(places), strict=True):
            self.list.rows[place] = row
        return self.list.tell_whole()

    async def in_force(self, places: list[int], seconds: float = 30.0) -> int:
        """How many of these moved hosts get a text where they are now, all within `seconds`.

        Guards against a text that passes the news on its way to the relay: its connection, out as the news
        comes, is kept for as long as it is used; so another one follows after a rest longer than that."""
        right, until = 0, time.monotonic() + seconds
        await asyncio.sleep(NEWS_WAIT)
        for place in places:
            face = (self.here, self.moved)[place in self.away]
            while True:
                texts, delivered = len(face.texts), self.delivered()
                await hand_in(self.relay.port, [self.numbers[place]], 1)
                await self.deliver(delivered + 1, seconds)
                if len(face.texts) > texts or time.monotonic() + IDLE_TIME > until:
                    right += len(face.texts) > texts
                    break
                await asyncio.sleep(IDLE_TIME)
        return right

    async def deliver(self, texts: int, seconds: float) -> bool:
        """Wait until so many have been delivered since the session began; whether they have."""
        until = time.monotonic() + seconds
        while self.delivered() < texts and time.monotonic() < until:
            await asyncio.sleep(LOOK)
        return self.delivered() >= texts

    async def wake(self, destinations: list[int], seconds: float = 60.0) -> tuple[Counter[str], int]:
        """A text for each, at once; what was answered, and how many came to their hosts in time."""
        before = self.delivered()
        said = await hand_in(self.relay.port, destinations)
        await self.deliver(before + said["+OK"], seconds)
        return said, self.delivered() - before

    async def steady(self, destinations: list[int], rate: float) -> int:
        """A text for each, one after the other, `rate` a second; how many came to their hosts."""
        before = self.delivered()
        taken = await trickle_in(self.relay.port, destinations, rate)
        await self.deliver(before + taken, 10.0)
        return self.delivered() - before

    async def hold(self, texts: int) -> Counter[str]:
        """Hand in `texts` for the shut destinations, evenly; each of these has been told to wait before."""
        places, before = self.shut_ones, len(self.shut.texts)
        said = await hand_in(self.relay.port, places[:texts])
        await self.shut.reach(before + min(texts, len(places)), 60.0)
        rest = [places[each % len(places)] for each in range(len(places), texts)]
        return said + (await hand_in(self.relay.port, rest) if rest else Counter())

    def forget_peak(self) -> None:
        """Count the peak of memory from here (/proc/PID/clear_refs, 5); passed over where that is not to be
        had."""
        with contextlib.suppress(OSError):
            Path(f"/proc/{self.relay.pid}/clear_refs").write_text("5")

    async def descriptors_most(self, stop: asyncio.Event) -> int:
        """The most descriptors seen, looked at every 20 ms until `stop`."""
        most = 0
        while not stop.is_set():
            most = max(most, self.relay.gauges().descriptors)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), 0.02)
        return most
