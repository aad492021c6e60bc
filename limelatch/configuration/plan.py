"""What the relay and the bench's adapter take from a configuration: the module's terms, names, figures."""

from __future__ import annotations

import os
from dataclasses import dataclass, replace

from limelatch import interface as li
from limelatch.configuration.errors import ConfigurationError
from limelatch.configuration.model import (
    RevenueDecay,
    Installation,
    RepeatScope,
    Log,
    Membership,
    ListDelivery,
    Product,
    RateQuality,
)
from limelatch.configuration.platform_form import read_platform
from limelatch.membership.timing import Timing

SEED_BYTES = 8
MIN_SOCKETS = 64  # a relay of so few descriptors still has some for every party
RESERVED_DESCRIPTORS = (
    20  # descriptors for output, pipes, ledger, ports, catalog, platform, and files that are passing
)


@dataclass(frozen=True)
class Names:
    """The names on the wire, in the order of the module's numbers."""

    products: list[str]
    customers: list[str]
    zones: list[str]
    kinds: list[str]
    fields: list[str]


@dataclass(frozen=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class DescriptorShares:
    """Of the descriptors, what each party may hold. A connection that was told to end holds its own until the
    reactor has gone round: `closing` is for those of hosts, and operators' count twice.

    Guards against clients whose connections take the descriptors of catalog, hosts, platform and ledger."""

    hosts: int
    closing: int
    operators: int
    clients: int  # that are served
    max_clients: int  # with those on their way out

    @classmethod
    def of(cls, sockets: int) -> DescriptorShares:
        clients, operators = sockets // 2, max(1, min(16, sockets // 64))
        left = sockets - clients - 2 * operators - RESERVED_DESCRIPTORS
        hosts = min(sockets // 4, left * 6 // 10)
        closing = min(sockets // 16, (left - hosts) // 2)
        return cls(hosts, closing, operators, clients, clients + left - hosts - closing)

    @classmethod
    def during_upgrade(cls, sockets: int) -> DescriptorShares:
        """Of one of two processes of a relay, which share its descriptors in an upgrade.

        A relay of fewer than twice SOCKETS_LEAST can't keep both within them."""
        return cls.of(max(MIN_SOCKETS, sockets // 2))


@dataclass(frozen=True)
class MembershipPlan:
    """What a relay needs to take part among the others."""

    listen: Address
    peers: list[Address]
    number: int  # its own place among them
    zones: list[int]
    timing: Timing


@dataclass(frozen=True)
class RelayPlan:
    """All that a relay on sockets is started with; spans are in tenths of a millisecond."""

    name: str
    listen: Address
    operator_address: Address | None  # the operators' door; none: no door
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
    max_client_bytes: int  # of commands that are not whole yet, of all clients together
    client_command_timeout: int  # for a client's first command, and for the rest of a begun one
    client_idle_timeout: int  # between a client's commands
    connect_timeout: int  # a connection to a host must be up by then
    probe_timeout: int
    min_stop_time: int  # from SIGTERM to the exit at the earliest, since clients still come
    max_stop_time: int  # and at the latest
    notice_timeout: int  # for a notice's answer, then it is sent again
    list_timeout: int  # for the first list at the start, then the known one serves
    watch_timeout: int  # of the watch, then it is opened anew
    reconnect_delay: int
    given: Installation  # what it was made from
    membership: MembershipPlan | None = None


def address_of(word: str) -> Address:
    host, _, port = word.partition(":")
    return Address(host, int(port))


def product_of(row: Product, falls: RevenueDecay) -> li.Product:
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


def terms_of(installation: Installation, seed: int) -> li.PolicySettings:
    """What the module is told when it starts."""
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
        list_asked=installation.catalog.news is ListDelivery.ASKED,
        ask_within=installation.catalog.ask_within,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        fall_multiple=rules.fall_multiple,
        fall_time=rules.fall_time,
        key_cooldown=rules.key_rest,
        connection_idle_limit=installation.hosts.idle_time,
    )


def bench_terms(seed: int, settings: object) -> li.PolicySettings:
    """The terms of an instance that is told nothing but the platform's settings."""
    anywhere = "0.0.0.0:0"
    raw = {"listen": anywhere, "discovery": anywhere, "state": ".", "settings": settings}
    installation, errors, _ = read_platform(raw)
    if installation is None:
        raise ConfigurationError(errors)
    return terms_of(installation, seed)


def names_of(installation: Installation) -> Names:
    """What products, customers, floors, kinds of destination and report fields are called."""
    return Names(
        products=[row.name for row in installation.products],
        customers=[row.name for row in installation.customers],
        zones=[row.name for row in installation.floors],
        kinds=[row.name for row in installation.kinds],
        fields=installation.hosts.report_fields,
    )


def membership_of(membership: Membership) -> MembershipPlan | None:
    """None where it is off."""
    if not membership.on:
        return None
    names = sorted(set(membership.zones))
    return MembershipPlan(
        listen=address_of(membership.listen),
        peers=[address_of(peer) for peer in membership.peers],
        number=membership.peers.index(membership.address or membership.listen),
        zones=[names.index(zone) for zone in membership.zones],
        timing=Timing(period=membership.probe_period, pause=membership.pause),
    )


def plan_of(installation: Installation) -> RelayPlan:
    """All that a relay on sockets needs, from its configuration."""
    relay, catalog, limits = installation.relay, installation.catalog, installation.limits
    seed = int(relay.seed, 16) if relay.seed else int.from_bytes(os.urandom(SEED_BYTES), "big")
    return RelayPlan(
        name=relay.name,
        listen=address_of(relay.listen),
        operator_address=address_of(relay.operator) if relay.operator else None,
        catalog_address=address_of(catalog.address),
        state_dir=relay.state,
        log=installation.log,
        settings=replace(terms_of(installation, seed), hosts_on_demand=True),
        names=names_of(installation),
        known_hosts=installation.known,
        max_disk_bytes=limits.disk,
        max_memory_bytes=limits.memory,
        sockets=limits.sockets,
        shares=DescriptorShares.of(limits.sockets),
        max_client_bytes=limits.memory // 8,
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
        given=installation,
        membership=membership_of(installation.membership),
    )
