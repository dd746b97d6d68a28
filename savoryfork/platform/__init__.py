"""Runs savoryfork on the users' platform; only this package uses the platform's names."""
