#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/siskinrouter ] && [ -x target/review-2/stage-2 ] || exit 2
timeout -k 5 110 target/review-2/stage-2 returned-owner review/6
status=$?
[ $status -le 1 ] || status=2
exit $status
