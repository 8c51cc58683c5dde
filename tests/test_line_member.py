"""Checks the stand-in member against the rules of the line protocol."""

from __future__ import annotations

import pytest

from radishtrack_standins.line_member import LineMember, read_lacks_position


@pytest.mark.parametrize(
    ("position", "is_lacking"),
    [
        ("1.402", False),
        ("1.403", True),
        ("2.373", True),
        ("2.402", True),
        ("0.9", False),
    ],
)
def test_a_position_of_a_later_term_is_lacking(position: str, is_lacking: bool) -> None:
    """Reads after a write of term 2 ran on a member of term 1 with a longer log."""
    member = LineMember("strekk", "i-1", "replica", term=1, received=402, applied=402)
    assert read_lacks_position(member, position) is is_lacking


def test_a_rolled_back_position_of_an_earlier_term_is_lacking() -> None:
    member = LineMember("strekk", "i-1", "replica", term=2, received=373, applied=373)
    assert read_lacks_position(member, "1.402")
