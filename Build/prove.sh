#!/bin/bash
# prove.sh NAME --seed N --rounds N [ARGUMENT...]: brings failures about at real processes on
# loopback while callers send requests, and holds what callers were told against what the upstreams
# ran. Ends with 'NAME: seed S, R rounds, C checks, V violations'; exit 0 only where V is 0.
# Build first with Build/build.sh. Names: see 'build/Prove --help'.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
exec "$build/Prove" --build "$build" "$@"
