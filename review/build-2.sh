#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-2 ./review/_standin-2
