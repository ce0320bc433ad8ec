#!/usr/bin/env bash
# Fault soak of the platform's programs, as real processes on loopback.
#   scripts/soak.sh [--seed N] [--seeds N] [--minutes N]   fresh or given seeds
#   scripts/soak.sh --kept                                 seeds that once failed
# Further options are those of build/arbutus_soak --help. Exit code 1: a seed
# failed; its settings and logs stay in the directory that the output names.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
dir="${BUILD_DIR:-build}"
if [ "${1:-}" = "--kept" ]; then
  shift
  status=0
  for seed in $(grep -oE '^[0-9]+' platform/soak/seeds.txt); do
    "$dir/arbutus_soak" --program "$dir/arbutusd_platform" --seed "$seed" "$@" ||
      status=1
  done
  exit $status
fi
exec "$dir/arbutus_soak" --program "$dir/arbutusd_platform" "$@"
