#!/usr/bin/env bash
# Checks the format of every C++ source and runs clang-tidy on it; needs a
# configured build/. Arguments, if any, name the files to check.
set -euo pipefail
cd "$(dirname "$0")/.."
dir="${BUILD_DIR:-build}"
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet -p "$dir" 2>/dev/null
echo "lint: ${#files[@]} files clean"
