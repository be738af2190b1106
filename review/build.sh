#!/bin/bash
# Builds the stand-in that the scripts start, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
