#!/usr/bin/env bash
# Installs, builds and runs every test; an argument filters tests by name.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
exec "${BUILD_DIR:-build}/arbutusport_tests" "$@"
