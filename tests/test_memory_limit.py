"""Hundreds of bad clients at once keep a relay process within its memory limit, and others are answered."""

import pytest
from memory_rig import DISK_MB, ROWS, SOCKETS, attack

ANSWER_SECONDS = 0.4  # the longest wait of a client for its answer, by the protocol
MEMORY_MB = 64


@pytest.mark.parametrize("row", ["stalled body", "unread replies"])
def test_bad_clients_take_no_process_over_its_memory_limit(make_program, agent, make_host, row):
    shape, options, are_silent = ROWS[row]
    hosts = [make_host((lambda request: request.hang()) if are_silent else lambda request: (200,))]
    agent.list(hosts[0].address)
    program = make_program(limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": DISK_MB})
    program.start().socket.close()
    seen = attack(program, shape, *options)
    assert seen.exit_code is None and seen.peak <= MEMORY_MB, seen
    assert max(seen.lags) < ANSWER_SECONDS and seen.longest_wait <= ANSWER_SECONDS, seen
