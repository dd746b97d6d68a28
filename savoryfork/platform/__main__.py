"""`python3 -m savoryfork.platform`: a forwarding host on the users' platform."""

import signal
import sys

# The imports take most of a second, in which a SIGHUP would end the process by default. The
# settings are read after them, so a change that the signal tells of is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    from savoryfork.platform import program

    sys.exit(program.main(sys.argv))
