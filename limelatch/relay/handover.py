"""The two processes of an upgrade: what each learns of the other, and who takes over what one leaves.

The new process waits in the seat for the end of the old one; the old one takes in what a successor that has
ended left there. Meanwhile both tell `KeyOrder` what the other one holds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from limelatch.interface import SECOND, HostId
from limelatch.key_order import BlockReason, Key, KeyOrder, QueuedText
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.ledger import Ledger
from limelatch.relay.records import LedgerState, Entry, HostHealth
from limelatch.relay.sibling import Sibling

NEWS_KEPT = 20 * SECOND  # what the other process knew of hosts, for destinations met after its end
SIBLING_POLL_INTERVAL = SECOND // 10  # between two looks at a sibling that is there
STANDBY_POLL_INTERVAL = SECOND // 4  # between two looks whether one has come: a notice is overdue after 0.3 s
SUCCESSOR_NOTICED_AFTER = (
    STANDBY_POLL_INTERVAL + SIBLING_POLL_INTERVAL // 2
)  # by then the old process has seen that it has a successor


class Handover:
    """One process's part in an upgrade."""

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        deadlines: Deadlines,
        order: KeyOrder,
        is_ordered: Callable[[str], bool],
        adopt: Callable[[list[Entry]], None],
        soon: Callable[[], None],
        share: Callable[[bool], None],
    ) -> None:
        """`is_ordered`: whether a product is in order by this process's settings; `adopt` takes up texts of
        another process; `soon` has the module decide; `share` is told whether there are two processes now."""
        self._ledger, self._clock, self._deadlines, self._order = ledger, clock, deadlines, order
        self._is_ordered, self._adopt, self._soon = is_ordered, adopt, soon
        self._sibling, self._sibling_known, self._share = Sibling(ledger), ledger.is_standby, share
        self.host_waits: dict[HostId, int] = {}  # told to the other process, until when
        self.host_health: dict[HostId, HostHealth] = {}  # found by the other process
        self.has_news = (
            ledger.is_standby
        )  # whether `look` may tell anything; a plain value, asked in each turn

    def start(self) -> None:
        """Follow the sibling from now on, where there is one or one may come."""
        self.learn(self._ledger.state)
        if self._sibling_known:
            self._share(True)
        look = self._take_over if self._ledger.is_standby else self._adopt_standby
        self._deadlines.after(SIBLING_POLL_INTERVAL, look)

    def learn(self, state: LedgerState) -> None:
        """Rests that a ledger tells bind this process too."""
        now = self._clock.now()
        for key, rest in state.cooldowns.items():
            if rest.until > now:
                self._order.start_cooldown(key, rest.text, rest.until)

    def poll(self) -> None:
        """Tell the order of keys, and the waits, what the sibling holds by now."""
        if not self._sibling_known:
            return
        state = self._sibling.poll()
        self._ledger.sibling_bytes = self._sibling.bytes_needed
        if state is None:
            self._order.set_sibling_texts(())
            self._forget_sibling()
            return
        self.learn(state)
        self._order.set_sibling_texts(self._places(state))
        self._hear(state)

    def _hear(self, state: LedgerState) -> None:
        now = self._clock.now()
        self.host_waits = {host: until for host, until in state.host_waits.items() if until > now}
        self.host_health = state.host_health

    def _places(self, state: LedgerState) -> Iterator[tuple[Key, QueuedText]]:
        for entry in state.entries.values():
            ordered = entry.in_order
            if ordered is None:
                ordered = self._is_ordered(entry.fields["product"])
            if ordered and entry.key:
                yield entry.key, QueuedText(entry.id, entry.received_at, entry.submit_count > 0)

    def holds(self, text: bytes) -> bool:
        """Whether the other process has taken this text on: its client hands it in again, under the same id,
        where the process that it was handed to has closed the connection or died."""
        state = self._sibling.poll() if self._sibling_known else None
        return state is not None and text in state.entries

    def claim(self, key: Key, text: bytes, going: Callable[[], bool]) -> BlockReason | None:
        """Have the submit of a text in order recorded by `going`, if it still has its key's turn.

        None where it goes. Guards against the other process doing the same between look and record: see
        docs/design/key-order.md."""
        if not self._sibling.has_ledger:
            return self._go(key, text, going)
        self._meet_sibling()
        with self._sibling.claiming() as held:
            if not held:
                return BlockReason.SIBLING
            self.poll()
            return self._go(key, text, going)

    def _go(self, key: Key, text: bytes, going: Callable[[], bool]) -> BlockReason | None:
        hold = self._order.block_reason(self._clock.now(), key, text)
        if hold is None and going():
            self._order.mark_started(key, text)
        return hold

    def _take_over(self) -> None:
        """In the seat: once the process before has ended, what it still owed is this one's."""
        adopted = self._ledger.take_over()
        if adopted is None:
            self._soon()  # a key that the process before has freed meanwhile is taken up
            self._deadlines.after(SIBLING_POLL_INTERVAL, self._take_over)
            return
        self._hear(self._ledger.state)
        self._order.set_sibling_texts(())
        self.learn(self._ledger.state)
        self._forget_sibling()
        self._adopt(adopted)
        self._deadlines.after(STANDBY_POLL_INTERVAL, self._adopt_standby)

    def _meet_sibling(self) -> None:
        """There are two processes from now on."""
        if not self._sibling_known:
            self._sibling_known = self.has_news = True
            self._share(True)

    def _forget_news(self) -> None:
        """What the other process knew of hosts is old."""
        if not self._sibling_known:
            self.host_waits, self.host_health, self.has_news = {}, {}, False

    def _forget_sibling(self) -> None:
        """There is one process again."""
        self._deadlines.after(NEWS_KEPT, self._forget_news)
        self._sibling_known = False
        self._share(False)
        self._sibling.close()
        self._ledger.sibling_bytes = 0

    def _adopt_standby(self) -> None:
        """In the folder: what a successor that has ended left in its seat is this process's."""
        if self._ledger.has_abandoned_standby and (adopted := self._ledger.adopt_standby()):
            self._order.set_sibling_texts(())
            self.learn(self._ledger.state)
            self._hear(self._ledger.state)
            self._adopt(adopted)
        if self._ledger.has_abandoned_standby:
            self._meet_sibling()
            self._soon()
        elif self._sibling_known:
            self._forget_sibling()
        self._deadlines.after(
            SIBLING_POLL_INTERVAL if self._sibling_known else STANDBY_POLL_INTERVAL, self._adopt_standby
        )
