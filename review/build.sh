#!/bin/sh
# Check that the stand-ins can be compiled; they need nothing but Python's own library.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -m py_compile "$file"
done
