"""Transfers encoded content in pages, each requested after the one before has arrived.

One page in flight bounds what a transfer adds to the delay of other traffic of a small
link, and a lost page costs that page only.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.peer.messages import Content, ContentPage
from radishtrack.pooler.content_codec import (
    decode_catalog,
    decode_fleet,
    decode_members,
)
from radishtrack.pooler.content_difference import StoreContent
from radishtrack.pooler.content_stream import Bases, EncodedContent
from radishtrack.pooler.store_content import CopyContent

PAGE_BYTES: Final = 16_384
MAX_ENCODED: Final = 16
"""Number of encodings that are kept for receivers that have part of one."""
NO_TRANSFER: Final = 0
"""Stands for a transfer that has not begun."""
NOT_CURRENT: Final = -1.0
"""Stands for the age of content that the sender's copy no longer equals."""


class PageState(enum.Enum):
    """What a `ContentPage` has."""

    DATA = "data"
    PENDING = "pending"
    """The sender does not have the wanted content yet."""
    UNAVAILABLE = "unavailable"
    """The same, and the sender does not reach the store either."""


@attrs.define(eq=False)
class IncomingContent:
    """Pages of one content that have arrived."""

    transfer: int = NO_TRANSFER
    size: int = 0
    data: bytearray = attrs.field(factory=bytearray)
    confirmed_ms: float = -math.inf
    """Latest time at which the content is known to have equalled the store."""

    @property
    def is_complete(self) -> bool:
        """Whether all pages have arrived."""
        return self.transfer != NO_TRANSFER and len(self.data) >= self.size

    def accept(self, page: ContentPage, requested_ms: float) -> bool:
        """Take the data of a page that was requested at a time.

        Returns
        -------
        bool
            False for a page of data that adds nothing.
        """
        if page.state != PageState.DATA.value:
            return True
        if page.transfer != self.transfer:
            # The sender no longer had the content, and begins with what it has.
            self.transfer, self.size = page.transfer, page.size
            self.data.clear()
            self.confirmed_ms = -math.inf
        if page.offset != len(self.data) or not page.data:
            return False
        self.data += page.data
        if page.confirmed_age_ms >= 0:
            self.confirmed_ms = max(
                self.confirmed_ms, requested_ms - page.confirmed_age_ms
            )
        return True


@attrs.define(eq=False)
class EncodedContents:
    """The encodings that a node has sent last, the least recently used first."""

    encoded: list[EncodedContent] = attrs.field(factory=list)

    def add(self, encoded: EncodedContent) -> None:
        """Keep an encoding, and forget the least recently used one."""
        self.encoded.append(encoded)
        del self.encoded[:-MAX_ENCODED]

    def find_transfer(self, transfer: int) -> EncodedContent | None:
        """Return the encoding with a name; None if it is not kept."""
        return self._use(lambda encoded: encoded.transfer == transfer)

    def find_difference(
        self, bases: Bases, content: CopyContent
    ) -> EncodedContent | None:
        """Return the difference from bases to content, whatever its revision is."""

        def is_wanted(encoded: EncodedContent) -> bool:
            present = attrs.evolve(encoded.content, revision=content.revision)
            return encoded.wanted_bases == bases and present == content

        return self._use(is_wanted)

    def _use(
        self, is_wanted: Callable[[EncodedContent], bool]
    ) -> EncodedContent | None:
        found = next(filter(is_wanted, self.encoded), None)
        if found is not None:
            self.encoded.remove(found)
            self.encoded.append(found)
        return found


@attrs.frozen
class ReceivedContent:
    """Content that another node has sent.

    Parameters
    ----------
    content : CopyContent
        Describes it, as it was confirmed.
    parts : StoreContent
        The content itself.
    catalog_digest : int
        Digest of the rows of its configuration.
    confirmed_ms : float
        Latest time at which it is known to have equalled the store.
    """

    content: CopyContent
    parts: StoreContent
    catalog_digest: int
    confirmed_ms: float


def decode_content(message: Content, present: StoreContent) -> StoreContent:
    """Return the content that a node of an earlier version has sent.

    Parameters
    ----------
    message : Content
        The message, in which unchanged parts are empty.
    present : StoreContent
        This node's copy, which has these.

    Raises
    ------
    ContentError
        If a part is malformed.
    """
    content = present
    if message.catalog:
        content = attrs.evolve(content, catalog=decode_catalog(message.catalog))
    if message.members:
        members, zones = decode_members(message.members)
        content = attrs.evolve(content, members=members, zones=zones)
    if message.fleet:
        content = attrs.evolve(content, fleet=decode_fleet(message.fleet))
    return content


def make_page(
    request: int, encoded: EncodedContent, offset: int, confirmed_age_ms: float
) -> ContentPage:
    """Return the page of an encoding at an offset.

    Parameters
    ----------
    request : int
        Number of the request.
    encoded : EncodedContent
        The encoding.
    offset : int
        Where the page begins.
    confirmed_age_ms : float
        Age in milliseconds of the copy with this content, or `NOT_CURRENT`.
    """
    return ContentPage(
        request,
        PageState.DATA.value,
        encoded.transfer,
        len(encoded.data),
        offset,
        encoded.data[offset : offset + PAGE_BYTES],
        confirmed_age_ms,
    )


def make_empty_page(request: int, has_store: bool) -> ContentPage:
    """Return the response of a node that does not have the wanted content yet.

    Parameters
    ----------
    request : int
        Number of the request.
    has_store : bool
        Whether the node reaches the store.
    """
    state = PageState.PENDING if has_store else PageState.UNAVAILABLE
    return ContentPage(request, state.value, NO_TRANSFER, 0, 0, b"", NOT_CURRENT)
