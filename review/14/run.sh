#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
. ../harness-3/run.sh
