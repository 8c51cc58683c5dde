"""Guards which group record a holder keeps when the platform lists another one."""

from __future__ import annotations

from typing import Any, cast

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
