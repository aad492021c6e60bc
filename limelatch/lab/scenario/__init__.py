"""Scenarios: TOML files of partners, clients, relays and a timeline of faults, validated before a run."""

from limelatch.lab.scenario.load import library, load, parse
from limelatch.lab.scenario.model import Scenario

__all__ = ["Scenario", "library", "load", "parse"]
