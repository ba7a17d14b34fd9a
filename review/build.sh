#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for scenario in */Scenario.cpp; do
  number=$(dirname "$scenario")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$number" "$scenario" common/*.cpp
done
