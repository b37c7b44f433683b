#!/usr/bin/env bash
# Runs the formatter check, the linters and all tests with the race detector.
# Tests named in KNOWN-RED.txt are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(git ls-files -z --cached --others --exclude-standard '*.go' | xargs -0 -r gofmt -l)
if [ -n "$unformatted" ]; then
  printf 'gofmt would change:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...

skip=()
if [ -s KNOWN-RED.txt ]; then
  names=$(sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
  if [ -n "$names" ]; then
    printf 'Skipped as listed in KNOWN-RED.txt:\n'
    grep -v '^#' KNOWN-RED.txt
    skip=(-skip "^($names)\$")
  fi
fi
# Packages that run whole fleets, start processes and measure time limits run one after the other, with few
# tests at once: a fleet that lacks processor time replaces its primaries.
fleets='^siskinrouter/(internal/scenario|platform|platform/soak|platform/hostile)$'
go list ./... | grep -vE "$fleets" | xargs go test -race -count=1 -p 4 -timeout 20m "${skip[@]}"
go list ./... | grep -E "$fleets" | xargs go test -race -count=1 -p 1 -parallel 4 -timeout 20m "${skip[@]}"
