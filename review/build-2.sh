#!/usr/bin/env bash
# Builds the stand-ins of the second review. The programs of the system come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2/stand-2 ./review/stand-2
