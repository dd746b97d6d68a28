"""Runs the command-line tool as `python -m savoryfork.ui`."""

import sys

from savoryfork.ui import main

sys.exit(main())
