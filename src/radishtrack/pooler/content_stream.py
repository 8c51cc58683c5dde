"""Encodes the difference between two contents of the store as compressed bytes.

The bytes are those of zlib; inside are frames of CBOR, each after its length: a header,
and a `TableChange` in each other frame. Both ends work on one frame at a time.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator
from typing import Any, Final

import attrs
import cbor2

from radishtrack.pooler.content_codec import ContentError
from radishtrack.pooler.content_difference import (
    ContentBuilder,
    StoreContent,
    TableChange,
    find_changes,
)
from radishtrack.pooler.pacing import pace
from radishtrack.pooler.store_content import CopyContent

COMPRESSION_LEVEL: Final = 6
LENGTH_BYTES: Final = 4
INPUT_BYTES: Final = 4_096
"""Size of the compressed parts that are decoded at a time."""
MAX_CHANGE_BYTES: Final = 1 << 20
"""Longest frame; it has some hundred rows at most."""
TRANSFER_DIGEST_BYTES: Final = 7
"""Size of the digest that names a transfer; it must fit into a signed integer."""

_MALFORMED: Final = (
    cbor2.CBORDecodeError,
    zlib.error,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    RecursionError,
)


@attrs.frozen
class Bases:
    """Parts of a content that a difference starts from; 0 for an empty part.

    Parameters
    ----------
    catalog : int
        Version of the configuration.
    members, fleet : int
        Digests as in `CopyContent`.
    """

    catalog: int = 0
    members: int = 0
    fleet: int = 0


@attrs.frozen
class ContentHeader:
    """Describes a difference.

    Parameters
    ----------
    content : CopyContent
        The content after the difference.
    bases : Bases
        The content before it.
    catalog_digest : int
        Digest of the rows of the configuration after the difference.
    fleet_revision : int
        Revision of the store for the fleet's records.
    """

    content: CopyContent
    bases: Bases
    catalog_digest: int
    fleet_revision: int


@attrs.frozen
class EncodedContent:
    """A difference as it is sent.

    Parameters
    ----------
    transfer : int
        Names these bytes.
    wanted_bases : Bases
        The content that the receiver has; the difference starts from empty parts where
        the sender does not know it.
    content : CopyContent
        The content after the difference.
    data : bytes
        The bytes.
    """

    transfer: int
    wanted_bases: Bases
    content: CopyContent
    data: bytes


async def encode_difference(
    header: ContentHeader,
    earlier: StoreContent,
    later: StoreContent,
    wanted_bases: Bases,
) -> EncodedContent:
    """Return the difference between two contents, which the header describes."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    data = bytearray()
    async for frame in pace(_encode_frames(header, earlier, later), 1):
        data += compressor.compress(frame)
    data += compressor.flush()
    digest = hashlib.blake2b(data, digest_size=TRANSFER_DIGEST_BYTES).digest()
    transfer = int.from_bytes(digest)
    return EncodedContent(transfer, wanted_bases, header.content, bytes(data))


def _encode_frames(
    header: ContentHeader, earlier: StoreContent, later: StoreContent
) -> Iterator[bytes]:
    """Yield the frames; empty bytes where nothing has changed."""
    yield _encode_frame(
        [
            list(attrs.astuple(header.content)),
            list(attrs.astuple(header.bases)),
            header.catalog_digest,
            header.fleet_revision,
        ]
    )
    for change in find_changes(earlier, later):
        is_empty = not change.rows and not change.removed
        yield b"" if is_empty else _encode_frame(list(attrs.astuple(change)))


def _encode_frame(value: object) -> bytes:
    body = cbor2.dumps(value)
    return len(body).to_bytes(LENGTH_BYTES) + body


def decode_header(data: bytes) -> ContentHeader:
    """Return the header of a difference.

    Raises
    ------
    ContentError
        If it is malformed.
    """
    try:
        return _parse_header(next(_decode_frames(data)))
    except (StopIteration, *_MALFORMED) as error:
        raise ContentError(f"header: {error!r}") from error


async def decode_difference(
    data: bytes, base: StoreContent, base_digest: int
) -> tuple[StoreContent, int]:
    """Return the content after a difference, and the digest of its configuration.

    Parameters
    ----------
    data : bytes
        The bytes of an `EncodedContent`.
    base : StoreContent
        The content from which the difference starts.
    base_digest : int
        Digest of the rows of its configuration.

    Raises
    ------
    ContentError
        If the bytes are malformed.
    """
    builder = ContentBuilder(base, base_digest)
    try:
        frames = _decode_frames(data)
        header = _parse_header(next(frames))
        async for frame in pace(frames, 1):
            builder.apply(TableChange(*frame))
        content = builder.build(header.content.catalog, header.fleet_revision)
    except (StopIteration, *_MALFORMED) as error:
        raise ContentError(f"difference: {error!r}") from error
    return content, builder.catalog_digest


def _parse_header(frame: list[Any]) -> ContentHeader:
    content, bases, catalog_digest, fleet_revision = frame
    numbers = [*content, *bases, catalog_digest, fleet_revision]
    if any(type(number) is not int for number in numbers):
        raise ValueError("a number of the header is not an integer")
    return ContentHeader(CopyContent(*content), Bases(*bases), numbers[-2], numbers[-1])


def _decode_frames(data: bytes) -> Iterator[list[Any]]:
    decompressor = zlib.decompressobj()
    pending = bytearray()
    for start in range(0, len(data), INPUT_BYTES):
        pending += decompressor.decompress(data[start : start + INPUT_BYTES])
        yield from _take_frames(pending)
    if not decompressor.eof or pending:
        raise ValueError("incomplete")


def _take_frames(pending: bytearray) -> Iterator[list[Any]]:
    """Yield the complete frames at the start of `pending`, and remove them."""
    while len(pending) >= LENGTH_BYTES:
        end = LENGTH_BYTES + int.from_bytes(pending[:LENGTH_BYTES])
        if end > MAX_CHANGE_BYTES:
            raise ValueError("a frame is too long")
        if len(pending) < end:
            return
        frame = cbor2.loads(bytes(pending[LENGTH_BYTES:end]))
        del pending[:end]
        if not isinstance(frame, list):
            raise TypeError("a frame is no array")
        yield frame
