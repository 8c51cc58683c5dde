"""Small stand-ins of outside systems, for tests and demonstrations."""
