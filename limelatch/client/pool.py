"""A pool of connections to one relay, which are kept between commands."""

from __future__ import annotations

import asyncio
import os

from limelatch.client.wire import Answer, AnswerKind, RelayConnection, Submission

TIMEOUT = 0.4  # seconds to wait for an answer
PING = b"*1\r\n$4\r\nPING\r\n"


class Pool:
    """Sends commands over at most `max_connections` connections; further commands wait for a free one."""

    def __init__(self, host: str, port: int, max_connections: int = 64, timeout: float = TIMEOUT) -> None:
        self.host, self.port, self.timeout = host, port, timeout
        self.idle: list[RelayConnection] = []
        self.free_connections = asyncio.Semaphore(max_connections)
        self.opened_count = 0  # connections opened so far

    async def __aenter__(self) -> Pool:
        return self

    async def __aexit__(self, *ended: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    async def submit(self, text: Submission) -> Answer:
        """Hand in one text and return the relay's answer."""
        return await self.ask(text.command())

    async def ping(self) -> Answer:
        """Ask whether the relay serves."""
        return await self.ask(PING)

    async def ask(self, command: bytes) -> Answer:
        """Send one command and return its answer; a failure to connect is an answer of kind LOST.

        The command is sent again where a kept connection turns out to be closed: by the platform's protocol
        the relay has not read what crossed its closing."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with self.free_connections:
            while self.idle:
                connection = self.idle.pop()
                if not connection.open:
                    continue
                answer = await connection.ask(command, self.timeout)
                if answer.kind is not AnswerKind.LOST:
                    return self._release(connection, answer)
            try:
                async with asyncio.timeout(self.timeout):
                    _, connection = await loop.create_connection(RelayConnection, self.host, self.port)
            except (OSError, TimeoutError) as error:
                message = os.strerror(error.errno) if error.errno else "no connection in time"
                return Answer(AnswerKind.LOST, message, loop.time() - started_at)
            self.opened_count += 1
            return self._release(connection, await connection.ask(command, self.timeout))

    def _release(self, connection: RelayConnection, answer: Answer) -> Answer:
        if connection.open:
            self.idle.append(connection)
        return answer
