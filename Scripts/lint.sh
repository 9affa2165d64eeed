#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Sources < <(git ls-files 'Source/*.h' 'Source/*.cpp')
clang-format --dry-run --Werror "${Sources[@]}"
mapfile -t Units < <(git ls-files 'Source/*.cpp' | grep -v UnitTests/Main.cpp)
printf '%s\n' "${Units[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
