#!/usr/bin/env bash
# Injects faults into real processes while non-idempotent gangs are submitted: pauses the
# planner for longer than every lease, kills its successor, and starts an entry VM without
# state in its place. Counts in the workers' journals the gang members that have started
# more than once.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
WORK=$(mktemp -d)
. scripts/cluster.sh
trap 'end_all; rm -rf "$WORK"' EXIT

sy() { "$BIN/sesameyoke" "$@"; }
at() { echo "http://127.0.0.1:720$1"; }
export SESAMEYOKE_TOKEN=$TOKEN SESAMEYOKE_URL=http://127.0.0.1:7202

start_platform
for n in 1 2 3; do enlist entry "e$n" "720$n" "d$n"; start_entry "$n" "d$n"; done
for n in 1 2 3; do await "$(at $n)/readyz"; done
sy config fleet -f examples/fleet.yaml --author test >/dev/null
sy contract publish -f examples/grave-lights.yaml --author test >/dev/null

# planner N... prints the number of the given VM that is the planner: the one that renews
# the leases of all 12 workers.
planner() {
  for _ in $(seq 50); do
    for n in "$@"; do
      curl -fs -m 1 "$(at "$n")/metrics" | grep -q "^sesameyoke_workers 12" && { echo "$n"; return; }
    done
    sleep 0.1
  done
  echo "no VM plans" >&2
  return 1
}

# submit N DEADLINE submits job N through one entry VM after the other, and repeats this
# until the answer is definite.
submit() {
  local n=$1 by=$2
  for _ in $(seq 30); do
    for e in 1 2 3 4; do
      timeout 12 "$BIN/sesameyoke" job submit --url "$(at $e)" --workspace grave-lights --id "pay-$n" --once \
        --deadline-at "$by" --members 2 --width 4 --adjacent --run 1s --wait 3s --payload '{"work":"1s"}' \
        >"$WORK/answer-$n" 2>&1 && return
      grep -q "ran no\|ran partly\|ran unknown, 0 parts.*first worker" "$WORK/answer-$n" && ! grep -q "code 1[1479]\|code 20" "$WORK/answer-$n" && return
    done
    sleep 0.3
  done
}

by=$(date -u -d '+60 seconds' +%Y-%m-%dT%H:%M:%SZ)
pids=""
for n in $(seq 8); do submit "$n" "$by" & pids="$pids $!"; done
sleep 0.6
first=$(planner 1 2 3)
pid=PID_e$first
echo "pause the planner, e$first, for longer than a lease"
kill -STOP "${!pid}"
sleep 10
for n in $(seq 9 16); do submit "$n" "$by" & pids="$pids $!"; done
sleep 0.5
kill -CONT "${!pid}"
second=$(planner $(seq 3 | grep -v "$first"))
pid=PID_e$second
echo "kill its successor, e$second; an empty e4 takes its place"
kill -9 "${!pid}"
wait "${!pid}" 2>/dev/null || true
enlist entry e4 7204 d4
start_entry 4 d4
for pid in $pids; do wait "$pid" || true; done

cat "$WORK"/answer-* | grep -o "code [0-9]* [a-z-]*, ran [a-z]*" | sort | uniq -c
for i in $(seq 12); do curl -fsS "127.0.0.1:$((7100 + i))/journal"; done >"$WORK/journals"
twice=$(grep -o '"id":"pay-[0-9]*"},"attempt":[0-9]*,"member":[0-9]*' "$WORK/journals" |
  sed 's/"attempt":[0-9]*,//' | sort | uniq -d | wc -l)
begun=$(grep -o '"id":"pay-[0-9]*"' "$WORK/journals" | sort -u | wc -l)
echo "jobs begun: $begun of 16, begun more than once: $twice"
[ "$twice" = 0 ]
[ "$begun" -ge 1 ]
answered=$(ls "$WORK"/answer-* | wc -l)
ok=$(grep -l "code 0 ok" "$WORK"/answer-* | wc -l)
echo "answered: $answered, ok: $ok"
[ "$ok" -ge 12 ]
