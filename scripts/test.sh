#!/usr/bin/env bash
# Installs packages, builds, and runs all tests; an argument filters them by
# name.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
exec "${BUILD_DIR:-build}/arbutusport_tests" "$@"
