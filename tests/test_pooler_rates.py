"""Tests organisations' rates over all nodes and failover of the rate coordinator."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.node import Node
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.ports import StoreUnavailable
from radishtrack.revision import make_revision
from tests.pooler_simulation import (
    WAIT_LIMIT_S,
    Simulation,
    open_simulation,
    wait_until,
)

SETTLE_S = 4.0
PAUSE_LIMIT_MS = 1_700.0
"""Time to detect a lost coordinator, 0.7 s, and duration of a delegation, 1 s."""
TAKEOVER_LIMIT_S = 2.2
"""The same plus two exchanges."""
ADMIT_WAIT_MS = 40.0


class UnreachableStore:
    """A control store that fails every call."""

    def __getattr__(self, name: str) -> Any:
        async def fail(*_arguments: object) -> None:
            raise StoreUnavailable(name, "cut off", is_effect_unknown=False)

        return fail


@attrs.define
class PartialPeers:
    """Peer links that fail to one node, or to all if `unreachable` is `*`."""

    peers: Peers
    unreachable: str

    def others(self) -> tuple[NodeRecord, ...]:
        return self.peers.others()

    async def send_request(self, node: NodeRecord, *rest: Any) -> Any:
        if self.unreachable in (node.name, "*"):
            return None
        return await self.peers.send_request(node, *rest)


async def measure_longest_pause(node: Node, is_over: Callable[[], object]) -> float:
    """Admit operations at a node until one second after a condition holds.

    Returns
    -------
    float
        Longest time in milliseconds without an admitted operation.
    """
    clock = node.clock
    longest_ms, served_ms = 0.0, clock.now_ms()
    until_ms = float("inf")
    async with asyncio.timeout(WAIT_LIMIT_S):
        while clock.now_ms() < until_ms:
            if await node.rates.admit("verksted", ADMIT_WAIT_MS):
                longest_ms = max(longest_ms, clock.now_ms() - served_ms)
                served_ms = clock.now_ms()
            if until_ms == float("inf") and is_over():
                until_ms = clock.now_ms() + 1_000.0
            await asyncio.sleep(0.01)
    return max(longest_ms, clock.now_ms() - served_ms)


def read_epoch(simulation: Simulation) -> int:
    """Return the revision of the duty's record, which each successful claim changes."""
    stored = simulation.store.objects["radishtrack", "duty.rates"]
    return make_revision(simulation.store.era, stored["meta"]["revision"])


def find_coordinator(simulation: Simulation) -> int:
    return next(
        number
        for number, running in enumerate(simulation.nodes)
        if running.node.rates.is_coordinator()
    )


async def test_lost_coordinator_is_replaced_once() -> None:
    """Others took over a new coordinator's duty, since it grants nothing at first."""
    async with open_simulation(nodes=3) as simulation:
        lost = simulation.nodes.pop(find_coordinator(simulation))
        await lost.stop()
        await wait_until(
            lambda: any(n.node.rates.is_coordinator() for n in simulation.nodes)
        )
        epoch = read_epoch(simulation)
        await asyncio.sleep(SETTLE_S)
        assert read_epoch(simulation) == epoch
        assert all(n.node.rates.limiter.is_delegating for n in simulation.nodes)


async def test_stopping_coordinator_hands_over_its_duty() -> None:
    """In a rolling restart, rates would otherwise pause with every coordinator."""
    async with open_simulation(nodes=2) as simulation:
        number = find_coordinator(simulation)
        simulation.nodes[number].node.begin_stop()
        other = simulation.nodes[1 - number].node.rates
        await wait_until(other.is_coordinator, limit_s=2.0)
        assert not simulation.nodes[number].node.rates.is_coordinator()


async def test_node_without_a_coordinator_uses_its_own_share() -> None:
    """An outage of the store or the coordinator must not stop organisations."""
    async with open_simulation(nodes=2) as simulation:
        number = find_coordinator(simulation)
        remaining = simulation.nodes[1 - number]
        simulation.store.faults.status = 503
        stopped = simulation.nodes.pop(number)
        await stopped.stop()
        rates = remaining.node.rates
        await wait_until(
            lambda: rates.limiter.delegated_until_ms < rates.clock.now_ms()
        )
        async with asyncio.timeout(2.0):
            while not await rates.admit("verksted", 20.0):
                await asyncio.sleep(0.02)


async def test_coordinator_that_loses_the_store_is_replaced_after_a_short_pause() -> (
    None
):
    """Organisations were refused for seconds when the coordinator lost the store."""
    async with open_simulation(nodes=3) as simulation:
        first = simulation.nodes[find_coordinator(simulation)].node
        others = [n.node for n in simulation.nodes if n.node is not first]
        await wait_until(lambda: all(other.rates.reply > 0 for other in others))
        store, first.store_copy.store = first.store_copy.store, UnreachableStore()
        pause_ms = await measure_longest_pause(
            others[0], lambda: not first.rates.coordinator
        )
        first.store_copy.store = store
        assert any(other.rates.is_coordinator() for other in others)
        assert pause_ms <= PAUSE_LIMIT_MS


async def test_killed_coordinator_is_replaced_after_a_short_pause() -> None:
    """Failover took about 4 s when it waited for the earlier coordinator's lease."""
    async with open_simulation(nodes=3) as simulation:
        lost = simulation.nodes.pop(find_coordinator(simulation))
        others = [running.node for running in simulation.nodes]
        await wait_until(lambda: all(other.rates.reply > 0 for other in others))
        await lost.stop()
        await wait_until(
            lambda: all(
                other.rates.epoch == read_epoch(simulation) for other in others
            ),
            limit_s=TAKEOVER_LIMIT_S,
        )
        assert all(other.rates.limiter.is_delegating for other in others)


async def test_node_that_alone_loses_the_coordinator_does_not_replace_it() -> None:
    """With its network fault, it would take turns with the coordinator in the duty."""
    async with open_simulation(nodes=3) as simulation:
        epoch = read_epoch(simulation)
        number = find_coordinator(simulation)
        coordinator_name = simulation.nodes[number].node.options.node.name
        cut_off = simulation.nodes[number - 1].node
        partial = PartialPeers(cut_off.peers, coordinator_name)
        cut_off.rates.peers = cut_off.rates.failover.peers = partial  # type: ignore
        await asyncio.sleep(SETTLE_S)
        assert read_epoch(simulation) == epoch


async def test_lost_response_to_an_indirect_probe_does_not_start_a_failover() -> None:
    """The probed node had reported contact with the coordinator until then."""
    async with open_simulation(nodes=3) as simulation:
        number = find_coordinator(simulation)
        coordinator_name = simulation.nodes[number].node.options.node.name
        cut_off = simulation.nodes[number - 1].node
        failover = cut_off.rates.failover
        partial = PartialPeers(cut_off.peers, coordinator_name)
        failover.peers = partial  # type: ignore[assignment]
        long_ago_ms = cut_off.clock.now_ms() - 10_000.0
        assert not await failover.is_loss_confirmed(long_ago_ms)
        partial.unreachable = "*"
        assert not await failover.is_loss_confirmed(long_ago_ms)
        failover.probe_confirmed_ms -= 3_000.0
        assert await failover.is_loss_confirmed(long_ago_ms)


async def test_node_that_changes_the_coordinator_gets_its_shares_back() -> None:
    """Otherwise it has to wait until its delegation expires."""
    async with open_simulation(nodes=2) as simulation:
        number = find_coordinator(simulation)
        coordinator, other = (
            simulation.nodes[number].node,
            simulation.nodes[1 - number].node,
        )
        await wait_until(lambda: other.rates.reply > 0)
        # The next exchange of the node would delegate the shares again.
        task = simulation.nodes[1 - number].task
        task.cancel()
        await asyncio.wait((task,))
        limiter = other.rates.limiter
        assert limiter.delegated_until_ms > other.clock.now_ms()
        await other.rates.return_shares()
        assert limiter.delegated_until_ms <= other.clock.now_ms()
        assert coordinator.rates.coordinator is not None
        assert other.options.node.name not in coordinator.rates.coordinator.delegations


async def test_share_of_a_lost_node_goes_to_the_others() -> None:
    """A replaced VM would otherwise keep its part of every rate permanently."""
    async with open_simulation(nodes=3) as simulation:
        gone = simulation.nodes.pop(0 if find_coordinator(simulation) else 1)
        name = gone.node.options.node.name
        await gone.stop()
        await wait_until(
            lambda: ("radishtrack", f"node.{name}") not in simulation.store.objects
        )
        store_copy = simulation.nodes[0].node.store_copy
        await wait_until(lambda: len(store_copy.registered) == 2)
        # The lost node may still use its share, so the others wait.
        assert len(store_copy.nodes) == 3
        await wait_until(lambda: simulation.nodes[0].node.applied_node_count == 2)


async def test_coordinator_with_an_old_copy_removes_no_nodes() -> None:
    """It may have been replaced, so that nodes no longer send it requests.

    In an incident, a replaced coordinator removed the records of two serving nodes.
    """
    async with open_simulation(nodes=2) as simulation:
        coordinator = simulation.nodes[find_coordinator(simulation)].node
        rates, store_copy = coordinator.rates, coordinator.store_copy
        assert rates.coordinator is not None
        rates.coordinator.since_ms = coordinator.clock.now_ms() - 10_000.0
        rates.last_request_ms.clear()
        assert len(rates.list_unresponsive_nodes()) == 1
        store_copy.confirmed_ms = coordinator.clock.now_ms() - 3_000.0
        assert rates.list_unresponsive_nodes() == ()


async def test_node_whose_record_was_removed_registers_again() -> None:
    """The coordinator may have lost only its own path to that node."""
    async with open_simulation(nodes=2) as simulation:
        simulation.store.remove("radishtrack", "node.edge-2")
        await wait_until(
            lambda: ("radishtrack", "node.edge-2") in simulation.store.objects
        )
        assert len(simulation.nodes[0].node.store_copy.nodes) == 2
