"""What the fleet stage can run: the module as it is, and plain baselines to hold it against.

The baselines keep no rule on purpose beyond what they say: they show what the module's rules and budgets are
worth.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from limelatch import interface as li
from limelatch.interface import MS, SECOND, Effect, Listing, Result
from limelatch.lab.world.random_streams import RandomStreams
from limelatch.policy import Policy

LAST_MOMENT = 100 * MS
TIME_OUT = 3 * SECOND
KEEP = 5 * SECOND
PAUSE = 500 * MS  # between two tries, whatever happens


@dataclass(slots=True, eq=False)
class PlainText:
    """One text: how often it was sent, when it may go, and when and where it may have run first."""

    text: li.Text
    tries: int
    due: int
    out: bool = False
    ran_at: int | None = None
    floor: int | None = None


class Plain:
    """A relay's decisions without any knowledge: each text goes to a host by chance as soon as a slot is
    free.

    `tries` is how often it is sent, `PAUSE` apart, as long as its product lets it go again. It speaks the
    module's interface; told waits, drains and the order of keys are kept, since without them it could not be
    let near a partner, but nothing is learned from any outcome."""

    tries = 1

    def __init__(self, settings: li.PolicySettings, now: int) -> None:
        self.settings, self.random_streams = settings, RandomStreams(settings.seed)
        self.texts: dict[li.TextId, PlainText] = {}
        self.over: dict[li.TextId, li.Text] = {}
        self.hosts: dict[li.HostId, li.HostEntry] = {}
        self.by_destination: dict[int, list[li.HostId]] = {}
        self.waits: dict[int, int] = {}
        self.lines: dict[object, list[li.TextId]] = {}
        self.rests: dict[object, int] = {}
        self.expiries: list[tuple[int, li.TextId]] = []
        self.used = 0
        self.waiting: dict[li.TextId, None] = {}
        self.stop_at = 1 << 62

    def hosts_listed(self, now: int, entries: list[li.HostEntry], whole: bool) -> None:
        if whole:
            self.hosts.clear()
        for entry in entries:
            self.hosts[entry.host] = entry
        self.by_destination = {}
        for entry in self.hosts.values():
            if entry.listing is Listing.READY:
                self.by_destination.setdefault(entry.destination, []).append(entry.host)

    def text_accepted(self, now: int, text: li.Text, history: li.TextHistory | None = None) -> None:
        history = history or li.TextHistory()
        self.texts[text.id] = PlainText(
            text, history.submit_count, now, ran_at=history.first_run_at, floor=history.first_run_zone
        )
        self.waiting[text.id] = None
        heapq.heappush(self.expiries, (text.valid_until - LAST_MOMENT, text.id))
        if text.key and self.settings.products[text.product].in_order:
            self.lines.setdefault(text.key, []).append(text.id)
            if history.in_flight:
                self.rests[text.key] = now + self.settings.key_cooldown
        if history.is_answered:
            self.over[text.id] = self.texts.pop(text.id).text
            self.waiting.pop(text.id)

    def text_finished(self, now: int, text: li.TextId) -> None:
        self.texts.pop(text, None)
        row = self.over.pop(text, None)
        self.waiting.pop(text, None)
        if row is not None:
            self._out_of_line(row)

    def _out_of_line(self, row: li.Text) -> None:
        line = self.lines.get(row.key)
        if line and row.id in line:
            line.remove(row.id)

    def submit_ended(self, now: int, report: li.SubmitReport) -> None:
        held = self.texts.get(report.text)
        if held is None or not held.out:
            return
        self.used -= 1
        held.out, text = False, held.text
        if report.retry_after:
            until = max(self.waits.get(text.destination, 0), now + report.retry_after)
            self.waits[text.destination] = until
        if report.finished:
            self.texts.pop(report.text)
            self._out_of_line(text)
            return
        if report.result in (Result.ERROR, Result.MALFORMED, Result.TIMEOUT, Result.RESET):
            if held.ran_at is None:
                held.ran_at = now - report.took
                held.floor = self.hosts[report.host].zone if report.host in self.hosts else None
            if text.key and report.result is not Result.ERROR:
                self.rests[text.key] = now + self.settings.key_cooldown
        held.due = now + PAUSE
        self.waiting[report.text] = None
        heapq.heappush(self.expiries, (text.valid_until - LAST_MOMENT, text.id))

    def stopping(self, until: int) -> None:
        self.stop_at = until

    def may_send(self, now: int, text: li.TextId, host: li.HostId) -> bool:
        entry, held = self.hosts.get(host), self.texts.get(text)
        return (
            entry is not None
            and entry.listing is Listing.READY
            and held is not None
            and self.waits.get(entry.destination, 0) <= now
        )

    def decide(self, now: int) -> list[li.Action]:
        actions: list[li.Action] = []
        while self.expiries and self.expiries[0][0] <= now:
            held = self.texts.get(heapq.heappop(self.expiries)[1])
            if held is not None and not held.out:
                self._end(held, actions)
        for text in list(self.waiting):
            held = self.texts.get(text)
            if held is None:
                self.waiting.pop(text, None)
            elif self._done(now, held):
                self._end(held, actions)
            elif (
                self.used < self.settings.slots
                and held.due <= now < self.stop_at
                and self._turn(now, held.text)
            ):
                self._submit(now, held, actions)
        if self.waiting:
            actions.append(li.Wake(20 * MS))
        return actions

    def _done(self, now: int, held: PlainText) -> bool:
        """Whether it is not to be sent again."""
        product = self.settings.products[held.text.product]
        if held.tries >= min(self.tries, self.settings.max_submits):
            return True
        if held.ran_at is None or product.effect is Effect.RESENDABLE:
            return False
        return product.effect is Effect.ONCE_ONLY or now + LAST_MOMENT >= held.ran_at + product.retry_window

    def _turn(self, now: int, text: li.Text) -> bool:
        line = self.lines.get(text.key)
        first = not line or line[0] == text.id
        return first and self.rests.get(text.key, 0) <= now and self.waits.get(text.destination, 0) <= now

    def _submit(self, now: int, held: PlainText, actions: list[li.Action]) -> None:
        text = held.text
        product = self.settings.products[text.product]
        hosts = self.by_destination.get(text.destination, [])
        if held.ran_at is not None and product.effect is Effect.REFERENCED and not product.retry_anywhere:
            hosts = [each for each in hosts if self.hosts[each].zone == held.floor]
        if not hosts:
            return
        host = hosts[self.random_streams.next_below("host", len(hosts))]
        held.tries, held.out = held.tries + 1, True
        self.used += 1
        self.waiting.pop(text.id, None)
        actions.append(li.Submit(text.id, host, max(1, min(TIME_OUT, text.valid_until - now)), KEEP))

    def _end(self, held: PlainText, actions: list[li.Action]) -> None:
        text = held.text
        product = self.settings.products[text.product]
        safe = (
            held.ran_at is None
            or product.effect is Effect.RESENDABLE
            or product.effect is Effect.REFERENCED
            and product.retry_anywhere
        )
        actions.append(li.Nack(text.id, self.settings.max_advice) if safe else li.Undeliverable(text.id))
        self.over[text.id] = self.texts.pop(text.id).text
        self.waiting.pop(text.id, None)


class OneTry(Plain):
    """One try a text."""


class FixedRetries(Plain):
    """Four tries a text, half a second apart, without a budget."""

    tries = 4


SUBJECTS = {"module": Policy, "one-try": OneTry, "fixed-retries": FixedRetries}
