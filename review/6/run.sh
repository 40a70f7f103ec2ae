#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ploverlift ] || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B review/6/case.py
