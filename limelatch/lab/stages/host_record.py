"""The event of a record that describes a host, the same on every stage."""

from __future__ import annotations

from limelatch.lab import record as rec
from limelatch.lab.world.endpoint import Endpoint


def host_record(at: int, endpoint: Endpoint) -> rec.Host:
    """The event of an endpoint that is added at the time `at`, in tenths of a millisecond."""
    return rec.Host(
        at,
        endpoint.number,
        endpoint.name,
        endpoint.destination.number,
        endpoint.route.number,
        endpoint.floor,
        endpoint.capacity,
    )
