"""Numbers of zones, for the policy and the ledger."""

from __future__ import annotations

import hashlib

from limelatch.interface import UNKNOWN_ZONE

NUMBER_BYTES = 6  # two of a deployment's zones get the same number in one of 10**12 deployments


def zone_number(name: str) -> int:
    """Return the number of the zone that the host list calls `name`; UNKNOWN_ZONE for an empty name.

    It depends on the name alone. Guards against a number in the ledger that means another zone to the next
    process, whose configuration lists its zones in another order or lacks them.
    """
    if not name:
        return UNKNOWN_ZONE
    digest = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=NUMBER_BYTES).digest()
    return int.from_bytes(digest, "big")
