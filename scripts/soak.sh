#!/usr/bin/env bash
# Runs the soak test for a short time with each seed in cmd/soak/testdata/seeds, and those in
# cmd/soak/testdata/seeds-recut with workers that restart.
set -euo pipefail
cd "$(dirname "$0")/.."
logs=${SOAK_LOGS:-$(mktemp -d)}

play() {
  while read -r seed failure; do
    case $seed in '' | '#'*) continue ;; esac
    [ -z "$failure" ] || echo "seed $seed: $failure"
    bin/soak --work "$1" --seed "$seed" --trouble "${TROUBLE:-$3}" --calm "$4" --logs "$logs"
  done < "$2"
}

play faults cmd/soak/testdata/seeds 10s 90s
play recut cmd/soak/testdata/seeds-recut 18s 120s
