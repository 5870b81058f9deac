#!/bin/sh
# What the cases 11 to 15 need beside the build of the deploy file: the stand-ins use the standard library alone;
# the MLLP front of case 11 needs the packages of the command line.
cd "$(dirname "$0")/.." || exit 2
./lifttrail --help >/dev/null
.venv/bin/python -m compileall -q review/lib3
.venv/bin/python -c 'import msgspec'
