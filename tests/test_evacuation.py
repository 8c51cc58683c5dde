"""Tests the evacuation of availability zones."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.platform.control_store import PlatformControlStore
from radishtrack.pooler.evacuation.zones import EvacuatedZones
from radishtrack.pooler.settling import RESTORE_SETTLE_MS
from radishtrack.pooler.store_copy import StoreCopy
from radishtrack.revision import make_revision
from radishtrack_standins.line_member import LineMember
from radishtrack_standins.platform_objects import make_member_entry
from tests.pooler_simulation import GROUP, Simulation, open_simulation, wait_until
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
