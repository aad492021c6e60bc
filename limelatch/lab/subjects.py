"""The subjects of the fleet stage: the decision module, and simple baselines for comparison.

A baseline deliberately has none of the module's rules and budgets beyond those stated: it shows what they
gain.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from limelatch import interface as li
from limelatch.interface import MS, SECOND, Effect, Listing, Result
from limelatch.lab.world.random_streams import RandomStreams
from limelatch.policy import Policy

EXPIRY_MARGIN = 100 * MS  # before the end of the validity period
SUBMIT_TIMEOUT = 3 * SECOND
CONNECTION_IDLE_LIMIT = 5 * SECOND
RETRY_INTERVAL = 500 * MS  # between two attempts, whatever the result


@dataclass(slots=True, eq=False)
class BaselineText:
    """The state of one text: attempts, time of the next one, and when and where it may first have run."""

    text: li.Text
    attempts: int
    retry_at: int
    in_flight: bool = False
    first_run_at: int | None = None
    first_run_zone: int | None = None


class BaselinePolicy:
    """A policy that learns nothing: each text is sent to a random host as soon as a slot is free.

    `max_attempts` limits the attempts for a text, `RETRY_INTERVAL` apart, as far as the product allows a
    retry. The class has the interface of the decision module. Retry-After, drains and the order of keys are
    respected, since no partner could be used without them, but results do not influence later decisions."""

    max_attempts = 1

    def __init__(self, settings: li.PolicySettings, now: int) -> None:
        self.settings, self.random_streams = settings, RandomStreams(settings.seed)
        self.texts: dict[li.TextId, BaselineText] = {}
        self.finished_texts: dict[li.TextId, li.Text] = {}
        self.hosts: dict[li.HostId, li.HostEntry] = {}
        self.by_destination: dict[int, list[li.HostId]] = {}
        self.wait_until: dict[int, int] = {}
        self.key_queues: dict[object, list[li.TextId]] = {}
        self.cooldown_until: dict[object, int] = {}
        self.expiries: list[tuple[int, li.TextId]] = []
        self.used_slots = 0
        self.unsent: dict[li.TextId, None] = {}
        self.stop_at = 1 << 62

    def hosts_listed(self, now: int, entries: list[li.HostEntry], whole: bool) -> None:
        """Update the list of hosts; `whole`: it replaces the known one."""
        if whole:
            self.hosts.clear()
        for entry in entries:
            self.hosts[entry.host] = entry
        self.by_destination = {}
        for entry in self.hosts.values():
            if entry.listing is Listing.READY:
                self.by_destination.setdefault(entry.destination, []).append(entry.host)

    def text_accepted(self, now: int, text: li.Text, history: li.TextHistory | None = None) -> None:
        """Accept a text, with what an earlier process did with it."""
        history = history or li.TextHistory()
        self.texts[text.id] = BaselineText(
            text,
            history.submit_count,
            now,
            first_run_at=history.first_run_at,
            first_run_zone=history.first_run_zone,
        )
        self.unsent[text.id] = None
        heapq.heappush(self.expiries, (text.valid_until - EXPIRY_MARGIN, text.id))
        if text.key and self.settings.products[text.product].in_order:
            self.key_queues.setdefault(text.key, []).append(text.id)
            if history.in_flight:
                self.cooldown_until[text.key] = now + self.settings.key_cooldown
        if history.is_answered:
            self.finished_texts[text.id] = self.texts.pop(text.id).text
            self.unsent.pop(text.id)

    def text_finished(self, now: int, text: li.TextId) -> None:
        """Forget a text."""
        self.texts.pop(text, None)
        finished_text = self.finished_texts.pop(text, None)
        self.unsent.pop(text, None)
        if finished_text is not None:
            self._remove_from_queue(finished_text)

    def _remove_from_queue(self, text: li.Text) -> None:
        queue = self.key_queues.get(text.key)
        if queue and text.id in queue:
            queue.remove(text.id)

    def submit_ended(self, now: int, report: li.SubmitReport) -> None:
        """Record the result of a submit, and schedule the next attempt unless the text is finished."""
        pending = self.texts.get(report.text)
        if pending is None or not pending.in_flight:
            return
        self.used_slots -= 1
        pending.in_flight, text = False, pending.text
        if report.retry_after:
            until = max(self.wait_until.get(text.destination, 0), now + report.retry_after)
            self.wait_until[text.destination] = until
        if report.finished:
            self.texts.pop(report.text)
            self._remove_from_queue(text)
            return
        if report.result in (Result.ERROR, Result.MALFORMED, Result.TIMEOUT, Result.RESET):
            if pending.first_run_at is None:
                pending.first_run_at = now - report.took
                pending.first_run_zone = self.hosts[report.host].zone if report.host in self.hosts else None
            if text.key and report.result is not Result.ERROR:
                self.cooldown_until[text.key] = now + self.settings.key_cooldown
        pending.retry_at = now + RETRY_INTERVAL
        self.unsent[report.text] = None
        heapq.heappush(self.expiries, (text.valid_until - EXPIRY_MARGIN, text.id))

    def stopping(self, until: int) -> None:
        """Send nothing from `until` on."""
        self.stop_at = until

    def may_send(self, now: int, text: li.TextId, host: li.HostId) -> bool:
        """Whether the host is ready, and its destination does not ask to wait."""
        entry, pending = self.hosts.get(host), self.texts.get(text)
        return (
            entry is not None
            and entry.listing is Listing.READY
            and pending is not None
            and self.wait_until.get(entry.destination, 0) <= now
        )

    def decide(self, now: int) -> list[li.Action]:
        """Return the actions to carry out now."""
        actions: list[li.Action] = []
        while self.expiries and self.expiries[0][0] <= now:
            pending = self.texts.get(heapq.heappop(self.expiries)[1])
            if pending is not None and not pending.in_flight:
                self._finish(pending, actions)
        for text in list(self.unsent):
            pending = self.texts.get(text)
            if pending is None:
                self.unsent.pop(text, None)
            elif self._is_exhausted(now, pending):
                self._finish(pending, actions)
            elif (
                self.used_slots < self.settings.slots
                and pending.retry_at <= now < self.stop_at
                and self._has_turn(now, pending.text)
            ):
                self._submit(now, pending, actions)
        if self.unsent:
            actions.append(li.Wake(20 * MS))
        return actions

    def _is_exhausted(self, now: int, pending: BaselineText) -> bool:
        """Whether the text must not be sent again."""
        product = self.settings.products[pending.text.product]
        if pending.attempts >= min(self.max_attempts, self.settings.max_submits):
            return True
        if pending.first_run_at is None or product.effect is Effect.RESENDABLE:
            return False
        return (
            product.effect is Effect.ONCE_ONLY
            or now + EXPIRY_MARGIN >= pending.first_run_at + product.retry_window
        )

    def _has_turn(self, now: int, text: li.Text) -> bool:
        queue = self.key_queues.get(text.key)
        first = not queue or queue[0] == text.id
        return (
            first
            and self.cooldown_until.get(text.key, 0) <= now
            and self.wait_until.get(text.destination, 0) <= now
        )

    def _submit(self, now: int, pending: BaselineText, actions: list[li.Action]) -> None:
        text = pending.text
        product = self.settings.products[text.product]
        hosts = self.by_destination.get(text.destination, [])
        if (
            pending.first_run_at is not None
            and product.effect is Effect.REFERENCED
            and not product.retry_anywhere
        ):
            hosts = [each for each in hosts if self.hosts[each].zone == pending.first_run_zone]
        if not hosts:
            return
        host = hosts[self.random_streams.next_below("host", len(hosts))]
        pending.attempts, pending.in_flight = pending.attempts + 1, True
        self.used_slots += 1
        self.unsent.pop(text.id, None)
        actions.append(
            li.Submit(
                text.id, host, max(1, min(SUBMIT_TIMEOUT, text.valid_until - now)), CONNECTION_IDLE_LIMIT
            )
        )

    def _finish(self, pending: BaselineText, actions: list[li.Action]) -> None:
        text = pending.text
        product = self.settings.products[text.product]
        may_nack = (
            pending.first_run_at is None
            or product.effect is Effect.RESENDABLE
            or product.effect is Effect.REFERENCED
            and product.retry_anywhere
        )
        actions.append(li.Nack(text.id, self.settings.max_advice) if may_nack else li.Undeliverable(text.id))
        self.finished_texts[text.id] = self.texts.pop(text.id).text
        self.unsent.pop(text.id, None)


class OneTry(BaselinePolicy):
    """One attempt for each text."""


class FixedRetries(BaselinePolicy):
    """Four attempts for each text, half a second apart, without a retry budget."""

    max_attempts = 4


SUBJECTS = {"module": Policy, "one-try": OneTry, "fixed-retries": FixedRetries}
