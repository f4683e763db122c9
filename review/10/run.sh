#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/parsleygw-platform-entry ] || exit 2
command -v python3 >/dev/null || exit 2
exec timeout --kill-after=5 110 python3 -B review/10/case.py
