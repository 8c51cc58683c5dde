"""Fault scenarios in the order in which they run."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

import attrs

from radishtrack_standins.cluster import ClusterPlan
from radishtrack_standins.faults import (
    access,
    operators,
    primary,
    rates,
    results,
    stop,
    transactions,
)
from radishtrack_standins.faults.deployment import Deployment


@attrs.define(frozen=True)
class Scenario:
    """A fault and the guarantees that it tests."""

    name: str
    guarantees: tuple[int, ...]
    run: Callable[[Deployment], Coroutine[Any, Any, None]]
    plan: ClusterPlan = attrs.field(factory=ClusterPlan)
    needs_relays: bool = False
    """Passed to `start_deployment`, as is `needs_paths`."""
    needs_paths: bool = False


PRIMARY_CHANGE_GUARANTEES: Final = (1, 2, 8, 9, 10)
LAGGING: Final = ClusterPlan(lag_ms=300.0)
THREE_PROXIES: Final = ClusterPlan(zones=("oslo-a", "oslo-b", "hamar-c"), slots=3)
OVERLOADED: Final = ClusterPlan(
    organisations=(
        ("storgata-sport", rates.RATE_PER_S, rates.BURST_REQUESTS),
        ("verksted", 4 * rates.QUIET_RATE_PER_S, 40),
    )
)

SCENARIOS: Final = (
    Scenario("kill primary", PRIMARY_CHANGE_GUARANTEES, primary.kill_primary),
    Scenario("cut primary", PRIMARY_CHANGE_GUARANTEES, primary.cut_primary),
    Scenario(
        "cut monitoring only",
        PRIMARY_CHANGE_GUARANTEES,
        primary.cut_monitoring_of_primary,
        needs_relays=True,
    ),
    Scenario(
        "one open path",
        PRIMARY_CHANGE_GUARANTEES,
        primary.cut_to_one_path,
        THREE_PROXIES,
        needs_paths=True,
    ),
    Scenario(
        "one open path, no platform",
        PRIMARY_CHANGE_GUARANTEES,
        primary.cut_to_one_path_without_platform,
        THREE_PROXIES,
        needs_relays=True,
        needs_paths=True,
    ),
    Scenario("pause primary", PRIMARY_CHANGE_GUARANTEES, primary.pause_primary),
    Scenario(
        "kill primary at lag 300",
        PRIMARY_CHANGE_GUARANTEES,
        primary.kill_primary_with_lag,
        LAGGING,
    ),
    Scenario(
        "kill in outage", PRIMARY_CHANGE_GUARANTEES, primary.kill_primary_during_outage
    ),
    Scenario(
        "kill, lost answers",
        PRIMARY_CHANGE_GUARANTEES,
        primary.kill_primary_with_lost_responses,
    ),
    Scenario("kill proxy in transactions", (2, 3), transactions.kill_proxy),
    Scenario(
        "pause proxy at commit",
        (2, 9),
        transactions.pause_proxy_at_commit,
        THREE_PROXIES,
    ),
    Scenario("death in a result", (8,), results.break_connections_in_result),
    Scenario("late answers", (8,), results.delay_responses),
    Scenario("lost commit answers", (9, 10), results.lose_commit_responses),
    Scenario("same request ID twice", (10,), results.repeat_request_at_both_proxies),
    Scenario("keys of others", (4,), access.use_keys_across_organisations),
    Scenario("keys in requests", (5,), access.send_keys_in_statements),
    Scenario("key revoked", (6,), access.revoke_key),
    Scenario(
        "key revoked, cut off", (6,), access.revoke_key_while_cut_off, needs_relays=True
    ),
    Scenario("8 times the rate", (7, 9), rates.exceed_rate, OVERLOADED),
    Scenario("leaving replica", (11,), operators.mark_replica_as_leaving),
    Scenario("leaving primary", (11,), operators.mark_primary_as_leaving),
    Scenario("leaving primary announced", (11,), operators.announce_leaving_primary),
    Scenario("SIGTERM under load", (9, 12), stop.stop_under_load),
    Scenario("racing operators", (13,), operators.apply_concurrently),
    Scenario("lost answer to apply", (13,), operators.lose_apply_response),
    Scenario("restart in an outage", (13,), operators.restart_in_outage),
)
