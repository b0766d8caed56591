#!/bin/sh
# Builds the stand-ins of the cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/_standin
