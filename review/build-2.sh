#!/usr/bin/env bash
# Builds the stand-ins and the checks of the scripts in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
