#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripted cases, beside the system's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
