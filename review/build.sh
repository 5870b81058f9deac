#!/bin/sh
# The stand-ins are Python, and use the standard library alone: they are compiled, to see that they can be.
# The cases run with the environment that the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 1; }
.venv/bin/python -m compileall -q review
