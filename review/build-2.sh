#!/bin/sh
# Builds what the cases 6 to 10 start beside the relay. Their stand-ins (review/rig/rig.py) need the standard
# library alone, so this only makes sure that they compile with the interpreter of the relay's environment.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python - review/rig/*.py review/[6-9]/*.py review/10/*.py <<'END'
import os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
END
