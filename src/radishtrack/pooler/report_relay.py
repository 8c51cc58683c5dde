"""Relays members' reports, so that one node polls the members for the whole fleet.

The rate coordinator polls every member and reads the store's revision. The first node
of each availability zone requests from it what is new, and the others of the zone
request it from that node: bytes between zones cost, and the coordinator's work does not
grow with the nodes. The sender counts the age of a report from before its poll,
and the receiver subtracts that age from the time of its own request. A report therefore
never appears more recent than it is, even if clocks differ or messages are delayed. A
node that gets no responses polls the members and the store itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.group.status import Role
from radishtrack.peer.messages import PackedReport, Reports, ReportsWanted
from radishtrack.pooler.catalog import MemberReport, NodeRecord
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.store_content import CopyContent
from radishtrack.pooler.store_copy import StoreCopy
from radishtrack.session.position import Position

ZONE_INTERVAL_MS: Final = 250.0
"""Pause between requests in a zone with several nodes. A report passes two pauses and
one poll interval of 0.9 s, and must arrive before nodes poll members themselves, at an
age of 1.5 s."""
SINGLE_INTERVAL_MS: Final = 450.0
"""Pause between requests of the only node of a zone."""
RELAY_TIMEOUT_MS: Final = 300.0
"""Time limit of a request, which takes one round trip."""
MAX_REPORTS: Final = 100
"""Number of reports in a response, about 10 kB; the next one has those that remain."""

UNKNOWN_COUNT: Final = -1
"""Stands for a count that the member did not report."""


@attrs.define
class Receiver:
    """Reports that were sent to one node."""

    number: int = 0
    """Number of the last response."""
    sent_ms: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Request time of the newest report sent, by group and member."""


@attrs.define(eq=False)
class ReportRelay:
    """Sends and receives reports at one node; `run` never returns."""

    clock: Clock
    store_copy: StoreCopy
    peers: Peers
    find_relay: Callable[[], NodeRecord | None]
    is_relay: Callable[[], bool]
    has_zone_peers: Callable[[], bool]
    avoid: Callable[[str], None]
    """Called with the name of a node that did not respond as a relay."""
    groups: Mapping[str, GroupAccess]
    receivers: dict[str, Receiver] = attrs.field(factory=dict)
    relay_name: str = ""
    """Node to which the last request was sent."""
    received_number: int = 0
    """Number of that node's last response; 0 if none was received."""
    has_more: bool = False
    """Whether that response was full, so that the relay may have more reports."""

    async def run(self) -> None:
        """Request reports periodically."""
        while True:
            pause_ms = ZONE_INTERVAL_MS if self.has_zone_peers() else SINGLE_INTERVAL_MS
            await asyncio.sleep(pause_ms / 1000)
            while await self.request_reports() and self.has_more:
                pass

    async def request_reports(self) -> bool:
        """Request reports and a confirmation of the copy; return whether they came."""
        relay = self.find_relay()
        if relay is None:
            return False
        is_confirmed = await self._poll_relay(relay)
        if not is_confirmed:
            self.avoid(relay.name)
        return is_confirmed

    def collect_reports(self, node: str, message: ReportsWanted) -> Reports:
        """Return the reports that a node does not have yet."""
        if not self.is_relay():
            return Reports(message.request, 0, -1, 0, 0, 0, 0.0, ())
        receiver = self.receivers.setdefault(node, Receiver())
        if message.newer_than != receiver.number:
            # The last response was lost, or one of the two nodes has restarted.
            receiver.sent_ms.clear()
        receiver.number += 1
        reports = tuple(self._pack(receiver))
        content = self.store_copy.content
        return Reports(
            message.request,
            receiver.number,
            content.revision,
            content.catalog,
            content.members,
            content.fleet,
            self.store_copy.age_ms(),
            reports,
        )

    def _pack(self, receiver: Receiver) -> Iterator[PackedReport]:
        now_ms = self.clock.now_ms()
        for group, name in self._choose_reports(receiver):
            evidence = self.groups[group].evidence
            observation = evidence.observations[name]
            receiver.sent_ms[group, name] = observation.requested_ms
            report = observation.report
            applied = evidence.applied.get(name, Position(0, 0))
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
                now_ms - observation.requested_ms,
                _pack_count(report.busy),
                _pack_count(report.connections),
            )

    def _choose_reports(self, receiver: Receiver) -> list[tuple[str, str]]:
        """Return group and member of new reports, the longest unsent first."""
        sent_ms = receiver.sent_ms
        changed = [
            (group, name)
            for group, access in self.groups.items()
            for name, observation in access.evidence.observations.items()
            if sent_ms.get((group, name)) != observation.requested_ms
        ]
        if len(changed) > MAX_REPORTS:
            changed.sort(key=lambda key: sent_ms.get(key, -math.inf))
        return changed[:MAX_REPORTS]

    async def _poll_relay(self, relay: NodeRecord) -> bool:
        if relay.name != self.relay_name:
            self.relay_name, self.received_number = relay.name, 0
        requested_ms = self.clock.now_ms()
        response = await self.peers.send_request(
            relay,
            lambda request: ReportsWanted(request, self.received_number),
            RELAY_TIMEOUT_MS,
        )
        if not isinstance(response, Reports):
            self.received_number = 0
            return False
        self.received_number = response.number
        self.has_more = len(response.reports) >= MAX_REPORTS
        if response.number:
            content = CopyContent(
                response.revision, response.catalog, response.members, response.fleet
            )
            self.store_copy.accept_confirmation(
                content, requested_ms - response.confirmed_age_ms
            )
        for packed in response.reports:
            self._apply_report(packed, requested_ms)
        return response.number > 0

    def _apply_report(self, packed: PackedReport, requested_ms: float) -> None:
        group, name, is_primary, term, term_received, received, *rest = packed
        term_applied, applied, fenced_term, lag_ms, age_ms, *counts = rest
        # Earlier versions of this program send no counts.
        busy, connections = counts or (UNKNOWN_COUNT, UNKNOWN_COUNT)
        access = self.groups.get(group)
        if access is None or name not in access.pools:
            return
        report = MemberReport(
            member=name,
            role=Role.PRIMARY if is_primary else Role.REPLICA,
            term=term,
            position=Position(term_received, received),
            fenced_term=int(fenced_term),
            lag_ms=float(lag_ms),
            busy=_unpack_count(busy),
            connections=_unpack_count(connections),
        )
        report_requested_ms = requested_ms - float(age_ms)
        changed = access.evidence.observe_report(
            report, report_requested_ms, self.clock.now_ms()
        )
        if term_applied:
            position = Position(int(term_applied), int(applied))
            access.evidence.observe_position(name, position, report_requested_ms)
        if changed:
            log_event(
                Event.PRIMARY_KNOWN,
                group=group,
                primary=access.evidence.primary or "none",
                term=access.evidence.term,
                reported_by=name,
                relayed_by=self.relay_name,
            )
        access.notify()


def _pack_count(count: int | None) -> int:
    return UNKNOWN_COUNT if count is None else count


def _unpack_count(count: float) -> int | None:
    return None if count == UNKNOWN_COUNT else int(count)
