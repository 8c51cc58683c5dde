"""Guards what nodes know and do when the platform's store comes back from a backup.

The store then lacks what it acknowledged in the lost seconds, and gives out their
revisions again.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import attrs
import pytest

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.platform.control_store import PlatformControlStore
from radishtrack.platform.object_store import ObjectStoreClient
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.store_copy import StoreCopy
from radishtrack_standins.line_member import LineMember
from radishtrack_standins.object_store import StandinStore
from radishtrack_standins.platform_objects import make_member_entry
from tests.pooler_simulation import GROUP, make_config

NODE = NodeRecord("edge-1", "10.0.0.1", 7560, "oslo-a", 1)


@attrs.define(eq=False)
class CopyFixture:
    """A store stand-in and one node's copy of it."""

    store: StandinStore
    time: ManualTime
    store_copies: list[StoreCopy] = attrs.field(factory=list)

    def add_copy(self, node: NodeRecord = NODE) -> StoreCopy:
        store = PlatformControlStore(ObjectStoreClient(self.store.address))
        clock = make_manual_clock(self.time)
        self.store_copies.append(StoreCopy(store, clock, node, lambda: None))
        return self.store_copies[-1]

    def register(self, name: str, state: str = "ready") -> None:
        entry = make_member_entry(
            LineMember(GROUP, name, "replica"), slots=2, state=state
        )
        self.store.put("servers", name, entry)


@pytest.fixture
async def fixture() -> AsyncIterator[CopyFixture]:
    store = StandinStore()
    await store.start()
    store.put("config", "main", make_config(1))
    fixture = CopyFixture(store, ManualTime(1_000.0))
    yield fixture
    for store_copy in fixture.store_copies:
        assert isinstance(store_copy.store, PlatformControlStore)
        await store_copy.store.client.close()
    await store.stop()


async def test_a_configuration_at_a_revision_given_out_before_is_applied(
    fixture: CopyFixture,
) -> None:
    """Version 3 got the revision that version 2 had, and no node applied it."""
    store_copy = fixture.add_copy()
    await store_copy.confirm()
    backup = fixture.store.back_up()
    fixture.store.put("config", "main", make_config(2))
    await store_copy.confirm()
    fixture.store.restore(backup, written_again=())
    fixture.store.put("config", "main", make_config(3))
    await store_copy.confirm()
    assert store_copy.catalog.version == 3


async def test_a_member_that_registers_at_an_earlier_revision_is_listed(
    fixture: CopyFixture,
) -> None:
    """Members and nodes were ignored until the store reached the copy's revision."""
    store_copy = fixture.add_copy()
    await store_copy.confirm()
    backup = fixture.store.back_up()
    for version in range(2, 9):
        fixture.store.put("config", "main", make_config(version))
    await store_copy.confirm()
    fixture.store.restore(backup)
    fixture.register("i-new")
    await store_copy.confirm()
    assert [member.name for member in store_copy.members] == ["i-new"]
