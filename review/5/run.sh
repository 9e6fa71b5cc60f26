#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sesameyoke ] && [ -x target/review-driver ] || { echo "not built" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" != 0 ] || trouble=false
exec target/review-driver -case lease -trouble=$trouble -record review/5/record.txt
