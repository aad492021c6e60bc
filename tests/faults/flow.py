"""Sends texts through one relay while its machine fails, and checks the relay's guarantees for each text."""

from __future__ import annotations

import itertools
import queue
import threading
import time


ANSWER_TIMEOUT = 0.4  # seconds that a client waits, by the protocol
MAX_LATE = 0.3 + 0.05  # seconds after a text's validity within which it must end: the protocol's, a margin
RESTART_GRACE = 1.5 + 0.05  # seconds after a restart before a notice is overdue: the protocol's, and a margin
PRODUCTS = ("report", "notice", "charge")  # repeatable, repeatable within a window, once-only


class Text:
    """One text that the client submitted, with everything that became of it; times in seconds."""

    def __init__(self, text: str, product: str, valid: float) -> None:
        self.id, self.product, self.valid, self.asked = text, product, valid, time.monotonic()
        self.answer: str | None = None
        self.calls: list[float] = []
        self.delivered: float | None = None
        self.notice: tuple[float, str] | None = None
        self.not_overdue_before = 0.0  # later than its deadline if the relay restarted while it was open

    @property
    def due(self) -> float:
        """When the text must have ended."""
        return max(self.asked + self.valid + MAX_LATE, self.not_overdue_before)

    @property
    def ended(self) -> bool:
        """Whether the text was delivered or reported by a notice."""
        return self.delivered is not None or self.notice is not None


class Flow:
    """A client, a host and the platform of one relay; `check` lists the broken guarantees."""

    def __init__(self, program, agent, make_host, valid: float = 4.0) -> None:
        self.program, self.agent, self.valid = program, agent, valid
        self.texts: dict[str, Text] = {}
        self.numbers = itertools.count(1)
        self.host = make_host(self._called)
        agent.list(self.host.address)
        self.client = None
        self._notice_thread = threading.Thread(target=self._collect_notices, daemon=True)

    @property
    def host_port(self) -> int:
        return int(self.host.address.rpartition(":")[2])

    @property
    def agent_port(self) -> int:
        return int(self.agent.address.rpartition(":")[2])

    def start(self) -> None:
        """Start the relay and collect notices from now on."""
        self.client = self.program.start()
        self._notice_thread.start()

    def restart(self) -> None:
        """Start the relay again on its state directory. By the protocol no text is overdue for 1.5 s then."""
        self.client = self.program.start()
        ready_at = time.monotonic()
        for text in self.texts.values():
            if not text.ended:
                text.not_overdue_before = ready_at + RESTART_GRACE

    def _called(self, request):
        text = self.texts[request.headers["X-Txn"]]
        text.calls.append(time.monotonic())
        text.delivered = text.delivered or time.monotonic()
        return (200,)

    def _collect_notices(self) -> None:
        while True:
            notice = self.agent.notices.get()
            if (text := self.texts.get(notice["ref"])) is not None and text.notice is None:
                text.notice = (time.monotonic(), notice["result"])

    def submit_text(self, within: float = 0.0) -> Text:
        """Submit a text until one is accepted, with a new id after a refusal, a close or a missing answer.

        Raises AssertionError if none is accepted `within` so many seconds; there is always one attempt."""
        deadline, answers = time.monotonic() + within, []
        while not answers or time.monotonic() < deadline:
            number = next(self.numbers)
            text = Text(f"t{number}", PRODUCTS[number % len(PRODUCTS)], self.valid)
            self.texts[text.id] = text
            text.answer = self._submit_once(text)
            if text.answer == "+OK":
                return text
            answers.append(text.answer)
            threading.Event().wait(0.02)
        raise AssertionError(f"no text was accepted within {within} s: {answers}")

    def _submit_once(self, text: Text) -> str:
        """The relay's answer, or the reason why there is none."""
        try:
            if self.client is None:
                self.client = self.program.client()
            self.client.socket.settimeout(ANSWER_TIMEOUT)
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
        """Wait until each accepted text has ended or is overdue."""
        for text in list(self.texts.values()):
            while text.answer == "+OK" and not text.ended and time.monotonic() < text.due + 0.5:
                threading.Event().wait(0.02)

    def check(self) -> list[str]:
        """One line for each broken guarantee, and for each error in the relay's log."""
        problems = []
        for text in self.texts.values():
            if text.answer == "+OK" and not text.ended:
                problems.append(f"{text.id} ({text.product}) has no end")
            elif text.answer == "+OK" and min(self._end_times(text)) > text.due:
                problems.append(f"{text.id} ({text.product}) ended late")
            if text.product == "charge" and len(text.calls) > 1:
                problems.append(f"{text.id} ran {len(text.calls)} times and may run once")
            if text.notice is not None and any(call > text.notice[0] + 0.05 for call in text.calls):
                problems.append(f"{text.id} was sent after its end")
        if self.program.process.poll() is not None:
            problems.append(f"the relay ended with {self.program.process.returncode}")
        faults = ("event=fault", "event=connection-not-served", "Traceback", "Unhandled")
        problems += [line for line in self.program.log_lines if any(word in line for word in faults)]
        return problems

    @staticmethod
    def _end_times(text: Text) -> list[float]:
        return [end for end in (text.delivered, text.notice and text.notice[0]) if end is not None]


def drain(lines: queue.Queue) -> None:
    """Discard the log lines read so far, so that `says` finds a later one."""
    while not lines.empty():
        lines.get_nowait()
