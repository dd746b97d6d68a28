"""Simulation of what hosts know, and when: the product's own followers in virtual time."""
