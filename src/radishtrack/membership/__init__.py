"""Nodes of the fleet, placement of database slots on them, and planned stops."""
