"""Evacuation of availability zones: their members get no more work."""
