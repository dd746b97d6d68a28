#!/bin/sh
# Builds what the scripts of the third review start beside the deployed build. Their stand-ins are
# Python files in review/parts_3, so it is enough that they compile.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1 python3 -c '
import pathlib
import aiohttp
for path in sorted(pathlib.Path("review/parts_3").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
