"""Where configuration is read, checked and given defaults, for the bench's adapter and for the relay.

A key that is absent or null gets its default, an unknown one is passed over, and a value of the wrong form is
a ConfigurationError that names the key.
"""

from __future__ import annotations

import json
import os
import re
from collections.abc import Mapping
from dataclasses import dataclass

from limelatch import interface as li

MEGABYTE = 1_000_000
EFFECTS = {"pure": li.Effect.RESENDABLE, "token": li.Effect.REFERENCED, "side_effect": li.Effect.ONCE_ONLY}


class ConfigurationError(Exception):
    """A key's value can't be used; it names the key."""


class Keys:
    """One object of the configuration and the path that leads to it."""

    def __init__(self, raw: object, path: str = "") -> None:
        if raw is not None and not isinstance(raw, dict):
            raise ConfigurationError(f"{path or 'the configuration'}: an object is wanted")
        self.raw, self.path = raw or {}, path

    def fault(self, name: str, wanted: str) -> ConfigurationError:
        return ConfigurationError(f"{self._full(name)}: {wanted} is wanted, not {self.raw.get(name)!r:.60}")

    def _full(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def _value(self, name: str, default, kinds, wanted: str):
        value = self.raw.get(name)
        if value is None:
            return default
        if not isinstance(value, kinds) or isinstance(value, bool) and kinds is not bool:
            raise self.fault(name, wanted)
        return value

    def number(self, name: str, default: float = 0.0) -> float:
        value = self._value(name, default, (int, float), "a number that is not negative")
        if not 0 <= value < 1e15:
            raise self.fault(name, "a number that is not negative")
        return value

    def span(self, name: str, default_ms: float = 0.0) -> int:
        """Milliseconds as tenths of a millisecond."""
        return to_units(self.number(name, default_ms))

    def count(self, name: str, default: int = 1) -> int:
        return int(self.number(name, default))

    def flag(self, name: str) -> bool:
        return self._value(name, False, bool, "true or false")

    def word(self, name: str, default: str = "") -> str:
        return self._value(name, default, str, "a string")

    def items(self, name: str) -> list:
        return self._value(name, [], list, "a list")

    def numbers(self, name: str) -> list[float]:
        values = self.items(name)
        if any(isinstance(each, bool) or not isinstance(each, (int, float)) for each in values):
            raise self.fault(name, "a list of numbers")
        return values

    def part(self, name: str) -> Keys:
        return Keys(self.raw.get(name), self._full(name))

    def rows(self, name: str) -> list[Keys]:
        return [Keys(row, f"{self._full(name)}[{at}]") for at, row in enumerate(self.items(name))]


def to_units(ms: float) -> int:
    """Milliseconds as tenths of a millisecond."""
    return round(ms * li.MS)


def product_of(row: Keys, by_halves: bool) -> li.Product:
    """One product of the settings; one whose effect is not known must never run twice."""
    return li.Product(
        effect=EFFECTS.get(row.word("effect"), li.Effect.ONCE_ONLY),
        sla_time=row.span("onTime"), validity_period=row.span("deadline"),
        revenue=row.number("credit", 1.0), late_share=row.number("lateValue"), by_halves=by_halves,
        repeat_window=row.span("dedupWindow"), repeats_anywhere=row.word("group", "all") == "all",
        in_order=row.flag("oneAtATime"))


def terms_of(seed: int, raw: object) -> li.Terms:
    """The settings in our words and units."""
    settings = Keys(raw, "settings")
    info, limits, rules = (settings.part(name) for name in ("familyInfo", "limits", "rules"))
    by_halves = info.word("losesWorth") == "halves"
    batches, apart = info.numbers("batchByKind"), info.items("routesApart")
    kinds = [li.HostKind(int(batches[i]) if i < len(batches) else 1, i < len(apart) and apart[i] is True)
             for i in range(max(len(settings.items("skus")), len(batches), len(apart)))]
    return li.Terms(
        seed=seed, relays=max(1, settings.count("peersTotal")), slots=info.count("slots"),
        max_texts=limits.count("maxOpen"), max_submits=limits.count("maxAttempts"),
        max_advice=limits.span("maxRetryAfter") if limits.flag("retryAfter") else 0,
        products=[product_of(row, by_halves) for row in settings.rows("classes")], kinds=kinds,
        zone_fees=info.numbers("carriage"),
        rates_listed=settings.word("weightSource") in ("nominal", "rough"),
        cold_share=rules.number("coldShare", 1.0), cold_time=rules.span("cold"),
        fall_multiple=rules.number("fallMultiple", 1.0), fall_time=rules.span("tipAfter"),
        turn_gap=rules.span("turnGap"), conn_idle=limits.span("connIdle"))


def names_of(raw: object) -> Names:
    """What the settings call products, customers, zones, kinds of host and report fields."""
    settings = Keys(raw, "settings")
    words = {}
    for key in ("zones", "skus"):
        words[key] = settings.items(key)
        if any(not isinstance(each, str) for each in words[key]):
            raise settings.fault(key, "a list of strings")
    fields = settings.part("stats").items("fields")
    return Names(products=[row.word("name") for row in settings.rows("classes")],
                 customers=[row.word("name") for row in settings.rows("projects")],
                 zones=words["zones"], kinds=words["skus"], fields=[str(each) for each in fields])


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
class RelayPlan:
    """All that a relay on sockets is started with; spans are in tenths of a millisecond."""

    name: str
    listen: Address
    discovery: Address
    state: str
    log_level: str
    terms: li.Terms
    names: Names
    known: dict
    disk_bytes: int
    memory_bytes: int
    client_connections: int
    host_connections: int
    client_bytes: int  # of commands that are not whole yet, of all clients together
    client_command: int  # for a client's first command, and for the rest of a begun one
    client_idle: int  # between a client's commands
    connect_wait: int  # a connection to a host must be up by then
    probe_wait: int
    stop_least: int  # from SIGTERM to the exit at the earliest, since clients still come
    stop_wait: int  # and at the latest
    notice_wait: int  # for a notice's answer, then it is sent again
    list_wait: int  # for the first list at the start, then the known one serves
    silence: int  # of the watch, then it is opened anew
    reconnect_wait: int


def address_of(keys: Keys, name: str) -> Address:
    """`host:port` with an IPv4 address."""
    match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})", keys.word(name))
    if match is None or int(match[2]) > 65535 or any(int(part) > 255 for part in match[1].split(".")):
        raise keys.fault(name, "an address such as 127.0.0.1:6379")
    return Address(match[1], int(match[2]))


def seed_of(keys: Keys) -> int:
    """Sixteen hexadecimal digits; a seed of the system's own where there is none."""
    word = keys.word("seed") or os.urandom(8).hex()
    if not re.fullmatch(r"[0-9a-fA-F]{1,16}", word):
        raise keys.fault("seed", "a hexadecimal number of at most 16 digits")
    return int(word, 16)


def relay_plan(environment: Mapping[str, str]) -> RelayPlan:
    """The plan from $RELAY_CONFIG and, for what that file leaves out, the other variables."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG: the path of a JSON file is wanted")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"RELAY_CONFIG: {path}: {error}") from None
    if isinstance(raw, dict):
        told = {"name": "RELAY_NAME", "listen": "RELAY_LISTEN", "discovery": "RELAY_DISCOVERY",
                "state": "RELAY_STATE"}
        raw = {key: environment[word] for key, word in told.items() if word in environment} | raw
    return plan_of(Keys(raw))


def plan_of(keys: Keys) -> RelayPlan:
    """The plan from the configuration's one object."""
    limits, settings = keys.part("limits"), keys.part("settings")
    for name in ("settings", "state"):
        if not keys.raw.get(name):
            raise keys.fault(name, "a value")
    terms = terms_of(seed_of(keys), settings.raw)
    if not terms.products:
        raise settings.fault("classes", "a list with a row a product")
    log_level = keys.word("log_level", "info").upper()
    if log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise keys.fault("log_level", "debug, info, warning or error")
    sockets = limits.count("sockets", 1024)
    if sockets < 64:
        raise limits.fault("sockets", "at least 64")
    return RelayPlan(
        name=keys.word("name", "relay"), listen=address_of(keys, "listen"),
        discovery=address_of(keys, "discovery"), state=keys.word("state"), log_level=log_level, terms=terms,
        names=names_of(settings.raw), known=keys.part("known").raw,
        disk_bytes=int(limits.number("disk_mb", 3) * MEGABYTE),
        memory_bytes=int(limits.number("memory_mb", 192) * MEGABYTE), client_connections=sockets // 2,
        host_connections=sockets // 4, connect_wait=settings.part("limits").span("dialTimeout", 1000),
        client_bytes=int(limits.number("memory_mb", 192) * MEGABYTE / 8),
        client_command=keys.span("client_command_ms", 2000), client_idle=keys.span("client_idle_ms", 2000),
        probe_wait=keys.span("probe_ms", 1500), stop_least=keys.span("stop_least_ms", 500),
        stop_wait=keys.span("stop_ms", 3300),
        notice_wait=keys.span("notice_ms", 250), list_wait=keys.span("list_ms", 1000),
        silence=keys.span("silence_ms", 4500), reconnect_wait=keys.span("reconnect_ms", 250))
