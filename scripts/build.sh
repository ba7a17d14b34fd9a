#!/usr/bin/env bash
# Installs missing packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet
