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
# Every event that can be logged is explained.
for Event in $(tr -d '\n' <Source/Core/Telemetry/LogEvents.h |
  grep -oE 'LogLevel::[A-Za-z]+, *"[a-z_]+"' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u); do
  if ! grep -q "\`$Event\`" docs/OPERATIONS.md; then
    echo "docs/OPERATIONS.md does not explain the event $Event" >&2
    exit 1
  fi
done
mapfile -t Units < <(git ls-files 'Source/*.cpp' 'platform/*.cpp' | grep -v UnitTests/Main.cpp)
printf '%s\n' "${Units[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
