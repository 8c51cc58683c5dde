"""Members of database groups: SQL, connection pool, execution and monitoring."""
