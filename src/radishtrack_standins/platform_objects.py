"""Objects that the users' operators and members write into their store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from radishtrack_standins.line_member import LineMember

STRICT, OWN, AGED = "orders", "receipts", "status"
"""Databases by kind of read."""
OWN_MAX_AGE_MS, AGED_MAX_AGE_MS = 2_500, 1_500
"""Ages from which reads of these databases must show a write."""


def make_config(
    version: int,
    group: str,
    organisations: Mapping[str, Sequence[str]],
    *,
    rate_per_s: float,
    burst: float,
    replicas: int = 1,
) -> dict[str, Any]:
    """Return a configuration with one database for each kind of read.

    Parameters
    ----------
    version : int
        Version of the configuration.
    group : str
        Group that serves all databases.
    organisations : mapping
        Keys by name of the organisation.
    rate_per_s, burst : float
        Rate and burst of each organisation.
    replicas : int
        Replicas that have received a commit when it is acknowledged.
    """
    routes = (
        (STRICT, "primary", 0),
        (AGED, "bounded_staleness", AGED_MAX_AGE_MS),
        (OWN, "session", OWN_MAX_AGE_MS),
    )
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "pathPrefix": "/",
                "kind": kind,
                "timeoutMs": 800,
                "objectiveMs": 200,
                "priority": 1,
                "service": group,
                "maxAttempts": 2,
                "public": False,
            }
            | ({"maxStalenessMs": age} if age else {})
            for host, kind, age in routes
        ],
        "services": [{"name": group, "maxConns": 16, "syncReplicas": replicas}],
        "limits": {"txIdleMs": 3_000},
        "tenants": [
            {
                "name": name,
                "apiKeys": list(keys),
                "ratePerS": rate_per_s,
                "burst": burst,
            }
            for name, keys in organisations.items()
        ],
    }


def make_member_entry(
    member: LineMember, *, slots: int, state: str = "ready"
) -> dict[str, Any]:
    """Return the entry that a member writes about itself."""
    return {
        "service": member.group,
        "address": f"127.0.0.1:{member.port}",
        "zone": "oslo-a",
        "version": "v1",
        "slots": slots,
        "state": state,
        "coldLeftMs": 0,
        "dbRole": member.role,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
