"""The sockets stage, extended by the process actions, machine faults and extra clients of a soak plan."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

from limelatch.interface import SECOND
from limelatch.lab.machine.faults import Faults
from limelatch.lab.soak.crowds import Crowd
from limelatch.lab.soak.plan import MachineFault, SoakPlan
from limelatch.lab.soak.relay import SoakRelay
from limelatch.lab.soak.surplus import SurplusServer
from limelatch.lab.stages.sockets import Sockets
from limelatch.standin.http import Handler, Server

INCOMPLETE_COMMAND = b"*5\r\n$6\r\nSUBMIT\r\n$4\r\n0000"
PING_COMMAND = b"*1\r\n$4\r\nPING\r\n"
# As the deploy file starts a relay: a SIGHUP before the program reads its configuration has no effect.
START_SCRIPT = 'trap \'\' HUP; cd "$0" && exec "$@"'
INCOMPLETE_COMMAND_STAY = 4.0  # seconds for which a client with half a command stays connected
IDLE_CLIENT_RECONNECT_DELAY = 0.5  # seconds at least, twice as many at most


class SoakStage(Sockets):
    """Plays the whole plan of one seed."""

    def __init__(self, plan: SoakPlan, fault_library: Path | None, subject: Path, *rest) -> None:
        """`fault_library`: None if the plan has no machine faults; `subject`: checkout of the relays."""
        self.plan, self.fault_library, self.faults = plan, fault_library, []
        self.random = random.Random(plan.seed)
        super().__init__(plan.scenario, plan.seed, *rest)
        self.command = ["/bin/sh", "-c", START_SCRIPT, str(subject), *self.command]

    def server(self, handler: Handler) -> Server:
        """A server of hosts or of a catalog and platform, with surplus responses if the plan has any."""
        if self.plan.surplus is None:
            return super().server(handler)
        host, port = self.address.host, self.address.port()
        return SurplusServer(self.plan.surplus, self.random, handler, host, port)

    def make_relay(self, number: int) -> SoakRelay:
        """A relay, with machine faults if the plan has any."""
        listen = f"{self.address.host}:{self.address.port()}"
        relay = SoakRelay(number, self, self.folder, listen)
        if self.fault_library is not None:
            self.faults.append(Faults(self.fault_library, self.folder / f"{relay.name}.faults"))
            relay.environment = self.faults[-1].environment
        return relay

    def begin(self) -> None:
        """Start the play: schedule actions and machine faults, start idle and faulty clients."""
        super().begin()
        for action in self.plan.actions:
            self.clock.at(int(action.at * SECOND), self._start_action, action)
        for fault in self.plan.machine_faults:
            self.clock.at(int(fault.at * SECOND), self._apply_fault, fault)
        for relay in self.relays:
            for _ in range(self.plan.idle_clients):
                self.spawn(self._run_idle_client(relay))
            if self.plan.faulty_client_rate:
                self.spawn(self._run_faulty_clients(relay))

        for crowd in self.plan.crowds.crowds if self.plan.crowds is not None else ():
            self.clock.at(int(crowd.at * SECOND), self._start_crowd, crowd)

    def _start_crowd(self, crowd: Crowd) -> None:
        self.spawn(self._run_crowd(crowd))

    async def _run_crowd(self, crowd: Crowd) -> None:
        """Play bad clients against a relay, in a process of their own; it ends by itself or with the play."""
        relay = self.relays[crowd.relay]
        relay.note(f"crowd: {crowd.clients} {crowd.shape.value}")
        command = [sys.executable, "-m", "limelatch.lab.bad_clients", *crowd.arguments(relay.listen)]
        process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.DEVNULL)
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    def _start_action(self, action) -> None:
        self.spawn(self.relays[action.relay].perform(action))

    def _apply_fault(self, fault: MachineFault) -> None:
        """Apply a machine fault to all processes of a relay."""
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
    def problems(self) -> list[str]:
        """Failures of the relays' processes, each with the name of its relay."""
        return [f"{relay.name}: {problem}" for relay in self.relays for problem in relay.problems]

    async def _run_idle_client(self, relay: SoakRelay) -> None:
        """A client that sends one command, stays idle until the relay disconnects it, and reconnects."""
        host, _, port = relay.listen.partition(":")
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                with contextlib.closing(writer):
                    writer.write(PING_COMMAND)
                    while await reader.read(64):
                        pass
            await asyncio.sleep(IDLE_CLIENT_RECONNECT_DELAY * (1 + self.random.random()))

    async def _run_faulty_clients(self, relay: SoakRelay) -> None:
        """Start clients that send half a command and stay, or a whole one and disconnect before the reply."""
        while True:
            await asyncio.sleep(self.random.expovariate(self.plan.faulty_client_rate))
            self.spawn(self._run_faulty_client(relay, self.random.random() < 0.5))

    async def _run_faulty_client(self, relay: SoakRelay, is_incomplete: bool) -> None:
        host, _, port = relay.listen.partition(":")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(INCOMPLETE_COMMAND if is_incomplete else PING_COMMAND)
                if is_incomplete:
                    await asyncio.sleep(INCOMPLETE_COMMAND_STAY)
