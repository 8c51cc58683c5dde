"""Adapter to the users' platform: translates its messages, names and units."""
