"""Client side of an authenticated connection between two nodes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING, Final

import attrs
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from radishtrack.errors import make_not_run, make_unknown
from radishtrack.peer.codec import CodecError, decode, encode
from radishtrack.peer.handshake import (
    HandshakeError,
    make_hello,
    make_proof,
)
from radishtrack.peer.messages import (
    MAX_FRAME_BYTES,
    Cancel,
    Challenge,
    Credit,
    Done,
    Execute,
    Failed,
    Message,
    Rows,
    Welcome,
)

if TYPE_CHECKING:
    import ssl

CONNECT_TIMEOUT_S: Final = 1.0
PING_INTERVAL_S: Final = 20.0
PING_TIMEOUT_S: Final = 20.0
INITIAL_CREDIT_CHUNKS: Final = 4


class LinkClosed(Exception):
    """Raised when a connection to a peer is lost or cannot be opened."""


def _ignore_size(_size: int) -> None:
    return


@attrs.define
class PeerLink:
    """Client side of a connection; requests are multiplexed over it.

    Parameters
    ----------
    node : str
        The peer's node name.
    socket : ClientConnection
        The authenticated connection.
    incarnation : int
        Incarnation of the peer's process; see `Welcome`.
    """

    node: str
    socket: ClientConnection
    incarnation: int = 0
    response_queues: dict[int, asyncio.Queue[Message | None]] = attrs.field(
        factory=dict
    )
    """Queue of each pending request; None follows when the connection is lost."""
    closed: bool = False
    observe_control: Callable[[int], None] = _ignore_size
    """Called with the size in bytes of each message outside of statements."""
    reader: asyncio.Task[None] | None = None

    async def call(self, message: Message, request: int, timeout_s: float) -> Message:
        """Send a message and return the single response with its request number.

        Raises
        ------
        LinkClosed
            If the connection is lost or no response arrives in time.
        """
        queue = self._register(request)
        try:
            frame = encode(message)
            self.observe_control(len(frame))
            await self._send_frame(frame)
            # `asyncio.wait_for` can drop a cancellation that coincides with a response.
            async with asyncio.timeout(timeout_s):
                response = await queue.get()
        except TimeoutError as error:
            raise LinkClosed(f"peer {self.node} did not respond in time") from error
        finally:
            self.response_queues.pop(request, None)
        if response is None:
            raise LinkClosed(f"connection to peer {self.node} lost")
        return response

    async def execute(self, message: Execute) -> AsyncIterator[Message]:
        """Send a statement and yield the messages of its response.

        Raises
        ------
        RequestError
            With outcome "not run" if the statement was not sent, or "unknown" if the
            connection was lost while or after sending it.
        """
        queue = self._register(message.request)
        is_finished = False
        try:
            if self.closed:
                raise make_not_run("forward", "peer connection lost", peer=self.node)
            try:
                await self.send(message)
            except LinkClosed as error:
                raise make_unknown("forward", str(error), peer=self.node) from error
            except CodecError as error:
                # A statement within its own size limit can exceed the frame limit.
                raise make_not_run("encode", str(error), peer=self.node) from error
            while not is_finished:
                response = await queue.get()
                if response is None:
                    raise make_unknown(
                        "forward", "peer connection lost", peer=self.node
                    )
                is_finished = isinstance(response, Done | Failed)
                yield response
                if isinstance(response, Rows):
                    # A lost connection is reported by the queue, after all messages
                    # that arrived before.
                    with contextlib.suppress(LinkClosed):
                        await self.send(Credit(message.request, 1))
        finally:
            self.response_queues.pop(message.request, None)
            if not is_finished and not self.closed:
                with contextlib.suppress(LinkClosed):
                    await self.send(Cancel(message.request))

    async def send(self, message: Message) -> None:
        """Send one message.

        Raises
        ------
        LinkClosed
            If the connection is lost.
        """
        await self._send_frame(encode(message))

    async def _send_frame(self, frame: bytes) -> None:
        try:
            await self.socket.send(frame)
        except (WebSocketException, OSError) as error:
            self.closed = True
            raise LinkClosed(f"connection to peer {self.node} lost") from error

    async def close(self) -> None:
        """Close the connection and fail all pending requests."""
        await self.socket.close()
        if self.reader is not None:
            await asyncio.wait((self.reader,))

    def _register(self, request: int) -> asyncio.Queue[Message | None]:
        queue: asyncio.Queue[Message | None] = asyncio.Queue()
        self.response_queues[request] = queue
        if self.closed:
            queue.put_nowait(None)
        return queue

    async def _read(self) -> None:
        try:
            async for frame in self.socket:
                if not isinstance(frame, bytes):
                    break
                message = decode(frame)
                queue = self.response_queues.get(getattr(message, "request", 0))
                # A response without a pending request belongs to a cancelled one and
                # must not reach another request.
                if queue is not None:
                    queue.put_nowait(message)
        except (WebSocketException, OSError, CodecError):
            pass
        finally:
            self.closed = True
            for queue in self.response_queues.values():
                queue.put_nowait(None)
            await self.socket.close()


async def open_link(
    address: str, node: str, secret: bytes, *, tls: ssl.SSLContext | None = None
) -> PeerLink:
    """Connect to a peer and authenticate both sides.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer.
    node : str
        Name of this node.
    secret : bytes
        The fleet secret.
    tls : ssl.SSLContext, optional
        Client context for TLS.

    Raises
    ------
    LinkClosed
        If the peer is unreachable or not authentic.
    """
    scheme = "wss" if tls else "ws"
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            socket = await connect(
                f"{scheme}://{address}/peer",
                ssl=tls,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                proxy=None,
            )
            try:
                welcome = await _authenticate(socket, node, secret)
            except BaseException:
                await socket.close()
                raise
    except (OSError, TimeoutError, WebSocketException) as error:
        raise LinkClosed(f"cannot reach peer at {address}: {error!r}") from error
    except (HandshakeError, CodecError) as error:
        raise LinkClosed(f"peer at {address} refused: {error}") from error
    link = PeerLink(welcome.node, socket, welcome.incarnation)
    link.reader = asyncio.create_task(link._read())
    return link


async def _authenticate(socket: ClientConnection, node: str, secret: bytes) -> Welcome:
    hello = make_hello(node)
    await socket.send(encode(hello))
    challenge = decode(_as_frame(await socket.recv()))
    if not isinstance(challenge, Challenge):
        raise HandshakeError("peer did not send a challenge")
    await socket.send(encode(make_proof(hello, challenge, secret)))
    welcome = decode(_as_frame(await socket.recv()))
    if not isinstance(welcome, Welcome):
        raise HandshakeError("peer did not accept the proof")
    return welcome


def _as_frame(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise HandshakeError("peer sent a text frame")
    return frame
