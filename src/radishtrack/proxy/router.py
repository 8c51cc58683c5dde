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
RESPONSE_GRACE_MS: Final = 250.0
"""Added to the holder's timeout of a request, so that its own refusal arrives first."""

NOT_HELD_STEP: Final = "hold"
FORWARD_STEP: Final = "forward"
"""Step of failures of the peer or the connection to it; others don't count against the
peer."""

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
        Clock of deadlines.
    holder : Holder
        This node's own holder.
    membership : Membership
        The known nodes.
    placement : Placement
        The holders of each database.
    open_link : callable
        Connects to a peer.
    observe_control : callable
        Takes the size in bytes of each message to peers that is not part of a
        statement.
    """

    node: Node
    clock: Clock
    holder: Holder
    membership: Membership
    placement: Placement
    open_link: OpenLink
    observe_control: Callable[[int], None]
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    list_refresh: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set to have the platform's list of nodes read at once."""
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
            Number of nodes that hold it.
        affinity : str
            If given, the order depends on this text instead of the distance, so that
            all nodes prefer the same holder.
        """
        nodes = self.placement.place_slots(database, region, slots)
        if affinity:
            return tuple(sorted(nodes, key=partial(compute_weight, affinity)))
        return tuple(sorted(nodes, key=self._make_distance_key))

    async def execute(
        self,
        holders: tuple[str, ...],
        request: Execute,
        *,
        is_read: bool,
        on_attempt: Callable[[str], None] | None = None,
    ) -> AsyncIterator[Message]:
        """Execute a statement at the first holder that accepts it.

        Another holder is tried if the statement certainly did not run, or is a read of
        which no message has been yielded yet.

        Parameters
        ----------
        holders : tuple of str
            Nodes in order of preference.
        request : Execute
            The statement.
        is_read : bool
            Whether the statement may run twice.
        on_attempt : callable, optional
            Takes the name of each holder before the statement is sent to it.

        Raises
        ------
        RequestError
            With the outcome, as far as it is known.
        """
        deadline_ms = self.clock.now_ms() + request.timeout_ms
        last_error: RequestError | None = None
        for index, name in enumerate(holders):
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                break
            is_last = index == len(holders) - 1
            # A read leaves time to try another holder if this one is unresponsive.
            share_ms = remaining_ms if is_last or not is_read else remaining_ms / 2
            has_yielded = False
            try:
                if on_attempt is not None:
                    on_attempt(name)
                attempt = attrs.evolve(
                    request, request=next(self.numbers), timeout_ms=share_ms
                )
                messages = self.execute_at(name, attempt)
                async with aclosing(messages):  # type: ignore[type-var]
                    async for message in messages:
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
                may_retry = is_read or error.failure.outcome is Outcome.NOT_RUN
                if has_yielded or not may_retry:
                    raise
                last_error = error
        raise last_error or make_not_run(
            "forward", "no holder of the database is known"
        )

    async def execute_at(self, name: str, request: Execute) -> AsyncIterator[Message]:
        """Execute a statement at one holder.

        Raises
        ------
        RequestError
            Not run if the holder can't be reached; unknown if it does not respond.
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
        timeout_s = (request.timeout_ms + RESPONSE_GRACE_MS) / 1000
        messages = link.execute(request)
        async with aclosing(messages):  # type: ignore[type-var]
            while True:
                try:
                    async with asyncio.timeout(timeout_s):
                        message = await anext(messages)
                except StopAsyncIteration:
                    return
                except TimeoutError as error:
                    raise make_unknown(
                        "forward", "the holder did not respond in time", peer=name
                    ) from error
                yield message

    async def end_session(self, name: str, session: int) -> None:
        """Roll back the open transaction of a session at a holder."""
        if name == self.node.id:
            await self.holder.end_session(LOCAL_CONNECTION, session)
            return
        link = self.links.get(name)
        if link is not None and not link.closed:
            try:
                await link.send(EndSession(session))
            except LinkClosed:
                # The holder itself ends all sessions of a lost connection.
                return

    async def get_link(self, name: str) -> PeerLink:
        """Return the connection to a peer, opening it if necessary.

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
            peer = self.membership.find_node(name)
            if peer is None or not peer.peer_address:
                # Another peer named it: it joined after the platform's list was last
                # read.
                self.list_refresh.set()
                raise LinkClosed(f"unknown peer {name}")
            link = await self.open_link(peer.peer_address)
            link.observe_control = self.observe_control
            self.links[name] = link
            self.membership.record_response(name, link.incarnation)
            return link

    async def close(self) -> None:
        """Close all connections to peers."""
        for link in self.links.values():
            await link.close()

    def _make_distance_key(self, name: str) -> tuple[bool, bool, str]:
        if name == self.node.id:
            return (False, False, name)
        peer = self.membership.find_node(name)
        return (True, peer is None or peer.zone != self.node.zone, name)


def _is_not_held(message: Message) -> bool:
    return isinstance(message, Failed) and message.step == NOT_HELD_STEP
