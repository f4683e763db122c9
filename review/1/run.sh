#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out: Run in standins.py reads it, case.py acts
# on it.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 exec timeout 110 python3 case.py
