"""Tests the evacuation of availability zones."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.platform.control_store import PlatformControlStore
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.evacuation.succession import (
    EVACUATION_RETRY_MS,
    may_start_evacuation,
    order_fences,
)
from radishtrack.pooler.evacuation.transactions import end_transactions
from radishtrack.pooler.evacuation.zones import EvacuatedZones
from radishtrack.pooler.promotion import (
    PromotionReason,
    choose_successor,
    needs_outside_successor,
)
from radishtrack.pooler.settling import RESTORE_SETTLE_MS
from radishtrack.pooler.store_copy import StoreCopy
from radishtrack.revision import make_revision
from radishtrack_standins.line_member import LineMember
from radishtrack_standins.platform_objects import make_member_entry
from tests.pooler_simulation import GROUP, Simulation, open_simulation, wait_until
from tests.test_pooler_evidence import make_evidence, make_report
from tests.test_pooler_store_copy import NODE, FakeStore

EVACUATIONS = "evacuations"
ZONES = {"i-1": "oslo-a", "i-2": "oslo-b", "i-3": "oslo-c"}


@asynccontextmanager
async def open_zoned_simulation() -> AsyncIterator[Simulation]:
    """Start one node and three members in as many zones; i-1 is the primary."""
    async with open_simulation() as simulation:
        store = simulation.nodes[0].node.store_copy.store
        assert isinstance(store, PlatformControlStore)
        store.has_evacuations = True
        for name, member in simulation.members.items():
            entry = make_member_entry(member, slots=2) | {"zone": ZONES[name]}
            simulation.store.put("servers", name, entry)
        await simulation.nodes[0].node.store_copy.confirm()
        yield simulation


async def evacuate(simulation: Simulation, *zones: str) -> None:
    """Request an evacuation and wait until the node has learned of it."""
    for zone in zones:
        simulation.store.put(EVACUATIONS, zone, {})
    await simulation.nodes[0].node.store_copy.confirm()


def count_reads(member: LineMember) -> int:
    return sum("READ" in text for _, _, text in member.ran)


async def test_no_extra_call_is_made_where_zones_can_not_be_evacuated() -> None:
    """All nodes share the store's calls."""
    async with open_simulation() as simulation:
        simulation.store.put(EVACUATIONS, "oslo-a", {})
        await simulation.nodes[0].node.store_copy.confirm()
        assert not any(EVACUATIONS in call for call in simulation.store.calls)
        assert not simulation.nodes[0].node.store_copy.evacuated.in_effect


async def test_members_of_an_evacuated_zone_get_no_reads() -> None:
    """Guards against reads in the zone, and against reads that are lost with it."""
    async with open_zoned_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "status")
        await evacuate(simulation, "oslo-b", "no-such-zone")
        for _ in range(20):
            assert (await client.execute("READ 1"))[0].startswith("DATAROW")
        assert count_reads(simulation.members["i-2"]) == 0
        assert simulation.nodes[0].node.evacuations.reported == {"oslo-b"}
        simulation.store.remove(EVACUATIONS, "oslo-b")
        await simulation.nodes[0].node.store_copy.confirm()
        access = simulation.nodes[0].node.find_group(GROUP)
        assert access.may_use("i-2")


async def test_status_polls_in_an_evacuated_zone_continue() -> None:
    """Evidence of the primary needs the reports of the zone's members."""
    async with open_zoned_simulation() as simulation:
        await evacuate(simulation, "oslo-b", "oslo-c")
        evidence = simulation.nodes[0].node.find_group(GROUP).evidence
        observed = dict(evidence.observations)
        for name in ("i-2", "i-3"):
            before_ms = observed[name].requested_ms
            await wait_until(
                lambda name=name, at=before_ms: (
                    evidence.observations[name].requested_ms > at
                )
            )


async def test_a_restore_that_loses_an_evacuation_does_not_end_it() -> None:
    """The operator writes it again while the store settles."""
    time, store = ManualTime(1_000.0), FakeStore()
    clock = make_manual_clock(time)
    copy = StoreCopy(store, clock, NODE, lambda: None)
    store.zones, store.revision = frozenset({"a", "b"}), make_revision(1, 7)
    await copy.confirm()
    time.advance(700.0)
    await copy.confirm()
    store.zones, store.revision = frozenset({"b"}), make_revision(2, 3)
    time.advance(700.0)
    await copy.confirm()
    assert copy.evacuated.in_effect == {"a", "b"}
    time.advance(RESTORE_SETTLE_MS)
    await copy.confirm()
    assert copy.evacuated.in_effect == {"b"}


async def test_a_primary_is_moved_out_of_an_evacuated_zone() -> None:
    """Guards against an outage of the group, and against a second move."""
    async with open_zoned_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        assert (await client.execute("WRITE 1 x"))[0].startswith("COMPLETE")
        await evacuate(simulation, "oslo-a", "oslo-b")
        await wait_until(lambda: simulation.members["i-3"].role == "primary", 4.0)
        access = simulation.nodes[0].node.find_group(GROUP)
        await wait_until(lambda: access.usable_primary() is access.pools["i-3"])
        before = len(simulation.members["i-1"].ran)
        assert (await client.execute("WRITE 1 y"))[0].startswith("COMPLETE")
        assert (await client.execute("READ 1"))[0] == "DATAROW i-3@2.2"
        assert len(simulation.members["i-1"].ran) == before
        assert len(simulation.store.orders) == 1


async def test_without_a_successor_work_for_the_primary_is_refused_at_once() -> None:
    """Guards against waits for a promotion that can't come, and against its attempts.

    Each attempt would fence the replicas and claim the duty in the store.
    """
    async with open_zoned_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        simulation.nodes[0].node.store_copy.evacuated.bound_ms = 0.0
        await evacuate(simulation, *ZONES.values())
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for text in ("WRITE 1 x", "READ 1"):
            assert (await client.execute(text))[0].startswith("ERROR BUSY")
        assert loop.time() - started_s < 0.03
        await asyncio.sleep(0.5)
        assert not simulation.members["i-1"].ran
        assert not any(m.fenced_term for m in simulation.members.values())
        assert simulation.store.objects.get(("radishtrack", "duty.promotion")) is None


async def test_a_planned_move_that_waits_is_no_vote_against_the_primary() -> None:
    """Guards against a node that can't reach it and then promotes in an evacuated zone.

    The replica outside is fenced last, so that it is the most advanced.
    """
    async with open_zoned_simulation() as simulation:
        promoter = simulation.nodes[0].node.promoter
        access = simulation.nodes[0].node.find_group(GROUP)
        state = promoter.states[GROUP]
        state.not_before_ms = float("inf")
        await evacuate(simulation, "oslo-a", "oslo-b")
        await wait_until(lambda: state.reason is PromotionReason.EVACUATED)
        assert not await promoter.vote(GROUP, "i-1")
        assert order_fences(access, ["i-3", "i-2"]) == [["i-2"], ["i-3"]]
        # The node that completes the attempt of a promoter that died is bound as well.
        assert needs_outside_successor(access, PromotionReason.ABANDONED)
        access.pools["i-1"].is_reachable = False
        assert not needs_outside_successor(access, PromotionReason.ABANDONED)


def test_a_successor_in_an_evacuated_zone_is_the_last_resort() -> None:
    """Guards against a useless move, and against a group without a primary."""
    evidence = make_evidence()
    behind, ahead = make_report("b", sequence=4), make_report("c", sequence=5)
    fenced = {"b": behind, "c": ahead}

    def choose(zone_members: set[str], *, needs_outside: bool) -> MemberReport | None:
        return choose_successor(
            fenced,
            evidence,
            "a",
            frozenset(),
            0,
            frozenset(zone_members),
            needs_outside=needs_outside,
        )

    assert choose({"a", "c"}, needs_outside=True) is None
    assert choose({"a", "c"}, needs_outside=False) == ahead
    assert choose({"a", "b"}, needs_outside=True) == ahead
    fenced["b"] = make_report("b", sequence=5)
    assert choose({"a", "b"}, needs_outside=False) == ahead


def test_an_evacuation_without_a_successor_is_not_repeated_at_once() -> None:
    """Each attempt fences replicas, which delays commits."""

    def may_start(*, failed: bool, now_ms: float) -> bool:
        return may_start_evacuation(
            has_failed_attempt=failed,
            last_claim_ms=1_000.0,
            rank_delay_ms=150.0,
            now_ms=now_ms,
        )

    assert may_start(failed=False, now_ms=1_100.0)
    retry_ms = 1_000.0 + EVACUATION_RETRY_MS + 150.0
    assert not may_start(failed=True, now_ms=retry_ms - 1.0)
    assert may_start(failed=True, now_ms=retry_ms)


async def test_an_open_transaction_is_ended_at_the_bound() -> None:
    """Guards against requests in the zone after the bound, and against locks there.

    The client is told that the transaction was rolled back.
    """
    async with open_zoned_simulation() as simulation:
        evacuated = simulation.nodes[0].node.store_copy.evacuated
        access = simulation.nodes[0].node.find_group(GROUP)
        clients = [
            await simulation.connect(simulation.nodes[0], "orders") for _ in range(3)
        ]
        for client in clients:
            await client.execute("BEGIN")
            assert (await client.execute("WRITE 1 x"))[0].startswith("COMPLETE")
        # Without a successor, the transactions stay at the primary.
        await evacuate(simulation, *ZONES.values())
        assert (await clients[0].execute("WRITE 2 x"))[0].startswith("COMPLETE")
        assert (await clients[0].execute("COMMIT"))[0].startswith("COMPLETE")
        primary = simulation.members["i-1"]
        primary.faults.work_ms = 300.0
        running = asyncio.create_task(clients[1].execute("WRITE 2 x"))
        await asyncio.sleep(0.05)
        evacuated.bound_ms = 0.0
        assert end_transactions(access) == 1
        assert (await running)[0].startswith("COMPLETE")
        statements = len(primary.ran)
        assert (await clients[1].execute("WRITE 3 x"))[0].startswith("ERROR ABORTED")
        assert (await clients[2].execute("COMMIT"))[0].startswith("ERROR ABORTED")
        await clients[1].execute("ROLLBACK")
        await clients[1].execute("BEGIN")
        assert (await clients[1].execute("WRITE 4 x"))[0].startswith("ERROR BUSY")
        assert len(primary.ran) == statements
        assert not any(
            pooled.is_in_transaction and not pooled.link.is_closed
            for pooled in access.pools["i-1"].busy
        )


def test_the_bound_counts_from_the_last_copy_without_the_evacuation() -> None:
    """Guards against late requests of a node that was cut off, or that has started."""
    zones = EvacuatedZones()
    zones.replace(frozenset({"a"}), era=1, absent_ms=None)
    assert not zones.may_finish("a", 0.0)
    zones.replace(frozenset({"a", "b"}), era=1, absent_ms=10_000.0)
    assert zones.may_finish("b", 13_900.0) and not zones.may_finish("b", 14_100.0)
    # Removed and set again within one interval: the earlier, stricter bound holds.
    zones.replace(frozenset({"a", "b"}), era=1, absent_ms=13_000.0)
    assert not zones.may_finish("b", 14_100.0)
    zones.replace(frozenset(), era=1, absent_ms=14_000.0)
    assert zones.may_finish("b", 14_100.0) and not zones.in_effect
