#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit code: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. Needs target/sesamepitch and
# target/review-lab (review/build-2.sh).
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/sesamepitch ] && [ -x target/review-lab ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-lab streams review/9/record.txt
