"""Tests a node's copy of the store: its age, and that it only moves forward."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.pooler.catalog import EMPTY_CATALOG, Catalog, Member, NodeRecord
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS
from radishtrack.pooler.ports import Duty, FleetListing, StoreUnavailable
from radishtrack.pooler.store_copy import DEPARTURE_MS, StoreCopy
from radishtrack.pooler.store_reading import LATE_RESPONSE_MS
from tests.test_pooler_evidence import PRIMARY, make_evidence, make_report

NODE = NodeRecord("edge-1", "10.0.0.1", 7560, "a", 1)
OTHER = NodeRecord("edge-2", "10.0.0.2", 7560, "a", 1)


@attrs.define(eq=False)
class FakeStore:
    """A control store whose content is set by tests."""

    nodes: tuple[NodeRecord, ...] = (NODE,)
    catalog: Catalog | None = EMPTY_CATALOG
    revision: int = 1
    is_down: bool = False
    catalog_reads: int = 0
    zones: frozenset[str] = frozenset()
    list_gate: asyncio.Event | None = None
    catalog_gate: asyncio.Event | None = None
    list_calls: int = 0

    async def list_fleet(self) -> FleetListing:
        self.list_calls += 1
        if self.is_down:
            raise StoreUnavailable("list", "down", is_effect_unknown=False)
        listing = FleetListing(self.nodes, {}, {}, self.revision)
        if self.list_gate is not None:
            await self.list_gate.wait()
        return listing

    async def register_node(self, node: NodeRecord) -> None:
        self.nodes = (*self.nodes, node)
        self.revision += 1

    async def remove_node(self, name: str) -> None:
        raise NotImplementedError

    async def read_catalog(self) -> Catalog | None:
        self.catalog_reads += 1
        if self.catalog_gate is not None:
            await self.catalog_gate.wait()
        return self.catalog

    async def list_members(self) -> tuple[Member, ...]:
        return ()

    async def list_evacuations(self) -> frozenset[str]:
        return self.zones

    async def claim_duty(
        self, name: str, duty: Duty, holder: str, claim: str
    ) -> Duty | None:
        raise NotImplementedError

    async def announce_term(self, group: str, term: int) -> None:
        raise NotImplementedError

    async def find_secret(self) -> bytes | None:
        raise NotImplementedError


@pytest.fixture
def time() -> ManualTime:
    return ManualTime(1_000.0)


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def store_copy(store: FakeStore, time: ManualTime) -> StoreCopy:
    return StoreCopy(store, make_manual_clock(time), NODE, lambda: None)


async def test_an_unchanged_configuration_is_read_once(
    store_copy: StoreCopy, store: FakeStore
) -> None:
    """Unchanged content must not be read again: all nodes share the store's calls."""
    for _ in range(5):
        assert await store_copy.confirm()
    assert store.catalog_reads == 1


async def test_the_age_counts_from_the_start_of_the_call(
    store_copy: StoreCopy, store: FakeStore, time: ManualTime
) -> None:
    """Guards against a late response that makes a revoked key appear current."""
    await store_copy.confirm()
    store.list_gate = asyncio.Event()
    call = asyncio.create_task(store_copy.confirm())
    await asyncio.sleep(0)
    time.advance(700.0)
    store.list_gate.set()
    await call
    assert store_copy.age_ms() == 700.0


async def test_an_older_version_is_never_applied(
    store_copy: StoreCopy, store: FakeStore
) -> None:
    """Guards against the replacement of a configuration in force by an older one."""
    store.catalog = attrs.evolve(EMPTY_CATALOG, version=7)
    await store_copy.confirm()
    store.catalog, store.revision = attrs.evolve(EMPTY_CATALOG, version=6), 2
    await store_copy.confirm()
    assert store_copy.catalog.version == 7


async def test_another_node_confirms_equal_content_only(
    store_copy: StoreCopy, time: ManualTime
) -> None:
    """Guards against confirmation of a copy that lacks a change."""
    await store_copy.confirm()
    time.advance(900.0)
    store_copy.accept_confirmation(
        attrs.evolve(store_copy.content, revision=2, members=7), 1_800.0
    )
    assert store_copy.age_ms() == 900.0 and store_copy.is_outdated.is_set()
    store_copy.accept_confirmation(store_copy.content, 1_800.0)
    assert store_copy.age_ms() == 100.0


async def test_a_change_of_other_objects_costs_no_call(
    store_copy: StoreCopy, store: FakeStore, time: ManualTime
) -> None:
    """Guards against reading everything again at every node after any write."""
    await store_copy.confirm()
    store.list_calls = store.catalog_reads = 0
    time.advance(900.0)
    store_copy.accept_confirmation(
        attrs.evolve(store_copy.content, revision=9), 1_800.0
    )
    assert store_copy.revision == 9 and store_copy.age_ms() == 100.0
    assert not store_copy.is_outdated.is_set()
    # A confirmation of an earlier revision has no effect.
    store_copy.accept_confirmation(
        attrs.evolve(store_copy.content, revision=8), 1_850.0
    )
    assert store_copy.age_ms() == 100.0


async def test_only_what_has_changed_is_read(
    store: FakeStore, store_copy: StoreCopy, time: ManualTime
) -> None:
    """Guards against reading the whole configuration again for a new node or member."""
    reader = StoreCopy(store, make_manual_clock(time), OTHER, lambda: None)
    store.nodes = (NODE, OTHER)
    await store_copy.confirm()
    await reader.confirm()
    store.list_calls = store.catalog_reads = 0
    store.nodes, store.revision = (NODE,), 5
    store.nodes = (NODE, OTHER, attrs.evolve(OTHER, name="edge-3"))
    await reader.confirm()
    assert store.catalog_reads == 1
    store_copy.accept_confirmation(reader.content, 1_000.0)
    assert store_copy.peer_confirmation is not None and await store_copy.confirm(
        store_copy.peer_confirmation
    )
    assert store_copy.content == reader.content and len(store_copy.nodes) == 3
    assert (store.list_calls, store.catalog_reads) == (2, 1)
    store.catalog, store.revision = attrs.evolve(EMPTY_CATALOG, version=7), 6
    await reader.confirm()
    store.list_calls = 0
    store_copy.accept_confirmation(reader.content, 1_000.0)
    assert await store_copy.confirm(store_copy.peer_confirmation)
    assert store_copy.content == reader.content and store_copy.catalog.version == 7
    assert store.list_calls == 0


async def test_a_later_revision_is_read_completely(
    store: FakeStore, store_copy: StoreCopy, time: ManualTime
) -> None:
    """A confirmation of another node does not cover what was written afterwards."""
    reader = StoreCopy(store, make_manual_clock(time), OTHER, lambda: None)
    store.nodes = (NODE, OTHER)
    await store_copy.confirm()
    store.nodes, store.revision = (*store.nodes, attrs.evolve(OTHER, name="edge-3")), 5
    await reader.confirm()
    store_copy.accept_confirmation(reader.content, 1_000.0)
    store.catalog, store.revision = attrs.evolve(EMPTY_CATALOG, version=7), 6
    assert await store_copy.confirm(store_copy.peer_confirmation)
    assert store_copy.revision == 6 and store_copy.catalog.version == 7


async def test_a_suspended_node_must_call_the_store_first(
    store_copy: StoreCopy, store: FakeStore, time: ManualTime
) -> None:
    """A promotion may have been announced and completed during the suspension."""
    evidence = make_evidence()
    evidence.find_known_ms = lambda: store_copy.confirmed_ms or 0.0
    evidence.has_lost_store = lambda: store_copy.has_failed_within(EVIDENCE_VALID_MS)

    def is_current_after_reports() -> bool:
        now_ms = store_copy.clock.now_ms()
        for report in (PRIMARY, make_report("b"), make_report("c")):
            evidence.observe_report(report, now_ms, now_ms)
        return evidence.is_current(now_ms)

    await store_copy.confirm()
    assert is_current_after_reports()
    time.advance(10_000.0)
    assert not is_current_after_reports()
    store.is_down = True
    assert not await store_copy.confirm()
    assert is_current_after_reports()


async def test_a_late_timer_after_a_suspension_is_no_failure_of_the_store(
    store_copy: StoreCopy, store: FakeStore, time: ManualTime
) -> None:
    """The node took itself for one without the store, and asked the members alone."""
    store.list_gate = asyncio.Event()
    reading = asyncio.create_task(store_copy.confirm())
    await asyncio.sleep(0)
    time.advance(10_000.0)
    await asyncio.sleep(1.2 * LATE_RESPONSE_MS / 1000)
    assert not store_copy.has_failed_within(EVIDENCE_VALID_MS)
    store.list_gate.set()
    assert await reading


async def test_a_removed_node_counts_until_it_must_have_stopped(
    store_copy: StoreCopy, store: FakeStore, time: ManualTime
) -> None:
    """It may use its share of the rates until it learns of its removal."""
    store.nodes = (NODE, OTHER)
    await store_copy.confirm()
    store.nodes, store.revision = (NODE,), 2
    await store_copy.confirm()
    assert set(store_copy.nodes) == {NODE, OTHER}
    time.advance(DEPARTURE_MS + 1)
    assert store_copy.nodes == (NODE,)
    store.nodes, store.revision = (NODE, OTHER), 3
    await store_copy.confirm()
    assert store_copy.nodes == (NODE, OTHER)


async def test_an_outage_before_the_first_response_is_handled(
    store_copy: StoreCopy, store: FakeStore
) -> None:
    """Guards against the crash that the age of a missing copy caused in a benchmark."""
    store.is_down = True
    assert not await store_copy.confirm()
    assert store_copy.age_ms() == float("inf")


async def test_an_unknown_name_costs_one_call_for_each_configuration(
    store_copy: StoreCopy, store: FakeStore, time: ManualTime
) -> None:
    """Clients with a revoked key retry continually, ten times a second at each node."""
    await store_copy.confirm()
    store.list_calls = 0
    for _ in range(20):
        time.advance(500.0)
        await store_copy.refresh("orders", b"revoked key")
    assert store.list_calls == 1
    store.revision = 2
    await store_copy.confirm()
    time.advance(1_500.0)
    await store_copy.refresh("orders", b"revoked key")
    assert store.list_calls == 2
    store.revision, store.catalog = 3, attrs.evolve(EMPTY_CATALOG, version=7)
    await store_copy.confirm()
    time.advance(1_500.0)
    await store_copy.refresh("orders", b"revoked key")
    assert store.list_calls == 4


async def test_many_unknown_names_share_the_calls(
    store_copy: StoreCopy, store: FakeStore, time: ManualTime
) -> None:
    """Many keys can be revoked at once, and each of them is tried at every node."""
    await store_copy.confirm()
    store.list_calls = 0
    for number in range(100):
        time.advance(10.0)
        await store_copy.refresh("orders", f"key {number}".encode())
    assert store.list_calls <= 1


async def test_a_confirmation_reads_what_the_store_holds_after_its_call(
    store_copy: StoreCopy, store: FakeStore
) -> None:
    """A promotion reads the list of nodes after its fence, not one from before."""
    store.list_gate = asyncio.Event()
    earlier = asyncio.create_task(store_copy.confirm())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    store.nodes, store.revision = (NODE, OTHER), 2
    later = asyncio.create_task(store_copy.confirm())
    await asyncio.sleep(0)
    store.list_gate.set()
    assert await later and await earlier
    assert OTHER in store_copy.registered


@pytest.mark.parametrize("is_confirmed_by_peers", [False, True])
async def test_a_rejected_node_does_not_repeat_its_calls_while_peers_confirm(
    store: FakeStore, time: ManualTime, is_confirmed_by_peers: bool
) -> None:
    """A third of 98 nodes repeated rejected calls four times a second for 9 s."""
    store_copy = StoreCopy(store, make_manual_clock(time), NODE, lambda: None)
    store_copy.reads_for_fleet = lambda: False
    await store_copy.confirm()
    store.is_down = True
    time.advance(5_000.0)
    calls = store.list_calls
    run = asyncio.create_task(store_copy.run())
    for _ in range(10):
        await asyncio.sleep(0.1)
        if is_confirmed_by_peers:
            store_copy.accept_confirmation(store_copy.content, time.value_ms)
    run.cancel()
    repeated = store.list_calls - calls
    assert repeated == 1 if is_confirmed_by_peers else repeated > 2
