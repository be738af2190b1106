#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/arbutusreel ] && [ -x target/review-3/stand-3 ] || exit 2
exec timeout -k 5 110 target/review-3/stand-3 target/arbutusreel review/11/record.txt
