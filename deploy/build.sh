#!/bin/sh
# Install what an entry host needs under target/deps, and compile it ahead of time.
#
# A folder of an earlier build may come from another kind of machine, another version of
# Python or other requirements. It is used again only if it was built for the same.
set -eu
deps=target/deps
if ! python3 -I -S deploy/dependencies.py check "$deps"; then
    fresh=target/deps-$$
    trap 'rm -rf "$fresh"' EXIT
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$fresh" --requirement deploy/requirements.txt
    python3 -I -S deploy/dependencies.py stamp "$fresh"
    rm -rf "$deps"
    mv "$fresh" "$deps"
fi
python3 -m compileall -q "$deps" damasktally || true
