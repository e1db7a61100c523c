#!/bin/sh
# Builds the stand-ins of the second review (review/6/standins.rs) and the scripts of its cases, with the
# compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-type rlib --crate-name standins \
    -o target/review-2/libstandins.rlib review/6/standins.rs
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O --crate-name "case_$number" \
        --extern standins=target/review-2/libstandins.rlib \
        -o "target/review-2/case-$number" "$case"
done
# Case 7 is a program that the first review left beside its cases.
rustc --edition 2021 -O --crate-name case_7 -o target/review-2/case-7 review/standins/brittle_return.rs
