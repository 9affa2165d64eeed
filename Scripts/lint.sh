#!/usr/bin/env bash
# Checks the formatting of all sources, the use of platform names and the
# documentation of log events, and runs clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Sources < <(git ls-files 'Source/*.h' 'Source/*.cpp' 'platform/*.h' 'platform/*.cpp')
clang-format --dry-run --Werror "${Sources[@]}"
# Platform-specific names are allowed only in platform/ and in its tests and
# test doubles.
if git grep -nIiE 'X-Sycamorereach|/sycamorereach/|SYCAMOREREACH_BOOT|kv-move|fleetbench' -- Source \
  ':!Source/UnitTests/Platform' ':!Source/FaultTests/Routed*'; then
  echo "platform-specific names are only allowed in platform/" >&2
  exit 1
fi
# docs/OPERATIONS.md must document every log event.
for Event in $(tr -d '\n' <Source/Core/Telemetry/LogEvents.h |
  grep -oE 'LogLevel::[A-Za-z]+, *"[a-z_]+"' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u); do
  if ! grep -q "\`$Event\`" docs/OPERATIONS.md; then
    echo "docs/OPERATIONS.md does not document the log event $Event" >&2
    exit 1
  fi
done
mapfile -t Units < <(git ls-files 'Source/*.cpp' 'platform/*.cpp' | grep -v UnitTests/Main.cpp)
printf '%s\n' "${Units[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
