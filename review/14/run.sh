#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps" PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 review/14/case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
