"""Runs savoryfork on the users' platform: the only code that knows the platform's names."""
