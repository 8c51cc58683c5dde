"""Log positions and the history of terms."""

from __future__ import annotations

import attrs


@attrs.define(frozen=True)
class Position:
    """A position in a database group's log.

    Parameters
    ----------
    term : int
        The term in which the last change was committed.
    sequence : int
        Number of changes in the log; continues across terms.
    """

    term: int
    sequence: int

    # Written by hand for speed: each statement compares some twenty positions, and the
    # methods that attrs generates build two tuples by reflection each time.
    def __lt__(self, other: Position) -> bool:
        if self.term == other.term:
            return self.sequence < other.sequence
        return self.term < other.term

    def __le__(self, other: Position) -> bool:
        if self.term == other.term:
            return self.sequence <= other.sequence
        return self.term < other.term

    def __gt__(self, other: Position) -> bool:
        return other < self

    def __ge__(self, other: Position) -> bool:
        return other <= self


@attrs.define(frozen=True)
class TermStart:
    """The log length at which a term began.

    Parameters
    ----------
    term : int
        The term.
    sequence : int
        Sequence of the last change before the term.
    """

    term: int
    sequence: int


History = tuple[TermStart, ...]


def is_contained(position: Position, term: int, history: History) -> bool:
    """Return whether the log of `term` contains a position.

    Parameters
    ----------
    position : Position
        The position to look for.
    term : int
        The term of the log.
    history : tuple of TermStart
        The starts of all terms so far.

    Returns
    -------
    bool
        False if the position was discarded by a later promotion, or lies in a term
        after `term`.
    """
    if position.term > term:
        return False
    later = (start for start in history if position.term < start.term <= term)
    return all(position.sequence <= start.sequence for start in later)
