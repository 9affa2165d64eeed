#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, with the compiler
# alone, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for Source in review/*/scenario.cpp; do
  [ -e "$Source" ] || continue
  Number=$(basename "$(dirname "$Source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/harness-3 \
    -o "target/review-3/scenario-$Number" "$Source"
done
