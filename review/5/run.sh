#!/usr/bin/env bash
# Plays the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 exec python3 review/5/case.py
