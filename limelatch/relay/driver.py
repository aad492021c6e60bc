"""The driver: passes events to the policy, has it decide once a turn, and carries out its actions."""

from __future__ import annotations

from dataclasses import replace

from limelatch import interface as li
from limelatch.configuration import RelayPlan
from limelatch.configuration.changes import changes
from limelatch.configuration.model import Reload
from limelatch.configuration.plan import DescriptorShares
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.logs import start as start_logs
from limelatch.policy import Policy
from limelatch.product_table import ProductTable
from limelatch.relay.accepted_text import AcceptedText, Refusal
from limelatch.relay.anchor_file import AnchorFile
from limelatch.relay.catalog import BadList, Catalog
from limelatch.relay.client_listener import Listener
from limelatch.relay.clients import Client
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.drain_state import DrainState
from limelatch.relay.operator_server import OperatorServer
from limelatch.relay.storage_monitor import StorageMonitor
from limelatch.relay.handover import SUCCESSOR_NOTICED_AFTER, Acceptance, Handover
from limelatch.relay.host_calls import Call, OutgoingText
from limelatch.relay.host_outcomes import Outcome
from limelatch.relay.hosts import HostPool
from limelatch.relay.ledger import Ledger
from limelatch.relay.list_copy import ListCopy
from limelatch.relay.operations import Operations
from limelatch.relay.platform import Notifier
from limelatch.relay.port_opening import PORT_RETRY_INTERVAL, PortOpening, PortUnavailable
from limelatch.relay.records import Entry
from limelatch.relay.resource_monitor import Holdings, ResourceMonitor
from limelatch.relay.slots import Slots
from limelatch.relay.submission import Submission
from limelatch.relay.suspended_hosts import SuspendedHosts
from limelatch.relay.text_log import TextLog
from limelatch.relay.text_terms import encode_terms, product_of_terms
from limelatch.relay.wall_clock_monitor import WallClockMonitor

log, policy_log = logger("driver"), logger("policy")
NEVER_RAN = (li.Result.FULL, li.Result.CONNECT, li.Result.NOT_SENT)  # the submit certainly did not run
MAX_KEPT_BODY_SIZE = 4096  # bytes of a text's body that is held beside the ledger's record
COUNTS_INTERVAL = 60 * li.SECOND  # between two lines with the counts of connections
IDLE_CHECK_INTERVAL = 20 * li.MS  # between two checks for requests of clients, before an early end


class Driver:
    """One relay process: the policy, the ledger, and the connections to clients, hosts and platform."""

    def __init__(self, plan: RelayPlan, reactor, clock: Clock) -> None:
        self.plan, self.reactor, self.clock = plan, reactor, clock
        self.initial_values = plan.source.installation
        self.deadlines = Deadlines(reactor, clock)
        self.policy = Policy(plan.settings, clock.now())
        self.products = ProductTable(plan.names.products, plan.settings.products)
        # Both are read before the state directory is locked, since either may fail.
        self.suspended_hosts, self.drain_state = SuspendedHosts(plan.state_dir), DrainState(plan.state_dir)
        self.storage_monitor = StorageMonitor(clock, self.deadlines, self._notify, self.schedule_turn)
        self.ledger = Ledger(
            plan.state_dir, plan.max_disk_bytes, plan.memory.text_bytes, self.storage_monitor.on_write_result
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
        self._serve_at = clock.now() + (SUCCESSOR_NOTICED_AFTER if self.ledger.is_standby else 0)
        self.slots: Slots[AcceptedText] = Slots(max(plan.settings.max_texts, len(self.ledger.entries)))
        self.accepted: dict[bytes, AcceptedText] = {}
        self.new_texts: dict[bytes, AcceptedText] = {}  # of this turn, not accepted yet
        self._new_body_bytes = 0  # of their bodies
        self.hosts: dict[li.HostId, li.HostEntry] = {}  # of the destinations in use, as last listed
        self.limited_log, self.text_log = LimitedLog(log, clock), TextLog(clock)
        self._turn_due, self.ready, self._stop_deadline, self._earliest_stop_at = False, False, None, 0
        self.failed, self._is_ending = False, False
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
        shares = plan.shares.within(plan.memory.connections)
        self.listener = Listener(self, shares.clients, plan.memory.command_bytes, shares.max_clients)
        self.operations = Operations(self, self.suspended_hosts, self.drain_state)
        self.operator_server = OperatorServer(self, self.operations, plan.shares.operators)
        listen, operator = plan.listen, plan.operator_address
        self._client_port = PortOpening(
            clock,
            listen,
            lambda: self.listener.listen(reactor, listen.host, listen.port, self.ledger.is_standby),
        )
        self._operator_port = (
            PortOpening(
                clock, operator, lambda: self.operator_server.listen(reactor, operator.host, operator.port)
            )
            if operator is not None
            else None
        )
        self.resource_monitor = ResourceMonitor(self.deadlines, plan.max_memory_bytes, self._holdings)
        self.peers = None
        if plan.membership is not None:  # otherwise the membership code is not loaded at all
            from limelatch.relay.peers import Peers

            self.peers = Peers(
                plan.membership, reactor, self.deadlines, clock, plan.state_dir, plan.settings.seed
            )

    def start(self) -> None:
        """Restore the texts of the ledger, then wait for the first host list before serving."""
        try:
            self.catalog.load_known_list(self.plan.known_hosts)
        except BadList as error:
            log_event(log, "known-list-not-read", why=error)
        self.plan = replace(self.plan, known_hosts={})  # now in the catalog's directory
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
        if self._operator_port is not None:
            self._open_operator_port()
        if self.peers is not None:
            self.peers.start()
        self.wall_clock_monitor.start()
        self.deadlines.after(COUNTS_INTERVAL, self._log_counts)
        self.resource_monitor.start()
        log_event(log, "waiting", on="list", most_ms=self.plan.list_timeout // li.MS)
        self.deadlines.after(self.plan.list_timeout, self.serve)
        if not self.plan.settings.list_on_request:
            self.catalog.connect()
        self.schedule_turn()

    def _adopt(self, entries: list[Entry]) -> None:
        """Take over the texts that another process of this relay has left."""
        self.slots.size = max(self.slots.size, len(self.accepted) + len(entries))
        now = self.clock.now()
        for entry in entries:
            self._restore(now, entry)
        log_event(log, "taken-over", owed=len(self.accepted), adopted=len(entries))
        self.schedule_turn()

    def _share_limits(self, has_sibling: bool) -> None:
        """Share the limits between the two processes of an upgrade, or use them whole again.

        Each process gets half of the descriptors, half of the memory for clients, and half of what a host may
        be sent after an outage."""
        self.policy.process_count = 2 if has_sibling else 1
        shares = DescriptorShares.during_upgrade(self.plan.sockets) if has_sibling else self.plan.shares
        memory = self.plan.memory.half if has_sibling else self.plan.memory
        shares = shares.within(memory.connections)
        self.listener.set_limits(shares.clients, shares.max_clients, memory.command_bytes)
        self.pool.set_limit(shares.hosts)

    def _is_ordered(self, product: str) -> bool:
        """Whether a product is delivered in order, by the settings; an unknown product counts as such."""
        return self.products.product(product).in_order

    def _product_of(self, entry: Entry) -> li.Product:
        """The product under whose terms a text was accepted; for a record of an earlier version, which has no
        terms, the one that the settings give it."""
        name = entry.fields["product"]
        in_order = self._is_ordered(name) if entry.in_order is None else entry.in_order
        if entry.terms is not None:
            return product_of_terms(entry.terms, in_order)
        if name not in self.products:
            log_event(log, "product-unknown", product=name)
        return replace(self.products.product(name), in_order=in_order)

    def _restore(self, now: int, entry: Entry) -> None:
        """Restore a text of an earlier process: send its notice, or have the policy decide on it."""
        fields, names, customer_name = entry.fields, self.plan.names, entry.fields["customer"]
        product = self.products.number(fields["product"])
        customer = names.customers.index(customer_name) if customer_name in names.customers else 0
        text = li.Text(entry.id, fields["dest"], product, fields["until"], customer, entry.key)
        text.received_at = entry.received_at
        self._last_received_at = max(self._last_received_at, entry.received_at)
        product_settings = self._product_of(entry)
        accepted = self._register(
            AcceptedText(text, fields["mark"].encode(), b"", product_settings, fields["product"])
        )
        answered = entry.notice is not None
        first_run_at = entry.first_run_at
        if first_run_at is not None and first_run_at < self.clock.certain_from:
            # Nobody knows how long ago it ran, so its retry window counts as over.
            first_run_at = min(first_run_at, now - product_settings.retry_window)
        history = li.TextHistory(
            entry.submit_count,
            first_run_at,
            entry.first_run_zone,
            entry.in_flight,
            answered,
            product_settings,
        )
        self.text_log.adopted(entry, accepted.key, first_run_at is not None, answered)
        self._list_hosts_of(now, text.destination)
        self.policy.text_accepted(now, text, history)
        if entry.in_flight and accepted.key is not None:  # the cooldown has to outlast this process too
            self.ledger.record_submit_end(entry.id, True, now, self._cooldown_until(accepted, now))
        if entry.notice is not None:
            self.notifier.add_notice(entry.id, entry.notice)

    def serve(self) -> None:
        """Listen for clients; PING is answered from now on."""
        if self.clock.now() < self._serve_at:  # the old process has to give up its half of the limits first
            self.deadlines.at(self._serve_at, self.serve)
            return
        if not self.ready and self._stop_deadline is None and not self.failed:
            self.operations.refresh_drain()  # before the first PING
            is_operator_port_open = self._operator_port is None or self._operator_port.is_open
            if not is_operator_port_open or not self._open_port(self._client_port):
                self.deadlines.after(PORT_RETRY_INTERVAL, self.serve)
                return
            self.ready = True
            log_event(
                log,
                "serving",
                listen=self.plan.listen,
                hosts=len(self.catalog.directory),
                fresh_list=self.catalog.is_fresh,
            )
            self.schedule_turn()

    def _open_port(self, port: PortOpening) -> bool:
        """Try to open a port; return whether it is open. The process ends after the last retry."""
        try:
            return port.attempt()
        except PortUnavailable:
            self.failed = True
            self.reactor.stop()
            return False

    def _open_operator_port(self) -> None:
        """Listen for operators, before clients are served: STATUS reports that."""
        if not self.failed and not self._open_port(self._operator_port):
            self.deadlines.after(PORT_RETRY_INTERVAL, self._open_operator_port)

    def reconfigure(self, plan: RelayPlan) -> None:
        """SIGHUP: apply the settings that can change while texts are pending; the others need a restart."""
        restart_keys = [
            each.path
            for each in changes(self.initial_values, plan.source.installation)
            if each.reload is Reload.RESTART
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
            source=plan.source,
        )
        self.products = ProductTable(plan.names.products, settings.products)
        self.policy.settings = settings  # pending texts keep the product settings of their arrival
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
            restart_for=",".join(restart_keys),
        )
        self.schedule_turn()

    def stop(self) -> None:
        """SIGTERM: accept nothing new, wait for calls in flight, then end the process."""
        if self._stop_deadline is not None:
            return
        now = self.clock.now()
        self._stop_deadline = now + self.plan.max_stop_time
        self._earliest_stop_at = now + self.plan.min_stop_time
        handed_over = self.ready and self.ledger.has_successor()
        self.policy.stopping(self._stop_deadline)
        self.listener.stop(handed_over)
        log_event(
            log, "stopping", owed=len(self.accepted), calls=self.pool.calls_in_flight, handed_over=handed_over
        )
        self.schedule_turn()
        if not self.ready:
            self._exit()
        self.deadlines.after(self.plan.min_stop_time, self._exit_if_idle)
        self.deadlines.at(self._stop_deadline, self._exit)

    def _log_counts(self) -> None:
        """Log the counts of connections to hosts, now and in regular intervals."""
        self.pool.log_counts()
        self.deadlines.after(COUNTS_INTERVAL, self._log_counts)

    def _holdings(self) -> Holdings:
        """What this process holds now, for the log."""
        return Holdings(
            clients=len(self.listener.connections),
            open_clients=self.listener.open,
            client_bytes=self.listener.memory.total,
            texts=len(self.accepted),
            text_bytes=self.ledger.state.live_bytes,
            calls=self.pool.calls_in_flight,
        )

    def _exit_if_idle(self) -> None:
        """End early: when no text is pending, no call is in flight and clients send no more requests."""
        if self.clock.now() >= self._earliest_stop_at and not self.accepted and not self.pool.calls_in_flight:
            if self.listener.has_pending_requests():  # answered first, until the stop's deadline at most
                self.deadlines.after(IDLE_CHECK_INTERVAL, self._exit_if_idle)
            else:
                self._exit()

    def _exit(self) -> None:
        """End in the reactor's next turn, and read no more requests before it.

        Guards against an answer that is not yet written when the reactor closes all connections: a request
        that was read has to be answered, while one that was not read is sent again by its client."""
        if not self._is_ending:
            self._is_ending = True
            self.storage_monitor.retry_at_exit()
            self.listener.stop_reading()
            if self.peers is not None:
                self.peers.stop()
            self.pool.log_counts()
            log_event(log, "stopped", owed=len(self.accepted), calls=self.pool.calls_in_flight)
            self.deadlines.after(0, self.reactor.stop)

    # Events from clients, the catalog, hosts and the platform.

    def submission_received(self, submission: Submission, client: Client) -> None:
        """A client hands in a text; it is answered in the next turn at the latest."""
        names, now = self.plan.names, self.clock.now()
        if self.handover.sibling_has(submission.id):
            client.answer("+OK")  # the other process of this relay has accepted it
            return
        product = submission.product.decode(errors="replace")
        customer = submission.customer.decode(errors="replace")
        refusal = self._refusal_of(submission, product, customer)
        if refusal is not None:
            log_event(log, "text-refused", text=submission.id, why=refusal.why)
            client.answer(refusal.answer)
        else:
            customer_index = names.customers.index(customer) if customer in names.customers else 0
            product_settings = self.products.product(product)
            max_validity = product_settings.validity_period or submission.valid_for
            valid_until = now + min(submission.valid_for, max_validity)
            self._last_received_at = max(now, self._last_received_at + 1)  # unique, since it orders texts
            text = li.Text(
                submission.id,
                submission.destination,
                self.products.number(product),
                valid_until,
                customer_index,
                submission.key,
            )
            text.received_at = self._last_received_at
            self.new_texts[submission.id] = self._register(
                AcceptedText(
                    text, submission.idempotency_key, submission.body, product_settings, product, client
                )
            )
            self._new_body_bytes += len(submission.body)
            self._list_hosts_of(now, text.destination)
            self.policy.text_accepted(now, text)
            self.schedule_turn()

    def _refusal_of(self, submission: Submission, product: str, customer: str) -> Refusal | None:
        """Why a text is refused without asking the policy; None where it is not."""
        names = self.plan.names
        if product not in self.products:
            return Refusal("product", f"-ERR unknown class {product[:40]!r}")
        if names.customers and customer and customer not in names.customers:
            return Refusal("customer", f"-ERR unknown tenant {customer[:40]!r}")
        if self.catalog.is_fresh and not self._has_hosts(submission.destination):
            # else the text would be pending until its validity period ends
            return Refusal("destination", "-ERR unknown destination")
        if not self.catalog.has_list:
            self.limited_log("no-list", why="no list of hosts has been read yet")
            return Refusal("no-list", "-BUSY")
        if submission.id in self.accepted or self.ledger.state.is_known(submission.id, self.clock.now()):
            return Refusal("id-known", "-ERR this id was handed in before")
        if self._stop_deadline is not None:
            return Refusal("stopping", "-BUSY")
        if self.slots.is_full:
            return Refusal("texts-most", "-BUSY")
        if not self.ledger.has_room(len(submission.body), len(self.new_texts), self._new_body_bytes):
            return Refusal("disk-most", "-BUSY")
        return None

    def _has_hosts(self, destination: int) -> bool:
        """Whether the destination is listed; one in use is found without a search in the directory."""
        in_use = self.policy.destinations.get(destination)
        if in_use is not None and any(host.listing is not li.Listing.GONE for host in in_use.hosts):
            return True
        return self.catalog.directory.has_destination(destination)

    def _register(self, accepted: AcceptedText) -> AcceptedText:
        """Add a text to the driver's tables."""
        accepted.slot = self.slots.take(accepted)
        self.accepted[accepted.text.id] = accepted
        return accepted

    def client_disconnected(self, client: Client) -> None:
        """A client left before its texts were accepted: drop them; it submits them again under new ids."""
        for accepted in [each for each in self.new_texts.values() if each.client is client]:
            del self.new_texts[accepted.text.id]
            self._new_body_bytes -= len(accepted.body)
            self.policy.text_finished(self.clock.now(), accepted.text.id)
            self._release(accepted)
            self.schedule_turn()

    def hosts_listed(self, entries: list[li.HostEntry], whole: bool) -> None:
        """The host list has changed, or is new as a whole.

        The policy gets only the hosts of destinations in use, all of them after a whole list. It gets the
        hosts of other destinations with their first text."""
        if whole:
            entries = [
                entry for number in list(self.policy.destinations) for entry in self.catalog.entries(number)
            ]
            for host in self.hosts.keys() - {entry.host for entry in entries}:
                self._remove_host(host)
        self._apply_host_list(self.clock.now(), entries, whole)
        if entries or whole:  # else no destination in use has changed
            self.schedule_turn()
        if self.catalog.is_fresh and not self.ready:
            self.deadlines.after(0, self.serve)

    def _list_hosts_of(self, now: int, destination: int) -> None:
        """Pass a destination's hosts to the policy, unless it has them."""
        if destination not in self.policy.destinations:
            self._apply_host_list(now, self.catalog.entries(destination), news=False)

    def _apply_host_list(
        self, now: int, entries: list[li.HostEntry], whole: bool = False, news: bool = True
    ) -> None:
        """Pass hosts to the policy and the connection pool; `whole` and `news` are those of the policy."""
        for entry in entries:
            if entry.listing is li.Listing.GONE:
                self._remove_host(entry.host)
            else:
                self.hosts[entry.host] = entry
                self.pool.set_address(entry.host, self.catalog.host_address(entry.host))
        self.policy.hosts_listed(
            now, [self.suspended_hosts.as_listed(entry) for entry in entries], whole, news
        )
        self._apply_sibling_data()

    def _poll_sibling(self) -> None:
        """Read what the other process of this relay has recorded by now."""
        self.handover.poll()
        self._apply_sibling_data()

    def _apply_sibling_data(self) -> None:
        """Pass on to the policy the waits and the health of hosts that the other process has recorded."""
        for host, until in self.handover.host_waits.items():
            self.policy.host_asked_to_wait(host, until)
        now = self.clock.now()
        for host, found in self.handover.host_health.items():
            self.policy.health_from_sibling(now, host, found.health, found.at)

    def _remove_host(self, host: li.HostId) -> None:
        """Forget a host that is not listed any more, or whose destination is not in use."""
        self.hosts.pop(host, None)
        self.pool.set_address(host, None)

    @property
    def stopping(self) -> bool:
        """Whether SIGTERM has come."""
        return self._stop_deadline is not None

    def refresh_host(self, host: li.HostId) -> None:
        """Pass a host to the policy again, after an operator has suspended or restored it."""
        if host in self.hosts:
            self._apply_host_list(self.clock.now(), [self.hosts[host]], news=False)
            self.schedule_turn()

    def list_failed(self) -> None:
        """A watch that the policy had asked for has ended; the policy decides when to ask again."""
        self.policy.list_failed(self.clock.now(), self.catalog.last_activity_at)
        self.schedule_turn()

    def may_send(self, now: int, text: bytes, host: li.HostId) -> bool:
        """Whether a text may still be sent to a host, now that a connection is ready for it."""
        if self.handover.has_host_data:  # the other process may have recorded a wait since the decision
            self._poll_sibling()
        return self.policy.may_send(now, text, host)

    def start_submit(self, call: Call, outgoing: OutgoingText) -> bool:
        """Record a submit that is about to be written.

        False, and it must not be written, where the ledger can't record it or its key's order blocks it."""
        if (accepted := self.accepted.get(outgoing.text)) is None:
            return False
        if accepted.key is None:
            return self._record_submit(accepted, call)
        block_reason = self.handover.claim(
            accepted.key, outgoing.text, lambda: self._record_submit(accepted, call)
        )
        if block_reason is not None:
            self.text_log.submit_blocked(outgoing.text, accepted.key, call.host, block_reason.value)
        return accepted.submit_in_flight

    def _record_submit(self, accepted: AcceptedText, call: Call) -> bool:
        """Record a submit in the ledger; False where that can't be written."""
        text = accepted.text.id
        accepted.submit_in_flight = self.ledger.record_submit(text, call.sent_at, self._zone_of(call.host))
        if accepted.submit_in_flight:
            self.text_log.submit_started(text, accepted.key, call, self.ledger.entries[text].submit_count)
        return accepted.submit_in_flight

    def _zone_of(self, host: li.HostId) -> int:
        """The host's zone; unknown if it is not listed any more."""
        return self.hosts[host].zone if host in self.hosts else li.UNKNOWN_ZONE

    def _cooldown_until(self, accepted: AcceptedText, now: int) -> int | None:
        """The end of its key's cooldown, where a call of this text has caused it; else None."""
        cooldown = None if accepted.key is None else self.policy.key_order.cooldowns.get(accepted.key)
        return (
            cooldown.until
            if cooldown is not None and cooldown.text == accepted.text.id and cooldown.until > now
            else None
        )

    def submit_ended(self, call: Call, outgoing: OutgoingText, outcome: Outcome) -> None:
        """A submit has ended: tell the policy, and record what a restart has to know of it."""
        accepted, now = self.accepted.get(outgoing.text), self.clock.now()
        if accepted is None:
            return
        limit_left, limit_rate = li.limit_from_report(outcome.report)
        self.policy.submit_ended(
            now,
            li.SubmitReport(
                outgoing.text,
                call.host,
                outcome.result,
                now - call.sent_at,
                outcome.finished,
                outcome.retry_after,
                limit_left,
                limit_rate,
                call.idle_time,
                outcome.unsent,
                outcome.in_doubt,
            ),
        )
        cooldown_until = self._cooldown_until(accepted, now)
        self.text_log.submit_ended(outgoing.text, accepted.key, call, outcome, cooldown_until)
        if outcome.retry_after:
            self.ledger.record_retry_after(call.host, now + outcome.retry_after, now)
        if accepted.submit_in_flight and (cooldown_until is not None or not outcome.finished):
            self.ledger.record_submit_end(outgoing.text, outcome.result not in NEVER_RAN, now, cooldown_until)
        if outcome.finished:
            self.ledger.record_finished(outgoing.text, now)
            self._release(accepted)
        accepted.submit_in_flight = False
        self.schedule_turn()

    def submit_doubted(self, call: Call, outgoing: OutgoingText) -> None:
        """The response that ended a submit may have belonged to another one: the text may have run."""
        accepted, now = self.accepted.get(outgoing.text), self.clock.now()
        if accepted is None or not self.policy.submit_doubted(now, outgoing.text, call.host, call.sent_at):
            return
        self.text_log.submit_doubted(outgoing.text, accepted.key, call)
        cooldown_until = self._cooldown_until(accepted, now)
        self.ledger.record_doubt(outgoing.text, call.sent_at, self._zone_of(call.host), now, cooldown_until)
        self.schedule_turn()

    def host_asked_to_wait(self, host: li.HostId, wait: int) -> None:
        """A host has told a wait in a response that ends no submit; `wait` in tenths of a millisecond."""
        now = self.clock.now()
        self.policy.host_asked_to_wait(host, now + wait)
        self.ledger.record_retry_after(host, now + wait, now)

    def probe_ended(self, call: Call, result: li.Result, report: dict[str, float]) -> None:
        """A probe of a host has ended; it is only logged."""
        log_event(
            log, "probe-ended", host=call.host, result=result.value, x0=report.get("x0"), x1=report.get("x1")
        )

    def notice_answered(self, text: bytes) -> None:
        """The platform has confirmed the notice, and the text is finished."""
        if accepted := self.accepted.get(text):
            now = self.clock.now()
            if now > accepted.text.valid_until:
                self.limited_log("ended-late", text=text, by_ms=(now - accepted.text.valid_until) // li.MS)
            self.ledger.record_finished(text, now)
            self.policy.text_finished(now, text)
            self._release(accepted)
            self.schedule_turn()

    def _release(self, accepted: AcceptedText) -> None:
        """Remove a text from the driver's tables."""
        del self.accepted[accepted.text.id]
        self.slots.release(accepted.slot)

    # The turn.

    def schedule_turn(self) -> None:
        """Have the policy decide in the reactor's next turn, once for all events until then."""
        if not self._turn_due:
            self._turn_due = True
            self.deadlines.after(0, self.turn)

    def turn(self) -> None:
        """Have the policy decide, answer the new texts, and carry out the actions."""
        self._turn_due = False
        if not self.ready:
            return  # restored texts wait for the host list too
        if self.handover.has_host_data:
            self._poll_sibling()
            self.operations.refresh()
        now = self.clock.now()
        actions = self.policy.decide(now, self.storage_monitor.gate.may_submit)
        # Answering a client may bring in its next text, which is for a later turn.
        new_texts, self.new_texts, self._new_body_bytes = self.new_texts, {}, 0
        for action in actions:
            if isinstance(action, (li.Nack, li.Undeliverable)) and action.text in new_texts:
                self._reject(new_texts.pop(action.text), action)
        for text, accepted in new_texts.items():
            self._accept(text, accepted)
        calls: dict[li.HostId, list[OutgoingText]] = {}
        for action in actions:
            match action:
                case li.Submit(text, host) if text not in self.accepted:  # it could not be accepted
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
        if self._stop_deadline is not None:
            self._exit_if_idle()

    def _reject(self, accepted: AcceptedText, answer: li.Nack | li.Undeliverable) -> None:
        """Answer the client of a text that the policy refuses at once; it was never accepted."""
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

    def _accept(self, text_id: bytes, accepted: AcceptedText) -> None:
        """Accept a new text: first the record, then the answer to the client, and only then a call."""
        text, client, names = accepted.text, accepted.client, self.plan.names.customers
        accepted.client = None
        # Recorded by name, since the numbers of products and customers change with the settings.
        fields = {
            "key": text.key.decode(),
            "mark": accepted.idempotency_key.decode(),
            "dest": text.destination,
            "product": accepted.product,
            "until": text.valid_until,
            "customer": names[text.customer] if names else "",
            "at": text.received_at,
            "ordered": accepted.product_settings.in_order,
            "terms": encode_terms(accepted.product_settings),
        }
        body = accepted.body
        if len(body) > MAX_KEPT_BODY_SIZE:  # the ledger has it from now on
            accepted.body = b""
        acceptance = self.handover.accept(
            text_id, lambda: self.ledger.record_accepted(text_id, body, **fields)
        )
        if acceptance is Acceptance.RECORDED:
            self.text_log.accepted(text, accepted.key)
            client.answer("+OK")
            return
        self.policy.text_finished(self.clock.now(), text_id)
        self._release(accepted)
        if acceptance is Acceptance.KNOWN_TO_SIBLING:
            client.answer("+OK")
        else:
            log_event(log, "text-refused", text=text_id, why="folder")
            client.answer("-BUSY")

    def _add_to_call(self, calls: dict, host: li.HostId, text: bytes, deadline: int, idle_limit: int) -> None:
        """Add a text to the calls of this turn; texts to a host share a call as far as its kind allows.

        `deadline` is set at the decision: guards against a submit that is awaited past the end of its text's
        validity period, by the time that the ledger's writes take in between."""
        accepted = self.accepted[text]
        max_texts = (
            self.plan.settings.kinds[self.hosts[host].kind].texts_per_call if host in self.hosts else 1
        )
        if len(calls.get(host, [])) >= max_texts:
            self.pool.send(host, calls.pop(host))
        calls.setdefault(host, []).append(
            OutgoingText(
                text,
                accepted.idempotency_key,
                accepted.body or self.ledger.entries[text].body,
                deadline,
                idle_limit,
                once_only=accepted.product_settings.effect is li.Effect.ONCE_ONLY,
                ordered=accepted.key is not None,
            )
        )

    def _finish_with_notice(self, accepted: AcceptedText, notice: dict) -> None:
        """Give an accepted text its final answer: a notice, repeated until the platform confirms it."""
        self.text_log.text_ended(accepted.text, notice["result"])
        text = accepted.text
        recorded = self.ledger.record_notice(text.id, notice)
        self.storage_monitor.send_notice(text.id, notice, text.valid_until, recorded)

    def _notify(self, text: bytes, notice: dict) -> None:
        """Send a notice to the platform."""
        self.notifier.add_notice(text, notice)
