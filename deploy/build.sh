#!/bin/sh
# Install what an entry host needs under target/deps, and compile it ahead of time.
set -eu
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" --upgrade --requirement deploy/requirements.txt
    touch "$deps/.installed"
fi
python3 -m compileall -q "$deps" damasktally || true
