"""The configuration in force at a node, replaced only by later valid revisions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Final

import attrs

from radishtrack._sealed import open_copy, seal_copy
from radishtrack._validation import Problem
from radishtrack.config._parse import Parts, check_parts, join_parts, read_single_parts
from radishtrack.config.chunk import (
    EMPTY_MANIFEST,
    ChunkError,
    Manifest,
    decode_manifest,
    encode_manifest,
    group_entries,
    parse_chunk,
)
from radishtrack.config.document import Document, make_document
from radishtrack.events import Event, log_event

COPY_KIND: Final = "config"


@attrs.define(frozen=True)
class Accepted:
    """The revision is in force at this node."""

    revision: int


@attrs.define(frozen=True)
class Stale:
    """The revision is not later than the one in force, which stays."""

    revision: int


@attrs.define(frozen=True)
class Rejected:
    """The revision is invalid; the one in force stays."""

    revision: int
    reason: str


AcceptResult = Accepted | Stale | Rejected


@attrs.define
class ConfigurationState:
    """The configuration in force at a node."""

    manifest: Manifest = EMPTY_MANIFEST
    document: Document = attrs.field(factory=lambda: make_document((), (), (), ()))
    texts: dict[str, str] = attrs.field(factory=dict)
    """Chunks of the revision in force, by digest."""
    parts: dict[str, Parts] = attrs.field(factory=dict)
    """The same chunks, parsed; a change then requires parsing only new chunks."""
    version: int = 0
    """Version of the platform object that contained the manifest; 0 if unknown."""
    rejected: int = 0
    """The last rejected revision, so that it is logged only once."""

    @property
    def revision(self) -> int:
        """The revision in force; 0 if there is none."""
        return self.manifest.revision

    def find_missing(self, manifest: Manifest) -> tuple[str, ...]:
        """Return the digests of the chunks that must be fetched for a manifest."""
        return tuple(digest for digest in manifest.chunks if digest not in self.texts)

    def accept(
        self, manifest: Manifest, chunks: Mapping[str, str], version: int = 0
    ) -> AcceptResult:
        """Bring a revision into force if it is later and valid.

        Parameters
        ----------
        manifest : Manifest
            The revision.
        chunks : mapping
            Texts by digest, at least those that `find_missing` returned.
        version : int
            Version of the platform object that contains the manifest; 0 if unknown.
        """
        if not self._is_later(manifest, version):
            if manifest.apply_id == self.manifest.apply_id:
                self.version = max(self.version, version)
            return Stale(manifest.revision)
        texts = {
            digest: self.texts.get(digest) or chunks.get(digest, "")
            for digest in manifest.chunks
        }
        try:
            parts = {
                digest: self.parts.get(digest) or _parse_chunk_parts(digest, text)
                for digest, text in texts.items()
            }
            document = _join_document(parts.values())
        except ChunkError as error:
            return self._reject(manifest.revision, str(error))
        self.manifest, self.document = manifest, document
        self.texts, self.parts = texts, parts
        self.version = version
        log_event(
            Event.CONFIGURATION_ACCEPTED,
            revision=manifest.revision,
            author=manifest.author,
            changes=len(manifest.history[-1].changes) if manifest.history else 0,
        )
        return Accepted(manifest.revision)

    def seal_copy(self, secret: str) -> bytes:
        """Return an authenticated copy for a peer that starts without the platform."""
        value = {
            "manifest": encode_manifest(self.manifest),
            "chunks": self.texts,
            "version": self.version,
        }
        return seal_copy(COPY_KIND, value, secret)

    def accept_copies(self, copies: Iterable[bytes], secret: str) -> AcceptResult:
        """Accept the highest authentic and valid revision among peers' copies."""
        opened = [open_copy(COPY_KIND, data, secret) for data in copies]
        authentic = [value for value in opened if value is not None]
        if len(authentic) < len(opened):
            log_event(
                Event.COPY_REJECTED, kind=COPY_KIND, copies=len(opened) - len(authentic)
            )
        authentic.sort(
            key=lambda value: (_get_version(value), _get_revision(value)), reverse=True
        )
        result: AcceptResult = Stale(self.revision)
        for value in authentic:
            try:
                manifest = decode_manifest(value.get("manifest"))
            except ChunkError as error:
                result = self._reject(_get_revision(value), str(error))
                continue
            chunks = value.get("chunks")
            result = self.accept(
                manifest,
                chunks if isinstance(chunks, dict) else {},
                _get_version(value),
            )
            if isinstance(result, Accepted):
                log_event(Event.CONFIGURATION_COPIED, revision=result.revision)
            if not isinstance(result, Rejected):
                return result
        return result

    def _is_later(self, manifest: Manifest, version: int) -> bool:
        """Return whether a manifest was stored after the one in force.

        A platform that was restored from a backup gives revision numbers out again, so
        versions decide where both are known. It may also list an earlier revision with
        a later version; that one does not come back into force.
        """
        if not version or not self.version:
            return manifest.revision > self.revision
        return version > self.version and not self._is_known(manifest)

    def _is_known(self, manifest: Manifest) -> bool:
        """Return whether a manifest is in the history of the one in force."""
        if manifest.revision > self.revision:
            return False
        history = self.manifest.history
        oldest = history[0].revision if history else self.revision
        return (
            manifest.revision < oldest
            or manifest.chunks == self.manifest.chunks
            or self.manifest.find_attempt(manifest.apply_id) is not None
        )

    def _reject(self, revision: int, reason: str) -> Rejected:
        if revision != self.rejected:
            self.rejected = revision
            log_event(
                Event.CONFIGURATION_REJECTED,
                revision=revision,
                kept=self.revision,
                reason=reason,
            )
        return Rejected(revision, reason)


def make_configuration_state() -> ConfigurationState:
    """Return the state of a node that has no configuration yet."""
    return ConfigurationState()


def build_document(chunks: Mapping[str, str]) -> Document:
    """Return the document that chunks contain.

    Parameters
    ----------
    chunks : mapping
        Texts by digest.

    Raises
    ------
    ChunkError
        If a chunk is damaged or the document is not valid.
    """
    return _join_document(
        _parse_chunk_parts(digest, text) for digest, text in chunks.items()
    )


def _parse_chunk_parts(digest: str, text: str) -> Parts:
    problems: list[Problem] = []
    tables = group_entries(parse_chunk(digest, text))
    parts = read_single_parts(tables, problems)
    _raise_first_problem(problems)
    return parts


def _join_document(chunk_parts: Iterable[Parts]) -> Document:
    problems: list[Problem] = []
    parts = join_parts(chunk_parts)
    check_parts(parts, problems)
    _raise_first_problem(problems)
    return make_document(
        parts.owners, parts.organisations, parts.databases, parts.services
    )


def _raise_first_problem(problems: list[Problem]) -> None:
    if problems:
        first = problems[0]
        raise ChunkError(
            f"{first.key}: expected {first.expected}, found {first.found}"
            f" ({len(problems)} problems in total)"
        )


def _get_version(value: Mapping[str, Any]) -> int:
    version = value.get("version")
    return version if isinstance(version, int) else 0


def _get_revision(value: Mapping[str, Any]) -> int:
    manifest = value.get("manifest")
    revision = manifest.get("revision") if isinstance(manifest, dict) else None
    return revision if isinstance(revision, int) else 0
