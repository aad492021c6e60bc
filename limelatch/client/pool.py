"""Connections to one relay, kept between commands, as many as commands wait at once."""

from __future__ import annotations

import asyncio
import os

from limelatch.client.wire import Answer, Ending, HandedText, Line

TIMEOUT = 0.4  # seconds that a client waits for an answer
PING = b"*1\r\n$4\r\nPING\r\n"


class Pool:
    """Hands in texts; `most` connections at once, and those beyond wait their turn."""

    def __init__(self, host: str, port: int, most: int = 64, timeout: float = TIMEOUT) -> None:
        self.host, self.port, self.timeout = host, port, timeout
        self.idle: list[Line] = []
        self.turns = asyncio.Semaphore(most)
        self.opened = 0  # connections so far

    async def __aenter__(self) -> Pool:
        return self

    async def __aexit__(self, *ended: object) -> None:
        self.close()

    def close(self) -> None:
        while self.idle:
            self.idle.pop().close()

    async def submit(self, text: HandedText) -> Answer:
        """Hand in one text."""
        return await self.ask(text.command())

    async def ping(self) -> Answer:
        return await self.ask(PING)

    async def ask(self, command: bytes) -> Answer:
        """One command. A kept connection that the relay has closed between commands costs a second try: what
        crossed its closing was not read (the platform's protocol)."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with self.turns:
            while self.idle:
                line = self.idle.pop()
                if not line.open:
                    continue
                answer = await line.ask(command, self.timeout)
                if answer.ending is not Ending.LOST:
                    return self._rest(line, answer)
            try:
                async with asyncio.timeout(self.timeout):
                    _, line = await loop.create_connection(Line, self.host, self.port)
            except (OSError, TimeoutError) as error:
                words = os.strerror(error.errno) if error.errno else "no connection in time"
                return Answer(Ending.LOST, words, loop.time() - began)
            self.opened += 1
            return self._rest(line, await line.ask(command, self.timeout))

    def _rest(self, line: Line, answer: Answer) -> Answer:
        if line.open:
            self.idle.append(line)
        return answer
