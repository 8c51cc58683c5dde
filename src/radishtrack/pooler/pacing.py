"""Lets other tasks run while many items are worked on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import Final, TypeVar

ROWS_PER_SLICE: Final = 200
"""Number of rows after which other tasks run; a row takes some microseconds."""

_T = TypeVar("_T")


async def pace(
    items: Iterable[_T], per_slice: int = ROWS_PER_SLICE
) -> AsyncIterator[_T]:
    """Yield items, and let other tasks run after each slice of them.

    Parameters
    ----------
    items : iterable
        The items; a generator does its work between the pauses.
    per_slice : int
        Number of items in a slice.
    """
    for number, item in enumerate(items, 1):
        yield item
        if number % per_slice == 0:
            await asyncio.sleep(0)
