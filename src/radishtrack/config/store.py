"""Stores configurations on the platform, with optimistic concurrency control."""

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
    compute_chunk_list_digest,
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

MAX_WRITE_ATTEMPTS: Final = 5
MS_PER_S: Final = 1_000.0


class WriteResult(enum.Enum):
    """Result of a conditional write; unknown if the response was lost."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@attrs.define(frozen=True)
class StoredObject:
    """A platform object."""

    version: int
    value: Any


class StoreUnavailable(Exception):
    """Raised if the platform does not respond, or all attempts to write fail."""


class ApplyMismatch(ValueError):
    """Raised if an attempt is repeated with a different configuration."""


@attrs.define(frozen=True)
class ObjectStore:
    """The platform operations for reading and writing objects.

    Parameters
    ----------
    get : callable
        Takes kind and name; returns the object or None; raises `StoreUnavailable`.
    put : callable
        Takes kind, name, value and expected version (0: must not exist); returns a
        `WriteResult`.
    retry_pause_ms : float
        Pause before a write is retried, in milliseconds.
    """

    get: Callable[[str, str], Awaitable[StoredObject | None]]
    put: Callable[[str, str, Any, int], Awaitable[WriteResult]]
    retry_pause_ms: float = 200.0


@attrs.define(frozen=True)
class Revision:
    """The stored configuration; revision 0 is empty."""

    manifest: Manifest
    version: int
    """Version of the manifest's object, for conditional updates."""
    document: Document


@attrs.define(frozen=True)
class Applied:
    """The configuration was stored as this revision."""

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
        The revision on which this operator's change is based.
    present : int
        The revision that is stored.
    winners : tuple of AppliedChange
        The changes since `seen` that are still in the history.
    """

    seen: int
    present: int
    winners: tuple[AppliedChange, ...]


@attrs.define(frozen=True)
class Unresolved:
    """The platform stopped responding; the configuration may be stored or not."""

    apply_id: str


ApplyResult = Applied | Unchanged | LostRace | Unresolved


async def fetch_revision(store: ObjectStore) -> Revision:
    """Return the stored configuration.

    Raises
    ------
    StoreUnavailable
        If the platform does not respond.
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
    """Store a valid document as the revision after `seen`.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    document : Document
        The new configuration.
    seen : int
        The revision on which the document is based; 0 if there is none yet.
    author : str
        The operator.
    apply_id : str
        Unique identifier of this attempt. Applying again with the same identifier
        resolves an attempt whose response was lost; it is not stored twice.

    Raises
    ------
    StoreUnavailable
        If the platform does not respond before the manifest is written.
    ApplyMismatch
        If an attempt with the same identifier applied a different configuration.
    """
    present = await fetch_revision(store)
    manifest = present.manifest
    chunks = split_document(document)
    if applied := manifest.find_attempt(apply_id):
        if applied.content != compute_chunk_list_digest(chunks):
            raise ApplyMismatch(
                f"attempt {apply_id} applied a different configuration as revision "
                f"{applied.revision} by {applied.author}"
            )
        return Applied(applied.revision, applied.changes)
    if manifest.revision != seen:
        return _make_lost_race(seen, manifest)
    if set(chunks) == set(manifest.chunks):
        return Unchanged(manifest.revision)
    for digest in sorted(set(chunks) - set(manifest.chunks)):
        if not await _write_chunk(store, digest, chunks[digest]):
            raise StoreUnavailable("the platform did not confirm the write of a chunk")
    changes = render_changes(diff_documents(present.document, document))
    next_manifest = make_next_manifest(
        manifest, chunks, apply_id=apply_id, author=author, changes=changes
    )
    return await _write_manifest(store, next_manifest, present)


async def _write_manifest(
    store: ObjectStore, manifest: Manifest, base: Revision
) -> ApplyResult:
    """Retry until the result is known; the condition lets the write succeed once."""
    value = encode_manifest(manifest)
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = await store.put(MANIFEST_KIND, MANIFEST_NAME, value, base.version)
        if result is WriteResult.WRITTEN:
            return Applied(manifest.revision, manifest.history[-1].changes)
        if result is WriteResult.CONFLICT:
            return await _resolve_conflict(store, manifest, base)
        await asyncio.sleep(store.retry_pause_ms / MS_PER_S)
    return Unresolved(manifest.apply_id)


async def _resolve_conflict(
    store: ObjectStore, manifest: Manifest, base: Revision
) -> ApplyResult:
    """Distinguish a lost response to this attempt from another operator's change."""
    try:
        present, _ = await _fetch_manifest(store)
    except StoreUnavailable:
        return Unresolved(manifest.apply_id)
    applied = present.find_attempt(manifest.apply_id)
    if applied is not None:
        return Applied(applied.revision, applied.changes)
    return _make_lost_race(base.manifest.revision, present)


def _make_lost_race(seen: int, present: Manifest) -> LostRace:
    winners = (change for change in present.history if change.revision > seen)
    return LostRace(seen, present.revision, tuple(winners))


async def _write_chunk(store: ObjectStore, digest: str, text: str) -> bool:
    """Create a chunk; a conflict means that the same chunk exists already."""
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = await store.put(CHUNK_KIND, digest, encode_chunk(text), 0)
        if result is not WriteResult.UNKNOWN:
            return True
        await asyncio.sleep(store.retry_pause_ms / MS_PER_S)
    return False


async def _fetch_manifest(store: ObjectStore) -> tuple[Manifest, int]:
    stored = await store.get(MANIFEST_KIND, MANIFEST_NAME)
    if stored is None or stored.value is None:
        return EMPTY_MANIFEST, 0
    return decode_manifest(stored.value), stored.version


async def _fetch_chunk(store: ObjectStore, digest: str) -> str:
    stored = await store.get(CHUNK_KIND, digest)
    if stored is None:
        raise ChunkError(f"chunk {digest[:12]} is missing")
    return decode_chunk(stored.value)
