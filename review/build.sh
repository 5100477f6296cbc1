#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
