"""The catalog: the list of hosts, watched from the version that is held, else read whole first."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import ClientFactory

from limelatch.configuration import Address, Names
from limelatch.interface import HostEntry, HostId, Listing
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.directory import DRAINING, GONE, READY, Directory, Row
from limelatch.relay.end_reason import EndReason
from limelatch.relay.http import HttpClientProtocol, Response, request_head
from limelatch.relay.list_copy import ListCopy
from limelatch.relay.list_reader import BadList, ListReader

log = logger("catalog")

INBOUND_MOST, PART_MOST = 1024 * 1024, 16 * 1024  # bytes that wait to be read; of a body, taken at once
SWEEP_MOST = 1024  # rows that a whole list left out, cleared in one turn
LONG_AGO = -1 << 62
STATUSES = {"active": READY, "leaving": DRAINING}  # any other is gone
LISTINGS = {READY: Listing.READY, DRAINING: Listing.DRAINING, GONE: Listing.GONE}


def row_of(raw: object) -> Row:
    """A row as the catalog tells it; BadList where it is none."""
    try:
        name, address, zone, kind = (raw[key] for key in ("name", "address", "zone", "type"))
        if not isinstance(name, str) or not isinstance(kind, str):
            raise TypeError("name and type are words")
        int(address.rpartition(":")[2])
        return Row(
            name,
            address,
            zone if isinstance(zone, str) else "",
            kind,
            int(raw["group"]),
            STATUSES.get(raw["status"], GONE),
            float(raw.get("weight") or 0.0),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from None


def entry_of(row: Row, names: Names) -> HostEntry:
    """A row in the module's numbers; its kind is one of the configuration's."""
    zone = names.zones.index(row.zone) if row.zone in names.zones else -1
    return HostEntry(
        row.name.encode(), row.destination, zone, names.kinds.index(row.kind), row.rate, LISTINGS[row.status]
    )


def address_of(row: Row) -> Address:
    address, _, port = row.address.rpartition(":")
    return Address(address, int(port))


class Watch(HttpClientProtocol):
    """The connection to the catalog: the whole list first where none is held, then the changes."""

    def __init__(self, catalog: Catalog) -> None:
        super().__init__(INBOUND_MOST, 8 * 1024, PART_MOST)
        self.catalog, self._reader, self._objects = catalog, ListReader(self), 0

    def connectionMade(self) -> None:
        super().connectionMade()
        self._ask(self.catalog.index)

    def _ask(self, index: int | None) -> None:
        target = "/catalog/members" + ("" if index is None else f"?stream=1&index={index}")
        self.send_request(request_head("GET", target, str(self.catalog.address), None, []))

    def response_received(self, response: Response, body: bytes) -> None:
        objects, self._objects = self._objects, 0
        if response.status != 200 or not objects and self._reader.between:
            self.close(EndReason.CLOSED_BY_PEER)  # a watch that ended, or no list
        elif not self._reader.between:
            log_event(log, "list-not-read", why="it ended within an object")
            self.close(EndReason.MALFORMED)
        elif response.keep_alive:
            self._ask(self.catalog.index)
        else:
            self.close(EndReason.CLOSED_BY_PEER)

    def body_received(self, part: bytes) -> bool:
        """Rows are taken as they come: neither a list's size nor its pace holds up a turn."""
        if self.response.status == 200 and self.end_reason is None:
            try:
                self._reader.feed(part)
            except BadList as error:
                log_event(log, "list-not-read", why=error)
                self.close(EndReason.MALFORMED)
            self.catalog.report_rows_so_far()
        return True

    # What the reader finds. Only a whole row or object, or an empty line between two, tells that the catalog
    # lives: guards against a watch that trickles, or that stops within an object, and is held open for good.

    def began(self, index: int, whole: bool) -> None:
        self.catalog.began(index, whole)

    def row(self, raw: object) -> None:
        self.catalog.row(raw)

    def empty_line(self) -> None:
        self.catalog.note_activity()

    def whole_object(self) -> None:
        self._objects += 1
        self.catalog.ended()
        self.catalog.note_activity()

    def connection_ended(self, end_reason: EndReason) -> None:
        self.catalog.lost(end_reason)


class Catalog(ClientFactory):
    """Keeps the last list while the catalog is silent or broken, and asks again from its index."""

    noisy = False

    def __init__(
        self,
        reactor,
        deadlines,
        address: Address,
        names: Names,
        silence: int,
        again: int,
        on_update: Callable[[list[HostEntry], bool], None],
        on_watch_lost: Callable[[], None] | None = None,
        copy: ListCopy | None = None,
        is_wanted: Callable[[int], bool] = lambda destination: True,
    ) -> None:
        """`is_wanted`: whether news of a destination are to be told; the others are held, and not told."""
        self.reactor, self.deadlines, self.address, self.names = reactor, deadlines, address, names
        self.silence, self.again, self.on_update = silence, again, on_update
        self.on_watch_lost = on_watch_lost  # decides when to reconnect; None: after a fixed wait
        self.index: int | None = None
        self.is_fresh = False  # the catalog itself has told a list since the start
        self.directory, self.copy, self.is_wanted = Directory(), copy, is_wanted
        self._coming: tuple[int, bool] | None = None  # index of the object that comes, whether it is whole
        self._news: list[HostEntry] = []  # read and not told yet
        self._rows = self._rows_heard = 0  # of the object that comes
        self.limited_log = LimitedLog(log, deadlines.clock) if deadlines is not None else None
        self._watch: Watch | None = None
        self._deadline, self._connector = None, None
        self.last_activity_at = LONG_AGO  # the last sign of life, or the call since

    def load_known_list(self, raw: dict) -> None:
        """The list as the configuration last had it; it may be old, so what has changed since is asked for.
        BadList where it can't be read: nothing of it is held then.

        Guards against forty relays that each make two calls at a start, the whole list and a watch: what
        the catalog can't answer in time fails, is asked for again, and keeps it over its limit for good."""
        try:
            if raw:
                self.began(int(raw["index"]), bool(raw["snapshot"]))
                for each in raw["endpoints"]:
                    self.row(each)
                self.ended(known=True)
        except (BadList, KeyError, TypeError, ValueError, OverflowError) as error:
            self.directory, self.index, self._news = Directory(), None, []
            raise BadList(f"{type(error).__name__}: {error}") from None

    def load_copy(self) -> None:
        """Take the folder's copy, unless the list held is as late; another catalog's index means nothing."""
        if self.copy is None or (found := self.copy.read()) is None:
            return
        address, index, directory = found
        same = address == str(self.address)
        if self.index is None or same and index > self.index:
            self.index, self.directory = index if same else None, directory

    def change_address(self, address: Address) -> None:
        """Watch at another address, the whole list first: an index means nothing to another catalog.

        The list held serves until the new one has told its own."""
        if address != self.address:
            self.address, self.index, self.is_fresh = address, None, False
            self.last_activity_at = LONG_AGO  # guards against a wait for the old one
            if self.copy is not None:
                self.copy.abort()
            if self._watch is not None:
                self._watch.close(EndReason.ADDRESS_CHANGED)
            elif self._connector is not None and self._connector.state == "connecting":
                self._connector.stopConnecting()
            elif self.on_watch_lost is not None:
                self.on_watch_lost()

    def connect(self) -> None:
        self._connector = self.reactor.connectTCP(self.address.host, self.address.port, self, timeout=None)
        self.note_activity()

    def note_activity(self) -> None:
        """The catalog lives: the silence counts from here."""
        if self._deadline is not None:
            self._deadline.cancel()
        self._deadline = self.deadlines.after(self.silence, self._silent)
        self.last_activity_at = self._deadline.when - self.silence

    def _silent(self) -> None:
        if self._watch is not None:
            self._watch.close(EndReason.ANSWER_TIMEOUT)
        else:
            self._connector.stopConnecting()

    # An object of the list, as it is read.

    def began(self, index: int, whole: bool) -> None:
        if not whole and self.index is not None and index < self.index:
            self.index = None  # the whole list is asked for
            raise BadList("changes older than the list that is held")
        self._coming, self._rows, self._rows_heard = (index, whole), 0, 0
        if whole:
            self.directory.begin_list()
            if self.copy is not None:
                self.copy.abort()

    def row(self, raw: object) -> None:
        """A row that can't be held is left out; BadList where it is no row at all."""
        row = row_of(raw)
        self._rows += 1
        if row.kind not in self.names.kinds:
            self.limited_log("kind-unknown", host=row.name, kind=row.kind)
            return
        try:
            before = self.directory.put(row)
        except ValueError as error:
            self.limited_log("row-not-read", host=row.name[:64], why=error)
            return
        moved = before is not None and before.destination != row.destination
        if moved and self.is_wanted(before.destination) and before.kind in self.names.kinds:
            self._news.append(entry_of(before._replace(status=GONE), self.names))
        if self.is_wanted(row.destination):
            self._news.append(entry_of(row, self.names))

    def ended(self, known: bool = False) -> None:
        """The object is whole: its index holds from here on."""
        index, whole = self._coming
        if whole and not self._rows and len(self.directory):
            self.index = None
            raise BadList(f"a whole list with nothing, where {len(self.directory)} hosts are held")
        self.index, self.is_fresh = index, not known
        if whole:
            self.directory.end_list()
            self._sweep()
        news, self._news = self._news, []
        self.on_update(news, whole)
        if self.copy is not None and not known:
            self.copy.schedule(self)

    def report_rows_so_far(self) -> None:
        """Rows of an object that has more to come: at once, lest a drain waits for a long list's end."""
        if self._rows > self._rows_heard:
            self.note_activity()
        if self._news:
            news, self._news = self._news, []
            self.on_update(news, False)
        self._rows_heard = self._rows

    def _sweep(self) -> None:
        if self.directory.sweep(SWEEP_MOST):
            self.deadlines.after(0, self._sweep)

    def entries(self, destination: int) -> list[HostEntry]:
        """The destination's hosts; those of kinds that the configuration has not are left out."""
        return [
            entry_of(row, self.names)
            for row in self.directory.rows(destination)
            if row.kind in self.names.kinds
        ]

    def host_address(self, host: HostId) -> Address | None:
        """Where the host is reached, None where it is not on the list."""
        row = self.directory.find(host)
        return address_of(row) if row is not None else None

    @property
    def has_list(self) -> bool:
        """Whether any list is held, told or known: else nobody can say where a text is to go."""
        return self.is_fresh or len(self.directory) > 0

    def buildProtocol(self, address) -> Watch:
        self._watch = Watch(self)
        return self._watch

    def clientConnectionFailed(self, connector, reason) -> None:
        self.lost(EndReason.REFUSED)

    def lost(self, end_reason: EndReason) -> None:
        self._watch = None
        if self._deadline is not None:
            self._deadline.cancel()
        if not self.reactor.running:
            return  # the relay ends
        log_event(log, "catalog-lost", why=end_reason.value, index=self.index)
        if self.on_watch_lost is not None:
            self.on_watch_lost()
        else:
            self.deadlines.after(0 if end_reason is EndReason.ADDRESS_CHANGED else self.again, self.connect)
