"""The record of what a case has sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.time()

    def write(self, line: str) -> None:
        """Writes a line."""
        self.file.write(f"{time.time() - self.started_at:8.3f} {line}\n")
        self.file.flush()
