#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, in review/build/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
Jobs=()
for Source in harness/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$Source" \
    -o "build/$(basename "$Source" .cpp)" &
  Jobs+=($!)
done
for Job in "${Jobs[@]}"; do wait "$Job"; done
