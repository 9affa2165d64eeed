#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
# The program reads it.
export TROUBLE="${TROUBLE:-1}"
. ../harness-3/run.sh
