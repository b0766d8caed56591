#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-3 ./review/_standin-3
