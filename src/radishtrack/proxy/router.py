"""Finds the holder of a database and sends statements to it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from functools import partial
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.errors import Outcome, RequestError, make_not_run, make_unknown
from radishtrack.membership.nodes import Membership, Node
from radishtrack.membership.placement import Placement, compute_weight
from radishtrack.peer.link import LinkClosed, PeerLink
from radishtrack.peer.messages import EndSession, Execute, Failed, Message
from radishtrack.proxy.holder import Holder
from radishtrack.routing.statement import Kind

LOCAL_CONNECTION: Final = "local"
ANSWER_GRACE_MS: Final = 250.0
"""Added to a request's time at the holder, so that its own refusal arrives first."""

NOT_HELD_STEP: Final = "hold"
FORWARD_STEP: Final = "forward"
"""The peer or the way to it failed, which other failures don't show."""

OpenLink = Callable[[str], Awaitable[PeerLink]]
"""Takes ``host:port``; raises `LinkClosed`."""


@attrs.define
class Router:
    """Sends statements to holders, locally or over peer connections.

    Parameters
    ----------
    node : Node
        This node.
    clock : Clock
        Time of deadlines.
    holder : Holder
        This node's own holder.
    membership : Membership
        The nodes that are known.
    placement : Placement
        The holders of each database.
    open_link : callable
        Connects to a peer.
    observe_control : callable
        Takes the size of messages to peers that are not part of a statement.
    """

    node: Node
    clock: Clock
    holder: Holder
    membership: Membership
    placement: Placement
    open_link: OpenLink
    observe_control: Callable[[int], None]
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    list_wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the list of nodes should be read now."""
    opening: dict[str, asyncio.Lock] = attrs.field(factory=dict)
    numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))

    def list_holders(
        self, database: str, region: str, slots: int, affinity: str = ""
    ) -> tuple[str, ...]:
        """Return the holders of a database, the preferred one first.

        Parameters
        ----------
        database, region : str
            The database and its region.
        slots : int
            How many nodes hold it.
        affinity : str
            If given, the order depends on this text and not on the distance, so that
            all nodes prefer the same holder for it.
        """
        nodes = self.placement.place_slots(database, region, slots)
        if affinity:
            return tuple(sorted(nodes, key=partial(compute_weight, affinity)))
        return tuple(sorted(nodes, key=self._distance))

    async def execute(
        self,
        holders: tuple[str, ...],
        request: Execute,
        *,
        is_read: bool,
        when_sent: Callable[[str], None] | None = None,
    ) -> AsyncIterator[Message]:
        """Execute a statement at the first holder that takes it.

        Another holder is tried if the statement provably did not run, or is a read of
        which nothing has been passed on.

        Raises
        ------
        RequestError
            With the outcome that is known.
        """
        deadline_ms = self.clock.now_ms() + request.timeout_ms
        last: RequestError | None = None
        for position, name in enumerate(holders):
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            is_last = position == len(holders) - 1
            # A read leaves time for another holder; a frozen one answers nothing.
            limit_ms = left_ms if is_last or not is_read else left_ms / 2
            has_yielded = False
            try:
                if when_sent is not None:
                    when_sent(name)
                attempt = attrs.evolve(
                    request, request=next(self.numbers), timeout_ms=limit_ms
                )
                async for message in self.execute_at(name, attempt):
                    if _is_not_held(message) and not is_last:
                        break
                    yield message
                    has_yielded = True
                else:
                    return
            except RequestError as error:
                if error.failure.step == FORWARD_STEP:
                    self.membership.record_refusal(name, self.clock.now_ms())
                if request.kind == Kind.BEGIN.value:
                    # The holder may have opened the transaction before the failure.
                    await self.end_session(name, request.session)
                may_move = is_read or error.failure.outcome is Outcome.NOT_RUN
                if has_yielded or not may_move:
                    raise
                last = error
        raise last or make_not_run("forward", "no holder of the database is known")

    async def execute_at(self, name: str, request: Execute) -> AsyncIterator[Message]:
        """Execute a statement at one holder.

        Raises
        ------
        RequestError
            Not run if the holder can't be reached; unknown if its answer is missing.
        """
        if name == self.node.id:
            local = self.holder.execute(LOCAL_CONNECTION, request)
            async with aclosing(local):  # type: ignore[type-var]
                async for message in local:
                    yield message
            return
        try:
            link = await self.get_link(name)
        except LinkClosed as error:
            raise make_not_run("forward", str(error), peer=name) from error
        limit_s = (request.timeout_ms + ANSWER_GRACE_MS) / 1000
        messages = link.execute(request)
        async with aclosing(messages):  # type: ignore[type-var]
            while True:
                try:
                    async with asyncio.timeout(limit_s):
                        message = await anext(messages)
                except StopAsyncIteration:
                    return
                except TimeoutError as error:
                    raise make_unknown(
                        "forward", "the holder did not answer in time", peer=name
                    ) from error
                yield message

    async def end_session(self, name: str, session: int) -> None:
        """Roll back what a session has open at a holder."""
        if name == self.node.id:
            await self.holder.end_session(LOCAL_CONNECTION, session)
            return
        link = self.links.get(name)
        if link is not None and not link.closed:
            try:
                await link.send(EndSession(session))
            except LinkClosed:
                # The holder ends all sessions of a lost connection.
                return

    async def get_link(self, name: str) -> PeerLink:
        """Return the connection to a peer, opening it if need be.

        Raises
        ------
        LinkClosed
            If the peer is unknown or can't be reached.
        """
        link = self.links.get(name)
        if link is not None and not link.closed:
            return link
        async with self.opening.setdefault(name, asyncio.Lock()):
            link = self.links.get(name)
            if link is not None and not link.closed:
                return link
            found = self.membership.find_node(name)
            if found is None or not found.peer_address:
                # A peer that was named by another one joined since the last reading
                # of the platform's list.
                self.list_wanted.set()
                raise LinkClosed(f"peer {name} is not known")
            link = await self.open_link(found.peer_address)
            link.observe_control = self.observe_control
            self.links[name] = link
            self.membership.record_response(name, link.incarnation)
            return link

    async def close(self) -> None:
        """Close all connections to peers."""
        for link in self.links.values():
            await link.close()

    def _distance(self, name: str) -> tuple[bool, bool, str]:
        if name == self.node.id:
            return (False, False, name)
        found = self.membership.find_node(name)
        return (True, found is None or found.zone != self.node.zone, name)


def _is_not_held(message: Message) -> bool:
    return isinstance(message, Failed) and message.step == NOT_HELD_STEP
