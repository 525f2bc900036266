#!/usr/bin/env bash
# Exits with 1 if FLOW was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1} timeout --kill-after=5 100 \
    target/review/standins restart review/2/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
