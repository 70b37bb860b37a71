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
# A verdict of 'clean' is kept until the file, a header that it includes, or the rules change.
verdicts=${LINT_CACHE:-$HOME/.cache/cuminfield-lint}
mkdir -p "$verdicts"
# source, key, folder of verdicts, build folder
lint_one() {
  [ -e "$3/$2" ] && return 0
  clang-tidy --quiet -p "$4" "$1" 2>/dev/null && touch "$3/$2"
}
export -f lint_one
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
if [ ${#sources[@]} -gt 0 ]; then
  python3 Build/lint_keys.py "${sources[@]}" |
    xargs -P "${LINT_JOBS:-$(nproc)}" -L1 bash -c 'lint_one "$3" "$4" "$1" "$2" || { echo "lint failed: $3"; exit 1; }' _ "$verdicts" "$build" 2>&1 |
    grep -v '^xargs' || true
fi
# Judged again from the kept verdicts, so that the exit code cannot be lost in the pipe.
bad=0
if [ ${#sources[@]} -gt 0 ]; then
  while read -r source key; do
    [ -e "$verdicts/$key" ] || { echo "not clean: $source"; bad=1; }
  done < <(python3 Build/lint_keys.py "${sources[@]}")
fi
[ $bad -eq 0 ] || exit 1
echo "format and lint: ok (${#files[@]} files)"
