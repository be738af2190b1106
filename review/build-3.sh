#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
