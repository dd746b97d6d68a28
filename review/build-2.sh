#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python modules that need no package beside
# those of the deployed build, so this compiles them and checks that what they import is there.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
for file in review/parts_2/*.py review/{6,7,8,9,10}/*.py; do
    [ -e "$file" ] || continue
    PYTHONPYCACHEPREFIX="$folder" python3 -m py_compile "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c \
    "import savoryfork.platform.program, savoryfork.forward.members"
