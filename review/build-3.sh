#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the gateways; run it after the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for scenario in review/1[1-5]/Scenario.cpp; do
    [ -f "$scenario" ] || continue
    number=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-ins-3/*.cpp "$scenario" \
        -o "target/review-3/case-$number" &
done
wait
for scenario in review/1[1-5]/Scenario.cpp; do
    [ ! -f "$scenario" ] || [ -x "target/review-3/case-$(basename "$(dirname "$scenario")")" ]
done
