"""Assembles the daemon."""
