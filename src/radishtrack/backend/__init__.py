"""Members of database groups: statements, pool, execution and monitoring."""
