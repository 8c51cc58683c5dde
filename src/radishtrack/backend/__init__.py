"""Members of database groups: statements, pools, journal and monitoring."""
