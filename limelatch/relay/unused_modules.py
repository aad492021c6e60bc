"""Keeps modules out of the process that its libraries import and that no relay uses.

A relay speaks no TLS and keeps no cookies. Twisted imports asyncio, which imports `ssl` if there is one, and
with it the C libraries of OpenSSL; and it passes on the standard library's cookies, which import its HTTP
client and its e-mail parser. Import this module before any of them.
"""

from __future__ import annotations

import sys
from types import ModuleType

MISSING = ("ssl", "_hashlib")  # the libraries and hashlib do without them
EMPTY = ("http.cookiejar",)  # Twisted imports the module and takes nothing from it

for _name in MISSING:
    sys.modules.setdefault(_name, None)  # an import of it raises ImportError, as on a system without it
for _name in EMPTY:
    sys.modules.setdefault(_name, ModuleType(_name))
