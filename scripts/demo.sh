#!/usr/bin/env bash
# Starts a small deployment, runs three jobs through three entry VMs, shows the audit
# trail and a graceful shutdown, and stops all processes that it has started.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
WORK=$(mktemp -d)
. scripts/cluster.sh

finish() {
  status=$?
  [ "$status" = 0 ] || tail -n 20 "$WORK"/e*.log || true
  end_all
  rm -rf "$WORK"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }
sy() { "$BIN/sesameyoke" "$@"; }
at() { echo "http://127.0.0.1:720$1"; }
export SESAMEYOKE_TOKEN=$TOKEN SESAMEYOKE_URL=http://127.0.0.1:7201

say "Start the platform's stand-ins, twelve workers and two entry VMs"
start_platform
for n in 1 2; do enlist entry "e$n" "720$n" "d$n"; start_entry "$n" "d$n"; done
for n in 1 2; do await "$(at $n)/readyz"; done

say "Publish the fleet and three contracts"
sy config fleet -f examples/fleet.yaml --author demo
for w in host grave-lights chimneys; do
  sy contract publish -f "examples/$w.yaml" --author demo
done

say "A third entry VM joins late and catches up"
enlist entry e3 7203 d3
start_entry 3 d3
await "$(at 3)/readyz"

say "A short job, an adjacent gang of 16 and a non-idempotent job, each through another entry VM"
sy job submit --url "$(at 1)" --workspace grave-lights --id stock-1 --run 1s --wait 20s --payload '{"work":"300ms"}'
sy job submit --url "$(at 2)" --workspace host --id route-1 --members 2 --width 8 --adjacent --run 1s --wait 20s --payload '{"work":"500ms"}'
sy job submit --url "$(at 3)" --workspace chimneys --id booking-1 --once --deadline 1m --run 1s --wait 20s --payload '{"work":"300ms"}'

say "Refused changes are in the audit trail too"
sy contract publish -f examples/host.yaml --author late --base 1 || true
sy audit

say "Entry VM e2 is shut down gracefully while it holds a request"
sy job submit --url "$(at 2)" --workspace host --id held-1 --run 3s --wait 20s --payload '{"work":"2500ms"}' >"$WORK/held" 2>&1 &
held=$!
sleep 0.7
sy rack
sy vm leave e2
wait "$held" || { cat "$WORK/held"; exit 1; }
cat "$WORK/held"
wait "$PID_e2"
echo "e2 ended by itself"
sy vm list
say "Done"
