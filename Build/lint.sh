#!/bin/bash
# Checks format (clang-format) and lint (clang-tidy) of all hand-written code.
# --fix formats in place. Further arguments: only these files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
fix=no
if [ "${1:-}" = --fix ]; then
  fix=yes
  shift
fi
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cpp' '*.cc' | grep -vE '\.pb\.(h|cc)$')
fi
if [ $fix = yes ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
# A file that passed is not linted again until it, a header or the rules change.
stamps=${LINT_CACHE:-$build/lint}
mkdir -p "$stamps"
rules=$(cat .clang-tidy $(git ls-files -co --exclude-standard '*.h') | sha256sum | cut -c1-16)
lint_one() {
  local key
  key=$(echo "$2 $1 $(sha256sum <"$1")" | sha256sum | cut -c1-32)
  [ -e "$3/$key" ] && return 0
  clang-tidy --quiet -p "$4" "$1" 2>/dev/null && touch "$3/$key"
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one "$@" || { echo "lint failed: $1"; exit 255; }' _ {} "$rules" "$stamps" "$build"
echo "format and lint: ok (${#files[@]} files)"
