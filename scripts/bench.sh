#!/usr/bin/env bash
# Builds and runs the benchmarks; prints one figure=... line per figure.
# Arguments, if any, select areas.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
exec "${BUILD_DIR:-build}/arbutus_bench" "$@"
