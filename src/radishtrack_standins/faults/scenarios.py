"""All scenarios, in the order in which they run."""

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
    """A fault, and the guarantees that it puts to the test."""

    name: str
    guarantees: tuple[int, ...]
    run: Callable[[Deployment], Coroutine[Any, Any, None]]
    plan: ClusterPlan = attrs.field(factory=ClusterPlan)
    relays: bool = False
    paths: bool = False


CHANGE: Final = (1, 2, 8, 9, 10)
LAGGING: Final = ClusterPlan(lag_ms=300.0)
THREE_PROXIES: Final = ClusterPlan(zones=("oslo-a", "oslo-b", "hamar-c"), slots=3)
OVERLOADED: Final = ClusterPlan(
    organisations=(
        ("storgata-sport", rates.RATE, rates.BURST),
        ("verksted", 4 * rates.QUIET_RATE, 40),
    )
)

SCENARIOS: Final = (
    Scenario("kill primary", CHANGE, primary.kill_primary),
    Scenario("cut primary", CHANGE, primary.cut_primary),
    Scenario(
        "cut monitoring only", CHANGE, primary.cut_monitoring_of_primary, relays=True
    ),
    Scenario(
        "one open path", CHANGE, primary.leave_one_path, THREE_PROXIES, paths=True
    ),
    Scenario(
        "one open path, no platform",
        CHANGE,
        primary.leave_one_path_without_platform,
        THREE_PROXIES,
        relays=True,
        paths=True,
    ),
    Scenario("pause primary", CHANGE, primary.pause_primary),
    Scenario("kill primary at lag 300", CHANGE, primary.kill_primary_with_lag, LAGGING),
    Scenario("kill in outage", CHANGE, primary.kill_primary_during_outage),
    Scenario("kill, lost answers", CHANGE, primary.kill_primary_with_lost_answers),
    Scenario("kill proxy in transactions", (2, 3), transactions.kill_proxy),
    Scenario(
        "pause proxy at commit",
        (2, 9),
        transactions.pause_proxy_at_commit,
        THREE_PROXIES,
    ),
    Scenario("death in a result", (8,), results.die_in_result),
    Scenario("late answers", (8,), results.answer_late),
    Scenario("lost commit answers", (9, 10), results.lose_commit_answers),
    Scenario("same request ID twice", (10,), results.repeat_at_both_proxies),
    Scenario("keys of others", (4,), access.present_keys),
    Scenario("keys in requests", (5,), access.send_keys),
    Scenario("key revoked", (6,), access.revoke),
    Scenario("key revoked, cut off", (6,), access.revoke_cut_off, relays=True),
    Scenario("8 times the rate", (7, 9), rates.overload, OVERLOADED),
    Scenario("leaving replica", (11,), operators.leave_replica),
    Scenario("leaving primary", (11,), operators.leave_primary),
    Scenario("leaving primary announced", (11,), operators.announce_leaving),
    Scenario("SIGTERM under load", (9, 12), stop.stop_under_load),
    Scenario("racing operators", (13,), operators.race),
    Scenario("lost answer to apply", (13,), operators.lose_apply_answer),
    Scenario("restart in an outage", (13,), operators.restart_in_outage),
)
