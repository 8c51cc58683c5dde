"""Organisations' keys: issue, verification, revocation and freshness of the copy."""
