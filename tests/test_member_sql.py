"""Guards the text of group statements and the parsing of status rows."""

from __future__ import annotations

import pytest

from radishtrack.backend.member_sql import (
    fence_sql,
    follow_sql,
    parse_status,
    promote_sql,
)
from radishtrack.group.status import MemberStatus, Role
from radishtrack.session.position import Position


def test_statements_name_term_and_source() -> None:
    assert fence_sql(3) == "CALL sys.group_fence(3)"
    assert promote_sql(3) == "CALL sys.group_promote(3)"
    expected = "CALL sys.group_follow(3, 'db1.example', 3306, 41)"
    assert follow_sql(3, "db1.example", 3306, 41) == expected


@pytest.mark.parametrize("host", ["a'b", "a\\"])
def test_a_host_cannot_end_the_string_literal(host: str) -> None:
    with pytest.raises(ValueError, match="host"):
        follow_sql(3, host, 3306, 41)


def test_a_status_row_is_parsed_from_numbers_and_from_text() -> None:
    expected = MemberStatus("M1", 2, 3, Role.REPLICA, Position(1, 40))
    assert parse_status(("M1", 2, 3, "replica", 1, 40)) == expected
    assert parse_status(("M1", "2", "3", "replica", "1", "40")) == expected


@pytest.mark.parametrize("row", [("M1", 2), ("M1", 2, 3, "leader", 1, 40)])
def test_a_malformed_status_row_is_an_error(row: tuple[object, ...]) -> None:
    with pytest.raises(ValueError):
        parse_status(row)
