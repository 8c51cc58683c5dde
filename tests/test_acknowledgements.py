"""Guards what a promoter concludes from the commits that nodes have acknowledged."""

from __future__ import annotations

import math

import pytest

from radishtrack.pooler.acknowledgements import (
    AcknowledgedRange,
    FleetAcknowledgements,
    NodeAcknowledgements,
    locate_commit,
    merge_acknowledgements,
)
from radishtrack.pooler.order_mark import (
    get_order_term,
    is_order_given,
    make_next_mark,
    make_void_mark,
)
from radishtrack.session.position import Position


@pytest.mark.parametrize(
    ("before", "after", "least", "most"),
    [
        (Position(3, 7), Position(3, 8), Position(3, 8), Position(3, 8)),
        # Others have committed since, and may not be acknowledged.
        (Position(3, 7), Position(3, 12), Position(3, 8), Position(3, 12)),
        # The member may have discarded what it had in an earlier term.
        (Position(2, 90), Position(3, 8), Position(3, 0), Position(3, 8)),
        (None, Position(3, 8), Position(3, 0), Position(3, 8)),
        (Position(3, 7), None, Position(3, 8), Position(3, 8)),
        (Position(3, 9), Position(3, 8), Position(3, 8), Position(3, 8)),
    ],
)
def test_a_commit_is_located_by_the_positions_around_it(
    before: Position | None, after: Position | None, least: Position, most: Position
) -> None:
    assert locate_commit(3, before, after) == AcknowledgedRange(least, most)


def make_fleet(*nodes: tuple[int, int, float]) -> FleetAcknowledgements:
    """Return what nodes tell by least and most number in term 1, and their start."""
    return merge_acknowledgements(
        NodeAcknowledgements(
            AcknowledgedRange(Position(1, least), Position(1, most)), since_ms
        )
        for least, most, since_ms in nodes
    )


def test_a_log_that_lacks_a_commit_of_any_node_is_excluded() -> None:
    fleet = make_fleet((5, 9, 0.0), (7, 7, 0.0))
    assert fleet.excludes(Position(1, 6))
    assert not fleet.excludes(Position(1, 7))


def test_a_log_is_covered_only_up_to_the_upper_bound() -> None:
    fleet = make_fleet((5, 9, 100.0), (7, 7, 200.0))
    assert fleet.is_covered(Position(1, 9), 200.0)
    assert not fleet.is_covered(Position(1, 8), 200.0)


def test_a_node_that_started_later_may_follow_one_that_acknowledged_more() -> None:
    assert not make_fleet((5, 5, 300.0)).is_covered(Position(1, 9), 200.0)


def test_a_silent_node_may_have_acknowledged_more() -> None:
    assert not make_fleet((5, 5, 0.0), (0, 0, math.inf)).is_covered(Position(1, 9), 1e9)


def test_marks_grow_with_each_order_and_when_one_is_void() -> None:
    mark = make_next_mark(4, 0)
    assert get_order_term(mark) == 4 and is_order_given(mark)
    void = make_void_mark(mark)
    assert void > mark and not is_order_given(void)
    for last in (mark, void):
        following = make_next_mark(4, last)
        assert following > last and is_order_given(following)
        assert get_order_term(following) == 4
    assert get_order_term(make_next_mark(5, void)) == 5
