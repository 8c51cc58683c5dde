"""Applies a configuration to the platform against the revision the operator saw."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs

from radishtrack.config.change import diff_documents, render_changes
from radishtrack.config.chunk import (
    EMPTY_MANIFEST,
    AppliedChange,
    ChunkError,
    Manifest,
    compute_content,
    decode_chunk,
    decode_manifest,
    encode_chunk,
    encode_manifest,
    make_next_manifest,
    split_document,
)
from radishtrack.config.document import Document
from radishtrack.config.state import build_document

MANIFEST_KIND: Final = "config"
MANIFEST_NAME: Final = "manifest"
CHUNK_KIND: Final = "config-chunk"

WRITE_ATTEMPTS: Final = 5
SECOND_MS: Final = 1_000.0


class WriteResult(enum.Enum):
    """What is known about a conditional write."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@attrs.define(frozen=True)
class StoredObject:
    """A platform object."""

    version: int
    value: Any


class StoreUnavailable(Exception):
    """Raised if the platform does not answer a read."""


class ApplyMismatch(ValueError):
    """Raised if an attempt is repeated with another content."""


@attrs.define(frozen=True)
class ObjectStore:
    """The platform operations that applying needs.

    Parameters
    ----------
    get : callable
        Takes kind and name; returns the object or None; raises `StoreUnavailable`.
    put : callable
        Takes kind, name, value and expected version (0: must not exist).
    retry_pause_ms : float
        Pause after a write without an answer, in milliseconds.
    """

    get: Callable[[str, str], Awaitable[StoredObject | None]]
    put: Callable[[str, str, Any, int], Awaitable[WriteResult]]
    retry_pause_ms: float = 200.0


@attrs.define(frozen=True)
class Revision:
    """The configuration that the platform holds; revision 0 is the empty one."""

    manifest: Manifest
    version: int
    """Version of the manifest's object, for conditional updates."""
    document: Document


@attrs.define(frozen=True)
class Applied:
    """The configuration is stored as this revision."""

    revision: int
    changes: tuple[str, ...]


@attrs.define(frozen=True)
class Unchanged:
    """The configuration equals the stored one, so no revision was made."""

    revision: int


@attrs.define(frozen=True)
class LostRace:
    """Another operator changed the configuration first; nothing was stored.

    Parameters
    ----------
    seen : int
        The revision that this operator saw.
    present : int
        The revision that is stored now.
    winners : tuple of AppliedChange
        Who changed what since then, as far as it is kept.
    """

    seen: int
    present: int
    winners: tuple[AppliedChange, ...]


@attrs.define(frozen=True)
class Unresolved:
    """The platform stopped answering, so it is not known whether it was stored."""

    apply_id: str


ApplyResult = Applied | Unchanged | LostRace | Unresolved


async def fetch_revision(store: ObjectStore) -> Revision:
    """Return the stored configuration.

    Raises
    ------
    StoreUnavailable
        If the platform does not answer.
    ChunkError
        If a chunk is missing or damaged, or the document is not valid.
    """
    manifest, version = await _fetch_manifest(store)
    chunks = {digest: await _fetch_chunk(store, digest) for digest in manifest.chunks}
    return Revision(manifest, version, build_document(chunks))


async def apply_document(
    store: ObjectStore,
    document: Document,
    *,
    seen: int,
    author: str,
    apply_id: str,
) -> ApplyResult:
    """Store a valid document as the revision after the one that the operator saw.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    document : Document
        The new configuration.
    seen : int
        The revision that the operator's text is based on; 0 if there is none yet.
    author : str
        The operator.
    apply_id : str
        Unique identifier of this attempt. Applying again with the same identifier
        resolves an attempt whose answer was lost.

    Raises
    ------
    StoreUnavailable
        If the platform does not answer before anything was written.
    ApplyMismatch
        If an attempt with the same identifier applied another content.
    """
    present = await fetch_revision(store)
    manifest = present.manifest
    chunks = split_document(document)
    if done := manifest.find_apply(apply_id):
        if done.content != compute_content(chunks):
            raise ApplyMismatch(
                f"attempt {apply_id} applied another content as revision "
                f"{done.revision} by {done.author}"
            )
        return Applied(done.revision, done.changes)
    if manifest.revision != seen:
        return _lose_race(seen, manifest)
    if set(chunks) == set(manifest.chunks):
        return Unchanged(manifest.revision)
    for digest in sorted(set(chunks) - set(manifest.chunks)):
        if not await _write_chunk(store, digest, chunks[digest]):
            raise StoreUnavailable("the platform did not take the chunks")
    changes = render_changes(diff_documents(present.document, document))
    following = make_next_manifest(
        manifest, chunks, apply_id=apply_id, author=author, changes=changes
    )
    return await _write_manifest(store, following, present)


async def _write_manifest(
    store: ObjectStore, manifest: Manifest, seen: Revision
) -> ApplyResult:
    """Write until the answer is definite: the condition lets it succeed only once."""
    value = encode_manifest(manifest)
    for _ in range(WRITE_ATTEMPTS):
        result = await store.put(MANIFEST_KIND, MANIFEST_NAME, value, seen.version)
        if result is WriteResult.WRITTEN:
            return Applied(manifest.revision, manifest.history[-1].changes)
        if result is WriteResult.CONFLICT:
            return await _resolve_conflict(store, manifest, seen)
        await asyncio.sleep(store.retry_pause_ms / SECOND_MS)
    return Unresolved(manifest.apply_id)


async def _resolve_conflict(
    store: ObjectStore, manifest: Manifest, seen: Revision
) -> ApplyResult:
    """Tell a lost answer of this attempt from another operator's change."""
    try:
        present, _ = await _fetch_manifest(store)
    except StoreUnavailable:
        return Unresolved(manifest.apply_id)
    done = present.find_apply(manifest.apply_id)
    if done is not None:
        return Applied(done.revision, done.changes)
    return _lose_race(seen.manifest.revision, present)


def _lose_race(seen: int, present: Manifest) -> LostRace:
    winners = (change for change in present.history if change.revision > seen)
    return LostRace(seen, present.revision, tuple(winners))


async def _write_chunk(store: ObjectStore, digest: str, text: str) -> bool:
    """Create a chunk; a conflict means that the same content is there already."""
    for _ in range(WRITE_ATTEMPTS):
        result = await store.put(CHUNK_KIND, digest, encode_chunk(text), 0)
        if result is not WriteResult.UNKNOWN:
            return True
        await asyncio.sleep(store.retry_pause_ms / SECOND_MS)
    return False


async def _fetch_manifest(store: ObjectStore) -> tuple[Manifest, int]:
    found = await store.get(MANIFEST_KIND, MANIFEST_NAME)
    if found is None or found.value is None:
        return EMPTY_MANIFEST, 0
    return decode_manifest(found.value), found.version


async def _fetch_chunk(store: ObjectStore, digest: str) -> str:
    found = await store.get(CHUNK_KIND, digest)
    if found is None:
        raise ChunkError(f"chunk {digest[:12]} is missing")
    return decode_chunk(found.value)
