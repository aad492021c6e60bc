"""The limits of a relay apply to both processes of an upgrade together."""

from __future__ import annotations

import copy
import json
import os
from contextlib import suppress

import pytest
from test_crossings import RunningReactor, accept_text
from test_key_order import Process

from limelatch.configuration.plan import RESERVED_DESCRIPTORS, DescriptorShares
from limelatch.relay.directory import Directory
from limelatch.relay.list_copy import COPY_FILE, COPY_FORM, ListCopy
from limelatch.relay.ledger import BLOCK, FILE, NEW_FILE, STANDBY_DIR, Ledger

DISK = 300_000  # bytes
BODY = b"b" * 1000


def folder_bytes(folder):
    """Size of the ledgers' files, counted as the platform does: in whole blocks."""
    files = [
        os.path.join(folder, *name)
        for name in ((FILE,), (NEW_FILE,), (STANDBY_DIR, FILE), (STANDBY_DIR, NEW_FILE))
    ]
    sizes = [os.path.getsize(path) for path in files if os.path.exists(path)]
    return sum(-(-size // BLOCK) * BLOCK for size in sizes)


def process(folder, clock):
    return Process(folder, clock, disk=DISK)


def fill(one, names, most=10_000):
    """Accepts texts as long as there is room; seven of eight are finished at once, the others stay open."""
    for number in range(most):
        text = b"%s%d" % (names, number)
        if not one.ledger.has_room(len(BODY)):
            return
        one.handover.poll()
        one.ledger.record_accepted(
            text, BODY, key="", mark="m", dest=1, product="notice", customer="", until=9, at=number
        )
        if number % 8:
            one.ledger.record_finished(text, 0)
        assert folder_bytes(one.ledger.state_dir) <= DISK


@pytest.mark.parametrize("texts", [5, 200, 10_000])
def test_both_ledgers_and_a_takeover_stay_within_the_disk_limit(tmp_path, texts):
    clock = RunningReactor()
    old = process(tmp_path, clock)
    fill(old, b"old", texts)
    new = process(tmp_path, clock)
    clock.advance(0.3)  # the old process has noticed the new one
    fill(new, b"new")
    fill(old, b"more", 200)
    fill(new, b"last", 200)
    open_texts = len(old.ledger.entries) + len(new.ledger.entries)
    old.ledger.close()
    clock.advance(0.2)
    assert len(new.ledger.entries) == open_texts and not new.ledger.is_standby
    assert folder_bytes(tmp_path) <= DISK
    new.ledger.close()


def test_the_copy_of_the_host_list_counts_for_the_standby_process_too(tmp_path):
    clock = RunningReactor()
    old = process(tmp_path, clock)
    directory = Directory(10)
    with open(tmp_path / COPY_FILE, "wb") as file:
        rows = list(directory.lines())
        head = (
            json.dumps({"form": COPY_FORM, "catalog": "a:1", "index": 3, "more": "x" * 3000}).encode() + b"\n"
        )
        file.write(head + b"".join(rows) + json.dumps({"rows": 0, "crc": 0}).encode() + b"\n")
    new = process(tmp_path, clock)
    before = new.ledger.disk_limit
    assert ListCopy(str(tmp_path), new.handover, new.ledger).read() is not None
    assert before - new.ledger.disk_limit >= 6000
    old.ledger.close()
    new.ledger.close()


def test_a_process_has_the_whole_disk_limit_again_after_its_sibling_ended(tmp_path):
    clock = RunningReactor()
    old = process(tmp_path, clock)
    fill(old, b"old", 50)
    new = process(tmp_path, clock)
    new.handover.poll()
    sibling_bytes = new.ledger.sibling_bytes
    for text in list(old.ledger.entries):
        old.ledger.record_finished(text, 0)
    old.ledger.close()
    clock.advance(0.2)
    assert sibling_bytes > 0 == new.ledger.sibling_bytes
    new.ledger.close()


def test_a_single_ledger_is_compacted_at_half_of_the_disk_limit(tmp_path):
    """That leaves room for a successor's ledger. With many open texts it is not compacted at each record."""
    ledger = Ledger(str(tmp_path), DISK, 10_000_000)
    compactions = []
    compact = ledger.compact
    ledger.compact = lambda: compactions.append(ledger.size) or compact()
    for number in range(6000):
        accept_text(ledger, b"t%d" % number)
        ledger.record_finished(b"t%d" % number, 0)
        assert ledger.size <= DISK // 2 + BLOCK
    assert 2 <= len(compactions) <= 10
    compactions.clear()
    while ledger.has_room(len(BODY)):
        accept_text(ledger, b"open%d" % len(ledger.entries))
    assert len(compactions) <= 3
    ledger.close()


# Descriptors, on real processes.

SOCKETS = 256


def descriptors(*programs):
    """Open descriptors of these processes."""
    return sum(len(os.listdir(f"/proc/{each.process.pid}/fd")) for each in programs)


def crowd(program, count):
    """Opens client connections that ask once and stay idle; the relay closes some of them for others."""
    made = []
    for _ in range(count):
        with suppress(OSError):
            client = program.client()
            client.write("PING")
            made.append(client)
    return made


def test_two_processes_hold_no_more_descriptors_than_one_relay_may(make_program, agent, make_host):
    agent.list(make_host().address)
    old = make_program(limits={"disk_mb": 3, "sockets": SOCKETS})
    old.start()
    clients = crowd(old, SOCKETS)
    new = copy.copy(old)
    new.process = None
    try:
        new.launch()
        new.wait_for_log("event=serving")
        most = 0
        for _ in range(6):
            clients += crowd(old, SOCKETS // 2)
            most = max(most, descriptors(old, new))
        assert most <= SOCKETS
        old.kill()
        new.wait_for_log("event=taken-over")
        most = 0
        for _ in range(4):
            clients += crowd(new, SOCKETS // 4)
            most = max(most, descriptors(new))
        # It has the whole limit again.
        assert most > RESERVED_DESCRIPTORS + DescriptorShares.during_upgrade(SOCKETS).clients
    finally:
        new.kill()
        for client in clients:
            client.socket.close()
