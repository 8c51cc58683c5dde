"""Concurrent operators and lost responses neither lose nor repeat a change."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from memory_store import MemoryPlatform
from radishtrack.config.change import diff_documents, render_changes
from radishtrack.config.chunk import (
    MAX_CHUNK_BYTES,
    AppliedChange,
    ChunkError,
    compute_chunk_list_digest,
    decode_manifest,
    split_document,
)
from radishtrack.config.document import Document, make_document
from radishtrack.config.model import (
    Database,
    Member,
    Organisation,
    Owner,
    Route,
    Service,
)
from radishtrack.config.store import (
    Applied,
    ApplyMismatch,
    ApplyResult,
    LostRace,
    ObjectStore,
    StoredObject,
    Unchanged,
    Unresolved,
    apply_document,
    fetch_revision,
)

FAULTS = ("ok", "lost request", "lost answer", "late")


def make_fleet(
    rate: float = 1.0, databases: int = 1, organisations: int = 1
) -> Document:
    names = [f"db-{number}" for number in range(databases)]
    members = tuple(Member(f"m{n}", f"10.0.0.{n}", 3306, 3307, f"z{n}") for n in "123")
    return make_document(
        [Owner("o")],
        [Organisation(f"org-{n}", "o", rate, 10) for n in range(organisations)],
        [Database(name, "o", "r", 2, 15, members) for name in names],
        [
            Service(f"s-{name}", name, (), (Route(f"s-{name}", "r", name, ("t",)),))
            for name in names
        ],
    )


async def apply_rate(
    store: ObjectStore, rate: float, *, seen: int, author: str, apply_id: str = ""
) -> ApplyResult:
    return await apply_document(
        store,
        make_fleet(rate),
        seen=seen,
        author=author,
        apply_id=apply_id or f"{author}-{rate}",
    )


async def fetch_rate(store: ObjectStore) -> float:
    revision = await fetch_revision(store)
    return revision.document.organisations["org-0"].rate


async def test_an_applied_document_is_read_back() -> None:
    store = MemoryPlatform().make_store()
    assert (await fetch_revision(store)).manifest.revision == 0
    result = await apply_rate(store, 5, seen=0, author="kari")
    assert isinstance(result, Applied)
    assert result.revision == 1
    assert "added owner o" in result.changes
    assert await fetch_rate(store) == 5
    repeated = await apply_rate(store, 5, seen=1, author="kari", apply_id="other")
    assert repeated == Unchanged(1)


async def test_a_lost_race_reports_the_winners_author_and_changes() -> None:
    store = MemoryPlatform().make_store()
    await apply_rate(store, 1, seen=0, author="kari")
    await apply_rate(store, 2, seen=1, author="mari")
    change = "changed organisation org-0: rate 1 -> 2"
    result = await apply_rate(store, 3, seen=1, author="jaan")
    digest = compute_chunk_list_digest(split_document(make_fleet(2)))
    winner = AppliedChange(2, "mari-2", "mari", (change,), digest)
    assert result == LostRace(1, 2, (winner,))
    assert await fetch_rate(store) == 2


async def test_exactly_one_of_two_concurrent_operators_wins() -> None:
    platform = MemoryPlatform()
    store = platform.make_store()
    await apply_rate(store, 1, seen=0, author="kari")
    both_read = asyncio.Barrier(2)

    async def get_after_both_read(kind: str, name: str) -> StoredObject | None:
        stored = await store.get(kind, name)
        if kind == "config" and stored and stored.version <= first_version:
            await both_read.wait()
        return stored

    first_version = platform.objects["config", "manifest"].version
    synchronised = attrs.evolve(store, get=get_after_both_read)
    results = await asyncio.gather(
        apply_rate(synchronised, 2, seen=1, author="mari"),
        apply_rate(synchronised, 3, seen=1, author="jaan"),
    )
    assert sorted(type(result).__name__ for result in results) == [
        "Applied",
        "LostRace",
    ]
    (lost,) = (result for result in results if isinstance(result, LostRace))
    (won,) = (result for result in results if isinstance(result, Applied))
    assert lost.winners[0].changes == won.changes


@pytest.mark.parametrize("faults", list(itertools.product(FAULTS, repeat=3)))
async def test_a_change_is_applied_once_despite_lost_responses(
    faults: tuple[str, ...],
) -> None:
    platform = MemoryPlatform(["ok", *faults])
    store = platform.make_store()
    await apply_rate(store, 1, seen=0, author="kari")
    result = await apply_rate(store, 2, seen=1, author="mari")
    assert isinstance(result, Applied)
    assert result.revision == 2
    revision = await fetch_revision(store)
    assert revision.manifest.revision == 2
    assert platform.written_kinds.count("config") == 2


async def test_an_attempt_without_responses_is_resolved_by_repeating_it() -> None:
    platform = MemoryPlatform(["lost answer"] + ["lost request"] * 4)
    store = platform.make_store()
    result = await apply_rate(store, 1, seen=0, author="kari", apply_id="a")
    assert result == Unresolved("a")
    await apply_rate(store, 2, seen=1, author="mari")
    result = await apply_rate(store, 1, seen=0, author="kari", apply_id="a")
    assert isinstance(result, Applied)
    assert result.revision == 1
    assert await fetch_rate(store) == 2


async def test_an_attempt_repeated_with_a_different_file_is_refused() -> None:
    store = MemoryPlatform().make_store()
    await apply_rate(store, 1, seen=0, author="kari", apply_id="a")
    with pytest.raises(ApplyMismatch, match="revision 1 by kari"):
        await apply_rate(store, 2, seen=0, author="kari", apply_id="a")
    assert await fetch_rate(store) == 1


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    faults=st.lists(st.sampled_from(FAULTS), max_size=12),
    attempts=st.lists(st.integers(0, 4), min_size=2, max_size=6),
)
def test_every_reported_result_is_true(faults: list[str], attempts: list[int]) -> None:
    """Operators who are behind lose; those told "applied" are in the history."""

    async def run() -> None:
        platform = MemoryPlatform(faults)
        store = platform.make_store()
        applied = []
        for number, behind in enumerate(attempts):
            known = (await fetch_revision(store)).manifest.revision
            seen = max(0, known - behind)
            result = await apply_rate(store, number + 1, seen=seen, author=f"{number}")
            if isinstance(result, Applied):
                assert seen == known
                applied.append((result.revision, f"{number}"))
        manifest = (await fetch_revision(store)).manifest
        history = [(change.revision, change.author) for change in manifest.history]
        assert set(applied) <= set(history)
        assert [revision for revision, _ in history] == list(
            range(1, manifest.revision + 1)
        )

    asyncio.run(run())


async def test_a_damaged_chunk_is_an_error() -> None:
    platform = MemoryPlatform()
    store = platform.make_store()
    await apply_rate(store, 1, seen=0, author="kari")
    key = next(key for key in platform.objects if key[0] == "config-chunk")
    platform.objects[key] = StoredObject(9, {"text": "[]"})
    with pytest.raises(ChunkError, match="does not match its digest"):
        await fetch_revision(store)


def change_database(document: Document, name: str) -> Document:
    databases = dict(document.databases)
    databases[name] = attrs.evolve(databases[name], connections=99)
    return attrs.evolve(document, databases=databases)


def test_a_change_of_one_entry_changes_one_chunk() -> None:
    document = make_fleet(databases=200, organisations=300)
    before = split_document(document)
    changed_chunks = [
        len(set(split_document(change_database(document, name))) - set(before))
        for name in list(document.databases)[:40]
    ]
    # A chunk that grows above the limit is split.
    assert max(changed_chunks) <= 2
    assert changed_chunks.count(1) >= 38
    sizes = [len(text) for text in before.values()]
    assert max(sizes) <= MAX_CHUNK_BYTES
    assert 3_000 <= sum(sizes) / len(sizes) <= 5_000


def test_chunks_do_not_depend_on_the_order_of_entries() -> None:
    document = make_fleet(databases=20)
    reordered = attrs.evolve(
        document, databases=dict(reversed(document.databases.items()))
    )
    assert split_document(reordered) == split_document(document)


def test_the_difference_lists_entries_and_values() -> None:
    before = make_fleet(rate=1, databases=2)
    database = before.databases["db-0"]
    members = (attrs.evolve(database.members[0], leaving=True), *database.members[1:2])
    after = make_document(
        [Owner("o"), Owner("p")],
        before.organisations.values(),
        [attrs.evolve(database, connections=20, members=members)],
        [before.services["s-db-0"]],
    )
    assert render_changes(diff_documents(before, after)) == (
        "added owner p",
        "changed database db-0: connections 15 -> 20, member[m1].leaving false -> true,"
        " member[m3].name m3 -> nothing, member[m3].host 10.0.0.3 -> nothing,"
        " member[m3].port 3306 -> nothing, member[m3].admin_port 3307 -> nothing,"
        " member[m3].zone z3 -> nothing, member[m3].leaving false -> nothing",
        "removed database db-1",
        "removed service s-db-1",
    )
    assert diff_documents(after, after) == ()


@pytest.mark.parametrize(
    "value",
    [None, {}, [], {"revision": "1", "chunks": [], "history": []}, {"revision": 0}],
)
def test_a_malformed_manifest_is_an_error(value: Any) -> None:
    with pytest.raises(ChunkError):
        decode_manifest(value)
