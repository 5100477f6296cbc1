#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
for program in target/sesamepitch target/review-standin; do
  [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
exec target/review-standin models target/sesamepitch review/5/record.txt
