"""The operators' configuration: text, validation, chunks, changes and the store."""
