"""Forwards callers' own requests to targets: routing, stages, retries and streams."""
