"""Guards the copies that a starting node accepts while the platform is down."""

from __future__ import annotations

from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.group.record import GroupRecord
from radishtrack.group.status import Group
from radishtrack.membership.nodes import Node
from radishtrack.proxy.fleet_copy import FleetCopy, open_fleet, seal_fleet
from radishtrack.session.position import TermStart

SECRET = "secret of the fleet"
NODES = (Node("p1", "oslo-a", "norge-ost", "127.0.0.1:1"), Node("p2", "z", "r"))
RECORDS = (
    GroupRecord(
        Group("d", 4, 2, "m1", ("m1",), (TermStart(1, 0), TermStart(2, 7)), "a-1"),
        {"m1": MemberEndpoint("m1", "127.0.0.1", 1, 2, "oslo-a")},
    ),
)


def test_a_copy_keeps_records_and_nodes() -> None:
    sealed = seal_fleet(RECORDS, NODES, SECRET)
    assert open_fleet(sealed, SECRET) == FleetCopy(RECORDS, NODES)


def test_a_copy_with_another_secret_is_ignored() -> None:
    assert open_fleet(seal_fleet(RECORDS, NODES, "another"), SECRET) is None


def test_a_modified_copy_is_ignored() -> None:
    sealed = bytearray(seal_fleet(RECORDS, NODES, SECRET))
    sealed[-1] ^= 1
    assert open_fleet(bytes(sealed), SECRET) is None
