#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-13 ./review/13/check
