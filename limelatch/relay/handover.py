"""The two processes of an upgrade: what each reads of the other, and who takes over the other's texts.

The new process waits in the standby directory for the end of the old one. The old one adopts what a successor
that has ended left there. Meanwhile each tells its `KeyOrder` which ordered texts the other one has.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum

from limelatch.interface import SECOND, HostId
from limelatch.key_order import BlockReason, Key, KeyOrder, QueuedText
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.ledger import Ledger
from limelatch.relay.records import LedgerState, Entry, HostHealth
from limelatch.relay.sibling import Sibling

HOST_DATA_LIFETIME = 20 * SECOND  # after the sibling's end: for destinations that are first used after it
SIBLING_POLL_INTERVAL = SECOND // 10  # between two reads of the ledger of a sibling that is there
STANDBY_POLL_INTERVAL = SECOND // 4  # between two checks for a successor: a notice is overdue after 0.3 s
# By then the old process has noticed that it has a successor.
SUCCESSOR_NOTICED_AFTER = STANDBY_POLL_INTERVAL + SIBLING_POLL_INTERVAL // 2


class Acceptance(Enum):
    """What has become of a text that was to be accepted."""

    RECORDED = "recorded"
    FAILED = "failed"  # it could not be recorded
    KNOWN_TO_SIBLING = "known-to-sibling"  # the other process has accepted it


class Handover:
    """One process's part in an upgrade."""

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        deadlines: Deadlines,
        key_order: KeyOrder,
        is_ordered: Callable[[str], bool],
        adopt: Callable[[list[Entry]], None],
        schedule_turn: Callable[[], None],
        share_limits: Callable[[bool], None],
    ) -> None:
        """`is_ordered`: whether a product is delivered in order, by this process's settings. `adopt` is
        called with the texts of another process; `schedule_turn` has the policy decide; `share_limits` is
        called with whether there are two processes now."""
        self._ledger, self._clock, self._deadlines, self._key_order = ledger, clock, deadlines, key_order
        self._is_ordered, self._adopt, self._schedule_turn = is_ordered, adopt, schedule_turn
        self._sibling = Sibling(ledger)
        self._sibling_known = ledger.is_standby
        self._share_limits = share_limits
        self.host_waits: dict[HostId, int] = {}  # until when hosts asked the other process to wait
        self.host_health: dict[HostId, HostHealth] = {}  # as the other process found it
        # Whether `poll` may find anything; a plain attribute, since it is read in each turn.
        self.has_host_data = ledger.is_standby

    def start(self) -> None:
        """Start to poll for the sibling, or for a successor that may start."""
        self.apply_cooldowns(self._ledger.state)
        if self._sibling_known:
            self._share_limits(True)
        poll = self._take_over if self._ledger.is_standby else self._adopt_standby
        self._deadlines.after(SIBLING_POLL_INTERVAL, poll)

    def apply_cooldowns(self, state: LedgerState) -> None:
        """Apply the cooldowns of ordering keys in a ledger to this process too."""
        now = self._clock.now()
        for key, cooldown in state.cooldowns.items():
            if cooldown.until > now:
                self._key_order.start_cooldown(key, cooldown.text, cooldown.until)

    def poll(self) -> None:
        """Read the sibling's ledger: places of its ordered texts, cooldowns, and what it knows of hosts."""
        if not self._sibling_known:
            return
        state = self._sibling.poll()
        self._ledger.sibling_bytes = self._sibling.bytes_needed
        if state is None:
            self._key_order.set_sibling_texts(())
            self._sibling_ended()
            return
        self.apply_cooldowns(state)
        self._key_order.set_sibling_texts(self._places(state))
        self._update_host_data(state)

    def _update_host_data(self, state: LedgerState) -> None:
        """Take over what a ledger says of hosts; waits that are over are left out."""
        now = self._clock.now()
        self.host_waits = {host: until for host, until in state.host_waits.items() if until > now}
        self.host_health = state.host_health

    def _places(self, state: LedgerState) -> Iterator[tuple[Key, QueuedText]]:
        """Yields the ordering key and place of each ordered text in a ledger."""
        for entry in state.entries.values():
            in_order = entry.in_order
            if in_order is None:
                in_order = self._is_ordered(entry.fields["product"])
            if in_order and entry.key:
                yield entry.key, QueuedText(entry.id, entry.received_at, entry.submit_count > 0)

    def sibling_has(self, text: bytes) -> bool:
        """Whether the other process has accepted this text, and its validity is not over.

        A client hands a text in again, under the same id, when the process that it handed it to has
        closed the connection or died. Guards also against a text that runs again at a process that has not
        noticed yet that there is another one."""
        if not self._sibling_known:
            if not self._sibling.has_ledger:
                return False
            self._sibling_started()
        state = self._sibling.poll()
        return state is not None and state.is_known(text, self._clock.now())

    def accept(self, text: bytes, record: Callable[[], bool]) -> Acceptance:
        """Record the acceptance of a text with `record`, unless the other process has accepted it.

        To be called in the turn after `sibling_has`: a process that has started since does not serve yet.
        Guards against both processes accepting one id between a read of the other's ledger and the record."""
        if not self._sibling_known:
            return Acceptance.RECORDED if record() else Acceptance.FAILED
        with self._sibling.claiming() as is_locked:
            if not is_locked:
                return Acceptance.FAILED
            if self.sibling_has(text):
                return Acceptance.KNOWN_TO_SIBLING
            return Acceptance.RECORDED if record() else Acceptance.FAILED

    def claim(self, key: Key, text: bytes, record_submit: Callable[[], bool]) -> BlockReason | None:
        """Record the submit of an ordered text with `record_submit`, if the text may still be sent.

        Returns None where it is sent, else why not. Guards against both processes doing this for texts of the
        same key between the read of the other's ledger and the record: see docs/design/key-order.md."""
        if not self._sibling.has_ledger:
            return self._record_in_turn(key, text, record_submit)
        self._sibling_started()
        with self._sibling.claiming() as is_locked:
            if not is_locked:
                return BlockReason.SIBLING
            self.poll()
            return self._record_in_turn(key, text, record_submit)

    def _record_in_turn(self, key: Key, text: bytes, record_submit: Callable[[], bool]) -> BlockReason | None:
        """Record the submit unless the key's order blocks it; returns why it does, else None."""
        block_reason = self._key_order.block_reason(self._clock.now(), key, text)
        if block_reason is None and record_submit():
            self._key_order.mark_started(key, text)
        return block_reason

    def _take_over(self) -> None:
        """For the standby: take over the texts of the old process once that has ended; poll until then."""
        adopted = self._ledger.take_over()
        if adopted is None:
            self._schedule_turn()  # a key may have become free in the old process meanwhile
            self._deadlines.after(SIBLING_POLL_INTERVAL, self._take_over)
            return
        self._update_host_data(self._ledger.state)
        self._key_order.set_sibling_texts(())
        self.apply_cooldowns(self._ledger.state)
        self._sibling_ended()
        self._adopt(adopted)
        self._deadlines.after(STANDBY_POLL_INTERVAL, self._adopt_standby)

    def _sibling_started(self) -> None:
        """There are two processes from now on: share the limits with the sibling."""
        if not self._sibling_known:
            self._sibling_known = self.has_host_data = True
            self._share_limits(True)

    def _drop_host_data(self) -> None:
        """Drop what the other process knew of hosts, once it is out of date."""
        if not self._sibling_known:
            self.host_waits, self.host_health, self.has_host_data = {}, {}, False

    def _sibling_ended(self) -> None:
        """There is one process again: use the whole limits, and stop reading the sibling's ledger."""
        self._deadlines.after(HOST_DATA_LIFETIME, self._drop_host_data)
        self._sibling_known = False
        self._share_limits(False)
        self._sibling.close()
        self._ledger.sibling_bytes = 0

    def _adopt_standby(self) -> None:
        """For the process in the state directory: watch for a successor; adopt the texts of an ended one."""
        if self._ledger.has_abandoned_standby and (adopted := self._ledger.adopt_standby()):
            self._key_order.set_sibling_texts(())
            self.apply_cooldowns(self._ledger.state)
            self._update_host_data(self._ledger.state)
            self._adopt(adopted)
        if self._ledger.has_abandoned_standby:
            self._sibling_started()
            self._schedule_turn()
        elif self._sibling_known:
            self._sibling_ended()
        self._deadlines.after(
            SIBLING_POLL_INTERVAL if self._sibling_known else STANDBY_POLL_INTERVAL, self._adopt_standby
        )
