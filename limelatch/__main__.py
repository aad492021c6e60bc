"""Runs the command `limelatch` as `python -m limelatch`."""

from limelatch.command import main

main()
