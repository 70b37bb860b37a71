#!/bin/bash
# Runs one measurement by name, building first: Build/measure.sh NAME [--key value]...
set -euo pipefail
cd "$(dirname "$0")/.."
Build/build.sh PerformanceTest >/dev/null
[ "${1:-}" != slopes ] || { Build/build.sh >/dev/null && exec Build/slopes.sh; }
exec "${BUILD_FOLDER:-build}/PerformanceTest" "$@"
