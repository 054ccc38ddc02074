#!/bin/sh
# Check that the stand-ins can be compiled; they need nothing but Python's own library.
set -eu
cd "$(dirname "$0")"
for file in *.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
