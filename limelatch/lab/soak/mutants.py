"""Guards of the relay taken out one at a time: what the soak has to catch, to be worth its time.

Each mutant replaces one piece of the relay's code in a copy of the package.
"""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

PACKAGE = "limelatch"


class BadMutant(Exception):
    """The piece of code that a mutant replaces is not there, or there twice."""


@dataclass(frozen=True)
class Mutant:
    """A guard that is taken out: `old` in the file becomes `new`."""

    name: str
    path: str
    old: str
    new: str


MUTANTS = (
    Mutant(
        "a key's line over processes",
        "key_order.py",
        "if other is not None and not queue[0].precedes_sibling_text(other):",
        "if False:",
    ),
    Mutant(
        "a key's rest",
        "key_order.py",
        "if cooldown is not None and cooldown.until > now and cooldown.text != text:",
        "if False:",
    ),
    Mutant(
        "the rest in the ledger",
        "relay/driver.py",
        "self.ledger.record_submit_end(outgoing.text, outcome.result not in NEVER_RAN, now, cooldown_until)",
        "self.ledger.record_submit_end(outgoing.text, outcome.result not in NEVER_RAN)",
    ),
    Mutant(
        "the rest of a call that was out at its process's end",
        "policy.py",
        "if history.in_flight and pending.key:",
        "if False:",
    ),
    Mutant(
        "the look at the sibling as a call is written",
        "relay/handover.py",
        "if not self._sibling.has_ledger:\n            return self._record_in_turn(key, text, record_submit)",
        "if True:\n            record_submit()\n            return None",
    ),
    Mutant(
        "the record of a submit before it goes",
        "relay/driver.py",
        "accepted.submit_in_flight = self.ledger.record_submit(text, call.sent_at, zone)",
        "accepted.submit_in_flight = True",
    ),
    Mutant(
        "the window for repeats",
        "policy.py",
        "self.deadline = min(self.deadline, at + self.product.retry_window)",
        "pass",
    ),
    Mutant(
        "the drain asked about as a connection has come up",
        "policy.py",
        "ready = pending and host and host.listing is Listing.READY and self._has_turn(now, pending)",
        "ready = pending and host",
    ),
    Mutant(
        "the drain asked about in the decision",
        "policy.py",
        "if is_taken or must_wait or host.listing is not Listing.READY or not self._has_turn(now, pending):",
        "if is_taken or must_wait or not self._has_turn(now, pending):",
    ),
    Mutant(
        "the lock of the folder",
        "relay/ledger.py",
        "fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)",
        "pass",
    ),
    Mutant(
        "the notice before the text is over",
        "relay/driver.py",
        "recorded = self.ledger.record_notice(text.id, notice)",
        "recorded = self.ledger.record_notice(text.id, notice)\n        self.ledger.record_finished(text.id)",
    ),
    Mutant(
        "the torn tail that is cut",
        "relay/ledger.py",
        "self._torn = self.cut_bytes > 0",
        "self._torn = False",
    ),
    Mutant(
        "the monotonic clock",
        "relay/clock.py",
        "return time.monotonic_ns() // NANOSECONDS_PER_UNIT",
        "return time.time_ns() // NANOSECONDS_PER_UNIT",
    ),
    Mutant(
        "once only, after a call that may have run",
        "policy.py",
        "if pending.product.effect is Effect.ONCE_ONLY or now >= pending.deadline or is_other_zone:",
        "if now >= pending.deadline or is_other_zone:",
    ),
    Mutant(
        "once only, after a restart",
        "policy.py",
        "elif pending.first_run_at is not None and pending.product.effect is Effect.ONCE_ONLY:",
        "elif False:",
    ),
    Mutant(
        "no nack of what may have run",
        "policy.py",
        "self.first_run_at is None\n            or effect is "
        "Effect.RESENDABLE\n            or effect is Effect",
        "True\n            or effect is Effect",
    ),
    Mutant(
        "told waits",
        "policy.py",
        "route.wait_until = max(\n                route.wait_until, "
        "now + report.retry_after + self.random_source.next_below(spread)\n            )",
        "pass",
    ),
    Mutant(
        "told waits over processes",
        "relay/driver.py",
        "self.policy.wait_from_sibling(host, until)",
        "pass",
    ),
    Mutant(
        "outages known to the other process",
        "relay/driver.py",
        "self.policy.health_from_sibling(now, host, found.health, found.at)",
        "pass",
    ),
    Mutant(
        "the texts of the old process",
        "relay/handover.py",
        "self._adopt(adopted)\n        self._deadlines.after(STANDBY_POLL_INTERVAL, self._adopt_standby)",
        "self._deadlines.after(STANDBY_POLL_INTERVAL, self._adopt_standby)",
    ),
    Mutant(
        "the texts of a successor that died",
        "relay/handover.py",
        "if self._ledger.has_abandoned_standby and (adopted := self._ledger.adopt_standby()):",
        "if False:",
    ),
    Mutant(
        "the floor of a repeat",
        "policy.py",
        "is_other_zone = not pending.product.retry_anywhere and host.zone != pending.first_run_zone",
        "is_other_zone = False",
    ),
    Mutant(
        "trials of a destination in an outage",
        "policy.py",
        "return (\n                NEVER\n                "
        "if any(each.in_outage and each.calls for each in route.hosts)\n                "
        "else self._next_trial_time(route)\n            )",
        "return now",
    ),
)


def write_mutant(mutant: Mutant, source: Path, target: Path) -> None:
    """A copy of the package of the checkout `source` in `target`, with the guard taken out.

    Raises BadMutant where its place is not to be found, or not the only one."""
    shutil.copytree(source / PACKAGE, target / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    path = target / PACKAGE / mutant.path
    text = path.read_text(encoding="utf-8")
    if text.count(mutant.old) != 1:
        raise BadMutant(f"{mutant.name}: {mutant.path} has its place {text.count(mutant.old)} times")
    path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
