"""Splits a configuration into content-addressed chunks and puts it together again."""

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
"""Splitting in halves at this size leaves chunks of about 4 KB on average."""

MAX_DEPTH: Final = 64
HISTORY_ENTRIES: Final = 10
HISTORY_LINES: Final = 12
HISTORY_LINE_CHARACTERS: Final = 200

Entry = tuple[str, dict[str, Any]]
"""The kind of a part and the part in the form of the operators' text."""


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
        Identifier of the attempt, which resolves a lost answer.
    author : str
        The operator.
    changes : tuple of str
        What changed, one line each, shortened.
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
    """What a revision consists of (platform object ``config/manifest``).

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
        """The attempt that made this revision."""
        return self.history[-1].apply_id if self.history else ""

    @property
    def author(self) -> str:
        """The operator who made this revision."""
        return self.history[-1].author if self.history else ""

    def find_apply(self, apply_id: str) -> AppliedChange | None:
        """Return the change that an attempt made, if it took effect recently."""
        found = (change for change in self.history if change.apply_id == apply_id)
        return next(found, None)


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
    lines = [line[:HISTORY_LINE_CHARACTERS] for line in changes]
    if len(lines) > HISTORY_LINES:
        hidden = len(lines) - HISTORY_LINES + 1
        lines = [*lines[: HISTORY_LINES - 1], f"and {hidden} more"]
    revision = manifest.revision + 1
    digests = tuple(sorted(chunks))
    content = compute_content(digests)
    change = AppliedChange(revision, apply_id, author, tuple(lines), content)
    history = (*manifest.history, change)[-HISTORY_ENTRIES:]
    return Manifest(revision, digests, history)


def compute_content(chunks: Iterable[str]) -> str:
    """Return a digest of a list of chunk digests, in any order."""
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
    """Return the manifest of a JSON value.

    Raises
    ------
    ChunkError
        If it is not the value of a manifest.
    """
    try:
        return _read_manifest(value)
    except (KeyError, TypeError) as error:
        raise ChunkError(f"not a manifest: {error!r}") from error


def split_document(document: Document) -> dict[str, str]:
    """Return a document's chunks by digest.

    Entries are divided by the bits of the hash of their kind and name until a part is
    small enough. The division depends on nothing else, so a change of one entry
    changes one chunk, unless that chunk grows over the limit or two shrink below it.

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
    texts = ["[" + ",".join(group) + "]" for group in _divide(entries, 0)]
    return {compute_digest(text): text for text in texts}


def compute_digest(text: str) -> str:
    """Return the SHA-256 digest of a chunk in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def read_chunk(digest: str, text: str) -> tuple[Entry, ...]:
    """Return the entries of a chunk.

    Raises
    ------
    ChunkError
        If the text does not have the digest or is not a chunk.
    """
    if compute_digest(text) != digest:
        raise ChunkError(f"chunk {digest[:12]} has other content than its digest says")
    try:
        entries = tuple((str(kind), dict(entry)) for kind, entry in json.loads(text))
    except (TypeError, ValueError) as error:
        raise ChunkError(f"chunk {digest[:12]} is not a list of entries") from error
    return entries


def encode_chunk(text: str) -> dict[str, Any]:
    """Return the value of the platform object that holds a chunk."""
    return {"text": text}


def decode_chunk(value: object) -> str:
    """Return the text of a platform object's value; empty if it is none."""
    text = value.get("text") if isinstance(value, dict) else None
    return text if isinstance(text, str) else ""


def join_entries(entries: Iterable[Entry]) -> dict[str, list[dict[str, Any]]]:
    """Return entries in the form of a parsed text, sorted by name."""
    content: dict[str, list[dict[str, Any]]] = {kind: [] for kind in PART_KINDS}
    for kind, entry in entries:
        content.setdefault(kind, []).append(entry)
    for parts in content.values():
        parts.sort(key=lambda entry: str(entry.get("name")))
    return content


def list_entries(document: Document) -> Iterator[Entry]:
    """Yield every part of a document in the form of the operators' text."""
    for owner in document.owners.values():
        yield "owner", encode_part(owner)
    for organisation in document.organisations.values():
        yield "organisation", encode_part(organisation)
    for database in document.databases.values():
        yield "database", encode_part(database)
    for service in document.services.values():
        yield "service", encode_part(service)


def encode_part(part: Owner | Organisation | Database | Service) -> dict[str, Any]:
    """Return one part with the keys of the operators' text."""
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
    return int.from_bytes(hashlib.sha256(name).digest()[: MAX_DEPTH // 8], "big")


def _divide(entries: list[tuple[int, str]], depth: int) -> Iterator[list[str]]:
    size = sum(len(text) + 1 for _, text in entries)
    if size <= MAX_CHUNK_BYTES or len(entries) == 1 or depth == MAX_DEPTH:
        if entries:
            yield sorted(text for _, text in entries)
        return
    bit = 1 << (MAX_DEPTH - 1 - depth)
    yield from _divide([entry for entry in entries if not entry[0] & bit], depth + 1)
    yield from _divide([entry for entry in entries if entry[0] & bit], depth + 1)


def _read_manifest(value: Any) -> Manifest:
    revision, chunks = value["revision"], value["chunks"]
    if not isinstance(revision, int) or revision < 1:
        raise TypeError(f"revision {revision!r}")
    if not all(isinstance(digest, str) for digest in chunks):
        raise TypeError("chunks are not texts")
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
