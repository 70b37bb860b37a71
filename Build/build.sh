#!/bin/bash
# Installs the packages that are missing and builds everything into $BUILD_FOLDER (build).
set -euo pipefail
cd "$(dirname "$0")/.."
missing=$(grep -v '^$' Build/packages.txt | while read -r name; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || echo "$name"
done)
if [ -n "$missing" ]; then
  echo "installing: $missing" | tr '\n' ' '
  echo
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
fi
build=${BUILD_FOLDER:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE="${BUILD_TYPE:-RelWithDebInfo}" >"$build.configure.log" 2>&1 || {
  cat "$build.configure.log"
  exit 1
}
ninja -C "$build" "$@"
