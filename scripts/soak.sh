#!/usr/bin/env bash
# Runs the soak test for a short time with each seed in cmd/soak/testdata/seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
logs=${SOAK_LOGS:-$(mktemp -d)}
while read -r seed failure; do
  case $seed in '' | '#'*) continue ;; esac
  [ -z "$failure" ] || echo "seed $seed: $failure"
  bin/soak --seed "$seed" --trouble "${TROUBLE:-10s}" --calm 90s --logs "$logs"
done < cmd/soak/testdata/seeds
