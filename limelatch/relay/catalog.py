"""The catalog client: keeps the list of hosts.

It watches for changes since the index it has, and requests the whole list first if it has none."""

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
from limelatch.relay.zone_number import zone_number

log = logger("catalog")

INBOUND_BUFFER_SIZE = 1024 * 1024  # bytes received and not parsed yet
BODY_PART_SIZE = 16 * 1024  # bytes of a body that are parsed at once
MAX_SWEPT_ROWS = 1024  # rows missing from a whole list that are removed in one reactor turn
NEVER = -1 << 62
STATUS_OF_WORD = {"active": READY, "leaving": DRAINING}  # any other word means GONE
LISTING_OF_STATUS = {READY: Listing.READY, DRAINING: Listing.DRAINING, GONE: Listing.GONE}


def parse_row(raw: object) -> Row:
    """Parse a row as the catalog sends it. Raises BadList if it is not one."""
    try:
        name, address, zone, kind = (raw[key] for key in ("name", "address", "zone", "type"))
        if not isinstance(name, str) or not isinstance(kind, str):
            raise TypeError("name and type must be strings")
        int(address.rpartition(":")[2])
        return Row(
            name,
            address,
            zone if isinstance(zone, str) else "",
            kind,
            int(raw["group"]),
            STATUS_OF_WORD.get(raw["status"], GONE),
            float(raw.get("weight") or 0.0),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from None


def host_entry(row: Row, names: Names) -> HostEntry:
    """The row in the policy's numbers. Its kind must be in the configuration."""
    return HostEntry(
        row.name.encode(),
        row.destination,
        zone_number(row.zone),
        names.kinds.index(row.kind),
        row.rate,
        LISTING_OF_STATUS[row.status],
    )


def address_of(row: Row) -> Address:
    """The row's address, split at its last colon."""
    address, _, port = row.address.rpartition(":")
    return Address(address, int(port))


class Watch(HttpClientProtocol):
    """The connection to the catalog: requests the whole list if there is none, and then the changes."""

    def __init__(self, catalog: Catalog) -> None:
        super().__init__(INBOUND_BUFFER_SIZE, 8 * 1024, BODY_PART_SIZE)
        self.catalog, self._reader, self._object_count = catalog, ListReader(self), 0

    def connectionMade(self) -> None:
        """Request the list, or the changes since the catalog's index."""
        super().connectionMade()
        self._request_list(self.catalog.index)

    def _request_list(self, index: int | None) -> None:
        target = "/catalog/members" + ("" if index is None else f"?stream=1&index={index}")
        self.send_request(request_head("GET", target, str(self.catalog.address), None, []))

    def response_received(self, response: Response, body: bytes) -> None:
        """The response has ended: make the next request if it was a complete list, else close."""
        object_count, self._object_count = self._object_count, 0
        if response.status != 200 or not object_count and self._reader.is_between_objects:
            self.close(EndReason.CLOSED_BY_PEER)  # the watch has ended, or there is no list
        elif not self._reader.is_between_objects:
            log_event(log, "list-not-read", why="the response ended within an object")
            self.close(EndReason.MALFORMED)
        elif response.keep_alive:
            self._request_list(self.catalog.index)
        else:
            self.close(EndReason.CLOSED_BY_PEER)

    def body_received(self, part: bytes) -> bool:
        """Parse rows as they arrive: neither the size nor the speed of a list blocks a reactor turn."""
        if self.response.status == 200 and self.end_reason is None:
            try:
                self._reader.feed(part)
            except BadList as error:
                log_event(log, "list-not-read", why=error)
                self.close(EndReason.MALFORMED)
            self.catalog.report_rows_so_far()
        return True

    # Calls of the ListReader. Only a complete row or object, or an empty line between two objects, counts as
    # activity: guards against a watch that sends single bytes, or stops within an object, and stays open for
    # good.

    def object_started(self, index: int, is_whole_list: bool) -> None:
        """Called by the ListReader: rows of an object follow."""
        self.catalog.start_object(index, is_whole_list)

    def row_read(self, raw: object) -> None:
        """Called by the ListReader: one row."""
        self.catalog.add_row(raw)

    def empty_line_read(self) -> None:
        """Called by the ListReader: an empty line, which the catalog sends as a sign of life."""
        self.catalog.note_activity()

    def object_finished(self) -> None:
        """Called by the ListReader: the object is complete."""
        self._object_count += 1
        self.catalog.finish_object()
        self.catalog.note_activity()

    def connection_ended(self, end_reason: EndReason) -> None:
        """Report the end of the watch."""
        self.catalog.watch_lost(end_reason)


class Catalog(ClientFactory):
    """Keeps the last list while the catalog is silent or fails, and reconnects from the list's index."""

    noisy = False

    def __init__(
        self,
        reactor,
        deadlines,
        address: Address,
        names: Names,
        silence_limit: int,
        reconnect_wait: int,
        on_update: Callable[[list[HostEntry], bool], None],
        on_watch_lost: Callable[[], None] | None = None,
        copy: ListCopy | None = None,
        is_wanted: Callable[[int], bool] = lambda destination: True,
    ) -> None:
        """`silence_limit`, `reconnect_wait`: in tenths of a millisecond. `on_update` gets changed hosts, and
        whether a whole list has been completed. `on_watch_lost` decides when to reconnect; without it the
        client reconnects after `reconnect_wait`. `is_wanted`: whether changes of a destination go to
        `on_update`; other rows are only stored."""
        self.reactor, self.deadlines, self.address, self.names = reactor, deadlines, address, names
        self.silence_limit, self.reconnect_wait, self.on_update = silence_limit, reconnect_wait, on_update
        self.on_watch_lost = on_watch_lost
        self.index: int | None = None
        self.is_fresh = False  # the catalog itself has sent a list since the start
        self.directory, self.copy, self.is_wanted = Directory(), copy, is_wanted
        # index of the object being read, and whether it is a whole list
        self._current_object: tuple[int, bool] | None = None
        self._changes: list[HostEntry] = []  # read and not reported yet
        self._row_count = self._reported_row_count = 0  # of the object being read
        self.limited_log = LimitedLog(log, deadlines.clock) if deadlines is not None else None
        self._watch: Watch | None = None
        self._deadline, self._connector = None, None
        self.last_activity_at = NEVER  # last activity, or the last attempt to connect

    def load_known_list(self, raw: dict) -> None:
        """Load the list from the configuration. It may be old, so the changes since are requested later.
        Raises BadList if it can't be read; nothing of it is kept then.

        Guards against forty relays that each send two requests at a start, one for the whole list and one
        watch: requests that the catalog can't answer in time are repeated and keep it overloaded for good."""
        try:
            if raw:
                self.start_object(int(raw["index"]), bool(raw["snapshot"]))
                for raw_row in raw["endpoints"]:
                    self.add_row(raw_row)
                self.finish_object(is_known_list=True)
        except (BadList, KeyError, TypeError, ValueError, OverflowError) as error:
            self.directory, self.index, self._changes = Directory(), None, []
            raise BadList(f"{type(error).__name__}: {error}") from None

    def load_copy(self) -> None:
        """Load the copy in the state directory if it is newer than the list. The index of another catalog's
        copy is not used."""
        if self.copy is None or (found := self.copy.read()) is None:
            return
        address, index, directory = found
        is_same_catalog = address == str(self.address)
        if self.index is None or is_same_catalog and index > self.index:
            self.index, self.directory = index if is_same_catalog else None, directory

    def change_address(self, address: Address) -> None:
        """Watch another address, starting with the whole list: an index is valid for one catalog only.

        The present list is used until the new catalog has sent its own."""
        if address != self.address:
            self.address, self.index, self.is_fresh = address, None, False
            self.last_activity_at = NEVER  # guards against a wait for the old one
            if self.copy is not None:
                self.copy.abort()
            if self._watch is not None:
                self._watch.close(EndReason.ADDRESS_CHANGED)
            elif self._connector is not None and self._connector.state == "connecting":
                self._connector.stopConnecting()
            elif self.on_watch_lost is not None:
                self.on_watch_lost()

    def connect(self) -> None:
        """Open a connection to the catalog."""
        self._connector = self.reactor.connectTCP(self.address.host, self.address.port, self, timeout=None)
        self.note_activity()

    def note_activity(self) -> None:
        """The catalog has shown activity: restart the timer for its silence."""
        if self._deadline is not None:
            self._deadline.cancel()
        self._deadline = self.deadlines.after(self.silence_limit, self._silence_exceeded)
        self.last_activity_at = self._deadline.when - self.silence_limit

    def _silence_exceeded(self) -> None:
        if self._watch is not None:
            self._watch.close(EndReason.ANSWER_TIMEOUT)
        else:
            self._connector.stopConnecting()

    # Objects of the list, as they are read.

    def start_object(self, index: int, is_whole_list: bool) -> None:
        """An object's rows follow. Raises BadList for changes older than the present list."""
        if not is_whole_list and self.index is not None and index < self.index:
            self.index = None  # the whole list is requested next
            raise BadList("changes older than the present list")
        self._current_object, self._row_count, self._reported_row_count = (index, is_whole_list), 0, 0
        if is_whole_list:
            self.directory.begin_list()
            if self.copy is not None:
                self.copy.abort()

    def add_row(self, raw: object) -> None:
        """Store a row; one beyond the directory's limits is left out and logged. Raises BadList."""
        row = parse_row(raw)
        self._row_count += 1
        if row.kind not in self.names.kinds:
            self.limited_log("kind-unknown", host=row.name, kind=row.kind)
            return
        try:
            previous = self.directory.put(row)
        except ValueError as error:
            self.limited_log("row-not-read", host=row.name[:64], why=error)
            return
        has_moved = previous is not None and previous.destination != row.destination
        if has_moved and self.is_wanted(previous.destination) and previous.kind in self.names.kinds:
            self._changes.append(host_entry(previous._replace(status=GONE), self.names))
        if self.is_wanted(row.destination):
            self._changes.append(host_entry(row, self.names))

    def finish_object(self, is_known_list: bool = False) -> None:
        """The object is complete, its index valid. Raises BadList if an empty list would replace hosts."""
        index, is_whole_list = self._current_object
        if is_whole_list and not self._row_count and len(self.directory):
            self.index = None
            raise BadList(f"an empty whole list, while {len(self.directory)} hosts are known")
        self.index, self.is_fresh = index, not is_known_list
        if is_whole_list:
            self.directory.end_list()
            self._sweep()
        changes, self._changes = self._changes, []
        self.on_update(changes, is_whole_list)
        if self.copy is not None and not is_known_list:
            self.copy.schedule(self)

    def report_rows_so_far(self) -> None:
        """Report rows of an incomplete object, so that a drain does not wait for the end of a long list."""
        if self._row_count > self._reported_row_count:
            self.note_activity()
        if self._changes:
            changes, self._changes = self._changes, []
            self.on_update(changes, False)
        self._reported_row_count = self._row_count

    def _sweep(self) -> None:
        if self.directory.sweep(MAX_SWEPT_ROWS):
            self.deadlines.after(0, self._sweep)

    def entries(self, destination: int) -> list[HostEntry]:
        """The destination's hosts, without those of kinds that are not in the configuration."""
        return [
            host_entry(row, self.names)
            for row in self.directory.rows(destination)
            if row.kind in self.names.kinds
        ]

    def host_address(self, host: HostId) -> Address | None:
        """The host's address; None if it is not on the list."""
        row = self.directory.find(host)
        return address_of(row) if row is not None else None

    @property
    def has_list(self) -> bool:
        """Whether there is a list, from the catalog, the configuration or the copy; else no host is known."""
        return self.is_fresh or len(self.directory) > 0

    def buildProtocol(self, address) -> Watch:
        """Start a watch on a new connection."""
        self._watch = Watch(self)
        return self._watch

    def clientConnectionFailed(self, connector, reason) -> None:
        """The connection was refused or the attempt stopped."""
        self.watch_lost(EndReason.REFUSED)

    def watch_lost(self, end_reason: EndReason) -> None:
        """The watch has ended: reconnect after a wait, or let `on_watch_lost` decide when."""
        self._watch = None
        if self._deadline is not None:
            self._deadline.cancel()
        if not self.reactor.running:
            return  # the relay is stopping
        log_event(log, "catalog-lost", why=end_reason.value, index=self.index)
        if self.on_watch_lost is not None:
            self.on_watch_lost()
        else:
            self.deadlines.after(
                0 if end_reason is EndReason.ADDRESS_CHANGED else self.reconnect_wait, self.connect
            )
