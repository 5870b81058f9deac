#!/bin/sh
# Makes what the scripts of cases 6 to 10 start, after the build of the deploy file: the project's own extras
# (requirements-extras.txt), which its features [mllp] and [agree] need, by the project's own command. The stand-ins
# of these cases are plain Python in review/lib2 and review/lib3 and need no build; they are compiled here to show
# that they can be.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh deploy/build
./lifttrail --help >/dev/null
.venv/bin/python -c 'import httptools, msgspec, uvloop'
.venv/bin/python -m compileall -q review/lib2 review/lib3
