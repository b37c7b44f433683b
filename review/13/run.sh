#!/bin/sh
# Restarts a VM with SIGTERM while callers read. Exit code: 1 if the rule LOST was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/siskinrouter ] && [ -x target/review-13 ] || exit 2
RECORD=review/13/record.txt exec target/review-13
