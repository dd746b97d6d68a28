"""Small stand-ins for the platform, the engines and the plain services, for tests and trials."""
