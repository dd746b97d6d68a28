"""Signals that request a graceful stop."""

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
