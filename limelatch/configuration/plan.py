"""Turns a configuration into what the relay and the benchmark adapter start with."""

from __future__ import annotations

import os
from dataclasses import dataclass, replace

from limelatch import interface as li
from limelatch.configuration.errors import ConfigurationError
from limelatch.configuration.model import (
    Installation,
    ListDelivery,
    Log,
    Membership,
    Product,
    RateQuality,
    RepeatScope,
    RevenueDecay,
)
from limelatch.configuration.platform_form import read_platform
from limelatch.configuration.reload import ConfigurationSource
from limelatch.membership.timing import Timing
from limelatch.memory_plan import MemoryPlan, divide

SEED_BYTES = 8
MIN_SOCKETS = 64  # with so few descriptors, each use still gets some
SUCCESSOR_DESCRIPTORS = 16  # of a new process beside this one, until this one has reduced its shares
RESERVED_DESCRIPTORS = 20  # for output, pipes, ledger, ports, catalog, platform and temporary files


@dataclass(frozen=True)
class Names:
    """Names on the wire; the index of a name is its number in the policy module."""

    products: list[str]
    customers: list[str]
    kinds: list[str]
    fields: list[str]


@dataclass(frozen=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class DescriptorShares:
    """How many file descriptors each use of the relay may take.

    A connection that is being closed keeps its descriptor until the end of the reactor's turn: `closing`
    allows for those to hosts, and operators' connections count twice.

    Guards against clients whose connections use up the descriptors of catalog, hosts, platform and ledger.
    """

    hosts: int
    closing: int
    operators: int
    clients: int  # being served
    max_clients: int  # including those being closed

    @classmethod
    def of(cls, sockets: int) -> DescriptorShares:
        """Divide the descriptors of a process that runs alone."""
        clients, operators = sockets // 2, max(1, min(16, sockets // 64))
        left = sockets - clients - 2 * operators - RESERVED_DESCRIPTORS
        hosts = min(sockets // 4, left * 6 // 10)
        closing = min(sockets // 16, (left - hosts) // 2)
        closing_clients = left - hosts - closing
        closing_clients -= min(SUCCESSOR_DESCRIPTORS, closing_clients * 2 // 3)
        return cls(hosts, closing, operators, clients, clients + closing_clients)

    @classmethod
    def during_upgrade(cls, sockets: int) -> DescriptorShares:
        """Divide the descriptors of one of the two processes that share a relay's limit during an upgrade.

        With a limit below twice MIN_SOCKETS the two together exceed it.
        """
        return cls.of(max(MIN_SOCKETS, sockets // 2))

    def within(self, connections: int) -> DescriptorShares:
        """The shares with at most so many connections of clients, those being closed included."""
        if connections >= self.max_clients:
            return self
        clients = min(self.clients, connections * self.clients // self.max_clients)
        return replace(self, clients=clients, max_clients=connections)


@dataclass(frozen=True)
class MembershipPlan:
    """What a relay needs to exchange membership messages with the others."""

    listen: Address
    peers: list[Address]
    number: int  # its own index in `peers`
    zones: list[int]
    timing: Timing


@dataclass(frozen=True)
class RelayPlan:
    """What a relay process is started with; spans are in tenths of a millisecond."""

    name: str
    listen: Address
    operator_address: Address | None  # None: no operators' port
    catalog_address: Address
    state_dir: str
    log: Log
    settings: li.PolicySettings
    names: Names
    known_hosts: dict
    max_disk_bytes: int
    max_memory_bytes: int
    sockets: int
    shares: DescriptorShares
    memory: MemoryPlan  # how the memory limit is divided; before the start, as if the process needed none
    client_command_timeout: int  # for a client's first command, and for the rest of an incomplete one
    client_idle_timeout: int  # between a client's commands
    connect_timeout: int  # for connecting to a host
    probe_timeout: int
    min_stop_time: int  # from SIGTERM to the earliest exit, since clients still connect for a while
    max_stop_time: int  # from SIGTERM to the latest exit
    notice_timeout: int  # for the answer to a notice, which is then sent again
    list_timeout: int  # for the first list at the start; after that the known one is used
    watch_timeout: int  # how long the catalog's watch may be silent before it is reopened
    reconnect_delay: int  # before catalog or platform are tried again
    source: ConfigurationSource  # what the plan was made from
    membership: MembershipPlan | None = None


def address_of(text: str) -> Address:
    """Parse a checked address of the configuration."""
    host, _, port = text.partition(":")
    return Address(host, int(port))


def product_of(row: Product, falls: RevenueDecay) -> li.Product:
    """Convert a product row to the policy module's product."""
    return li.Product(
        effect=row.effect,
        sla_time=row.sla_time,
        validity_period=row.validity_period,
        revenue=row.revenue,
        late_share=row.late_share,
        by_halves=falls is RevenueDecay.HALVES,
        retry_window=row.repeat_window,
        retry_anywhere=row.repeat_known is RepeatScope.DESTINATION,
        in_order=row.in_order,
    )


def settings_of(installation: Installation, seed: int) -> li.PolicySettings:
    """Return the settings of the policy module."""
    limits, rules = installation.limits, installation.rules
    return li.PolicySettings(
        seed=seed,
        relays=installation.relay.relays,
        slots=limits.slots,
        max_texts=limits.texts,
        max_submits=limits.submits,
        max_advice=limits.advice,
        products=[product_of(row, installation.revenue.falls) for row in installation.products],
        kinds=[li.HostKind(row.texts_per_call, row.routes_apart) for row in installation.kinds],
        zone_fees=[row.fee for row in installation.floors],
        rates_listed=installation.catalog.rates is not RateQuality.NONE,
        list_on_request=installation.catalog.news is ListDelivery.ASKED,
        ask_within=installation.catalog.ask_within,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        fall_multiple=rules.fall_multiple,
        fall_time=rules.fall_time,
        key_cooldown=rules.key_rest,
        connection_idle_limit=installation.hosts.idle_time,
    )


def bench_settings(seed: int, settings: object) -> li.PolicySettings:
    """Return the settings of a policy module that is given only the platform's `settings` object.

    Raises ConfigurationError if that can't be read.
    """
    placeholder = "0.0.0.0:0"
    raw = {"listen": placeholder, "discovery": placeholder, "state": ".", "settings": settings}
    installation, errors, _ = read_platform(raw)
    if installation is None:
        raise ConfigurationError(errors)
    return settings_of(installation, seed)


def names_of(installation: Installation) -> Names:
    """Collect the names of products, customers, kinds of destination and reported fields."""
    return Names(
        products=[row.name for row in installation.products],
        customers=[row.name for row in installation.customers],
        kinds=[row.name for row in installation.kinds],
        fields=installation.hosts.report_fields,
    )


def membership_of(membership: Membership) -> MembershipPlan | None:
    """Return the plan of the membership; None if it is off."""
    if not membership.on:
        return None
    zone_names = sorted(set(membership.zones))
    return MembershipPlan(
        listen=address_of(membership.listen),
        peers=[address_of(peer) for peer in membership.peers],
        number=membership.peers.index(membership.address or membership.listen),
        zones=[zone_names.index(zone) for zone in membership.zones],
        timing=Timing(probe_period=membership.probe_period, pause=membership.pause),
    )


def plan_of(installation: Installation, source: ConfigurationSource | None = None) -> RelayPlan:
    """Make the plan of a relay process from its configuration; without a configured seed, draw one.

    `source`: the same configuration with the keys that its file sets; without it, none is set by a file.
    """
    relay, catalog, limits = installation.relay, installation.catalog, installation.limits
    seed = int(relay.seed, 16) if relay.seed else int.from_bytes(os.urandom(SEED_BYTES), "big")
    return RelayPlan(
        name=relay.name,
        listen=address_of(relay.listen),
        operator_address=address_of(relay.operator) if relay.operator else None,
        catalog_address=address_of(catalog.address),
        state_dir=relay.state,
        log=installation.log,
        settings=replace(settings_of(installation, seed), hosts_on_demand=True),
        names=names_of(installation),
        known_hosts=installation.known,
        max_disk_bytes=limits.disk,
        max_memory_bytes=limits.memory,
        sockets=limits.sockets,
        shares=DescriptorShares.of(limits.sockets),
        memory=divide(limits.memory),
        client_command_timeout=installation.clients.command_wait,
        client_idle_timeout=installation.clients.idle_wait,
        connect_timeout=installation.hosts.connect_wait,
        probe_timeout=installation.hosts.probe_wait,
        min_stop_time=installation.stop.least,
        max_stop_time=installation.stop.most,
        notice_timeout=catalog.notice_wait,
        list_timeout=catalog.list_wait,
        watch_timeout=catalog.silence,
        reconnect_delay=catalog.reconnect_wait,
        source=source or ConfigurationSource.of(installation, ()),
        membership=membership_of(installation.membership),
    )
