#!/usr/bin/env bash
# Builds and prints one figure=... line per figure; arguments name areas.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
exec "${BUILD_DIR:-build}/arbutus_bench" "$@"
