"""Links to the other nodes of the fleet, opened at the first request."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.peer.link import LinkClosed, PeerLink, open_link
from radishtrack.peer.messages import Message
from radishtrack.pooler.catalog import NodeRecord

RETRY_LINK_MS: Final = 500.0
"""Pause after a failed connection, so that an unreachable peer costs little."""


@attrs.frozen
class Refused:
    """The connection to the peer was refused.

    This does not show that its process has ended: a network between the two may refuse
    connections as well, and open ones at the other side live on.
    """


MakeMessage = Callable[[int], Message]
"""Returns a message with the given request number."""


@attrs.define(eq=False)
class Peers:
    """Links of one node.

    Parameters
    ----------
    name : str
        Name of this node.
    clock : Clock
        Time in milliseconds.
    list_nodes : callable
        Returns the registered nodes.
    """

    name: str
    clock: Clock
    list_nodes: Callable[[], tuple[NodeRecord, ...]]
    secret: bytes = b""
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    failed_ms: dict[str, float] = attrs.field(factory=dict)
    attempts: dict[str, asyncio.Task[PeerLink | LinkClosed]] = attrs.field(factory=dict)
    """Last attempt to connect to each peer."""
    request_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def others(self) -> tuple[NodeRecord, ...]:
        """Return the registered nodes without this one."""
        return tuple(node for node in self.list_nodes() if node.name != self.name)

    def find_incarnation(self, name: str) -> int | None:
        """Return the incarnation of a peer to which there is a link, or None."""
        link = self.links.get(name)
        return None if link is None else link.incarnation

    async def send_request(
        self, node: NodeRecord, make_message: MakeMessage, timeout_ms: float
    ) -> Message | Refused | None:
        """Send a request to one peer and return its response.

        Returns
        -------
        Message, Refused or None
            None if the peer can't be reached, the link is lost or the response is late.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                link = await self._open(node)
                if link is None:
                    return None
                request = next(self.request_numbers)
                return await link.call(
                    make_message(request), request, timeout_ms / 1000
                )
        except LinkClosed as error:
            await self._drop(node.name)
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Refused()
            return None
        except TimeoutError:
            if node.name in self.attempts:
                self.attempts[node.name].cancel()
            return None

    async def request_all(
        self, make_message: MakeMessage, timeout_ms: float
    ) -> dict[str, Message | Refused | None]:
        """Send a request to all registered peers; return the responses by node name."""
        nodes = self.others()
        responses = await asyncio.gather(
            *(self.send_request(node, make_message, timeout_ms) for node in nodes)
        )
        return {
            node.name: response for node, response in zip(nodes, responses, strict=True)
        }

    async def close(self) -> None:
        """Close all links."""
        for attempt in self.attempts.values():
            attempt.cancel()
        for name in tuple(self.links):
            await self._drop(name)

    async def _open(self, node: NodeRecord) -> PeerLink | None:
        """Return the link to a peer, or None if it could not be opened just before."""
        if not self.secret:
            # This node has just started, and can't prove yet that it may connect.
            return None
        link = self.links.get(node.name)
        if link is not None and not link.closed:
            return link
        attempt = self.attempts.get(node.name)
        if attempt is None or attempt.done():
            failed_ms = self.failed_ms.get(node.name)
            if failed_ms is not None and (
                self.clock.now_ms() - failed_ms < RETRY_LINK_MS
            ):
                return None
            attempt = asyncio.create_task(self._connect(node))
            self.attempts[node.name] = attempt
        # A request that is cancelled tells nothing about the peer, and others may wait
        # for the same link.
        await asyncio.wait((attempt,))
        if attempt.cancelled():
            return None
        opened = attempt.result()
        if isinstance(opened, LinkClosed):
            raise opened
        return opened

    async def _connect(self, node: NodeRecord) -> PeerLink | LinkClosed:
        """Open a link; return the error if that fails, as no caller may be left."""
        started_ms = self.clock.now_ms()
        try:
            link = await open_link(f"{node.host}:{node.port}", self.name, self.secret)
        except LinkClosed as error:
            # A refused connection causes no pause: it costs one round trip only.
            if not isinstance(error.__cause__, ConnectionRefusedError):
                self.failed_ms[node.name] = started_ms
            return error
        except asyncio.CancelledError:
            self.failed_ms[node.name] = started_ms
            raise
        self.failed_ms.pop(node.name, None)
        self.links[node.name] = link
        return link

    async def _drop(self, name: str) -> None:
        link = self.links.pop(name, None)
        if link is not None:
            await link.close()
