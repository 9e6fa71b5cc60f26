#!/usr/bin/env bash
# Checks the models exhaustively, and checks that each mutation leads to a counterexample.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

# verify MODEL NAME FLAGS... builds and runs the model checker, and prints the search depth
# and the numbers of errors and states. It fails if a search that found no error
# was incomplete.
verify() {
  local model=$1 name=$2
  shift 2
  (
    cd "$OUT"
    rm -f pan*
    cp "$OLDPWD/model/$model.pml" .
    spin -a "$@" "$model.pml" >/dev/null
    cc -w -O2 -DSAFETY -DMEMLIM=6000 -DVECTORSZ=2048 -DCOLLAPSE -o pan pan.c
    timeout 1200 ./pan -m1000000 -w26 >"$name.txt" 2>&1 || true
    grep -E "states, stored|depth reached" "$name.txt" | head -n 2
    if grep -q "max search depth too small\|Search not completed\|out of memory" "$name.txt" && grep -q "errors: 0" "$name.txt"; then
      echo "the search of $name was not complete" >&2
      exit 1
    fi
  )
}

# check MODEL MUTATIONS... expects no error in the unchanged model, and an error with each
# mutation.
check() {
  local model=$1
  shift
  echo "== $model unchanged"
  verify "$model" unchanged | tee "$OUT/summary"
  grep -q "errors: 0" "$OUT/summary" || { echo "a counterexample was found" >&2; exit 1; }
  for m in "$@"; do
    echo "== $model with mutation $m"
    verify "$model" "$m" "-D$m" | tee "$OUT/summary"
    grep -q "errors: 1" "$OUT/summary" || { echo "$m gave no counterexample" >&2; exit 1; }
  done
}

check gang NO_CLAIM NO_ARM_CHECK NO_GO_CHECK NO_ORDER MISSING_IS_RELEASED NO_HOLDER_CHECK NO_CLAIM_CHECK
check takeover NO_STORE_FENCE NO_WORKER_FENCE NO_DEADLINE NO_WAIT NO_DURABLE EARLY_ACK
echo "model passed"
