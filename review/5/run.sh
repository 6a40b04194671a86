#!/bin/sh
# Plays the case; claim.txt tells what it is. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apricotway ] && [ -x target/review-harness ] || exit 2
exec target/review-harness stopcut review/5/record.txt
