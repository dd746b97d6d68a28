"""A randomized run of real forwarding hosts under faults, which checks their promises."""
