#!/usr/bin/env bash
# judge.sh KNOWN FILE... judges the output of failed runs of "go test", one run a file. It exits
# with 0 if each failure is listed in KNOWN: its test, and the pattern of its message. Build
# errors, data races, panics, timeouts, crashes of the process or of the race detector's runtime,
# and packages that ended before their last test never pass. An entry of KNOWN has the form:
# TEST | PATTERN | command and seed | what was seen | issue.
set -euo pipefail
known=$1
shift
[ -s "$known" ] || { echo "no known red"; exit 1; }

fatal='build failed|setup failed|DATA RACE|panic:|fatal error:|^signal:|SIGSEGV|SIGBUS|SIGABRT|CHECK failed|ThreadSanitizer|exit status (2|66)$'
if grep -hE "$fatal" "$@"; then
  echo "a package did not build or crashed"
  exit 1
fi
# The test binary prints FAIL on a line of its own after its last test.
for file in "$@"; do
  awk '$0 == "FAIL" { ended = 1 }
    /^ok[ \t]/ { ended = 0 }
    /^FAIL[ \t]/ { if (!ended) { print "ended before its last test: " $2; cut = 1 }; ended = 0 }
    END { exit cut }' "$file" || exit 1
done

# is_known test NAME reports whether an entry lists the test or the parent of the subtest.
# is_known message TEXT reports whether the pattern of an entry matches all elements of the
# list in square brackets in the message.
is_known() {
  local test pattern rest
  while IFS='|' read -r test pattern rest; do
    test=$(echo "$test" | xargs)
    pattern=$(echo "$pattern" | sed 's/^ *//; s/ *$//')
    case $1 in
      test) [[ $2 == "$test" || $2 == "$test"/* ]] && return 0 ;;
      message) echo "$2" | grep -qE "\[$pattern( $pattern)*\]" && return 0 ;;
    esac
  done < "$known"
  return 1
}

tests=$(grep -hoE -- '--- FAIL: [^ ]+' "$@" | awk '{print $3}' || true)
messages=$(grep -hE '^[[:space:]]*Error:[[:space:]]' "$@" || true)
if [ -z "$tests" ] || [ -z "$messages" ]; then
  echo "failed without a failed test or a message"
  exit 1
fi
if [ "$(cat "$@" | grep -cE '^ +--- FAIL:')" -gt "$(wc -l <<<"$messages")" ]; then
  echo "a subtest failed without a message"
  exit 1
fi
for t in $tests; do
  is_known test "$t" || { echo "not in KNOWN-RED.txt: $t"; exit 1; }
done
while read -r m; do
  is_known message "$m" || { echo "not in KNOWN-RED.txt: $m"; exit 1; }
done <<<"$messages"
echo "== known red, failed in this run:" $tests
