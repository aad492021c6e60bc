#!/bin/sh
# Builds the stand-ins of the cases. They are Python with the standard library alone, so this only checks that
# the build of the deploy file has been done and that each file can be compiled.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "build the relay first: the line build in deploy/balancer.toml" >&2; exit 2; }
for file in review/common/*.py review/[1-9]/*.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
