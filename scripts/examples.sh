#!/usr/bin/env bash
# Runs every example; stops at the first that exits with another code than 0.
set -euo pipefail
cd "$(dirname "$0")/.."
dir="${BUILD_DIR:-build}"
for main in examples/*/main.cpp; do
  name="$(basename "$(dirname "$main")")"
  arguments=()
  case "$name" in
  records | config_sync) arguments=(examples/records/consulta-sul) ;;
  esac
  echo "example $name"
  "$dir/example_$name" "${arguments[@]}"
done
