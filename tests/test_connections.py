"""Guards the sharing of a member's connections among many nodes."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.pooler.catalog import GroupSettings
from radishtrack.pooler.connections.allowance import (
    REFUSAL_PAUSE_MS,
    REFUSAL_SPREAD_MS,
    REPORT_VALID_MS,
    Allowance,
    ConnectionBudget,
    ConnectionReport,
)
from radishtrack.pooler.connections.idle import (
    IdleConnection,
    OrganisationUse,
    find_expired,
)
from radishtrack.pooler.connections.metrics import ConnectionMetrics
from radishtrack.pooler.group_access import make_group_access
from radishtrack.pooler.monitor import UNREACHABLE_AFTER_MS, request_report
from radishtrack.pooler.statements import GetStatus
from tests.connection_fleet import Fleet, run_virtual
from tests.pooler_simulation import (
    GROUP,
    OTHER_KEY,
    make_config,
    open_simulation,
    wait_until,
)

FLEETS = pytest.mark.parametrize(
    ("nodes", "accepted", "slots", "service_s"),
    [(27, 70, 4, 0.006), (98, 119, 6, 0.009)],
)
OPERATIONS_PER_S = 80.0
"""At a member; twice the mean load of the first deployment's members."""
MAX_REFUSED_PER_NODE = 1.0
"""A connection beyond the accepted number is refused and costs its node a round trip.
One for each node is as many as the equal shares alone may cause when nodes that lost
power still hold theirs."""


def count_waits(fleet: Fleet) -> float:
    """Play bursts at a few nodes, transactions and lost responses for 20 s."""

    async def play() -> None:
        fleet.start()
        mean = OPERATIONS_PER_S / fleet.nodes

        def rate(node: int, at_s: float) -> float:
            is_burst = (node * 7 + int(at_s / 2) * 5) % 12 == 0
            return mean * (6.0 if is_burst else 0.6)

        await fleet.load(20.0, rate)

    run_virtual(play())
    return sum(fleet.waits_ms) / len(fleet.waits_ms)


@FLEETS
def test_work_waits_less_than_with_the_fixed_limit(
    nodes: int, accepted: int, slots: int, service_s: float
) -> None:
    """A transaction or a lost response blocked the only connection of a node."""
    fixed = Fleet(nodes, accepted, slots, service_s, 1, is_shared=False)
    shared = Fleet(nodes, accepted, slots, service_s, 1)
    fixed_ms, shared_ms = count_waits(fixed), count_waits(shared)
    assert shared_ms < 0.6 * fixed_ms, (shared_ms, fixed_ms)
    assert shared.unserved < 0.5 * fixed.unserved, (shared.unserved, fixed.unserved)
    assert shared.refused == 0


def stop_reports(fleet: Fleet) -> None:
    fleet.reports = False


def restart_all(fleet: Fleet) -> None:
    for node in range(fleet.nodes):
        fleet.restart(node)


def kill_some(fleet: Fleet) -> None:
    for node in range(0, fleet.nodes, 4):
        fleet.restart(node)


@FLEETS
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("event", "rate_after", "excess_per_node"),
    [
        (stop_reports, 1.5, 0.0),
        (kill_some, 1.5, 0.0),
        (restart_all, 1.5, MAX_REFUSED_PER_NODE),
        (None, 8.0, MAX_REFUSED_PER_NODE),
    ],
)
def test_the_accepted_number_is_exceeded_by_few(
    nodes: int,
    accepted: int,
    slots: int,
    service_s: float,
    seed: int,
    event: Callable[[Fleet], None] | None,
    rate_after: float,
    excess_per_node: float,
) -> None:
    """Nodes that grow on the same old report must not all be refused.

    Half of the nodes count a quarter of the nodes too few. After the event, load rises
    at all nodes at once; without an event, by a factor of 8. The member refuses
    nothing, so that the excess shows by how much the decisions alone are wrong.
    """
    fleet = Fleet(nodes, accepted, slots, service_s, seed, is_limited=False)

    async def play() -> None:
        fleet.start(lambda node: nodes * (3 + node % 2) // 4)
        mean = OPERATIONS_PER_S / nodes
        await fleet.load(5.0, lambda _node, _at: mean)
        assert fleet.most_open <= accepted
        if event is not None:
            event(fleet)
        await fleet.load(5.0, lambda _node, _at: mean * rate_after)

    run_virtual(play())
    assert fleet.most_open - accepted <= excess_per_node * nodes, fleet.most_open


def make_allowance(connections: int, nodes: int = 10) -> Allowance:
    allowance = Allowance("n/m", ConnectionBudget(80, 60, nodes))
    for number in range(30):
        allowance.observe_report(ConnectionReport(connections, number * 10.0), 300.0)
    return allowance


def test_old_reports_and_full_members_permit_nothing() -> None:
    """Growth on a report that lacks the growth of others exceeds the limit."""
    full = make_allowance(60)
    full.grow(1, 300.0)
    assert full.limit == 6
    old = make_allowance(10)
    old.grow(1, 290.0 + REPORT_VALID_MS + 1)
    assert old.limit == 6
    old.grow(1, 290.0 + REPORT_VALID_MS)
    assert old.limit == 7


def test_a_refusal_halves_the_extra_connections_and_pauses_growth() -> None:
    """Nodes that repeat a refused connection at once keep a member full."""
    allowance = make_allowance(10)
    allowance.grow(2, 300.0)
    allowance.record_refusal(300.0)
    assert allowance.limit == 7
    resumed_ms = 300.0 + REFUSAL_PAUSE_MS + REFUSAL_SPREAD_MS
    allowance.observe_report(ConnectionReport(10, 400.0), 400.0)
    allowance.grow(1, 400.0)
    assert allowance.limit == 7
    allowance.grow(1, resumed_ms)
    assert allowance.limit == 8


def test_connections_of_rare_organisations_are_closed_first() -> None:
    """A reused connection saves the member 12 ms of a slot."""
    use = OrganisationUse()
    for number in range(20):
        use.record("often", number * 500.0)
    use.record("rare", 9_900.0)
    idle = [IdleConnection("often", 9_000.0), IdleConnection("rare", 9_900.0)]

    def expire(now_ms: float, kept: int) -> list[int]:
        return find_expired(idle, use, idle_ms=5_000.0, kept=kept, now_ms=now_ms)

    assert expire(10_100.0, kept=0) == []
    assert expire(10_200.0, kept=0) == [1]
    assert expire(14_100.0, kept=1) == [1]
    assert expire(14_100.0, kept=0) == [1, 0]


@pytest.mark.parametrize(("accepted", "nodes"), [(70, 3), (70, 26), (119, 44), (8, 1)])
async def test_groups_that_are_not_scarce_keep_the_fixed_limit(
    accepted: int, nodes: int
) -> None:
    """Earlier deployments must not change."""
    fleet = Fleet(nodes, accepted, 4, 0.006, 1, is_shared=False)
    pool = fleet.make_pool(0)
    access = make_group_access(
        "g", "z", make_manual_clock(ManualTime()), pool.open_link
    )
    access.set_members((attrs.evolve(pool.member, group="g"),), 0.0)
    access.configure(GroupSettings("g", accepted, 1), nodes)
    pool = access.pools["m"]
    for _ in range(3):
        pool.sharing.request(pool, "org")
        access.notify()
    assert pool.sharing.allowance is None
    assert pool.gate.queue.connections == max(1, int(accepted * 0.75) // nodes)


async def test_work_is_served_while_a_transaction_holds_a_connection() -> None:
    """With one connection, other work waited until its deadline and was refused."""
    async with open_simulation(3) as simulation:
        config = make_config(2)
        config["services"][0]["maxConns"] = 7
        simulation.store.put("config", "main", config)
        running = simulation.nodes[0]
        pool = running.node.find_group(GROUP).pools["i-1"]
        await wait_until(
            lambda: pool.sharing.allowance is not None and pool.sharing.allowance.rights
        )
        assert pool.gate.queue.connections == 1
        holder = await simulation.connect(running, "orders")
        other = await simulation.connect(running, "orders", OTHER_KEY)
        await holder.execute("BEGIN")
        await holder.execute("WRITE 1a4 boots")
        assert (await other.execute("READ 1a4"))[-2].startswith("COMPLETE i-1")
        limits = [
            sample.value
            for metric in ConnectionMetrics(running.node.groups).collect()
            for sample in metric.samples
            if sample.labels["member"] == "i-1" and "limit" in sample.name
        ]
        assert limits == [2]
        assert (await holder.execute("COMMIT"))[0].startswith("COMPLETE i-1")


async def test_a_full_member_does_not_become_unreachable() -> None:
    """A refused poll counted as silence, which would start a promotion."""
    time = ManualTime()
    clock = make_manual_clock(time)
    fleet = Fleet(98, 0, 4, 0.006, 1)
    pool = fleet.make_pool(0)
    access = make_group_access("g", "z", clock, pool.open_link)
    access.set_members((attrs.evolve(pool.member, group="g"),), 0.0)
    access.configure(GroupSettings("g", 119, 1), fleet.nodes)
    pool = access.pools["m"]
    for _ in range(4):
        time.advance(UNREACHABLE_AFTER_MS)
        assert await request_report(access, pool, GetStatus(), "org", clock) is None
    assert pool.is_reachable and pool.failures == 0
