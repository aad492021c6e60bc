"""Texts that flow through one relay while its machine fails, and what must hold of each of them."""

from __future__ import annotations

import itertools
import queue
import threading
import time


ANSWER_WAIT = 0.4  # seconds a client waits, as the protocol has it
OVERDUE = 0.3 + 0.05  # after a text's time within which it must have its end
AFTER_RESTART = 1.5 + 0.05  # seconds since a relay is ready again within which no notice is overdue
PRODUCTS = ("report", "notice", "charge")  # may be repeated, within a window, and never


class Text:
    """One text that a client handed in."""

    def __init__(self, text: str, product: str, valid: float) -> None:
        self.id, self.product, self.valid, self.asked = text, product, valid, time.monotonic()
        self.answer: str | None = None
        self.calls: list[float] = []
        self.delivered: float | None = None
        self.notice: tuple[float, str] | None = None
        self.not_overdue_before = 0.0  # a restart fell into its time

    @property
    def due(self) -> float:
        return max(self.asked + self.valid + OVERDUE, self.not_overdue_before)

    @property
    def ended(self) -> bool:
        return self.delivered is not None or self.notice is not None


class Flow:
    """A client, a host and the platform round one relay; `check` says what was broken."""

    def __init__(self, program, agent, make_host, valid: float = 4.0) -> None:
        self.program, self.agent, self.valid = program, agent, valid
        self.texts: dict[str, Text] = {}
        self.numbers = itertools.count(1)
        self.host = make_host(self._called)
        agent.list(self.host.address)
        self.client = None
        self._listening = threading.Thread(target=self._listen, daemon=True)

    @property
    def host_port(self) -> int:
        return int(self.host.address.rpartition(":")[2])

    @property
    def agent_port(self) -> int:
        return int(self.agent.address.rpartition(":")[2])

    def start(self) -> None:
        self.client = self.program.start()
        self._listening.start()

    def restart(self) -> None:
        """Start the program again, on its folder; by the protocol no open text is overdue for 1.5 s then."""
        self.client = self.program.start()
        ready = time.monotonic()
        for text in self.texts.values():
            if not text.ended:
                text.not_overdue_before = ready + AFTER_RESTART

    def _called(self, request):
        text = self.texts[request.headers["X-Txn"]]
        text.calls.append(time.monotonic())
        text.delivered = text.delivered or time.monotonic()
        return (200,)

    def _listen(self) -> None:
        while True:
            told = self.agent.notices.get()
            if (text := self.texts.get(told["ref"])) is not None and text.notice is None:
                text.notice = (time.monotonic(), told["result"])

    def submit_text(self, within: float = 0.0) -> Text:
        """A text that is taken on: as a client does, under a new id after a refusal, a close or no answer.

        `within`: seconds after which AssertionError is raised; the first try counts always."""
        until, tried = time.monotonic() + within, []
        while not tried or time.monotonic() < until:
            number = next(self.numbers)
            text = Text(f"t{number}", PRODUCTS[number % len(PRODUCTS)], self.valid)
            self.texts[text.id] = text
            text.answer = self._ask(text)
            if text.answer == "+OK":
                return text
            tried.append(text.answer)
            threading.Event().wait(0.02)
        raise AssertionError(f"no text was taken on within {within} s: {tried}")

    def _ask(self, text: Text) -> str:
        """The relay's answer; the reason in words where there is none."""
        try:
            if self.client is None:
                self.client = self.program.client()
            self.client.socket.settimeout(ANSWER_WAIT)
            key = "k1" if text.product == "charge" else "0000"
            answer = self.client.submit(text.id, text.product, d=int(self.valid * 1000), key=key)
        except TimeoutError:
            answer = "no answer"
        except OSError as error:
            answer = f"connection: {error}"
        if not answer.startswith(("+", "-")):
            self.client = None
        return answer or "closed"

    def settle(self) -> None:
        """Until each text that was taken on has its end, or is overdue."""
        for text in list(self.texts.values()):
            while text.answer == "+OK" and not text.ended and time.monotonic() < text.due + 0.5:
                threading.Event().wait(0.02)

    def check(self) -> list[str]:
        """Every broken rule, in words."""
        wrong = []
        for text in self.texts.values():
            if text.answer == "+OK" and not text.ended:
                wrong.append(f"{text.id} ({text.product}) has no end")
            elif text.answer == "+OK" and min(self._ends(text)) > text.due:
                wrong.append(f"{text.id} ({text.product}) ended late")
            if text.product == "charge" and len(text.calls) > 1:
                wrong.append(f"{text.id} ran {len(text.calls)} times and may run once")
            if text.notice is not None and any(call > text.notice[0] + 0.05 for call in text.calls):
                wrong.append(f"{text.id} was sent after its end")
        if self.program.process.poll() is not None:
            wrong.append(f"the relay ended with {self.program.process.returncode}")
        faults = ("event=fault", "event=connection-not-served", "Traceback", "Unhandled")
        wrong += [line for line in self.program.log_lines if any(word in line for word in faults)]
        return wrong

    @staticmethod
    def _ends(text: Text) -> list[float]:
        return [end for end in (text.delivered, text.notice and text.notice[0]) if end is not None]


def drain(lines: queue.Queue) -> None:
    """Forget the log lines so far, so that `says` finds a later one."""
    while not lines.empty():
        lines.get_nowait()
