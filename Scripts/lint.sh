#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Sources < <(git ls-files 'Source/*.h' 'Source/*.cpp' 'platform/*.h' 'platform/*.cpp')
clang-format --dry-run --Werror "${Sources[@]}"
# Only platform/ knows the platform's names; its tests and stand-ins speak them.
if git grep -nIiE 'X-Sycamorereach|/sycamorereach/|SYCAMOREREACH_BOOT|kv-move|fleetbench' -- Source \
  ':!Source/UnitTests/Platform' ':!Source/FaultTests/Routed*'; then
  echo "the platform's names belong into platform/" >&2
  exit 1
fi
mapfile -t Units < <(git ls-files 'Source/*.cpp' 'platform/*.cpp' | grep -v UnitTests/Main.cpp)
printf '%s\n' "${Units[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
