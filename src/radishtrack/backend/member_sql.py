"""Group statements, status rows and error codes of members, kept only here."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from radishtrack.group.status import MemberStatus, Role
from radishtrack.session.position import Position

SYNTAX_ERROR: Final = 1064
DUPLICATE_KEY_ERROR: Final = 1062
NO_SUCH_TABLE_ERROR: Final = 1146
LOCK_WAIT_TIMEOUT_ERROR: Final = 1205
TOO_MANY_CONNECTIONS_ERROR: Final = 1040
READ_ONLY_ERROR: Final = 1290
"""The member is a replica, or a primary fenced for a higher term."""
STALE_TERM_ERROR: Final = 1644
"""A group statement with a lower term than the member is fenced for."""

STATUS_SQL: Final = (
    "SELECT member, term, fenced_term, role, position_term, position_sequence"
    " FROM performance_schema.database_group_status"
)


def fence_sql(term: int) -> str:
    """Return the statement that fences a member against all terms below `term`."""
    return f"CALL sys.group_fence({term:d})"


def promote_sql(term: int) -> str:
    """Return the statement that makes a member the primary of `term`."""
    return f"CALL sys.group_promote({term:d})"


def follow_sql(term: int, host: str, port: int, start_sequence: int) -> str:
    """Return the statement that makes a member a replica in `term`.

    Parameters
    ----------
    term : int
        The term to follow.
    host, port : str, int
        Address of the term's primary.
    start_sequence : int
        Sequence at which the term began; the member discards log entries of lower
        terms beyond it.

    Raises
    ------
    ValueError
        If the host contains a quote or a backslash.
    """
    if "'" in host or "\\" in host:
        raise ValueError(f"host {host!r} contains a quote or a backslash")
    return f"CALL sys.group_follow({term:d}, '{host}', {port:d}, {start_sequence:d})"


def parse_status(row: Sequence[object]) -> MemberStatus:
    """Return the status in a row of `STATUS_SQL` or of a group statement.

    Raises
    ------
    ValueError
        If the row has another number of fields or an unknown role.
    """
    member, term, fenced_term, role, position_term, position_sequence = row
    return MemberStatus(
        member=str(member),
        term=int(str(term)),
        fenced_term=int(str(fenced_term)),
        role=Role(str(role)),
        position=Position(int(str(position_term)), int(str(position_sequence))),
    )
