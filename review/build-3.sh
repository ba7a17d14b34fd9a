#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the gateways; run it after the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
for case_source in review/1[1-5]/Case.cpp; do
    [ -f "$case_source" ] || continue
    number=$(basename "$(dirname "$case_source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-ins-3/*.cpp "$case_source" \
        -o "target/review-3/case-$number" &
done
wait
for case_source in review/1[1-5]/Case.cpp; do
    [ ! -f "$case_source" ] || [ -x "target/review-3/case-$(basename "$(dirname "$case_source")")" ]
done
