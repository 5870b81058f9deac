#!/bin/sh
# The stand-ins are Python, and use the standard library alone: nothing is to be built. Looks whether all can be compiled.
# The cases run with the environment that the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 1; }
find review -name '*.py' -exec .venv/bin/python -c '
import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
' {} +
