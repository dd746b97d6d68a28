#!/usr/bin/env bash
# Compiles the stand-ins of the scripts; they need only Python and the packages in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review python3 -m compileall -q review/common
PYTHONPATH=target/deps:review python3 -c "import common.case"
