#!/usr/bin/env bash
# Checks formatting and lints every source; needs a configured build/.
# Arguments, if any, name the files to lint.
set -euo pipefail
cd "$(dirname "$0")/.."
dir="${BUILD_DIR:-build}"
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet -p "$dir" 2>/dev/null
echo "lint: ${#files[@]} files clean"
