"""The catalog: the list of hosts, watched from the version that is held, else read whole first."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.protocol import ClientFactory

from limelatch.configuration import Address, Names
from limelatch.interface import HostEntry, Listing
from limelatch.logs import logger, say
from limelatch.relay.ending import Ending
from limelatch.relay.http import Answer, HttpCaller, request_head

log = logger("catalog")

LIST_MOST = 1024 * 1024
LONG_AGO = -1 << 62
LISTINGS = {"active": Listing.READY, "leaving": Listing.DRAINING, "left": Listing.GONE}


class BadList(Exception):
    """The list can't be read."""


def read_list(raw: object, names: Names) -> tuple[int, bool, list[HostEntry], dict[bytes, Address]]:
    """Index, whether it is the whole list, its entries, and where each host is reached."""
    try:
        index, whole, entries, addresses = int(raw["index"]), bool(raw["snapshot"]), [], {}
        for row in raw["endpoints"]:
            host = row["name"].encode()
            address, _, port = row["address"].partition(":")
            if row["type"] not in names.kinds:
                say(log, "kind-unknown", host=host, kind=row["type"])
                continue
            zone = names.zones.index(row["zone"]) if row["zone"] in names.zones else -1
            kind, rate = names.kinds.index(row["type"]), float(row.get("weight") or 0.0)
            listing = LISTINGS.get(row["status"], Listing.GONE)
            entries.append(HostEntry(host, int(row["group"]), zone, kind, rate, listing))
            addresses[host] = Address(address, int(port))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from None
    return index, whole, entries, addresses


class Watch(HttpCaller):
    """The connection to the catalog: the whole list first where none is held, then the changes."""

    def __init__(self, catalog: Catalog) -> None:
        super().__init__(LIST_MOST, 8 * 1024)
        self.catalog, self._line = catalog, b""
        self._object = b""  # the lines so far of an object that is not whole

    def connectionMade(self) -> None:
        super().connectionMade()
        self._ask(self.catalog.index)

    def _ask(self, index: int | None) -> None:
        target = "/catalog/members" + ("" if index is None else f"?stream=1&index={index}")
        self.ask(request_head("GET", target, str(self.catalog.address), None, []))

    def answered(self, answer: Answer, body: bytes) -> None:
        if answer.status != 200 or not body:
            self.close(Ending.CLOSED_BY_PEER)  # a watch that ended, or no list
        elif not self._read(body):
            self.close(Ending.GARBLED)
        elif answer.keeps:
            self._ask(self.catalog.index)
        else:
            self.close(Ending.CLOSED_BY_PEER)

    def body_part(self, part: bytes) -> bool:
        if self.catalog.index is None or self.answer.status != 200:
            return False
        *lines, self._line = (self._line + part).split(b"\n")
        if not all(self._said(line.strip()) for line in lines) or len(self._line + self._object) > LIST_MOST:
            self.close(Ending.GARBLED)
        return True

    def _said(self, line: bytes) -> bool:
        """One line of the watch; an object may be indented, over several of them.

        Only a whole object, or an empty line between two, tells that the catalog lives: guards against a
        watch that trickles, or that stops within an object, and is held open for good."""
        if not line and not self._object:
            self.catalog.heard()
            return True
        self._object += line
        if not line.endswith(b"}") and self._object.startswith(b"{"):
            return True  # there is more to come
        try:
            json.loads(self._object)
        except json.JSONDecodeError as error:
            return self._object.startswith(b"{") and error.pos >= len(error.doc)  # the same
        except (ValueError, RecursionError):
            return False
        whole, self._object = self._object, b""
        self.catalog.heard()
        return self._read(whole)

    def _read(self, raw: bytes) -> bool:
        try:
            self.catalog.news(json.loads(raw))
        except (ValueError, RecursionError, BadList) as error:
            say(log, "list-not-read", why=error)
            return False
        return True

    def ended(self, ending: Ending) -> None:
        self.catalog.lost(ending)


class Catalog(ClientFactory):
    """Keeps the last list while the catalog is silent or broken, and asks again from its index."""

    noisy = False

    def __init__(self, reactor, deadlines, address: Address, names: Names, silence: int, again: int,
                 told: Callable[[list[HostEntry], bool], None],
                 failed: Callable[[], None] | None = None) -> None:
        self.reactor, self.deadlines, self.address, self.names = reactor, deadlines, address, names
        self.silence, self.again, self.told = silence, again, told
        self.failed = failed  # hears of a lost watch and says when to ask again; none: after a fixed wait
        self.index: int | None = None
        self.fresh = False  # the catalog itself has told a list since the start
        self.addresses: dict[bytes, Address] = {}
        self._watch: Watch | None = None
        self._deadline, self._connector = None, None
        self.heard_at = LONG_AGO  # the last sign of life, or the call since

    def known(self, raw: dict) -> None:
        """The list as the relay last had it; it may be old, so what has changed since is asked for.

        Guards against forty relays that each make two calls at a start, the whole list and a watch: what
        the catalog can't answer in time fails, is asked for again, and keeps it over its limit for good."""
        if raw:
            self._take(raw)

    def move(self, address: Address) -> None:
        """Watch at another address, the whole list first: an index means nothing to another catalog.

        The list held serves until the new one has told its own."""
        if address != self.address:
            self.address, self.index, self.fresh = address, None, False
            self.heard_at = LONG_AGO  # nothing has come from there: guards against a wait for the one before
            if self._watch is not None:
                self._watch.close(Ending.MOVED)
            elif self._connector is not None and self._connector.state == "connecting":
                self._connector.stopConnecting()
            elif self.failed is not None:
                self.failed()

    def connect(self) -> None:
        self._connector = self.reactor.connectTCP(self.address.host, self.address.port, self, timeout=None)
        self.heard()

    def heard(self) -> None:
        """The catalog lives: the silence counts from here."""
        if self._deadline is not None:
            self._deadline.cancel()
        self._deadline = self.deadlines.after(self.silence, self._silent)
        self.heard_at = self._deadline.when - self.silence

    def _silent(self) -> None:
        if self._watch is not None:
            self._watch.close(Ending.SILENT)
        else:
            self._connector.stopConnecting()

    def news(self, raw: object) -> None:
        self.fresh = True
        self._take(raw)

    def _take(self, raw: object) -> None:
        index, whole, entries, addresses = read_list(raw, self.names)
        if not whole and self.index is not None and index < self.index:
            self.index = None  # the whole list is asked for
            raise BadList("changes older than the list that is held")
        self.index = index
        self.addresses = addresses if whole else self.addresses | addresses
        self.told(entries, whole)

    def buildProtocol(self, address) -> Watch:
        self._watch = Watch(self)
        return self._watch

    def clientConnectionFailed(self, connector, reason) -> None:
        self.lost(Ending.REFUSED)

    def lost(self, ending: Ending) -> None:
        self._watch = None
        if self._deadline is not None:
            self._deadline.cancel()
        if not self.reactor.running:
            return  # the relay ends
        say(log, "catalog-lost", why=ending.value, index=self.index)
        if self.failed is not None:
            self.failed()
        else:
            self.deadlines.after(0 if ending is Ending.MOVED else self.again, self.connect)
