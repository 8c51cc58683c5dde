"""Tests a planned stop: no request is interrupted, and the node exits in time."""

from __future__ import annotations

import asyncio

from radishtrack.platform.main import stop_node
from radishtrack.pooler.readiness import make_stop_plan
from tests.pooler_simulation import is_closed, open_simulation


def test_stop_ends_within_the_grace_period() -> None:
    plan = make_stop_plan(1_000.0, 6_000.0)
    assert plan.accept_until_ms <= plan.finish_until_ms < plan.exit_ms < 7_000.0


async def test_idle_sessions_end_and_transactions_finish() -> None:
    """The load balancer sends connections until two probes have failed."""
    async with open_simulation() as simulation:
        running = simulation.nodes[0]
        idle = await simulation.connect(running, "orders")
        working = await simulation.connect(running, "orders")
        await working.execute("BEGIN")
        await working.execute("WRITE 1 x")
        stopping = asyncio.create_task(stop_node(running.node, running.frontend))
        await asyncio.sleep(0.2)
        assert not running.node.is_ready()
        late = await simulation.connect(running, "orders")
        assert (await late.execute("READ 1"))[0].startswith("DATAROW")
        assert await is_closed(idle.connection)
        assert (await working.execute("READ 1"))[-1] == "READY T -"
        assert (await working.execute("COMMIT"))[0].startswith("COMPLETE")
        assert await is_closed(working.connection)
        await stopping
        assert simulation.primary.received == 1
