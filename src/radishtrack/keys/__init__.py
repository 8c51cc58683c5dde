"""Organisations' keys: issue, verify, revoke and the freshness of a node's copy."""
