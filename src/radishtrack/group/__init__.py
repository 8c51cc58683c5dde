"""Database groups: member status, term evidence, failure detection and promotion."""
