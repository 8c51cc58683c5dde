"""Guards organisations' rates over all nodes, and who hands them out."""

from __future__ import annotations

import asyncio

from tests.pooler_world import World, open_world, wait_until

SETTLE_S = 4.0


def read_epoch(world: World) -> int:
    """Return the revision of the record, which each successful claim changes."""
    stored = world.store.objects["radishtrack", "duty.rates"]
    revision: int = stored["meta"]["revision"]
    return revision


def find_holder(world: World) -> int:
    return next(
        number
        for number, running in enumerate(world.nodes)
        if running.node.rates.is_holder()
    )


async def test_a_lost_holder_is_replaced_once() -> None:
    """A new holder grants nothing at first; others took the duty from it in turn."""
    async with open_world(nodes=3) as world:
        lost = world.nodes.pop(find_holder(world))
        await lost.stop()
        await wait_until(lambda: any(n.node.rates.is_holder() for n in world.nodes))
        epoch = read_epoch(world)
        await asyncio.sleep(SETTLE_S)
        assert read_epoch(world) == epoch
        assert all(n.node.rates.limiter.is_lending for n in world.nodes)


async def test_a_stopping_holder_hands_the_rates_over() -> None:
    """During a rolling restart the rates must not pause with every holder."""
    async with open_world(nodes=2) as world:
        number = find_holder(world)
        world.nodes[number].node.begin_stop()
        other = world.nodes[1 - number].node.rates
        await wait_until(other.is_holder, limit_s=2.0)
        assert not world.nodes[number].node.rates.is_holder()


async def test_a_node_without_a_holder_uses_its_own_share() -> None:
    """An outage of the store or of the holder must not stop organisations."""
    async with open_world(nodes=2) as world:
        number = find_holder(world)
        remaining = world.nodes[1 - number]
        world.store.faults.status = 503
        stopped = world.nodes.pop(number)
        await stopped.stop()
        rates = remaining.node.rates
        await wait_until(lambda: rates.limiter.lent_until_ms < rates.clock.now_ms())
        async with asyncio.timeout(2.0):
            while not await rates.admit("verksted", 20.0):
                await asyncio.sleep(0.02)


async def test_a_holder_without_the_store_returns_the_shares() -> None:
    """Nodes were refused tokens for a second whenever the holder lost the store."""
    async with open_world(nodes=2) as world:
        number = find_holder(world)
        holder, other = world.nodes[number].node, world.nodes[1 - number].node
        await wait_until(lambda: other.rates.reply > 0)
        holder.control.confirmed_ms = holder.clock.now_ms() - 10_000.0
        limiter = other.rates.limiter
        promised_ms = limiter.lent_until_ms
        await other.rates._exchange()
        assert limiter.lent_until_ms < promised_ms
        assert other.options.node.name not in holder.rates.holder.borrowers  # type: ignore[union-attr]


async def test_the_share_of_a_node_that_is_gone_goes_to_the_others() -> None:
    """A replaced VM would otherwise keep its part of every rate for good."""
    async with open_world(nodes=3) as world:
        gone = world.nodes.pop(0 if find_holder(world) else 1)
        name = gone.node.options.node.name
        await gone.stop()
        await wait_until(
            lambda: ("radishtrack", f"node.{name}") not in world.store.objects
        )
        control = world.nodes[0].node.control
        await wait_until(lambda: len(control.registered) == 2)
        # It may not know yet, so nobody uses its share at once.
        assert len(control.nodes) == 3
        await wait_until(lambda: world.nodes[0].node.applied_nodes == 2)


async def test_a_holder_that_was_out_of_touch_removes_nobody() -> None:
    """It may have been replaced, and the others no longer ask it.

    In an incident a deposed holder removed the records of two nodes that served.
    """
    async with open_world(nodes=2) as world:
        holder = world.nodes[find_holder(world)].node
        rates, control = holder.rates, holder.control
        assert rates.holder is not None
        rates.holder.starts_ms = holder.clock.now_ms() - 10_000.0
        rates.heard_ms.clear()
        assert len(rates.list_silent_nodes()) == 1
        control.confirmed_ms = holder.clock.now_ms() - 3_000.0
        assert rates.list_silent_nodes() == ()


async def test_a_node_whose_record_was_removed_registers_again() -> None:
    """The holder may have lost only its own path to that node."""
    async with open_world(nodes=2) as world:
        world.store.remove("radishtrack", "node.edge-2")
        await wait_until(lambda: ("radishtrack", "node.edge-2") in world.store.objects)
        assert len(world.nodes[0].node.control.nodes) == 2
