#!/usr/bin/env bash
# Builds citronspoke, starts a complete deployment on this machine and sends requests to it.
#   scripts/demo.sh [--nordurskifa] [--keep] | --stop
set -euo pipefail
cd "$(dirname "$0")/.."
work=.demo
deployment=rahbar
model=dossier
service=receipts/quotes
lookup_key=rahbar-lookup-key
trial_key=rahbar-trial-key
keep=no

stop_fleet() {
  [ -f "$work/fleet.pid" ] || return 0
  local pid
  pid=$(cat "$work/fleet.pid")
  rm -f "$work/fleet.pid"
  # The id may have been reused, so only a citronspoke-localfleet process is ended.
  if grep -qs citronspoke-localfleet "/proc/$pid/cmdline"; then
    kill "$pid"
    while [ -d "/proc/$pid" ] && ! grep -qs '^State:.*Z' "/proc/$pid/status"; do sleep 0.1; done
  fi
}

for argument in "$@"; do
  case "$argument" in
    --keep) keep=yes ;;
    --stop) stop_fleet; echo "Stopped."; exit 0 ;;
    --nordurskifa)
      deployment=nordurskifa model=brandguide service=confirmations/purchases
      lookup_key=nordurskifa-shopper-key trial_key=nordurskifa-trial-key ;;
    *) echo "Usage: scripts/demo.sh [--nordurskifa] [--keep] | --stop" >&2; exit 1 ;;
  esac
done

scripts/build.sh
stop_fleet
rm -rf "$work"
mkdir -p "$work"
build/bin/citronspoke-localfleet --deployment="deploy/$deployment" --work="$work" \
  >"$work/localfleet.log" 2>&1 &
echo $! >"$work/fleet.pid"
[ "$keep" = yes ] || trap stop_fleet EXIT
until grep -qs "The fleet is up" "$work/localfleet.log"; do
  kill -0 "$(cat "$work/fleet.pid")" 2>/dev/null || { cat "$work/localfleet.log"; exit 1; }
  sleep 0.1
done
# shellcheck disable=SC1091
. "$work/fleet.env"

ask() { # KEY PATH BODY [HEADER]
  curl -sSN -H "Authorization: Bearer $1" ${4:+-H "$4"} "$2" -d "$3"
  echo
}

echo "== A streamed completion"
ask "$lookup_key" "$ENTRY_1/v1/completions" \
  "{\"model\":\"$model\",\"prompt\":\"Summarise the claims of fleet 17.\",\"max_tokens\":5,\"stream\":true}" \
  | grep '^data'
echo "== A lookup under a trial key"
ask "$trial_key" "$ENTRY_2/v1/chat/completions" \
  "{\"model\":\"$model\",\"messages\":[{\"role\":\"user\",\"content\":\"What does clause 7 say?\"}],\"max_tokens\":8}"
echo "== A call that may run only once, sent through two entries with the same idempotency key"
for entry in "$ENTRY_1" "$ENTRY_2"; do
  ask "$lookup_key" "$entry/v1/services/$service" '{"quote":17}' "Idempotency-Key: demo-17"
done
echo "== The timeline of that call over all processes"
build/bin/citronspokectl timeline --store="$STORE" | grep -E 'journal|receipt|a-[0-9]' | tail -n 16
echo "== Status"
build/bin/citronspokectl status --store="$STORE"
if [ "$keep" = yes ]; then
  echo "== The fleet keeps running; stop it with scripts/demo.sh --stop"
  cat "$work/fleet.env"
fi
