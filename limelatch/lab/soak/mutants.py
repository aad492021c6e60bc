"""Mutation tests of the soak: each mutant removes one safety check of the relay, and the soak must detect it.

A mutant replaces one piece of source code in a copy of the package.
"""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

PACKAGE = "limelatch"


class BadMutant(Exception):
    """The source code that a mutant replaces does not occur exactly once."""


@dataclass(frozen=True)
class Mutant:
    """A removed safety check: the source text `old` in the file `path` becomes `new`."""

    name: str
    path: str
    old: str
    new: str


MUTANTS = (
    Mutant(
        "order of a key across processes",
        "key_order.py",
        "if other is not None and not queue[0].precedes_sibling_text(other):",
        "if False:",
    ),
    Mutant(
        "cooldown of a key",
        "key_order.py",
        "if cooldown is not None and cooldown.until > now and cooldown.text != text:",
        "if False:",
    ),
    Mutant(
        "cooldown in the ledger",
        "relay/driver.py",
        "self.ledger.record_submit_end(outgoing.text, outcome.result not in NEVER_RAN, now, cooldown_until)",
        "self.ledger.record_submit_end(outgoing.text, outcome.result not in NEVER_RAN)",
    ),
    Mutant(
        "cooldown after a call in flight at the end of its process",
        "policy.py",
        "if history.in_flight and pending.key:",
        "if False:",
    ),
    Mutant(
        "check of the sibling as a call is recorded",
        "relay/handover.py",
        "if not self._sibling.has_ledger:\n            return self._record_in_turn(key, text, record_submit)",
        "if True:\n            record_submit()\n            return None",
    ),
    Mutant(
        "record of a submit before it is sent",
        "relay/driver.py",
        "accepted.submit_in_flight = self.ledger.record_submit(text, call.sent_at, self._zone_of(call.host))",
        "accepted.submit_in_flight = True",
    ),
    Mutant(
        "retry window",
        "policy_state.py",
        "self.deadline = min(self.deadline, at + self.product.retry_window)",
        "pass",
    ),
    Mutant(
        "check for a drain when a connection is established",
        "policy.py",
        "and host.listing is Listing.READY\n"
        "            and host.destination is self.destinations.get(pending.text.destination)\n"
        "            and self._has_turn(now, pending)\n",
        "",
    ),
    Mutant(
        "check for a drain in the decision",
        "policy.py",
        "if is_taken or must_wait or host.listing is not Listing.READY or not self._has_turn(now, pending):",
        "if is_taken or must_wait or not self._has_turn(now, pending):",
    ),
    Mutant(
        "lock of the state directory",
        "relay/ledger.py",
        "fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)",
        "pass",
    ),
    Mutant(
        "notice before a text is finished",
        "relay/driver.py",
        "recorded = self.ledger.record_notice(text.id, notice)",
        "recorded = self.ledger.record_notice(text.id, notice)\n"
        "        self.ledger.record_finished(text.id, 0)",
    ),
    Mutant(
        "cut of a torn tail",
        "relay/ledger.py",
        "self._torn = self.cut_bytes > 0",
        "self._torn = False",
    ),
    Mutant(
        "monotonic clock",
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
        "no nack of a text that may have run",
        "policy_state.py",
        "self.first_run_at is None\n            or effect is "
        "Effect.RESENDABLE\n            or effect is Effect",
        "True\n            or effect is Effect",
    ),
    Mutant(
        "Retry-After",
        "policy.py",
        "route.wait_until = max(\n                route.wait_until, "
        "now + report.retry_after + self.random_source.next_below(spread)\n            )",
        "pass",
    ),
    Mutant(
        "Retry-After shared between processes",
        "relay/driver.py",
        "self.policy.host_asked_to_wait(host, until)",
        "pass",
    ),
    Mutant(
        "outages shared between processes",
        "relay/driver.py",
        "self.policy.health_from_sibling(now, host, found.health, found.at)",
        "pass",
    ),
    Mutant(
        "texts of the old process",
        "relay/handover.py",
        "self._adopt(adopted)\n        self._deadlines.after(STANDBY_POLL_INTERVAL, self._adopt_standby)",
        "self._deadlines.after(STANDBY_POLL_INTERVAL, self._adopt_standby)",
    ),
    Mutant(
        "texts of a standby process that died",
        "relay/handover.py",
        "if self._ledger.has_abandoned_standby and (adopted := self._ledger.adopt_standby()):",
        "if False:",
    ),
    Mutant(
        "zone of a retry",
        "policy.py",
        "is_other_zone = not pending.product.retry_anywhere and not is_same_zone",
        "is_other_zone = False",
    ),
    Mutant(
        "silence before a connection is used again",
        "connection_reuse.py",
        'silent_count = bisect_right(idle_connections, now - self._silence, key=attrgetter("idle_since"))',
        "silent_count = len(idle_connections)",
    ),
    Mutant(
        "connections of their own at a host after a surplus response",
        "connection_reuse.py",
        "return host in self._last_surplus_at",
        "return False",
    ),
    Mutant(
        "connections of their own for once-only texts",
        "connection_reuse.py",
        "if once_only:",
        "if False:",
    ),
    Mutant(
        "record of a doubt about a submit that had ended",
        "relay/ledger.py",
        "entry.with_possible_run(sent_at, zone).state_fields()",
        "entry.state_fields()",
    ),
    Mutant(
        "doubt about one of two responses on a reused connection",
        "connection_reuse.py",
        "return use_count == 1 or not has_surplus",
        "return True",
    ),
    Mutant(
        "end of a connection with a surplus response",
        "relay/host_connection.py",
        "return self.outbound_writer.empty and not self.has_surplus",
        "return self.outbound_writer.empty",
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
    """Copy the package from the checkout `source` to `target`, with the mutant applied.

    Raises BadMutant if the text to replace does not occur exactly once."""
    shutil.copytree(source / PACKAGE, target / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    path = target / PACKAGE / mutant.path
    text = path.read_text(encoding="utf-8")
    if text.count(mutant.old) != 1:
        raise BadMutant(
            f"{mutant.name}: {mutant.path} has the text to replace {text.count(mutant.old)} times"
        )
    path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
