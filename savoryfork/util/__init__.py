"""Generic layers that know nothing of pipelines."""
