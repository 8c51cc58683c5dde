"""Tests the order of work and refusals in a node of a scarce group."""

from __future__ import annotations

from contextlib import AsyncExitStack

from radishtrack.admission.fair_queue import FairQueue
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.scheduling.work import Work, WorkKind
from radishtrack.pooler.scheduling.work_queue import WorkQueue
from tests.pooler_simulation import GROUP, RunningNode, open_simulation


def make_scarce(running: RunningNode) -> GroupAccess:
    """Apply the settings of a group with one connection for each node."""
    access = running.node.find_group(GROUP)
    assert access.settings is not None
    access.configure(access.settings, access.settings.max_connections)
    return access


async def test_only_groups_that_are_scarce_get_the_new_order() -> None:
    """The other groups decide as before."""
    async with open_simulation() as simulation:
        access = simulation.nodes[0].node.find_group(GROUP)
        assert not access.is_scarce
        for pool in access.pools.values():
            assert isinstance(pool.gate.queue, FairQueue)
        make_scarce(simulation.nodes[0])
        for pool in access.pools.values():
            assert isinstance(pool.gate.queue, WorkQueue)
            assert pool.gate.queue.quanta


async def test_refused_work_gets_its_token_back_unless_it_was_sent() -> None:
    """Retries of statements that never ran must not use up the rate."""
    async with open_simulation() as simulation:
        running = simulation.nodes[0]
        limiter = running.node.rates.limiter
        demand = limiter.demands["verksted"]
        client = await simulation.connect(running, "orders")
        await client.execute("READ 1a4")
        access = make_scarce(running)
        now_ms = running.node.clock.now_ms()
        async with AsyncExitStack() as leases:
            for pool in access.pools.values():
                # A transaction that is expected to outlast the other work's deadlines.
                work = Work(0, now_ms + 200.0, WorkKind.BEGIN)
                assert isinstance(pool.gate.queue, WorkQueue)
                pool.gate.queue.holds.averages_ms[WorkKind.BEGIN] = 5_000.0
                lease = pool.lease("storgata", {}, now_ms + 500.0, work)
                await leases.enter_async_context(lease)
            for text in ("READ 1a4", "WRITE 1a4 boots"):
                demand.refunded.clear()
                (error, _ready) = await client.execute(text)
                assert error.startswith("ERROR BUSY") and "; retry after " in error
                assert len(demand.refunded) == 1, text
            demand.refunded.clear()
            assert await client.execute("BEGIN") == ["COMPLETE -", "READY T -"]
            assert not demand.refunded
            await client.execute("READ 1a4")
            assert len(demand.refunded) == 1
            await client.execute("ROLLBACK")
            assert len(demand.refunded) == 1
        demand.refunded.clear()
        for member in simulation.members.values():
            member.faults.lose_answers = 9
        assert (await client.execute("READ 1a4"))[0].startswith("ERROR")
        assert not demand.refunded
