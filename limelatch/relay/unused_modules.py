"""Keeps modules out of the process that its libraries import where they can, and that no relay uses.

A relay speaks no TLS. Twisted imports asyncio and an HTTP library, which import `ssl` if there is one, and
with it the C libraries of OpenSSL. Import this module before any of them.
"""

from __future__ import annotations

import sys

UNUSED = ("ssl", "_hashlib")  # hashlib has hashes of its own without the second

for _name in UNUSED:
    sys.modules.setdefault(_name, None)  # an import of it raises ImportError, as on a system without it
