"""All scenarios, in the order in which they run."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

import attrs

from radishtrack_standins.cluster import ClusterPlan
from radishtrack_standins.faults import primary
from radishtrack_standins.faults.world import World


@attrs.define(frozen=True)
class Scenario:
    """A fault, and the guarantees that it puts to the test."""

    name: str
    guarantees: tuple[int, ...]
    run: Callable[[World], Coroutine[Any, Any, None]]
    plan: ClusterPlan = attrs.field(factory=ClusterPlan)
    relays: bool = False


CHANGE: Final = (1, 2, 8, 9, 10)
LAGGING: Final = ClusterPlan(lag_ms=300.0)

SCENARIOS: Final = (
    Scenario("kill primary", CHANGE, primary.kill_primary),
    Scenario("cut primary", CHANGE, primary.cut_primary),
    Scenario(
        "cut monitoring only", CHANGE, primary.cut_monitoring_of_primary, relays=True
    ),
    Scenario("pause primary", CHANGE, primary.pause_primary),
    Scenario("kill primary at lag 300", CHANGE, primary.kill_primary_with_lag, LAGGING),
    Scenario("kill in outage", CHANGE, primary.kill_primary_during_outage),
    Scenario("kill, lost answers", CHANGE, primary.kill_primary_with_lost_answers),
)
