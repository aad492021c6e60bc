"""Runs relays on the bench's wire: reads batches, tells each relay its events, writes the actions."""

from __future__ import annotations

import sys

from limelatch import interface as li
from limelatch.benchlink import wire
from limelatch.configuration import bench_terms, to_units
from limelatch.policy import Policy


class Relay:
    """One instance of the module and the report fields that its site uses."""

    def __init__(self, seed: int, settings: dict, now: int) -> None:
        stats = settings.get("stats") or {}
        self.fields: list[str] = list(stats.get("fields") or [])
        self.policy = Policy(bench_terms(seed, settings), now)


class Link:
    """The relays of this process and the tables that their lists refer to."""

    def __init__(self) -> None:
        self.relays: dict[int, Relay] = {}
        self.tables: dict[int, list[li.HostEntry]] = {}

    def answer(self, clock: float, records: list[wire.Record]) -> list[bytes]:
        """Tell the events in order, then gather the actions of each relay that had one."""
        now, touched, faults = to_units(clock), {}, []
        for event in records:
            if event.code == wire.TABLE:
                page, entries = wire.read_table(event.body)
                self.tables[page] = entries
                continue
            number = wire.relay_of(event.body)
            if number in touched and touched[number] is None:
                continue
            touched[number] = number
            try:
                self.tell(number, event, now)
            except wire.MalformedFrame:
                raise
            except Exception as error:  # a failure of the module is named on the wire, whatever it is
                faults.append(wire.words(wire.FAULT, number, f"{type(error).__name__}: {error}"))
                touched[number] = None
        return faults + self.gather(now, [n for n, alive in touched.items() if alive is not None])

    def tell(self, number: int, event: wire.Record, now: int) -> None:
        """Hand one event to its relay."""
        if event.code == wire.START:
            _, seed, settings = wire.read_start(event.body)
            self.relays[number] = Relay(seed, settings, now)
            return
        if event.code == wire.HALT:
            self.relays.pop(number, None)
            return
        relay = self.relays.get(number)
        if relay is None:
            return
        policy = relay.policy
        if event.code == wire.INCOMING_CODE:
            policy.text_accepted(now, wire.read_text(event.body))
        elif event.code == wire.OUTCOME_CODE:
            policy.submit_ended(now, wire.read_outcome(event.body, relay.fields))
        elif event.code == wire.STATUS_BACK:
            wire.read_probe(event.body, relay.fields)  # the module sends no probes
        elif event.code == wire.CLIENT_LEFT:
            policy.text_finished(now, wire.read_text_id(event.body))
        elif event.code == wire.ENDPOINTS:
            mode, page = wire.read_endpoints(event.body)
            if mode == wire.FAILED:
                policy.list_failed(now)
            elif page not in self.tables:
                raise wire.MalformedFrame(f"a list names table {page}, which was never sent")
            else:
                policy.hosts_listed(now, self.tables[page], whole=mode != wire.DELTA)

    def gather(self, now: int, numbers: list[int]) -> list[bytes]:
        """The actions of the relays that had an event."""
        records = []
        for number in numbers:
            relay = self.relays.get(number)
            if relay is None:
                continue
            try:
                for action in relay.policy.decide(now):
                    records.append(wire.write_action(number, action))
                    if isinstance(action, li.Nack | li.Undeliverable):
                        relay.policy.text_finished(now, action.text)  # the bench hears an answer at once
            except Exception as error:  # as above
                records.append(wire.words(wire.FAULT, number, f"{type(error).__name__}: {error}"))
        return records


def main() -> int:
    """Serve until the input ends."""
    link, source, sink = Link(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(wire.write_frame(link.answer(*frame)))
            sink.flush()
    except wire.MalformedFrame as error:
        print(f"limelatch.benchlink: malformed frame: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
