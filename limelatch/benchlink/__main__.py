"""Runs decision modules for the bench: reads frames of events from stdin, writes their actions to stdout."""

from __future__ import annotations

import sys

from limelatch import interface as li
from limelatch.benchlink import wire
from limelatch.configuration import bench_settings, to_units
from limelatch.policy import Policy


class BenchRelay:
    """One decision module, and the names of the report fields in its settings."""

    def __init__(self, seed: int, settings: dict, now: int) -> None:
        stats = settings.get("stats") or {}
        self.fields: list[str] = list(stats.get("fields") or [])
        self.policy = Policy(bench_settings(seed, settings), now)


class BenchLink:
    """The relays of this process, and the host tables that their lists refer to."""

    def __init__(self) -> None:
        self.relays: dict[int, BenchRelay] = {}
        self.tables: dict[int, list[li.HostEntry]] = {}

    def handle_frame(self, clock: float, records: list[wire.Record]) -> list[bytes]:
        """Pass the events of a frame to their relays, in order; return the actions of those relays.

        `clock` is in milliseconds. A relay whose module raises gets a fault record, and its later events in
        the frame are skipped."""
        now, touched, faults = to_units(clock), {}, []
        for event in records:
            if event.code == wire.EVENT_HOST_TABLE:
                page, entries = wire.read_table(event.body)
                self.tables[page] = entries
                continue
            number = wire.read_relay(event.body)
            if number in touched and touched[number] is None:
                continue
            touched[number] = number
            try:
                self.deliver_event(number, event, now)
            except wire.MalformedFrame:
                raise
            except Exception as error:  # reported to the bench, whatever it is
                faults.append(wire.encode_line(wire.ACTION_FAULT, number, f"{type(error).__name__}: {error}"))
                touched[number] = None
        return faults + self.collect_actions(now, [n for n, alive in touched.items() if alive is not None])

    def deliver_event(self, number: int, event: wire.Record, now: int) -> None:
        """Pass one event to its relay; events of unknown relays are ignored."""
        if event.code == wire.EVENT_START:
            _, seed, settings = wire.read_start(event.body)
            self.relays[number] = BenchRelay(seed, settings, now)
            return
        if event.code == wire.EVENT_STOP:
            self.relays.pop(number, None)
            return
        relay = self.relays.get(number)
        if relay is None:
            return
        policy = relay.policy
        if event.code == wire.EVENT_TEXT:
            policy.text_accepted(now, wire.read_text(event.body))
        elif event.code == wire.EVENT_OUTCOME:
            policy.submit_ended(now, wire.read_outcome(event.body, relay.fields))
        elif event.code == wire.EVENT_PROBE_OUTCOME:
            wire.read_probe(event.body, relay.fields)  # the module sends no probes
        elif event.code == wire.EVENT_CLIENT_LEFT:
            policy.text_finished(now, wire.read_text_id(event.body))
        elif event.code == wire.EVENT_HOST_LIST:
            mode, page = wire.read_endpoints(event.body)
            if mode == wire.LIST_FAILED:
                policy.list_failed(now)
            elif page not in self.tables:
                raise wire.MalformedFrame(f"a host list names table {page}, which was never sent")
            else:
                policy.hosts_listed(now, self.tables[page], whole=mode != wire.LIST_CHANGES)

    def collect_actions(self, now: int, numbers: list[int]) -> list[bytes]:
        """Have each of these relays decide, and encode its actions."""
        records = []
        for number in numbers:
            relay = self.relays.get(number)
            if relay is None:
                continue
            try:
                for action in relay.policy.decide(now):
                    records.append(wire.encode_action(number, action))
                    if isinstance(action, li.Nack | li.Undeliverable):
                        relay.policy.text_finished(now, action.text)  # the bench takes an answer at once
            except Exception as error:  # as in `handle_frame`
                records.append(
                    wire.encode_line(wire.ACTION_FAULT, number, f"{type(error).__name__}: {error}")
                )
        return records


def main() -> int:
    """Serve until the input ends. Exit code 1 after a malformed frame."""
    link, source, sink = BenchLink(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(wire.encode_reply(link.handle_frame(*frame)))
            sink.flush()
    except wire.MalformedFrame as error:
        print(f"limelatch.benchlink: malformed frame: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
