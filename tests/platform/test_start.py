"""The start of a forwarding host's process."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]

# Runs the program without a settings file, which ends it after its imports, and prints how often
# garbage was collected, whether collection is on at the end, and how many objects it leaves out.
SCRIPT = """
import gc, runpy
collections = []
gc.callbacks.append(lambda phase, info: collections.append(phase))
try:
    runpy.run_module("savoryfork.platform", run_name="__main__", alter_sys=True)
except SystemExit:
    print(len(collections), gc.isenabled(), gc.get_freeze_count())
"""


class TestStart:
    def test_imports_are_not_slowed_by_garbage_collection(self):
        """Guards against a host with half a core that takes seconds longer to start."""
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            cwd=ROOT,
            env={"PATH": "/usr/bin:/bin"},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        collections, enabled, frozen = done.stdout.split()
        # Some collections happen before the module runs and after the imports.
        assert int(collections) < 20, done.stderr
        assert enabled == "True" and int(frozen) > 10_000
