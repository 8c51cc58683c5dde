"""Passes members' reports on, so that one node of the fleet polls for all.

The node that holds the rates polls every member and reads the store's revision; the
others ask it for what is new. An age is counted from before the question up to the
answer, and its receiver dates it from before its own request, so that nothing ever
looks younger than it is, whatever the clocks and the network do. A node that gets no
answers asks members and store itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.group.status import Role
from radishtrack.peer.messages import PackedReport, Reports, ReportsWanted
from radishtrack.pooler.catalog import MemberReport, NodeRecord
from radishtrack.pooler.control import Control, CopyContent
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.peers import Peers
from radishtrack.session.position import Position

RELAY_INTERVAL_MS: Final = 450.0
"""Pause between questions; a report is up to one poll and one such pause old."""
RELAY_TIMEOUT_MS: Final = 300.0
"""An answer takes one round trip."""


@attrs.define
class Receiver:
    """What was passed on to one node."""

    number: int = 0
    sent_ms: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """When the newest report was asked for that each answer contained."""


@attrs.define(eq=False)
class ReportRelay:
    """State of one node, on either side; `run` never returns."""

    clock: Clock
    control: Control
    peers: Peers
    find_relay: Callable[[], NodeRecord | None]
    is_relay: Callable[[], bool]
    groups: Mapping[str, GroupAccess]
    receivers: dict[str, Receiver] = attrs.field(factory=dict)
    relay: str = ""
    received: int = 0

    async def run(self) -> None:
        """Ask for reports again and again."""
        while True:
            await asyncio.sleep(RELAY_INTERVAL_MS / 1000)
            relay = self.find_relay()
            if relay is not None:
                await self._ask(relay)

    def answer(self, node: str, message: ReportsWanted) -> Reports:
        """Return the reports that a node does not have yet."""
        if not self.is_relay():
            return Reports(message.request, 0, -1, 0, 0, 0, 0.0, ())
        receiver = self.receivers.setdefault(node, Receiver())
        if message.newer_than != receiver.number:
            # The last answer was lost, or one of the two nodes has restarted.
            receiver.sent_ms.clear()
        receiver.number += 1
        reports = tuple(self._pack(receiver))
        content = self.control.content
        return Reports(
            message.request,
            receiver.number,
            content.revision,
            content.catalog,
            content.members,
            content.fleet,
            self.control.age_ms(),
            reports,
        )

    def _pack(self, receiver: Receiver) -> Iterator[PackedReport]:
        now_ms = self.clock.now_ms()
        for group, access in self.groups.items():
            for name, observation in access.evidence.observations.items():
                key = (group, name)
                if receiver.sent_ms.get(key) == observation.asked_ms:
                    continue
                receiver.sent_ms[key] = observation.asked_ms
                report = observation.report
                applied = access.evidence.applied.get(name, Position(0, 0))
                yield (
                    group,
                    name,
                    report.role is Role.PRIMARY,
                    report.term,
                    report.position.term,
                    report.position.sequence,
                    applied.term,
                    applied.sequence,
                    report.fenced_term,
                    report.lag_ms,
                    now_ms - observation.asked_ms,
                )

    async def _ask(self, relay: NodeRecord) -> None:
        if relay.name != self.relay:
            self.relay, self.received = relay.name, 0
        asked_ms = self.clock.now_ms()
        answer = await self.peers.send_request(
            relay,
            lambda request: ReportsWanted(request, self.received),
            RELAY_TIMEOUT_MS,
        )
        if not isinstance(answer, Reports):
            self.received = 0
            return
        self.received = answer.number
        if answer.number:
            content = CopyContent(
                answer.revision, answer.catalog, answer.members, answer.fleet
            )
            self.control.vouch(content, asked_ms - answer.confirmed_age_ms)
        for packed in answer.reports:
            self._take_in(packed, asked_ms)

    def _take_in(self, packed: PackedReport, asked_ms: float) -> None:
        group, name, leads, term, term_received, received, *rest = packed
        term_applied, applied, fenced_term, lag_ms, age_ms = rest
        access = self.groups.get(group)
        if access is None or name not in access.pools:
            return
        report = MemberReport(
            member=name,
            role=Role.PRIMARY if leads else Role.REPLICA,
            term=term,
            position=Position(term_received, received),
            fenced_term=int(fenced_term),
            lag_ms=float(lag_ms),
        )
        report_asked_ms = asked_ms - float(age_ms)
        changed = access.evidence.observe_report(
            report, report_asked_ms, self.clock.now_ms()
        )
        if term_applied:
            position = Position(int(term_applied), int(applied))
            access.evidence.observe_position(name, position, report_asked_ms)
        if changed:
            log_event(
                Event.PRIMARY_KNOWN,
                group=group,
                primary=access.evidence.primary or "none",
                term=access.evidence.term,
                reported_by=name,
                relayed_by=self.relay,
            )
        access.notify()
