#!/bin/sh
# Builds what the scripts of this folder start beside the programs of the deploy file: stand-ins in Python 3.11, with
# its standard library alone. Nothing of the project's own is needed beyond the deploy file's build.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed" >&2; exit 1; }
exec python3 -m compileall -q common [0-9]
