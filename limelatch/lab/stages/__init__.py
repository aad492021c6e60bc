"""Stages that run a scenario: `fleet` (decision modules in virtual time), `sockets` (real processes)."""
