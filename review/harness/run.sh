#!/usr/bin/env bash
# run.sh PROGRAM FOLDER: runs a case's program from the repository's root and
# leaves record.txt in FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for Needed in "review/build/$1" target/Source/EntryDaemon/sycamore-entry \
  target/Source/StateDaemon/sycamore-state; do
  [ -x "$Needed" ] || { echo "$Needed is missing; build first" >&2; exit 2; }
done
timeout -k 2 117 "review/build/$1" "$2/record.txt"
Code=$?
[ "$Code" -le 1 ] && exit "$Code"
exit 2
