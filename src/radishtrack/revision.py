"""Revisions of the store that keep their order when it comes back from a backup.

The store then gives out revisions again, so one of them neither identifies a state of
the store nor tells which of two states is later. Its era rises with each restore. The
Revisions in this program are numbers that are ordered by the era first, and then by the
store's own revision.
"""

from __future__ import annotations

from typing import Final

NUMBER_BITS: Final = 36
"""Bits of the store's own revision: several years of writes at its highest rate. The
rest leaves 131,072 eras within the integers that JSON numbers represent exactly."""
NUMBER_MASK: Final = (1 << NUMBER_BITS) - 1
NO_REVISION: Final = -1
"""Revision of a copy before its first read."""


def make_revision(era: int, number: int) -> int:
    """Return the revision for the store's own revision `number` in an era.

    Raises
    ------
    ValueError
        If a number is out of range.
    """
    if era < 0 or not 0 <= number <= NUMBER_MASK:
        raise ValueError(f"no revision of a store: {number} in era {era}")
    return era << NUMBER_BITS | number


def get_era(revision: int) -> int:
    """Return the era of a revision; -1 for `NO_REVISION`."""
    return revision >> NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the store's own revision; -1 for `NO_REVISION`."""
    return NO_REVISION if revision == NO_REVISION else revision & NUMBER_MASK
