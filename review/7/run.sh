#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(dirname "$0")"
"$here/../build-2.sh" || exit 2
exec python3 "$here/case.py"
