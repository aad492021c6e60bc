"""The stage of a soak: the sockets stage with a plan's acts, its crowd and its nuisances."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

from limelatch.interface import SECOND
from limelatch.lab.machine.faults import Faults
from limelatch.lab.soak.plan import MachineFault, SoakPlan
from limelatch.lab.soak.relay import SoakRelay
from limelatch.lab.stages.sockets import Sockets

HALF_COMMAND = b"*5\r\n$6\r\nSUBMIT\r\n$4\r\n0000"
EARLY_COMMAND = b"*1\r\n$4\r\nPING\r\n"
# As the deploy file starts a relay: a SIGHUP before the program reads its configuration has nothing to tell.
START = 'trap \'\' HUP; cd "$0" && exec "$@"'
STAY = 4.0  # seconds for which a client with half a command stays
CROWD_LOOK = 0.5  # between two looks whether the crowd is whole


class SoakStage(Sockets):
    """All of one seed's play."""

    def __init__(self, plan: SoakPlan, library: Path | None, subject: Path, *rest) -> None:
        """`library`: of machine faults, where the plan has any; `subject`: whose relays are played."""
        self.plan, self.library, self.faults = plan, library, []
        self.random = random.Random(plan.seed)
        super().__init__(plan.scenario, plan.seed, *rest)
        self.command = ["/bin/sh", "-c", START, str(subject), *self.command]

    def make_relay(self, number: int) -> SoakRelay:
        listen = f"{self.address.host}:{self.address.port()}"
        relay = SoakRelay(number, self, self.folder, listen)
        if self.library is not None:
            self.faults.append(Faults(self.library, self.folder / f"{relay.name}.faults"))
            relay.environment = self.faults[-1].environment
        return relay

    def begin(self) -> None:
        super().begin()
        for act in self.plan.acts:
            self.clock.at(int(act.at * SECOND), self._act, act)
        for fault in self.plan.machine:
            self.clock.at(int(fault.at * SECOND), self._strike, fault)
        for relay in self.relays:
            for _ in range(self.plan.crowd):
                self.spawn(self._rest_idle(relay))
            if self.plan.nuisances:
                self.spawn(self._be_a_nuisance(relay))

    def _act(self, act) -> None:
        self.spawn(self.relays[act.relay].perform(act))

    def _strike(self, fault: MachineFault) -> None:
        """A fault of a relay's machine, for all its processes."""
        faults = self.faults[fault.relay]
        self.relays[fault.relay].note(f"machine: {fault.call or 'step'} {fault.step or ''}".strip())
        if fault.step:
            faults.step(fault.step)
            return
        faults.rule(
            fault.call,
            error=fault.error,
            seconds=fault.seconds,
            times=fault.times,
            most=fault.most,
            delay=fault.delay,
            path=fault.path,
        )

    @property
    def wrongs(self) -> list[str]:
        """What was wrong with the relays' processes."""
        return [f"{relay.name}: {words}" for relay in self.relays for words in relay.wrongs]

    async def _rest_idle(self, relay: SoakRelay) -> None:
        """One of a crowd: it asks once, rests until the relay ends it, and comes again."""
        host, _, port = relay.listen.partition(":")
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                with contextlib.closing(writer):
                    writer.write(EARLY_COMMAND)
                    while await reader.read(64):
                        pass
            await asyncio.sleep(CROWD_LOOK * (1 + self.random.random()))

    async def _be_a_nuisance(self, relay: SoakRelay) -> None:
        """Clients that send half a command and stay, or a whole one and leave before its answer."""
        while True:
            await asyncio.sleep(self.random.expovariate(self.plan.nuisances))
            self.spawn(self._nuisance(relay, self.random.random() < 0.5))

    async def _nuisance(self, relay: SoakRelay, stays: bool) -> None:
        host, _, port = relay.listen.partition(":")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(HALF_COMMAND if stays else EARLY_COMMAND)
                if stays:
                    await asyncio.sleep(STAY)
