#!/usr/bin/env bash
# The stand-ins of this review's scripts are Python programs beside them and
# need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for program in lib-2/*.py {6,7,8,9,10}/case.py; do
    [ -e "$program" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program"
done
