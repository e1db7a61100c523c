#!/bin/bash
# Builds the stand-ins of the cases with the standard library only, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in refused_forward spoiled_event lost_at_stop resume_after_roll brittle_return joined_versions poison_query cold_isolated; do
  rustc --edition 2021 -O -o "target/review/$case" "review/standins/$case.rs"
done
