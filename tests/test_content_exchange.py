"""Tests that nodes of a zone share reads of the store and trust only proven content."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.group.status import Role
from radishtrack.peer.messages import Content
from radishtrack.pooler.catalog import (
    Catalog,
    GroupSettings,
    Member,
    NodeRecord,
    Organisation,
    ReadClass,
    Route,
)
from radishtrack.pooler.content_codec import (
    ContentError,
    decode_catalog,
    decode_fleet,
    decode_members,
    encode_catalog,
    encode_fleet,
    encode_members,
)
from radishtrack.pooler.ports import Duty, FleetListing
from radishtrack.pooler.store_content import (
    CopyContent,
    digest_fleet,
    digest_members,
)
from radishtrack.pooler.store_copy import PEER_CONFIRMATION_MS, StoreCopy
from tests.pooler_simulation import (
    GROUP,
    make_config,
    open_simulation,
    wait_until,
)
from tests.test_pooler_store_copy import FakeStore

NODE = NodeRecord("edge-1", "10.0.0.1", 7560, "a", 1)
ORGANISATION = Organisation("verksted", 20.0, 40.0)
CATALOG = Catalog(
    7,
    {
        "orders": Route(
            "orders", "strekk", ReadClass.STRICT, 0.0, 600.0, 100.0, 1, False
        )
    },
    {"verksted": ORGANISATION},
    {b"\x01\x02": ORGANISATION},
    {"strekk": GroupSettings("strekk", 16, 1)},
    2_000.0,
)
MEMBER = Member(
    "i-1", "strekk", "10.0.1.1", 8085, "a", 2, False, Role.PRIMARY, 1_700_000_000_000
)
LISTING = FleetListing((NODE,), {"rates": Duty("edge-1", 4, "c")}, {"strekk": 3}, 9)


def test_content_is_unchanged_by_a_transfer() -> None:
    assert decode_catalog(encode_catalog(CATALOG)) == CATALOG
    members, zones = decode_members(encode_members((MEMBER,)))
    assert members == (MEMBER,) and zones == frozenset()
    evacuated = frozenset({"a", "b"})
    part = encode_members((MEMBER,), evacuated)
    assert decode_members(part) == ((MEMBER,), evacuated)
    assert digest_members(members, evacuated) != digest_members(members)
    assert digest_members(members) == digest_members((MEMBER,))
    listing = decode_fleet(encode_fleet(LISTING))
    assert digest_fleet(listing) == digest_fleet(LISTING)


@given(st.binary(max_size=60))
def test_malformed_content_raises_one_kind_of_error(data: bytes) -> None:
    """Any other error would end the task that keeps the copy up to date."""
    for decode in (decode_catalog, decode_members, decode_fleet):
        with contextlib.suppress(ContentError):
            decode(data)


def make_store_copy(response: Content | None) -> tuple[StoreCopy, FakeStore]:
    store = FakeStore(catalog=attrs.evolve(CATALOG, version=6))
    clock = make_manual_clock(ManualTime(10_000.0))

    async def request_content(_wanted: CopyContent) -> Content | None:
        return response

    copy = StoreCopy(store, clock, NODE, lambda: None)
    copy.request_content = request_content
    return copy, store


async def test_confirmed_content_of_a_peer_needs_no_call_of_the_store() -> None:
    zones = frozenset({"a"})
    part = encode_members((), zones)
    copy, store = make_store_copy(Content(1, encode_catalog(CATALOG), part, b""))
    await copy.confirm()
    calls = store.list_calls + store.catalog_reads
    wanted = attrs.evolve(
        copy.content,
        revision=5,
        catalog=CATALOG.version,
        members=digest_members((), zones),
    )
    assert await copy.confirm((wanted, 10_500.0))
    assert copy.catalog == CATALOG
    assert copy.evacuated.in_effect == zones
    assert copy.confirmed_ms == 10_500.0
    assert store.list_calls + store.catalog_reads == calls


@pytest.mark.parametrize(
    "response",
    [
        None,
        Content(1, b"", encode_members((MEMBER,)), b""),
        Content(1, b"\xff", b"\xff", b"\xff"),
        Content(1, b"", b"", encode_fleet(FleetListing((), {}, {}, 99))),
    ],
)
async def test_content_that_differs_from_the_digests_is_not_used(
    response: Content | None,
) -> None:
    """A peer with an old copy must not bring back a member that has left."""
    copy, store = make_store_copy(response)
    await copy.confirm()
    calls = store.list_calls + store.catalog_reads
    members = copy.members
    wanted = attrs.evolve(copy.content, revision=5, catalog=7, members=123)
    await copy.confirm((wanted, 10_500.0))
    assert store.list_calls + store.catalog_reads > calls
    assert copy.members == members
    assert copy.registered == (NODE,)


async def test_content_that_arrives_after_a_newer_read_is_not_used() -> None:
    """A late response brought back a member that had left, and an older term."""
    copy, store = make_store_copy(None)
    await copy.confirm()
    members = encode_members((MEMBER,))
    old_fleet = FleetListing((NODE,), {}, {"strekk": 2}, 4)

    async def respond_late(_wanted: CopyContent) -> Content:
        store.revision = 9
        await copy.confirm()
        return Content(1, b"", members, encode_fleet(old_fleet))

    copy.request_content = respond_late
    wanted = CopyContent(
        5, copy.catalog.version, digest_members((MEMBER,)), digest_fleet(old_fleet)
    )
    await copy.confirm((wanted, 10_500.0))
    assert copy.revision == 9
    assert copy.members == ()
    assert copy.terms == {}


async def test_one_node_of_a_zone_reads_a_change_for_the_others() -> None:
    """Each node read each change itself: the largest price of a large fleet."""
    async with open_simulation(nodes=4) as simulation:
        copies = [running.node.store_copy for running in simulation.nodes]
        await wait_until(lambda: len({copy.content for copy in copies}) == 1)
        await asyncio.sleep(1.0)
        await wait_until(lambda: len({copy.content for copy in copies}) == 1)
        calls = simulation.store.calls
        calls.clear()
        simulation.store.put("config", "main", make_config(version=9))
        await wait_until(
            lambda: all(
                running.node.store_copy.catalog.version == 9
                for running in simulation.nodes
            )
        )
        reads = [call for call in calls if "config" in call]
        # The coordinator, which polls the store, and the reader of the zone.
        assert len(reads) <= 2, calls


async def test_restart_at_the_same_address_changes_no_record() -> None:
    """Each restart made all nodes read the fleet's records again."""
    copy, store = make_store_copy(None)
    await copy.confirm()
    restarted = StoreCopy(
        store, copy.clock, attrs.evolve(NODE, started_ms=2), lambda: None
    )
    revision = store.revision
    await restarted.confirm()
    assert store.revision == revision
    moved = StoreCopy(store, copy.clock, attrs.evolve(NODE, port=7561), lambda: None)
    await moved.confirm()
    assert store.revision > revision


async def test_removed_names_need_no_confirmation() -> None:
    """Clients with withdrawn keys made half of the fleet's calls of the store."""
    copy, store = make_store_copy(None)
    store.catalog, store.revision = CATALOG, 2
    await copy.confirm()
    store.catalog = attrs.evolve(CATALOG, version=8, routes={}, key_owners={})
    store.revision = 3
    await copy.confirm()
    calls = store.list_calls
    await copy.refresh("orders", b"\x05")
    await copy.refresh("other", b"\x01\x02")
    assert store.list_calls == calls
    await copy.refresh("other", b"\x05")
    assert store.list_calls == calls + 1
    store.catalog, store.revision = attrs.evolve(CATALOG, version=9), 4
    await copy.confirm()
    assert copy.unknown.removed == set()


async def test_unknown_name_is_looked_up_through_the_coordinator() -> None:
    copy, store = make_store_copy(Content(1, encode_catalog(CATALOG), b"", b""))
    await copy.confirm()
    calls = store.list_calls + store.catalog_reads

    async def request_confirmation() -> bool:
        wanted = attrs.evolve(copy.content, revision=5, catalog=CATALOG.version)
        copy.accept_confirmation(wanted, 10_500.0)
        return True

    copy.request_confirmation = request_confirmation
    await copy.refresh("orders", b"\x01\x02")
    assert copy.catalog == CATALOG
    assert store.list_calls + store.catalog_reads == calls


async def test_nodes_of_a_zone_get_reports_from_its_first_node() -> None:
    """Each node got every report from the coordinator, most of them between zones."""
    async with open_simulation(nodes=4) as simulation:
        await asyncio.sleep(1.0)
        nodes = [running.node for running in simulation.nodes]
        (coordinator,) = (node for node in nodes if node.rates.is_coordinator())
        for node in nodes:
            node.relay.receivers.clear()
        await asyncio.sleep(1.2)
        readers = {node.options.node.name for node in nodes if node.content.is_reader()}
        assert set(coordinator.relay.receivers) <= readers | {
            node.options.node.name for node in nodes if coordinator.content.is_reader()
        }
        assert len(readers) == 1
        for node in nodes:
            now_ms = node.clock.now_ms()
            assert node.find_group(GROUP).evidence.is_current(now_ms)
            assert node.store_copy.age_ms() < PEER_CONFIRMATION_MS


async def test_unresponsive_reader_of_a_zone_is_replaced() -> None:
    """A frozen node would otherwise leave its zone without reports."""
    async with open_simulation(nodes=4) as simulation:
        nodes = [running.node for running in simulation.nodes]
        await wait_until(lambda: any(node.content.is_reader() for node in nodes))
        reader = next(node for node in nodes if node.content.is_reader())
        reader.relay.is_relay = lambda: False
        others = [node for node in nodes if node is not reader]
        await asyncio.sleep(2.5)
        for node in others:
            assert node.find_group(GROUP).evidence.is_current(node.clock.now_ms())
            assert node.store_copy.age_ms() < 2 * PEER_CONFIRMATION_MS
