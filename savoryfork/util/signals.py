"""The signals that ask a process to stop."""

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
