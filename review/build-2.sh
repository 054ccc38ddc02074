#!/bin/sh
# Build the stand-ins that the scripts of review/6 to review/10 start.
#
# They are Python modules that use the standard library alone; each is compiled here, so
# that a fault in one shows before a script runs. The entry hosts come from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ -d "$folder" ] || continue
    for module in "$folder"/*.py; do
        [ -e "$module" ] || continue
        python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$module"
    done
done
