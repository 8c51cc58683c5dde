"""Order of log positions across promotions."""

from __future__ import annotations

import itertools

import pytest

from radishtrack.session.position import Position, TermStart, is_contained

HISTORY = (TermStart(1, 0), TermStart(2, 10), TermStart(3, 15))


@pytest.mark.parametrize(
    ("position", "term", "expected"),
    [
        (Position(1, 10), 2, True),
        (Position(1, 11), 2, False),
        (Position(1, 11), 1, True),
        (Position(2, 15), 3, True),
        (Position(2, 16), 3, False),
        (Position(3, 16), 2, False),
    ],
)
def test_positions_discarded_by_a_promotion_are_not_contained(
    position: Position, term: int, expected: bool
) -> None:
    assert is_contained(position, term, HISTORY) is expected


@pytest.mark.parametrize("first", list(itertools.product((1, 2, 3), (1, 5, 9))))
@pytest.mark.parametrize("second", list(itertools.product((1, 2, 3), (1, 5, 9))))
def test_positions_are_ordered_by_term_and_then_by_sequence(
    first: tuple[int, int], second: tuple[int, int]
) -> None:
    """A promotion starts a new term whose positions are all later."""
    left, right = Position(*first), Position(*second)
    assert (left < right) is (first < second)
    assert (left <= right) is (first <= second)
    assert (left > right) is (first > second)
    assert (left >= right) is (first >= second)
    assert (left == right) is (first == second)
