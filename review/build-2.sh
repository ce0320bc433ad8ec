#!/usr/bin/env bash
# Checks that what the scripts of review/6 to review/10 start can run. The
# stand-ins are Python programs without further packages; nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/arbutusd || {
    echo "target/arbutusd is missing: run the build of deploy/system.toml" >&2
    exit 1
}
for it in standins-2/standins.py [6-9]/case.py 10/case.py; do
    if [ -f "$it" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
    fi
done
