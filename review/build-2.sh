#!/bin/sh
# Checks that the stand-ins and scripts of the second review can run; they need Python 3.11 alone,
# and the nodes need the build of the deploy file (target/deps).
set -e
cd "$(dirname "$0")"
test -d ../target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in standins-2/*.py [6-9]/case.py 10/case.py; do
    [ ! -f "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "review 2: ready"
