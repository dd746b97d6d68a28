"""`python3 -m savoryfork.platform`: a forwarding host on the users' platform."""

import signal
import sys

# The imports take most of a second, during which a SIGHUP would terminate the process by default.
# The settings are read afterwards, so the change that the signal announces is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    from savoryfork.platform import program

    sys.exit(program.main(sys.argv))
