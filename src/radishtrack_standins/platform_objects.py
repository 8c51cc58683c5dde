"""Objects that operators and members write into the users' object store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from radishtrack_standins.line_member import LineMember

STRICT_DATABASE, SESSION_DATABASE, AGED_DATABASE = "orders", "receipts", "status"
"""Names of the databases, one for each read class."""
SESSION_MAX_AGE_MS, AGED_MAX_AGE_MS = 2_500, 1_500
"""Maximum staleness of reads: they see every write acknowledged this long before."""


def make_config(
    version: int,
    group: str,
    organisations: Mapping[str, Sequence[str]],
    *,
    rate_per_s: float,
    burst: float,
    replicas: int = 1,
) -> dict[str, Any]:
    """Return a configuration with one database for each read class.

    Parameters
    ----------
    version : int
        Version of the configuration.
    group : str
        Service name of the group that serves all databases.
    organisations : mapping
        Keys by organisation name.
    rate_per_s, burst : float
        Rate and burst of each organisation.
    replicas : int
        Number of replicas that must have received a commit before it is acknowledged.
    """
    routes = (
        (STRICT_DATABASE, "primary", 0),
        (AGED_DATABASE, "bounded_staleness", AGED_MAX_AGE_MS),
        (SESSION_DATABASE, "session", SESSION_MAX_AGE_MS),
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
    """Return the entry with which a member registers itself."""
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
