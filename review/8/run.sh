#!/bin/sh
# Plays the case "uptime"; TROUBLE=0 leaves out the disruption. Exit code: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sesameyoke ] && [ -x target/review-2/platform2 ] || exit 2
exec target/review-2/platform2 uptime review/8
