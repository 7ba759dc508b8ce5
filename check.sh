#!/usr/bin/env bash
# Runs everything that must pass: formatter, linter, and the tests of both
# modules. Tests listed in KNOWN-RED.txt are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l cmd internal api itest platform)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted"
  exit 1
fi
go vet ./... ./itest/...
go tool staticcheck ./cmd/... ./internal/... ./platform/...
go tool staticcheck ./itest/...

skip='^$'
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail (test, cause, issue):"
  cat KNOWN-RED.txt
  # Each entry begins with the full name of one test or subtest, so that no other is passed over.
  known=$(cut -d: -f1 KNOWN-RED.txt)
  for test in $(cut -d/ -f1 <<<"$known"); do
    found=$(go test -list "^$test\$" ./... ./itest/... | grep -cx "$test" || true)
    if [ "$found" != 1 ]; then
      echo "KNOWN-RED.txt: $found tests are named $test, want 1"
      exit 1
    fi
  done
  skip=$(sed 's,/,$/^,g; s,.*,^&$,' <<<"$known" | paste -sd'|' -)
fi
# One package at a time: tests that start many daemons would starve others.
go test -count=1 -p 1 -timeout 30m -skip "$skip" ./... ./itest/...
