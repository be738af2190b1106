#!/usr/bin/env bash
# Builds the stand-ins of the third review. The programs of the system come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/stand-3 ./review/stand-3
