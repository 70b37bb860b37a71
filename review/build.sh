#!/bin/bash
# The stand-ins are Python programs without dependencies; nothing is to be built. The scripts start the
# program that the build of the deploy file puts into target/.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3 3.9 or later is needed"; exit 1; }
python3 -m py_compile review/harness.py review/[1-5]/case.py && find review -name __pycache__ -prune -exec rm -r {} +
