#!/usr/bin/env bash
# Injects faults into real processes while non-idempotent gangs are submitted: pauses the
# planner for longer than every lease, kills its successor, and starts an entry VM without
# state in its place. Counts the gang members that have started more than once according
# to the workers' journals.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
WORK_DIR=$(mktemp -d)
. scripts/cluster.sh
trap 'kill_all; rm -rf "$WORK_DIR"' EXIT

sesameyoke() { "$BIN/sesameyoke" "$@"; }
url_of() { echo "http://127.0.0.1:720$1"; }
export SESAMEYOKE_TOKEN=$TOKEN SESAMEYOKE_URL=http://127.0.0.1:7202

start_platform
for n in 1 2 3; do add_vm entry "e$n" "720$n" "d$n"; start_entry "$n" "d$n"; done
for n in 1 2 3; do await "$(url_of $n)/readyz"; done
sesameyoke config fleet -f examples/fleet.yaml --author test >/dev/null
sesameyoke contract publish -f examples/grave-lights.yaml --author test >/dev/null

# find_planner N... prints which of the given VMs is the planner: the one that renews the
# leases of all 12 workers.
find_planner() {
  for _ in $(seq 50); do
    for n in "$@"; do
      curl -fs -m 1 "$(url_of "$n")/metrics" | grep -q "^sesameyoke_workers 12" && { echo "$n"; return; }
    done
    sleep 0.1
  done
  echo "none of the entry VMs $* is the planner" >&2
  return 1
}

# submit N DEADLINE submits job N through one entry VM after the other, and repeats this
# until the answer is definite. Answers with the codes 11, 14, 17, 19 and 20 are not:
# another VM, or the same one later, may answer otherwise.
submit() {
  local n=$1 deadline=$2
  for _ in $(seq 30); do
    for e in 1 2 3 4; do
      timeout 12 "$BIN/sesameyoke" job submit --url "$(url_of $e)" --workspace grave-lights --id "pay-$n" --once \
        --deadline-at "$deadline" --members 2 --width 4 --adjacent --run 1s --wait 3s --payload '{"work":"1s"}' \
        >"$WORK_DIR/answer-$n" 2>&1 && return
      grep -q "ran no\>\|ran partly\|ran unknown, 0 parts.*first worker" "$WORK_DIR/answer-$n" && ! grep -q "code 1[1479]\|code 20" "$WORK_DIR/answer-$n" && return
    done
    sleep 0.3
  done
}

deadline=$(date -u -d '+60 seconds' +%Y-%m-%dT%H:%M:%SZ)
pids=""
for n in $(seq 8); do submit "$n" "$deadline" & pids="$pids $!"; done
sleep 0.6
planner=$(find_planner 1 2 3)
pid_name=PID_e$planner
echo "pause the planner, e$planner, for longer than a lease"
kill -STOP "${!pid_name}"
sleep 10
for n in $(seq 9 16); do submit "$n" "$deadline" & pids="$pids $!"; done
sleep 0.5
kill -CONT "${!pid_name}"
successor=$(find_planner $(seq 3 | grep -v "$planner"))
pid_name=PID_e$successor
echo "kill its successor, e$successor; an empty e4 takes its place"
kill -9 "${!pid_name}"
wait "${!pid_name}" 2>/dev/null || true
add_vm entry e4 7204 d4
start_entry 4 d4
for pid in $pids; do wait "$pid" || true; done

cat "$WORK_DIR"/answer-* | grep -o "code [0-9]* [a-z-]*, ran [a-z]*" | sort | uniq -c
for i in $(seq 12); do curl -fsS "127.0.0.1:$((7100 + i))/journal"; done >"$WORK_DIR/journals"
twice=$(grep -o '"id":"pay-[0-9]*"},"attempt":[0-9]*,"member":[0-9]*' "$WORK_DIR/journals" |
  sed 's/"attempt":[0-9]*,//' | sort | uniq -d | wc -l)
begun=$(grep -o '"id":"pay-[0-9]*"' "$WORK_DIR/journals" | sort -u | wc -l)
echo "jobs begun: $begun of 16, begun more than once: $twice"
[ "$twice" = 0 ]
[ "$begun" -ge 1 ]
answered=$(ls "$WORK_DIR"/answer-* | wc -l)
ok=$(grep -l "code 0 ok" "$WORK_DIR"/answer-* | wc -l)
echo "answered: $answered, ok: $ok"
[ "$ok" -ge 12 ]
