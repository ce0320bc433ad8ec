#!/usr/bin/env bash
# Configures and builds all targets in build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
dir="${BUILD_DIR:-build}"
cmake -S . -B "$dir" -G Ninja >/dev/null
cmake --build "$dir"
