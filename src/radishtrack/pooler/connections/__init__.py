"""Sharing of a member's connections among all nodes of a fleet."""
