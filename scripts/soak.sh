#!/usr/bin/env bash
# Fault-injection soak test of the platform build, as processes on loopback.
#   scripts/soak.sh [--seed N] [--seeds N] [--minutes N]   new or given seeds
#   scripts/soak.sh --kept                                 regression seeds
# Regression seeds are those in platform/soak/seeds.txt, which failed once.
# build/arbutus_soak --help lists further options. Exit code 1 means that a
# seed failed; its settings and logs stay in the directory named in the output.
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
