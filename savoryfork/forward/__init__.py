"""Forwards callers' requests to targets: routing, stages, retries and streams."""
