"""Learned capacity of members, and the choice of a member by it."""
