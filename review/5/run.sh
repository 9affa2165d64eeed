#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
Folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
exec "$Folder/../harness/run.sh" LostDeregistration "$Folder"
