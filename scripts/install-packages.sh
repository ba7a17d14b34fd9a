#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any is missing. --lint adds the linters.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config curl
  libnng-dev librestinio-dev libhttp-parser-dev libfmt-dev libeasyloggingpp-dev libcriterion-dev
  prometheus-cpp-dev libasio-dev libabsl-dev libcurl4-openssl-dev libtomlplusplus-dev
  nlohmann-json3-dev libmsgpack-cxx-dev libssl-dev librapidcheck-dev libcairo2-dev
  libbenchmark-dev
)
if [ "${1:-}" = "--lint" ]; then
  packages+=(clang-format clang-tidy)
fi
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "Installing: ${missing[*]}"
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
