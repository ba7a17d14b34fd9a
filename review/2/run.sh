#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
gateway=$(sed -n '/^\[roles.gateway\]/,/^$/s/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$gateway" ] && [ -x review/build/case-2 ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 115 review/build/case-2 "$gateway" "$folder" review/2/record.txt
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || exit 2
exit "$status"
