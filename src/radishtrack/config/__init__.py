"""The configuration: parsing, validation, chunks, changes and the store."""
