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
    locks: dict[str, asyncio.Lock] = attrs.field(factory=dict)
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
        for name in tuple(self.links):
            await self._drop(name)

    async def _open(self, node: NodeRecord) -> PeerLink | None:
        lock = self.locks.setdefault(node.name, asyncio.Lock())
        async with lock:
            if not self.secret:
                # This node has just started, and can't prove yet that it may connect.
                return None
            link = self.links.get(node.name)
            if link is not None and not link.closed:
                return link
            failed_ms = self.failed_ms.get(node.name)
            now_ms = self.clock.now_ms()
            if failed_ms is not None and now_ms - failed_ms < RETRY_LINK_MS:
                return None
            # A refused connection causes no pause: it costs one round trip only.
            self.failed_ms[node.name] = now_ms
            try:
                link = await open_link(
                    f"{node.host}:{node.port}", self.name, self.secret
                )
            except LinkClosed as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    del self.failed_ms[node.name]
                raise
            del self.failed_ms[node.name]
            self.links[node.name] = link
            return link

    async def _drop(self, name: str) -> None:
        link = self.links.pop(name, None)
        if link is not None:
            await link.close()
