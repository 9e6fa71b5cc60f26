#!/usr/bin/env bash
# Starts a small deployment, runs three jobs through three entry VMs, shows the audit
# trail and a graceful shutdown, and stops all processes that it has started.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
WORK_DIR=$(mktemp -d)
. scripts/cluster.sh

cleanup() {
  status=$?
  [ "$status" = 0 ] || tail -n 20 "$WORK_DIR"/e*.log || true
  kill_all
  rm -rf "$WORK_DIR"
}
trap cleanup EXIT

print_step() { printf '\n== %s\n' "$*"; }
sesameyoke() { "$BIN/sesameyoke" "$@"; }
url_of() { echo "http://127.0.0.1:720$1"; }
export SESAMEYOKE_TOKEN=$TOKEN SESAMEYOKE_URL=http://127.0.0.1:7201

print_step "Start the platform's stand-ins, twelve workers and two entry VMs"
start_platform
for n in 1 2; do add_vm entry "e$n" "720$n" "d$n"; start_entry "$n" "d$n"; done
for n in 1 2; do await "$(url_of $n)/readyz"; done

print_step "Publish the fleet and three contracts"
sesameyoke config fleet -f examples/fleet.yaml --author demo
for w in host grave-lights chimneys; do
  sesameyoke contract publish -f "examples/$w.yaml" --author demo
done

print_step "A third entry VM joins late and catches up"
add_vm entry e3 7203 d3
start_entry 3 d3
await "$(url_of 3)/readyz"

print_step "A short job, an adjacent gang of 16 and a non-idempotent job, each through another entry VM"
sesameyoke job submit --url "$(url_of 1)" --workspace grave-lights --id stock-1 --run 1s --wait 20s --payload '{"work":"300ms"}'
sesameyoke job submit --url "$(url_of 2)" --workspace host --id route-1 --members 2 --width 8 --adjacent --run 1s --wait 20s --payload '{"work":"500ms"}'
sesameyoke job submit --url "$(url_of 3)" --workspace chimneys --id booking-1 --once --deadline 1m --run 1s --wait 20s --payload '{"work":"300ms"}'

print_step "Refused changes are in the audit trail too"
sesameyoke contract publish -f examples/host.yaml --author late --base 1 || true
sesameyoke audit

print_step "Entry VM e2 is shut down gracefully while it holds a request"
sesameyoke job submit --url "$(url_of 2)" --workspace host --id held-1 --run 3s --wait 20s --payload '{"work":"2500ms"}' >"$WORK_DIR/held" 2>&1 &
held_pid=$!
sleep 0.7
sesameyoke rack
sesameyoke vm leave e2
wait "$held_pid" || { cat "$WORK_DIR/held"; exit 1; }
cat "$WORK_DIR/held"
wait "$PID_e2"
echo "e2 ended by itself"
sesameyoke vm list
print_step "Done"
