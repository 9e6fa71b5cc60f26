#!/usr/bin/env bash
# Prints the share of tests among all lines of Go, and the share of code for routing,
# limits, retries, membership, state and recovery among the lines outside tests.
# Generated code is not counted.
set -euo pipefail
cd "$(dirname "$0")/.."
code=$(git ls-files '*.go' | grep -Ev '(\.pb|\.twirp)\.go$|_test\.go$' | xargs cat | wc -l)
tests=$(git ls-files '*_test.go' | xargs cat | wc -l)
scale=$(git ls-files internal/peer/entry internal/peer/log internal/peer/worker internal/run/gang internal/run/planner \
  internal/run/serve internal/core/ledger | grep -E '\.go$' | grep -Ev '(\.pb|\.twirp)\.go$|_test\.go$' | xargs cat | wc -l)
echo "code=$code tests=$tests tests_share=$((100 * tests / (code + tests)))% scale=$scale scale_share=$((100 * scale / code))%"
