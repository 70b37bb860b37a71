#!/bin/bash
# Builds with warnings as errors, checks format and lint, runs all tests. Prints the failures that
# KNOWN-RED.txt lists and passes over just those; ends with 'N passed, N failed'.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
Build/build.sh || exit 1
Build/lint.sh || exit 1
mkdir -p "$build/results"
log=$build/results/unit-tests.log
"$build/UnitTests" >"$log" 2>&1
status=$?
grep -E '^OK|^Errors|error:' "$log"
ran=$(grep -oE '[0-9]+ ran' "$log" | tail -1 | cut -d' ' -f1)
failed=$(grep -oE 'Failure in TEST\([^)]*\)' "$log" | sed 's/Failure in //' | sort -u)
known=$(grep -oE '^TEST\([^)]*\)' KNOWN-RED.txt 2>/dev/null | sort -u)
unexpected=0
for name in $(echo "$failed" | tr -d ' '); do
  if echo "$known" | tr -d ' ' | grep -qxF "$name"; then
    echo "known red: $name"
  else
    echo "failed: $name"
    unexpected=$((unexpected + 1))
  fi
done
total_failed=$(echo "$failed" | grep -c 'TEST')
if ! grep -qE '^(OK|Errors) \(' "$log"; then
  tail -20 "$log"
  echo "the test program ended early (status $status)"
  unexpected=$((unexpected + 1))
  total_failed=$((total_failed + 1))
fi
echo "$((${ran:-0} - total_failed)) passed, $total_failed failed"
[ "$unexpected" -eq 0 ]
