"""Faults of a relay's machine: a preloaded library that steps its clock and makes system calls fail."""
