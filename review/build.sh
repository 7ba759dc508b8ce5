#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/ ./cmd/...
