"""Guards which group record a holder keeps when the platform lists another one."""

from __future__ import annotations

from typing import Any, cast

import attrs

from radishtrack.group.record import GroupRecord
from radishtrack.group.status import Group
from radishtrack.proxy.slots import Slots
from radishtrack.revision import make_revision
from radishtrack.session.position import TermStart

DATABASE = "strekk-db"


class Recorder:
    """Records what a promoter is asked to do."""

    def __init__(self) -> None:
        self.restored: list[int] = []

    def restore_record(self, version: int) -> None:
        self.restored.append(version)

    def update_record(self, record: GroupRecord) -> None:
        raise AssertionError(f"term {record.group.term} replaced a later one")


def make_record(term: int, version: int) -> GroupRecord:
    history = (TermStart(term, 0),)
    return GroupRecord(Group(DATABASE, version, term, "a", ("a",), history), {})


def test_a_record_of_an_earlier_term_does_not_replace_the_known_one() -> None:
    """A restored platform listed the replaced primary with a newer version."""
    unused = cast(Any, None)
    slots = Slots(unused, unused, unused, unused, unused, unused)
    slots.holder = cast(Any, type("Holder", (), {"databases": {}}))
    slots.update_record(make_record(2, make_revision(1, 9)))
    promoter = Recorder()
    slots.promoters[DATABASE] = cast(Any, promoter)
    slots.update_record(make_record(1, make_revision(2, 7)))
    assert slots.records[DATABASE].group.term == 2
    assert promoter.restored == [make_revision(2, 7)]


def test_members_that_operators_replaced_count_until_the_term_ends() -> None:
    """Within the term, commits of the replaced member were left to the new list."""
    unused = cast(Any, None)
    slots = Slots(unused, unused, unused, unused, unused, unused)
    slots.holder = cast(Any, type("Holder", (), {"databases": {}}))
    known = make_record(2, 9)
    slots.update_record(known)
    listed = attrs.evolve(make_record(2, 10).group, members=("a", "b"))
    slots.update_record(GroupRecord(listed, {}, has_term_members=False))
    group = slots.records[DATABASE].group
    assert (group.version, group.members, group.next_members) == (
        10,
        ("a",),
        ("a", "b"),
    )
    slots.update_record(GroupRecord(attrs.evolve(listed, term=3, version=11), {}))
    assert slots.records[DATABASE].group.members == ("a", "b")
