"""Client of the platform's object API and VM list."""
