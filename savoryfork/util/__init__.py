"""General utilities that do not depend on pipelines."""
