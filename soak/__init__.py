"""Randomized fault-injection runs of real forwarding hosts that check their guarantees."""
