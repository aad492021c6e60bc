"""The division of the memory limit, and when freed memory is given back."""

import pytest

from limelatch.memory_plan import (
    CONNECTION_SIZE,
    MEGABYTE,
    MIN_CONNECTIONS,
    MIN_LEFT,
    RESERVE,
    TEXT_COPIES,
    MemoryTooSmall,
    plan_memory,
)

FILES = 3 * MEGABYTE
RESIDENT, PRIVATE = 36 * MEGABYTE, 25 * MEGABYTE


def parts_of(plan):
    """The memory of all uses together, at their bounds."""
    return plan.connections * CONNECTION_SIZE + plan.command_bytes + TEXT_COPIES * plan.text_bytes


def test_rest_and_all_parts_fit_the_limit():
    for limit in range(32 * MEGABYTE, 2048 * MEGABYTE, 300_000):
        plan = plan_memory(limit, FILES, RESIDENT, PRIVATE)
        rest = RESIDENT if plan.counts_program else PRIVATE
        assert rest + FILES + RESERVE + parts_of(plan) <= limit, limit
        assert plan.connections >= MIN_CONNECTIONS
        assert plan.counts_program == (limit >= RESIDENT + FILES + RESERVE + MIN_LEFT)


@pytest.mark.parametrize("files", [FILES, 1000 * MEGABYTE])
def test_a_limit_too_small_for_any_client_is_refused_with_the_figure_that_is_needed(files):
    with pytest.raises(MemoryTooSmall) as refused:
        plan_memory(20 * MEGABYTE, files, RESIDENT, PRIVATE)
    needed = refused.value.needed
    assert plan_memory(needed, files, RESIDENT, PRIVATE).connections >= MIN_CONNECTIONS
    with pytest.raises(MemoryTooSmall):
        plan_memory(needed - 1, files, RESIDENT, PRIVATE)
    assert f"{needed / MEGABYTE:.1f} MB" in str(refused.value) and "20.0 MB" in str(refused.value)


def test_both_processes_of_an_upgrade_have_half_of_the_clients_parts():
    plan = plan_memory(192 * MEGABYTE, FILES, RESIDENT, PRIVATE)
    assert 2 * plan.half.connections <= plan.connections
    assert 2 * plan.half.command_bytes <= plan.command_bytes


@pytest.mark.parametrize("limits", [{"memory_mb": 8, "disk_mb": 3}])
def test_a_relay_that_can_t_serve_within_its_limit_says_so_in_one_line(make_program, limits):
    program = make_program(limits=limits)
    program.launch()
    assert program.process.wait(10) == 2
    lines = [line for line in program.log_lines if "limits.memory" in line]
    assert len(lines) == 1 and "8.0 MB, and this relay needs" in lines[0]
