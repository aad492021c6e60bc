"""Faults of a relay's machine for tests: stepped clocks, failing and partial system calls."""
