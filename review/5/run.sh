#!/bin/bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0, the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lost_at_stop ] && [ -x target/release/gypsumchute-daemon ] || { echo "not built"; exit 2; }
exec target/review/lost_at_stop review/5
