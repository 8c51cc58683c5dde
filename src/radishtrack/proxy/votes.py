"""Requests votes on whether a member is unreachable, and casts this node's votes."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping
from typing import Any, Final

import attrs
import cbor2

from radishtrack.backend.admin_connection import MEMBER_ERRORS, make_connect
from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.group.record import RecordError, format_record, parse_record
from radishtrack.peer.link import LinkClosed
from radishtrack.peer.messages import Record, RecordRequest, Vote, VoteRequest
from radishtrack.proxy.router import Router
from radishtrack.proxy.slots import Slots
from radishtrack.session.position import Position
from radishtrack.settings import DatabaseLogin

PROBE_TIMEOUT_S: Final = 0.4
RECORD_CHECK_INTERVAL_S: Final = 0.25
RECORD_TIMEOUT_S: Final = 0.2
RECENT_RESPONSE_MS: Final = 300.0


@attrs.define
class Votes:
    """A node's votes on the reachability of members.

    Parameters
    ----------
    clock : Clock
        Measures the age of members' last responses.
    login : DatabaseLogin
        The proxy's own login at the members.
    router : Router
        Connections to the other voters.
    slots : Slots
        Group records, and the monitors of the databases held here.
    """

    clock: Clock
    login: DatabaseLogin
    router: Router
    slots: Slots
    numbers: itertools.count[int] = attrs.field(
        factory=lambda: itertools.count(-1, step=-1)
    )
    """Negative, so that none equals the number of a statement on a link."""

    async def request(
        self, voters: tuple[str, ...], database: str, member: str
    ) -> dict[str, bool]:
        """Return the votes of the other voters that responded.

        Parameters
        ----------
        voters : tuple of str
            All voters of the database.
        database, member : str
            The database, and the member whose reachability is in question.

        Returns
        -------
        dict of str to bool
            Whether the member is unreachable, by voter.
        """
        others = [name for name in voters if name != self.router.node.id]
        votes = await asyncio.gather(
            *(self._request_vote(name, database, member) for name in others)
        )
        return {
            name: is_unreachable
            for name, is_unreachable in zip(others, votes, strict=True)
            if is_unreachable is not None
        }

    async def request_confirmed(
        self, voters: tuple[str, ...], database: str
    ) -> tuple[Position, ...]:
        """Return up to where the other voters know commits to be confirmed.

        Parameters
        ----------
        voters : tuple of str
            All voters of the database.
        database : str
            The database.

        Returns
        -------
        tuple of Position
            Position of each voter that responded in time.
        """
        requests = [
            asyncio.create_task(self._request_record(name, database))
            for name in voters
            if name != self.router.node.id
        ]
        if not requests:
            return ()
        responded, pending = await asyncio.wait(requests, timeout=RECORD_TIMEOUT_S)
        for request in pending:
            request.cancel()
        positions = (request.result() for request in responded)
        return tuple(position for position in positions if position is not None)

    async def handle_vote_request(self, request: VoteRequest) -> Vote:
        """Return whether a member is unreachable from this node.

        The member is probed, unless it has just responded.
        """
        is_reachable = await self._probe(request.database, request.member)
        return Vote(request.request, not is_reachable)

    def handle_record_request(self, request: RecordRequest) -> Record:
        """Return this node's record of a group; version 0 if it has none.

        The value has the position up to which this node knows commits to be confirmed.
        """
        record = self.slots.records.get(request.database)
        if record is None:
            return Record(request.request, 0, b"")
        fields = format_record(record)
        backend = self.slots.holder.databases.get(request.database)
        if backend is not None:
            confirmed = backend.monitor.confirmed
            fields["confirmed"] = [confirmed.term, confirmed.sequence]
        value = cbor2.dumps(fields)
        return Record(request.request, record.group.version, value)

    async def follow_terms(self) -> None:
        """Fetch a group's record from the voters while members have a later term.

        A holder that can't reach the platform would otherwise keep sending writes to a
        replaced primary, each of which ends with an unknown outcome.
        """
        while True:
            for database in tuple(self.slots.holder.databases):
                if self.slots.is_record_outdated(database):
                    await self._fetch_record(database)
            await asyncio.sleep(RECORD_CHECK_INTERVAL_S)

    async def _fetch_record(self, database: str) -> None:
        names = self.slots.list_voters(database)
        others = [name for name in names if name != self.router.node.id]
        await asyncio.gather(*(self._request_record(name, database) for name in others))

    async def _request_record(self, name: str, database: str) -> Position | None:
        number = next(self.numbers)
        try:
            link = await self.router.get_link(name)
            response = await link.call(
                RecordRequest(number, database), number, 2 * PROBE_TIMEOUT_S
            )
        except LinkClosed:
            return None
        if isinstance(response, Record) and response.version:
            try:
                value = cbor2.loads(response.value)
                record = parse_record(database, response.version, value)
                confirmed = _parse_confirmed(value)
            except (RecordError, cbor2.CBORDecodeError, ValueError) as error:
                log_event(Event.PEER_REFUSED, peer=name, reason=error)
                return None
            self.slots.update_record(record)
            return confirmed
        return None

    async def _request_vote(self, name: str, database: str, member: str) -> bool | None:
        number = next(self.numbers)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                link = await self.router.get_link(name)
            response = await link.call(
                VoteRequest(number, database, member), number, 2 * PROBE_TIMEOUT_S
            )
        except (LinkClosed, TimeoutError):
            return None
        return response.unreachable if isinstance(response, Vote) else None

    async def _probe(self, database: str, member: str) -> bool:
        backend = self.slots.holder.databases.get(database)
        if backend is not None and member in backend.monitor.latest_statuses:
            age_ms = self.clock.now_ms() - backend.monitor.answered_poll_sent_ms(member)
            if age_ms <= RECENT_RESPONSE_MS:
                return True
        record = self.slots.records.get(database)
        if record is None or member not in record.endpoints:
            # This node can't probe an unknown member, so must not vote against it.
            return True
        connect = make_connect(self.login.password)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await connect(record.endpoints[member])
                try:
                    await connection.read_status()
                finally:
                    connection.close()
        except MEMBER_ERRORS:
            return False
        return True


def _parse_confirmed(value: Mapping[str, Any]) -> Position:
    try:
        term, sequence = value.get("confirmed", (0, 0))
        return Position(int(term), int(sequence))
    except (TypeError, ValueError) as error:
        raise RecordError(f"confirmed position can not be read: {error!r}") from error
