"""The driver: events in, `decide` once a turn, actions out."""

from __future__ import annotations

from dataclasses import dataclass, replace

from twisted.internet.error import CannotListenError

from limelatch import interface as li
from limelatch.configuration import RelayPlan
from limelatch.configuration.changes import changes
from limelatch.configuration.model import Reload
from limelatch.configuration.plan import DescriptorShares
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.logs import start as start_logs
from limelatch.policy import Policy
from limelatch.relay.anchor_file import AnchorFile
from limelatch.relay.catalog import BadList, Catalog
from limelatch.relay.clients import Client, Listener, Submission
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.operator_server import OperatorServer, SuspendedHosts
from limelatch.relay.storage_monitor import StorageMonitor
from limelatch.relay.handover import SUCCESSOR_NOTICED_AFTER, Handover
from limelatch.relay.hosts import Call, HostPool, Outcome, OutgoingText
from limelatch.relay.ledger import Ledger
from limelatch.relay.list_copy import ListCopy
from limelatch.relay.operations import Operations
from limelatch.relay.platform import Notifier
from limelatch.relay.records import Entry
from limelatch.relay.slots import Slots
from limelatch.relay.text_log import TextLog
from limelatch.relay.transport import ACCEPT_RESOURCE_ERRORS
from limelatch.relay.wall_clock_monitor import WallClockMonitor

log, policy_log = logger("driver"), logger("policy")
NEVER_RAN = (li.Result.FULL, li.Result.CONNECT, li.Result.NOT_SENT)
PORT_WAIT, PORT_LOOK = li.SECOND, li.SECOND // 20  # for a port that is in use at the start
SHORTAGE_WAIT = 20 * li.SECOND  # for a machine without buffers or descriptors at the start
LAST_LOOK = 20 * li.MS  # between two looks whether clients still ask, before an early end


@dataclass(slots=True)
class AcceptedText:
    """One text of the relay, from its arrival to the end that its client or the platform has heard."""

    text: li.Text
    mark: bytes
    body: bytes
    row: li.Product  # its product's rules as they were when it came, whatever a new configuration says
    product: str  # and its name
    client: Client | None = None  # that waits for the answer to its handing in
    submit_out: bool = False  # written to a host, without an outcome
    number: int = 0

    @property
    def key(self) -> bytes | None:
        """The key of its order, None where its product has none."""
        return self.text.key or None if self.row.in_order else None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A text turned back: the reason in a word, and the client's answer."""

    why: str
    answer: str


class Driver:
    """One relay: the module, the ledger and the parties around it."""

    def __init__(self, plan: RelayPlan, reactor, clock: Clock) -> None:
        self.plan, self.reactor, self.clock = plan, reactor, clock
        self.started_with = plan.given
        self.deadlines = Deadlines(reactor, clock)
        self.policy = Policy(plan.settings, clock.now())
        self.suspended_hosts = SuspendedHosts(
            plan.state_dir
        )  # by operators; read before the folder is locked
        self.storage_monitor = StorageMonitor(clock, self.deadlines, self._notify, self.schedule_turn)
        self.ledger = Ledger(
            plan.state_dir, plan.max_disk_bytes, plan.max_memory_bytes, self.storage_monitor.on_write_result
        )
        self.storage_monitor.ledger = self.ledger
        self.wall_clock_monitor = WallClockMonitor(
            clock, self.deadlines, AnchorFile(plan.state_dir), lambda: not self.ledger.is_standby
        )
        self.handover = Handover(
            self.ledger,
            clock,
            self.deadlines,
            self.policy.key_order,
            self._is_ordered,
            self._adopt,
            self.schedule_turn,
            self._share_limits,
        )
        self._last_received_at = 0
        self._serves_from = clock.now() + (SUCCESSOR_NOTICED_AFTER if self.ledger.is_standby else 0)
        self.slots: Slots[AcceptedText] = Slots(max(plan.settings.max_texts, len(self.ledger.entries)))
        self.accepted: dict[bytes, AcceptedText] = {}
        self.new_texts: dict[bytes, AcceptedText] = {}  # this turn, not taken on yet
        self.hosts: dict[li.HostId, li.HostEntry] = {}  # of the destinations at work, as last told
        self.limited_log, self.text_log = LimitedLog(log, clock), TextLog(clock)
        self._turn_due, self.ready, self._stop_at, self._stop_least_at = False, False, None, 0
        self.failed, self._ended, self._port_until = False, False, None
        self.pool = HostPool(
            reactor, self.deadlines, clock, self, plan.shares.hosts, plan.connect_timeout, plan.probe_timeout
        )
        self.notifier = Notifier(
            reactor,
            self.deadlines,
            plan.catalog_address,
            plan.notice_timeout,
            plan.reconnect_delay,
            self.notice_answered,
        )
        self.catalog = Catalog(
            reactor,
            self.deadlines,
            plan.catalog_address,
            plan.names,
            plan.watch_timeout,
            plan.reconnect_delay,
            self.hosts_listed,
            self.list_failed if plan.settings.list_on_request else None,
            ListCopy(plan.state_dir, self.deadlines, self.ledger),
            lambda destination: destination in self.policy.destinations,
        )
        self.listener = Listener(self, plan.shares.clients, plan.max_client_bytes, plan.shares.max_clients)
        self.operations = Operations(self, self.suspended_hosts)
        self.operator_server = OperatorServer(self, self.operations, plan.shares.operators)
        self.peers = None
        if plan.membership is not None:  # else nothing of it is loaded
            from limelatch.relay.peers import Peers

            self.peers = Peers(
                plan.membership, reactor, self.deadlines, clock, plan.state_dir, plan.settings.seed
            )

    def start(self) -> None:
        """Take up what the ledger holds, then wait for the first list before serving."""
        try:
            self.catalog.load_known_list(self.plan.known_hosts)
        except BadList as error:
            log_event(log, "known-list-not-read", why=error)
        self.plan = replace(self.plan, known_hosts={})  # the directory has it
        self.catalog.load_copy()
        now = self.clock.now()
        if self.ledger.cut_bytes:
            log_event(log, "ledger-cut", bytes=self.ledger.cut_bytes)
        for entry in list(self.ledger.entries.values()):
            self._restore(now, entry)
        self.handover.start()
        log_event(
            log,
            "started",
            owed=len(self.accepted),
            hosts=len(self.catalog.directory),
            ledger_bytes=self.ledger.size,
        )
        if self.plan.operator_address is not None:  # at once: STATUS says whether clients are served yet
            self.operator_server.listen(
                self.reactor, self.plan.operator_address.host, self.plan.operator_address.port
            )
        if self.peers is not None:
            self.peers.start()
        self.wall_clock_monitor.start()
        log_event(log, "waiting", on="list", most_ms=self.plan.list_timeout // li.MS)
        self.deadlines.after(self.plan.list_timeout, self.serve)
        if not self.plan.settings.list_on_request:
            self.catalog.connect()
        self.schedule_turn()

    def _adopt(self, entries: list[Entry]) -> None:
        """Texts that another process of this relay has left are this one's."""
        self.slots.size = max(self.slots.size, len(self.accepted) + len(entries))
        now = self.clock.now()
        for entry in entries:
            self._restore(now, entry)
        log_event(log, "taken-over", owed=len(self.accepted), adopted=len(entries))
        self.schedule_turn()

    def _share_limits(self, two: bool) -> None:
        """The limits are one for both processes of an upgrade: each holds half of the descriptors, and sends
        half of what a host back from an outage bears."""
        self.policy.process_count = 2 if two else 1
        shares = DescriptorShares.during_upgrade(self.plan.sockets) if two else self.plan.shares
        self.listener.set_limits(shares.clients, shares.max_clients)
        self.pool.set_limit(shares.hosts)

    def _is_ordered(self, product: str) -> bool:
        """Whether a product is in order by the settings; one that they don't know counts as one that is."""
        names = self.plan.names.products
        return product not in names or self.plan.settings.products[names.index(product)].in_order

    def _restore(self, now: int, entry: Entry) -> None:
        """A text that an earlier process took on: an end it still owes, or the module decides anew."""
        pairs, names, said = entry.fields, self.plan.names, entry.fields["customer"]
        known = pairs["product"] in names.products
        product = names.products.index(pairs["product"]) if known else 0
        customer = names.customers.index(said) if said in names.customers else 0
        text = li.Text(entry.id, pairs["dest"], product, pairs["until"], customer, entry.key)
        text.received_at = entry.received_at
        self._last_received_at = max(self._last_received_at, entry.received_at)
        in_order = self._is_ordered(pairs["product"]) if entry.in_order is None else entry.in_order
        row = replace(self.plan.settings.products[product], in_order=in_order)
        accepted = self._register(
            AcceptedText(text, pairs["mark"].encode(), entry.body, row, pairs["product"])
        )
        answered = entry.notice is not None or not known
        ran_at = entry.first_run_at
        if ran_at is not None and ran_at < self.clock.certain_from:
            ran_at = min(ran_at, now - row.retry_window)  # nobody knows how long ago: its window is over
        history = li.TextHistory(
            entry.submit_count, ran_at, entry.first_run_zone, entry.in_flight, answered, in_order
        )
        self.text_log.adopted(entry, accepted.key, ran_at is not None, answered)
        self._list_hosts_of(now, text.destination)
        self.policy.text_accepted(now, text, history)
        if entry.in_flight and accepted.key is not None:  # its rest has to outlast this process too
            self.ledger.record_submit_end(entry.id, True, now, self._rest_of(accepted, now))
        if entry.notice is not None:
            self.notifier.add_notice(entry.id, entry.notice)
        elif not known:
            log_event(log, "product-unknown", product=pairs["product"])
            self._finish_with_notice(accepted, {"result": "dead"})

    def serve(self) -> None:
        """Open for clients; PING is answered from here on."""
        if self.clock.now() < self._serves_from:  # the old process has to make room first
            self.deadlines.at(self._serves_from, self.serve)
            return
        if not self.ready and self._stop_at is None and not self.failed:
            listen = self.plan.listen
            try:
                self.listener.listen(self.reactor, listen.host, listen.port, self.ledger.is_standby)
            except CannotListenError as error:
                self._port_taken(error)
                return
            self.ready = True
            log_event(
                log,
                "serving",
                listen=listen,
                hosts=len(self.catalog.directory),
                fresh_list=self.catalog.is_fresh,
            )
            self.schedule_turn()

    def _port_taken(self, error: CannotListenError) -> None:
        """Guards against a process before that has given back the folder and, ending, not yet the port."""
        now, listen = self.clock.now(), self.plan.listen
        if self._port_until is None:
            short = error.socketError.errno in ACCEPT_RESOURCE_ERRORS
            self._port_until = now + (SHORTAGE_WAIT if short else PORT_WAIT)
            log_event(log, "port-taken", listen=listen, why=error.socketError)
        if now < self._port_until:
            self.deadlines.after(PORT_LOOK, self.serve)
        else:
            log_event(log, "not-serving", listen=listen, why=error.socketError)
            self.failed = True
            self.reactor.stop()

    def configured(self, plan: RelayPlan) -> None:
        """SIGHUP: take the keys that can change while texts are held; the others need a restart."""
        later = [
            each.path for each in changes(self.started_with, plan.given) if each.reload is Reload.RESTART
        ]
        settings = replace(
            self.plan.settings, products=plan.settings.products, max_submits=plan.settings.max_submits
        )
        self.plan = replace(
            self.plan,
            catalog_address=plan.catalog_address,
            log=plan.log,
            known_hosts=plan.known_hosts,
            min_stop_time=plan.min_stop_time,
            max_stop_time=plan.max_stop_time,
            settings=settings,
            names=replace(self.plan.names, products=plan.names.products),
        )
        self.policy.settings = settings  # what it holds keeps the rows it came with
        self.catalog.change_address(plan.catalog_address)
        self.notifier.change_address(plan.catalog_address)
        start_logs(plan.log)
        log_event(
            log,
            "configured",
            catalog=plan.catalog_address,
            owed=len(self.accepted),
            products=len(settings.products),
            submits=settings.max_submits,
            restart_for=",".join(later),
        )
        self.schedule_turn()

    def stop(self) -> None:
        """SIGTERM: nothing new is taken, calls that are out finish, then the relay ends."""
        if self._stop_at is not None:
            return
        now = self.clock.now()
        self._stop_at, self._stop_least_at = now + self.plan.max_stop_time, now + self.plan.min_stop_time
        handed_over = self.ready and self.ledger.has_successor()
        self.policy.stopping(self._stop_at)
        self.listener.stop(handed_over)
        log_event(
            log, "stopping", owed=len(self.accepted), calls=self.pool.calls_in_flight, handed_over=handed_over
        )
        self.schedule_turn()
        if not self.ready:
            self._exit()
        self.deadlines.after(self.plan.min_stop_time, self._exit_if_idle)
        self.deadlines.at(self._stop_at, self._exit)

    def _exit_if_idle(self) -> None:
        """End early, once clients have stopped coming, when nothing is owed and no call is out."""
        if self.clock.now() >= self._stop_least_at and not self.accepted and not self.pool.calls_in_flight:
            if (
                self.listener.has_pending_requests()
            ):  # it gets its answer first: at the latest when the stop's time is over
                self.deadlines.after(LAST_LOOK, self._exit_if_idle)
            else:
                self._exit()

    def _exit(self) -> None:
        """End in the reactor's next turn, with no more read in between.

        Guards against an answer that is still to be written as the reactor closes all connections: a request
        that was read has to be answered, one that was not is sent again by its client."""
        if not self._ended:
            self._ended = True
            self.storage_monitor.retry_at_exit()
            self.listener.stop_reading()
            if self.peers is not None:
                self.peers.stop()
            log_event(log, "stopped", owed=len(self.accepted), calls=self.pool.calls_in_flight)
            self.deadlines.after(0, self.reactor.stop)

    # What the parties tell.

    def submission_received(self, submission: Submission, client: Client) -> None:
        """A client hands in a text; the answer comes with this turn."""
        names, now = self.plan.names, self.clock.now()
        if self.handover.holds(submission.id):
            client.answer("+OK")  # this relay has taken it on, in its other process
            return
        product, customer = (
            submission.product.decode(errors="replace"),
            submission.customer.decode(errors="replace"),
        )
        refusal = self._refusal(submission, product, customer)
        if refusal is not None:
            log_event(log, "text-refused", text=submission.id, why=refusal.why)
            client.answer(refusal.answer)
        else:
            number = names.customers.index(customer) if customer in names.customers else 0
            row = names.products.index(product)
            most = self.plan.settings.products[row].validity_period or submission.valid_for
            until = now + min(submission.valid_for, most)
            self._last_received_at = max(now, self._last_received_at + 1)  # each text has a time of its own
            text = li.Text(submission.id, submission.destination, row, until, number, submission.key)
            text.received_at = self._last_received_at
            rules = self.plan.settings.products[row]
            self.new_texts[submission.id] = self._register(
                AcceptedText(text, submission.idempotency_key, submission.body, rules, product, client)
            )
            self._list_hosts_of(now, text.destination)
            self.policy.text_accepted(now, text)
            self.schedule_turn()

    def _refusal(self, submission: Submission, product: str, customer: str) -> Refusal | None:
        """Why a text is turned back before the module hears of it; None where it is not."""
        names = self.plan.names
        if product not in names.products:
            return Refusal("product", f"-ERR unknown class {product[:40]!r}")
        if names.customers and customer and customer not in names.customers:
            return Refusal("customer", f"-ERR unknown tenant {customer[:40]!r}")
        if self.catalog.is_fresh and not self._has_hosts(submission.destination):
            # else it would be held until its validity ends
            return Refusal("destination", "-ERR unknown destination")
        if not self.catalog.has_list:
            self.limited_log("no-list", why="no list of hosts has been read yet")
            return Refusal("no-list", "-BUSY")
        if submission.id in self.accepted:
            return Refusal("id-known", "-ERR this id was handed in before")
        if self._stop_at is not None:
            return Refusal("stopping", "-BUSY")
        if self.slots.full:
            return Refusal("texts-most", "-BUSY")
        if not self.ledger.has_room(len(submission.body)):
            return Refusal("disk-most", "-BUSY")
        return None

    def _has_hosts(self, destination: int) -> bool:
        """Whether the list has the destination; one at work is not looked up for each text."""
        at_work = self.policy.destinations.get(destination)
        if at_work is not None and any(host.listing is not li.Listing.GONE for host in at_work.hosts):
            return True
        return self.catalog.directory.has_destination(destination)

    def _register(self, accepted: AcceptedText) -> AcceptedText:
        accepted.number = self.slots.take(accepted)
        self.accepted[accepted.text.id] = accepted
        return accepted

    def client_disconnected(self, client: Client) -> None:
        """A client left before its text was taken on: it hands it in again, under a new id."""
        for accepted in [each for each in self.new_texts.values() if each.client is client]:
            del self.new_texts[accepted.text.id]
            self.policy.text_finished(self.clock.now(), accepted.text.id)
            self._release(accepted)
            self.schedule_turn()

    def hosts_listed(self, entries: list[li.HostEntry], whole: bool) -> None:
        """News of the list: the module hears of the destinations at work alone, after a whole list of all
        those. The others are told as they are met."""
        if whole:
            entries = [
                entry for number in list(self.policy.destinations) for entry in self.catalog.entries(number)
            ]
            for host in self.hosts.keys() - {entry.host for entry in entries}:
                self._remove_host(host)
        self._apply_host_list(self.clock.now(), entries, whole)
        if entries or whole:  # else nothing that is held has changed
            self.schedule_turn()
        if self.catalog.is_fresh and not self.ready:
            self.deadlines.after(0, self.serve)

    def _list_hosts_of(self, now: int, destination: int) -> None:
        """A text's destination: the module is told its hosts, unless it knows them."""
        if destination not in self.policy.destinations:
            self._apply_host_list(now, self.catalog.entries(destination), news=False)

    def _apply_host_list(
        self, now: int, entries: list[li.HostEntry], whole: bool = False, news: bool = True
    ) -> None:
        for entry in entries:
            if entry.listing is li.Listing.GONE:
                self._remove_host(entry.host)
            else:
                self.hosts[entry.host] = entry
                self.pool.set_address(entry.host, self.catalog.host_address(entry.host))
        self.policy.hosts_listed(
            now, [self.suspended_hosts.as_listed(entry) for entry in entries], whole, news
        )
        self._apply_sibling_news()

    def _poll_sibling(self) -> None:
        """Take in what the other process of this relay holds and knows by now."""
        self.handover.poll()
        self._apply_sibling_news()

    def _apply_sibling_news(self) -> None:
        """What hosts have told the other process of this relay, and how it found them."""
        for host, until in self.handover.host_waits.items():
            self.policy.wait_from_sibling(host, until)
        now = self.clock.now()
        for host, found in self.handover.host_health.items():
            self.policy.health_from_sibling(now, host, found.health, found.at)

    def _remove_host(self, host: li.HostId) -> None:
        """The host is off the list, or its destination at rest."""
        self.hosts.pop(host, None)
        self.pool.set_address(host, None)

    @property
    def stopping(self) -> bool:
        """Whether SIGTERM has come."""
        return self._stop_at is not None

    def refresh_host(self, host: li.HostId) -> None:
        """Tell the module a host's line again: an operator has changed what it is to see of it."""
        if host in self.hosts:
            self._apply_host_list(self.clock.now(), [self.hosts[host]], news=False)
            self.schedule_turn()

    def list_failed(self) -> None:
        """A watch that the module had asked for ended: it says when to ask again."""
        self.policy.list_failed(self.clock.now(), self.catalog.last_activity_at)
        self.schedule_turn()

    def may_send(self, now: int, text: bytes, host: li.HostId) -> bool:
        if self.handover.has_news:  # what it was told since this process decided binds too
            self._poll_sibling()
        return self.policy.may_send(now, text, host)

    def start_submit(self, call: Call, outgoing: OutgoingText) -> bool:
        """A submit is about to be written; not where the ledger can't tell of it, nor out of turn."""
        if (accepted := self.accepted.get(outgoing.text)) is None:
            return False
        if accepted.key is None:
            return self._record_submit(accepted, call)
        hold = self.handover.claim(accepted.key, outgoing.text, lambda: self._record_submit(accepted, call))
        if hold is not None:
            self.text_log.held(outgoing.text, accepted.key, call.host, hold.value)
        return accepted.submit_out

    def _record_submit(self, accepted: AcceptedText, call: Call) -> bool:
        text = accepted.text.id
        zone = self.hosts[call.host].zone if call.host in self.hosts else -1
        accepted.submit_out = self.ledger.record_submit(text, call.sent_at, zone)
        if accepted.submit_out:
            self.text_log.going(text, accepted.key, call.host, self.ledger.entries[text].submit_count)
        return accepted.submit_out

    def _rest_of(self, accepted: AcceptedText, now: int) -> int | None:
        """Until when the text's key rests by a call of this text; None where it does not."""
        rest = None if accepted.key is None else self.policy.key_order.cooldowns.get(accepted.key)
        return rest.until if rest is not None and rest.text == accepted.text.id and rest.until > now else None

    def submit_ended(self, call: Call, outgoing: OutgoingText, outcome: Outcome) -> None:
        """A submit's outcome."""
        accepted, now = self.accepted.get(outgoing.text), self.clock.now()
        if accepted is None:
            return
        left, rate = li.limit_from_report(outcome.report)
        self.policy.submit_ended(
            now,
            li.SubmitReport(
                outgoing.text,
                call.host,
                outcome.result,
                now - call.sent_at,
                outcome.finished,
                outcome.retry_after,
                left,
                rate,
                call.idle_time,
                outcome.unsent,
            ),
        )
        rest = self._rest_of(accepted, now)
        self.text_log.submit_ended(outgoing.text, accepted.key, call, outcome, rest)
        if outcome.retry_after:
            self.ledger.record_retry_after(call.host, now + outcome.retry_after, now)
        if accepted.submit_out and (rest is not None or not outcome.finished):
            self.ledger.record_submit_end(outgoing.text, outcome.result not in NEVER_RAN, now, rest)
        if outcome.finished:
            self.ledger.record_finished(outgoing.text)
            self._release(accepted)
        accepted.submit_out = False
        self.schedule_turn()

    def probe_ended(self, call: Call, result: li.Result, report: dict[str, float]) -> None:
        log_event(
            log, "probe-ended", host=call.host, result=result.value, x0=report.get("x0"), x1=report.get("x1")
        )

    def notice_answered(self, text: bytes) -> None:
        """The platform has answered the notice: only now is the text over."""
        if accepted := self.accepted.get(text):
            now = self.clock.now()
            if now > accepted.text.valid_until:
                self.limited_log("ended-late", text=text, by_ms=(now - accepted.text.valid_until) // li.MS)
            self.ledger.record_finished(text)
            self.policy.text_finished(now, text)
            self._release(accepted)
            self.schedule_turn()

    def _release(self, accepted: AcceptedText) -> None:
        del self.accepted[accepted.text.id]
        self.slots.release(accepted.number)

    # The turn.

    def schedule_turn(self) -> None:
        """Decide once for all that happens until the reactor has gone round."""
        if not self._turn_due:
            self._turn_due = True
            self.deadlines.after(0, self.turn)

    def turn(self) -> None:
        self._turn_due = False
        if not self.ready:
            return  # what an earlier process took on waits for the list too
        if self.handover.has_news:
            self._poll_sibling()
            self.operations.refresh_suspended()
        now = self.clock.now()
        actions = self.policy.decide(now, self.storage_monitor.gate.may_submit)
        arrived, self.new_texts = (
            self.new_texts,
            {},
        )  # an answer may bring a client's next text, for a later turn
        for action in actions:
            if isinstance(action, (li.Nack, li.Undeliverable)) and action.text in arrived:
                self._reject(arrived.pop(action.text), action)
        for text, accepted in arrived.items():
            self._accept(text, accepted)
        calls: dict[li.HostId, list[OutgoingText]] = {}
        for action in actions:
            match action:
                case li.Submit(text, host) if text not in self.accepted:  # it could not be taken on
                    self.policy.submit_ended(
                        now, li.SubmitReport(text, host, li.Result.NOT_SENT, 0, finished=True)
                    )
                    self.schedule_turn()
                case li.Submit(text, host, timeout):
                    self._add_to_call(calls, host, text, now + timeout, action.idle_limit)
                case li.Nack(text, advice) if text in self.accepted:
                    wait = {"wait_ms": advice // li.MS} if advice else {}
                    self._finish_with_notice(self.accepted[text], {"result": "bounced"} | wait)
                case li.Undeliverable(text) if text in self.accepted:
                    self._finish_with_notice(self.accepted[text], {"result": "dead"})
                case li.Probe(host):
                    self.pool.send(host, [])
                case li.CloseIdle(host):
                    self.pool.close_idle(host)
                case li.Forget(_, hosts):
                    for host in hosts:
                        self._remove_host(host)
                case li.Watch():
                    self.catalog.connect()
                case li.Wake(after):
                    self.deadlines.after(after, self.turn)
                case li.LogLine(line, host):
                    log_event(policy_log, "mode", host=host, change=line)
                    if action.health is not None:
                        self.ledger.record_health(host, action.health, now)
        for host, texts in calls.items():
            self.pool.send(host, texts)
        if self._stop_at is not None:
            self._exit_if_idle()

    def _reject(self, accepted: AcceptedText, answer: li.Nack | li.Undeliverable) -> None:
        """The final answer in the turn of its arrival: the text was never taken on."""
        self._release(accepted)
        if isinstance(answer, li.Nack):
            log_event(
                log, "text-refused", text=accepted.text.id, why="nack", wait_ms=answer.advice // li.MS or None
            )
            accepted.client.answer(f"-BUSY {answer.advice // li.MS}" if answer.advice else "-BUSY")
        else:
            log_event(log, "text-refused", text=accepted.text.id, why="undeliverable")
            accepted.client.answer("-ERR undeliverable")
        self.policy.text_finished(self.clock.now(), accepted.text.id)

    def _accept(self, text: bytes, accepted: AcceptedText) -> None:
        """First the ledger, then the client's answer, and only then a call."""
        row, client, names = accepted.text, accepted.client, self.plan.names.customers
        accepted.client = None
        if self.ledger.record_accepted(
            text,
            accepted.body,
            key=row.key.decode(),
            mark=accepted.mark.decode(),
            dest=row.destination,
            product=accepted.product,
            until=row.valid_until,
            customer=names[row.customer] if names else "",
            at=row.received_at,
            ordered=accepted.row.in_order,
        ):  # a number does not outlast them
            self.text_log.taken(row, accepted.key)
            client.answer("+OK")
        else:  # a disk that takes no more
            self.policy.text_finished(self.clock.now(), text)
            self._release(accepted)
            log_event(log, "text-refused", text=text, why="folder")
            client.answer("-BUSY")

    def _add_to_call(self, calls: dict, host: li.HostId, text: bytes, due: int, keep: int) -> None:
        """Texts to one host in one turn share a call as far as its kind allows.

        `due` counts from the decision: guards against a submit that waits past its text's validity period by
        the time that the ledger's writes have taken since."""
        accepted = self.accepted[text]
        most = self.plan.settings.kinds[self.hosts[host].kind].texts_per_call if host in self.hosts else 1
        if len(calls.get(host, [])) >= most:
            self.pool.send(host, calls.pop(host))
        calls.setdefault(host, []).append(OutgoingText(text, accepted.mark, accepted.body, due, keep))

    def _finish_with_notice(self, accepted: AcceptedText, notice: dict) -> None:
        """The final answer of a text that was taken on is a notice, owed until it is answered."""
        self.text_log.ended(accepted.text, notice["result"])
        text = accepted.text
        recorded = self.ledger.record_notice(text.id, notice)
        self.storage_monitor.send_notice(text.id, notice, text.valid_until, recorded)

    def _notify(self, text: bytes, notice: dict) -> None:
        self.notifier.add_notice(text, notice)
