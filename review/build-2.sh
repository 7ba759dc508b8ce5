#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/logd ./itest/cmd/logd
go build -o target/review2/cases ./review/cases2
