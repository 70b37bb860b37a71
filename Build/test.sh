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
# Real processes under faults, and the same with a planted fault that the checks must find.
soak=0
for plant in "" --plant; do
  python3 Build/soak.py --seed 1 --seconds 10 --program "$build/cuminfield" $plant >"$build/results/soak$plant.log" 2>&1
  status=$?
  head -1 "$build/results/soak$plant.log"
  if [ -z "$plant" ] && [ $status -ne 0 ]; then
    if grep -q '^Build/soak.py --seed 1 ' KNOWN-RED.txt; then
      echo "known red: Build/soak.py --seed 1"
    else
      cat "$build/results/soak.log"
      echo "failed: Build/soak.py --seed 1"
      unexpected=$((unexpected + 1))
    fi
    soak=1
  fi
  if [ -n "$plant" ] && [ $status -eq 0 ]; then
    echo "failed: the soak did not find a planted fault"
    unexpected=$((unexpected + 1))
    soak=1
  fi
done
total_failed=$(echo "$failed" | grep -c 'TEST')
if ! grep -qE '^(OK|Errors) \(' "$log"; then
  tail -20 "$log"
  echo "the test program ended early (status $status)"
  unexpected=$((unexpected + 1))
  total_failed=$((total_failed + 1))
fi
total_failed=$((total_failed + soak))
echo "$((${ran:-0} + 1 - total_failed)) passed, $total_failed failed"
[ "$unexpected" -eq 0 ]
