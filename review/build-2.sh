#!/bin/sh
# Builds the stand-ins of the cases 6, 8, 9 and 10 into target/review-2/. Needs g++ and nlohmann-json3-dev.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra"
g++ $flags -c stand-ins-2/StandIns.cpp -o "$out/stand-ins.o"
for play in 6 8 9 10; do
    [ -f "$play/Play.cpp" ] || continue
    g++ $flags "$play/Play.cpp" "$out/stand-ins.o" -o "$out/play-$play" -pthread
done
