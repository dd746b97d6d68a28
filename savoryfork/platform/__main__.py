"""`python3 -m savoryfork.platform`: a forwarding host on the users' platform."""

import gc
import signal
import sys

# The imports take most of a second, during which a SIGHUP would terminate the process by default.
# The settings are read afterwards, so the change that the signal announces is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    # Garbage collection takes a quarter of the time of the imports and frees nothing, while weak
    # hosts need seconds to start. What was imported stays, so later collections leave it out.
    gc.disable()
    from savoryfork.platform import program

    gc.freeze()
    gc.enable()
    sys.exit(program.main(sys.argv))
