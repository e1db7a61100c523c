#!/bin/bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-3/case-13
[ -x "$case" ] && [ -x target/release/gypsumchute-daemon ] || { echo "build first: review/build-3.sh" >&2; exit 2; }
# A process group of its own, which is ended with whatever is left of it.
set -m
timeout -k 3 112 "$case" review/13/record.txt &
group=$!
wait $group
code=$?
kill -KILL -- -$group 2> /dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
