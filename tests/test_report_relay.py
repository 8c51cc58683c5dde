"""Tests that reports of many members arrive over small links.

A node that starts needs every report, and the relay's other answers wait behind them.
"""

from __future__ import annotations

import attrs

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.group.status import Role
from radishtrack.peer.codec import encode
from radishtrack.peer.messages import Message, Reports, ReportsWanted
from radishtrack.pooler.catalog import GroupSettings, Member, MemberReport, NodeRecord
from radishtrack.pooler.group_access import GroupAccess, make_group_access
from radishtrack.pooler.peers import MakeMessage, Peers
from radishtrack.pooler.ports import LinkRefused, MemberLink
from radishtrack.pooler.report_relay import ReportRelay
from radishtrack.pooler.store_copy import StoreCopy
from radishtrack.session.position import Position
from tests.test_pooler_store_copy import NODE, OTHER, FakeStore

GROUPS = 90
MEMBERS = ("a", "b", "c")
RESPONSE_BYTES = 16_384
"""Takes 26 ms on a link of 5 Mbit/s."""


async def refuse_link(_member: Member, _user: str, _timeout_ms: float) -> MemberLink:
    raise LinkRefused("no members run")


def make_groups(time: ManualTime) -> dict[str, GroupAccess]:
    groups = {}
    for number in range(GROUPS):
        name = f"group-of-databases-{number}"
        access = make_group_access(name, "a", make_manual_clock(time), refuse_link)
        access.configure(GroupSettings(name, 16, 1), 2)
        members = tuple(
            Member(
                f"{name}-{m}", name, "10.0.1.1", 1, "a", 2, False, Role.REPLICA, number
            )
            for m in MEMBERS
        )
        access.set_members(members, time.value_ms, None)
        groups[name] = access
    return groups


def observe_all(groups: dict[str, GroupAccess], at_ms: float) -> None:
    for name, access in groups.items():
        for member in MEMBERS:
            report = MemberReport(
                f"{name}-{member}", 1, 0, Role.REPLICA, Position(1, 10), 8.0, 3, 40
            )
            access.evidence.observe_report(report, at_ms, at_ms)


@attrs.define(eq=False)
class RelayPeers(Peers):
    """Peers whose only node is a relay; some of its responses are lost."""

    relay: ReportRelay | None = None
    sizes: list[int] = attrs.field(factory=list)
    lost: int = 0

    async def send_request(
        self, node: NodeRecord, make_message: MakeMessage, timeout_ms: float
    ) -> Message | None:
        message = make_message(1)
        assert isinstance(message, ReportsWanted) and self.relay is not None
        response = self.relay.collect_reports(self.name, message)
        self.sizes.append(len(encode(response)))
        if self.lost:
            self.lost -= 1
            return None
        return response


def make_relays(time: ManualTime) -> tuple[ReportRelay, ReportRelay, RelayPeers]:
    clock = make_manual_clock(time)
    peers = RelayPeers(OTHER.name, clock, lambda: (NODE, OTHER))
    relays = [
        ReportRelay(
            clock=clock,
            store_copy=StoreCopy(FakeStore(), clock, node, lambda: None),
            peers=peers,
            find_relay=lambda: NODE,
            is_relay=lambda: True,
            has_zone_peers=lambda: True,
            avoid=lambda _name: None,
            groups=make_groups(time),
        )
        for node in (NODE, OTHER)
    ]
    peers.relay = relays[0]
    return relays[0], relays[1], peers


def count_reports(relay: ReportRelay) -> int:
    return sum(len(a.evidence.observations) for a in relay.groups.values())


async def test_reports_of_many_members_arrive_in_small_responses() -> None:
    """One response had all of them; over a small link it was late each time."""
    time = ManualTime(10_000.0)
    sender, receiver, peers = make_relays(time)
    observe_all(sender.groups, 9_900.0)
    while await receiver.request_reports() and receiver.has_more:
        pass
    assert count_reports(receiver) == GROUPS * len(MEMBERS)
    assert max(peers.sizes) <= RESPONSE_BYTES


async def test_a_lost_response_delays_no_report_for_long() -> None:
    time = ManualTime(10_000.0)
    sender, receiver, peers = make_relays(time)
    observe_all(sender.groups, 9_900.0)
    await receiver.request_reports()
    peers.lost = 1
    assert not await receiver.request_reports()
    while await receiver.request_reports() and receiver.has_more:
        pass
    assert count_reports(receiver) == GROUPS * len(MEMBERS)


async def test_all_members_have_their_turn_if_not_all_reports_fit() -> None:
    """The members of the last groups would never be heard of."""
    time = ManualTime(10_000.0)
    sender, receiver, _ = make_relays(time)
    for step in range(3):
        observe_all(sender.groups, 9_900.0 + step)
        await receiver.request_reports()
    assert count_reports(receiver) == GROUPS * len(MEMBERS)


def test_no_reports_come_from_a_node_that_does_not_poll() -> None:
    sender, _, _ = make_relays(ManualTime(10_000.0))
    sender.is_relay = lambda: False
    response = sender.collect_reports("edge-2", ReportsWanted(1, 0))
    assert isinstance(response, Reports) and response.number == 0
