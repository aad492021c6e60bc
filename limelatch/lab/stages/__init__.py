"""Stages for a scenario: `fleet` (decision modules alone, virtual time), `sockets` (processes, real time)."""
