"""Content-addressed chunks of a configuration, and the manifest that lists them."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Iterator
from typing import Any, Final

import attrs

from radishtrack.config.document import Document
from radishtrack.config.model import (
    PART_KINDS,
    Database,
    Organisation,
    Owner,
    Route,
    Service,
)

MAX_CHUNK_BYTES: Final = 6_144
"""Chunks above this size are split in two, which makes them 4 KB on average."""

MAX_SPLIT_DEPTH: Final = 64
MAX_HISTORY_ENTRIES: Final = 10
MAX_HISTORY_LINES: Final = 12
MAX_HISTORY_LINE_CHARACTERS: Final = 200

Entry = tuple[str, dict[str, Any]]
"""The kind of a part and its table as in the configuration file."""


class ChunkError(ValueError):
    """Raised if chunks are damaged or do not belong to the manifest."""


@attrs.define(frozen=True)
class AppliedChange:
    """One applied change, as kept in the manifest.

    Parameters
    ----------
    revision : int
        The revision that the change made.
    apply_id : str
        Identifier of the attempt; tells after a lost response whether it took effect.
    author : str
        The operator.
    changes : tuple of str
        The changes, one truncated line each.
    content : str
        Digest of the revision's chunk list.
    """

    revision: int
    apply_id: str
    author: str
    changes: tuple[str, ...]
    content: str


@attrs.define(frozen=True)
class Manifest:
    """The chunks and history of a revision (platform object ``config/manifest``).

    Parameters
    ----------
    revision : int
        Number of the revision; 0 if nothing was applied yet.
    chunks : tuple of str
        Digests of the chunks, sorted.
    history : tuple of AppliedChange
        The last changes, newest last.
    """

    revision: int
    chunks: tuple[str, ...]
    history: tuple[AppliedChange, ...] = ()

    @property
    def apply_id(self) -> str:
        """Identifier of the attempt that made this revision."""
        return self.history[-1].apply_id if self.history else ""

    @property
    def author(self) -> str:
        """The operator who made this revision."""
        return self.history[-1].author if self.history else ""

    def find_attempt(self, apply_id: str) -> AppliedChange | None:
        """Return the change that an attempt made, if it is in the history."""
        matches = (change for change in self.history if change.apply_id == apply_id)
        return next(matches, None)


EMPTY_MANIFEST: Final = Manifest(0, ())


def make_next_manifest(
    manifest: Manifest,
    chunks: Iterable[str],
    *,
    apply_id: str,
    author: str,
    changes: Iterable[str],
) -> Manifest:
    """Return the manifest of the next revision."""
    lines = [line[:MAX_HISTORY_LINE_CHARACTERS] for line in changes]
    if len(lines) > MAX_HISTORY_LINES:
        omitted = len(lines) - MAX_HISTORY_LINES + 1
        lines = [*lines[: MAX_HISTORY_LINES - 1], f"and {omitted} more"]
    revision = manifest.revision + 1
    digests = tuple(sorted(chunks))
    digest = compute_chunk_list_digest(digests)
    change = AppliedChange(revision, apply_id, author, tuple(lines), digest)
    history = (*manifest.history, change)[-MAX_HISTORY_ENTRIES:]
    return Manifest(revision, digests, history)


def compute_chunk_list_digest(chunks: Iterable[str]) -> str:
    """Return a digest of chunk digests; their order is irrelevant."""
    return compute_digest("".join(sorted(chunks)))


def encode_manifest(manifest: Manifest) -> dict[str, Any]:
    """Return the JSON value of a manifest."""
    return {
        "revision": manifest.revision,
        "chunks": list(manifest.chunks),
        "history": [
            {
                "revision": change.revision,
                "apply_id": change.apply_id,
                "author": change.author,
                "changes": list(change.changes),
                "content": change.content,
            }
            for change in manifest.history
        ],
    }


def decode_manifest(value: object) -> Manifest:
    """Return the manifest that a JSON value represents.

    Raises
    ------
    ChunkError
        If the value is not a valid manifest.
    """
    try:
        return _parse_manifest(value)
    except (KeyError, TypeError) as error:
        raise ChunkError(f"invalid manifest: {error!r}") from error


def split_document(document: Document) -> dict[str, str]:
    """Return a document's chunks by digest.

    Entries are split by the bits of the hash of their kind and name until each chunk is
    small enough. The split depends on nothing else, so a change of one entry changes
    one chunk, unless that chunk grows above the limit or two shrink below it.

    Parameters
    ----------
    document : Document
        The document.

    Returns
    -------
    dict
        Canonical JSON texts by their SHA-256 digest in hexadecimal.
    """
    entries = [
        (_hash_entry(entry), json.dumps(entry, sort_keys=True, separators=(",", ":")))
        for entry in list_entries(document)
    ]
    texts = ["[" + ",".join(group) + "]" for group in _split_by_hash(entries, 0)]
    return {compute_digest(text): text for text in texts}


def compute_digest(text: str) -> str:
    """Return the SHA-256 digest of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_chunk(digest: str, text: str) -> tuple[Entry, ...]:
    """Return the entries of a chunk.

    Raises
    ------
    ChunkError
        If the text does not have the digest or is not a chunk.
    """
    if compute_digest(text) != digest:
        raise ChunkError(f"chunk {digest[:12]} does not match its digest")
    try:
        entries = tuple((str(kind), dict(entry)) for kind, entry in json.loads(text))
    except (TypeError, ValueError) as error:
        raise ChunkError(f"chunk {digest[:12]} is not a list of entries") from error
    return entries


def encode_chunk(text: str) -> dict[str, Any]:
    """Return the value of the platform object that holds a chunk."""
    return {"text": text}


def decode_chunk(value: object) -> str:
    """Return the text in a platform object's value; empty if it contains none."""
    text = value.get("text") if isinstance(value, dict) else None
    return text if isinstance(text, str) else ""


def group_entries(entries: Iterable[Entry]) -> dict[str, list[dict[str, Any]]]:
    """Group entries by kind as in parsed TOML, sorted by name."""
    tables: dict[str, list[dict[str, Any]]] = {kind: [] for kind in PART_KINDS}
    for kind, entry in entries:
        tables.setdefault(kind, []).append(entry)
    for parts in tables.values():
        parts.sort(key=lambda entry: str(entry.get("name")))
    return tables


def list_entries(document: Document) -> Iterator[Entry]:
    """Yield every part of a document as in the configuration file."""
    for owner in document.owners.values():
        yield "owner", encode_part(owner)
    for organisation in document.organisations.values():
        yield "organisation", encode_part(organisation)
    for database in document.databases.values():
        yield "database", encode_part(database)
    for service in document.services.values():
        yield "service", encode_part(service)


def encode_part(part: Owner | Organisation | Database | Service) -> dict[str, Any]:
    """Return one part with the keys of the configuration file."""
    if isinstance(part, Database):
        entry = attrs.asdict(part)
        entry["member"] = list(entry.pop("members"))
        return entry
    if isinstance(part, Service):
        return {
            "name": part.name,
            "database": part.database,
            "depends_on": list(part.depends_on),
            "route": [_encode_route(route) for route in part.routes],
        }
    return attrs.asdict(part)


def _encode_route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "tables": list(route.tables),
        "class": route.read_class.value,
        "max_age_ms": route.max_age_ms,
        "open": route.open,
        "statements": list(route.statements),
        "idempotent": route.idempotent,
    }


def _hash_entry(entry: Entry) -> int:
    kind, part = entry
    name = f"{kind}\0{part['name']}".encode()
    return int.from_bytes(hashlib.sha256(name).digest()[: MAX_SPLIT_DEPTH // 8], "big")


def _split_by_hash(entries: list[tuple[int, str]], depth: int) -> Iterator[list[str]]:
    size_bytes = sum(len(text) + 1 for _, text in entries)
    if size_bytes <= MAX_CHUNK_BYTES or len(entries) == 1 or depth == MAX_SPLIT_DEPTH:
        if entries:
            yield sorted(text for _, text in entries)
        return
    bit = 1 << (MAX_SPLIT_DEPTH - 1 - depth)
    yield from _split_by_hash(
        [entry for entry in entries if not entry[0] & bit], depth + 1
    )
    yield from _split_by_hash([entry for entry in entries if entry[0] & bit], depth + 1)


def _parse_manifest(value: Any) -> Manifest:
    revision, chunks = value["revision"], value["chunks"]
    if not isinstance(revision, int) or revision < 1:
        raise TypeError(f"invalid revision {revision!r}")
    if not all(isinstance(digest, str) for digest in chunks):
        raise TypeError("chunk digests are not strings")
    history = tuple(
        AppliedChange(
            change["revision"],
            change["apply_id"],
            change["author"],
            tuple(change["changes"]),
            change["content"],
        )
        for change in value["history"]
    )
    return Manifest(revision, tuple(chunks), history)
