"""Guards against a planned change of primary that is not needed or loses commits."""

from __future__ import annotations

import attrs
import pytest

from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.group.switchover import has_caught_up, should_switch_over
from radishtrack.session.position import Position

GROUP = Group("d", 1, 3, "m1", ("m1", "m2", "m3"))
LEAVING = frozenset({"m1"})


def make_status(
    member: str, sequence: int, *, term: int = 3, fenced: int = 3
) -> MemberStatus:
    role = Role.PRIMARY if member == "m1" else Role.REPLICA
    return MemberStatus(member, term, fenced, role, Position(3, sequence))


NORMAL = (make_status("m1", 100), make_status("m2", 90), make_status("m3", 80))


@pytest.mark.parametrize(
    ("statuses", "leaving", "rank", "expected"),
    [
        (NORMAL, LEAVING, 0, True),
        (NORMAL, LEAVING, 1, False),
        (NORMAL, frozenset(), 0, False),
        (NORMAL, frozenset({"m2"}), 0, False),
        (NORMAL, frozenset({"m1", "m2", "m3"}), 0, False),
        (NORMAL[1:], LEAVING, 0, False),
        ((make_status("m1", 100, fenced=4), *NORMAL[1:]), LEAVING, 0, False),
        ((NORMAL[0], make_status("m2", 90, term=2, fenced=2)), LEAVING, 0, False),
        ((make_status("m1", 5000), *NORMAL[1:]), LEAVING, 0, False),
    ],
    ids=[
        "leaving primary",
        "another node starts",
        "no member leaves",
        "only a replica leaves",
        "no member stays",
        "primary unresponsive",
        "already fenced",
        "replica of an earlier term",
        "replicas too far behind",
    ],
)
def test_conditions_for_a_switchover(
    statuses: tuple[MemberStatus, ...],
    leaving: frozenset[str],
    rank: int,
    expected: bool,
) -> None:
    assert should_switch_over(GROUP, statuses, leaving, rank) is expected


@pytest.mark.parametrize(
    ("replica", "leaving", "expected"),
    [
        (make_status("m2", 100), LEAVING, True),
        (make_status("m2", 99), LEAVING, False),
        (make_status("m2", 100), LEAVING | {"m2"}, False),
        (make_status("m2", 100, term=2), LEAVING, False),
    ],
    ids=["has the whole log", "behind", "leaves too", "of an earlier term"],
)
def test_successor_has_the_whole_log(
    replica: MemberStatus, leaving: frozenset[str], expected: bool
) -> None:
    fenced = make_status("m1", 100, fenced=4)
    assert has_caught_up(fenced, GROUP, (fenced, replica), leaving) is expected


CHANGED = attrs.evolve(GROUP, next_members=("m1", "m3", "m4"))


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        ((*NORMAL, make_status("m4", 0)), True),
        ((*NORMAL[:2], make_status("m4", 70)), True),
        (NORMAL[:2], False),
        ((*NORMAL[:2], make_status("m4", 100, term=2, fenced=2)), False),
        (NORMAL[1:], False),
    ],
    ids=["one stays", "a new one", "none", "not joined", "primary unresponsive"],
)
def test_conditions_for_a_change_of_members(
    statuses: tuple[MemberStatus, ...], expected: bool
) -> None:
    assert should_switch_over(CHANGED, statuses, frozenset(), 0) is expected
    assert not should_switch_over(CHANGED, statuses, frozenset(), 1)


@pytest.mark.parametrize(("member", "expected"), [("m2", False), ("m3", True)])
def test_members_change_once_two_of_three_have_the_log(
    member: str, expected: bool
) -> None:
    fenced = make_status("m1", 100, fenced=4)
    caught_up = has_caught_up(
        fenced, CHANGED, [fenced, make_status(member, 100)], frozenset()
    )
    assert caught_up is expected
