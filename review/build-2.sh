#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside target/cuminfield. Their stand-ins
# (review/common-2/cluster.py and each case.py) are Python of the standard library, so there is
# nothing to compile: this checks that they can be run.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "python3 is missing; install it"; exit 1; }
for it in common-2/cluster.py {6,7,8,9,10}/case.py; do
  [ -e "$it" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it" || exit 1
done
echo "build-2: ok"
