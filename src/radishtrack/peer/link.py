"""One authenticated connection between two nodes, from either side."""

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
    answer_challenge,
    make_hello,
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
    """Raised when a connection to a peer is lost or can't be made."""


def _ignore_bytes(_size: int) -> None:
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
        Of the peer's process.
    """

    node: str
    socket: ClientConnection
    incarnation: int = 0
    waiting: dict[int, asyncio.Queue[Message | None]] = attrs.field(factory=dict)
    closed: bool = False
    observe_control: Callable[[int], None] = _ignore_bytes
    """Told the size of every message that is not part of a statement."""
    reader: asyncio.Task[None] | None = None

    async def call(self, message: Message, request: int, timeout_s: float) -> Message:
        """Send a message and return the single answer with its request number.

        Raises
        ------
        LinkClosed
            If the connection is lost or no answer comes in time.
        """
        queue = self._register(request)
        try:
            frame = encode(message)
            self.observe_control(len(frame))
            await self._send_frame(frame)
            # `asyncio.wait_for` can drop a cancellation that meets the answer.
            async with asyncio.timeout(timeout_s):
                answer = await queue.get()
        except TimeoutError as error:
            raise LinkClosed(f"peer {self.node} did not answer in time") from error
        finally:
            self.waiting.pop(request, None)
        if answer is None:
            raise LinkClosed(f"connection to peer {self.node} lost")
        return answer

    async def execute(self, message: Execute) -> AsyncIterator[Message]:
        """Send a statement and yield the messages of its answer.

        Raises
        ------
        RequestError
            Not run, if the statement was not sent; unknown, if the connection was
            lost after sending.
        """
        queue = self._register(message.request)
        finished = False
        try:
            if self.closed:
                raise make_not_run("forward", "peer connection lost", peer=self.node)
            try:
                await self.send(message)
            except LinkClosed as error:
                raise make_unknown("forward", str(error), peer=self.node) from error
            except CodecError as error:
                # The limit on statements is close to the limit on frames.
                raise make_not_run("encode", str(error), peer=self.node) from error
            while not finished:
                answer = await queue.get()
                if answer is None:
                    raise make_unknown(
                        "forward", "peer connection lost", peer=self.node
                    )
                finished = isinstance(answer, Done | Failed)
                yield answer
                if isinstance(answer, Rows):
                    # A lost connection shows in the queue, behind what has arrived.
                    with contextlib.suppress(LinkClosed):
                        await self.send(Credit(message.request, 1))
        finally:
            self.waiting.pop(message.request, None)
            if not finished and not self.closed:
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
        """Close the connection and fail all waiting requests."""
        await self.socket.close()
        if self.reader is not None:
            await asyncio.wait((self.reader,))

    def _register(self, request: int) -> asyncio.Queue[Message | None]:
        queue: asyncio.Queue[Message | None] = asyncio.Queue()
        self.waiting[request] = queue
        if self.closed:
            queue.put_nowait(None)
        return queue

    async def _read(self) -> None:
        try:
            async for frame in self.socket:
                if not isinstance(frame, bytes):
                    break
                message = decode(frame)
                queue = self.waiting.get(getattr(message, "request", 0))
                # An answer without a waiting request is late: its request was
                # cancelled, and it must not reach another one.
                if queue is not None:
                    queue.put_nowait(message)
        except (WebSocketException, OSError, CodecError):
            pass
        finally:
            self.closed = True
            for queue in self.waiting.values():
                queue.put_nowait(None)
            await self.socket.close()


async def open_link(
    address: str, node: str, secret: bytes, *, tls: ssl.SSLContext | None = None
) -> PeerLink:
    """Connect to a peer and authenticate.

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
        If the peer can't be reached, or isn't authentic.
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
        raise LinkClosed(f"can't reach peer at {address}: {error!r}") from error
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
        raise HandshakeError("peer did not answer with a challenge")
    await socket.send(encode(answer_challenge(hello, challenge, secret)))
    welcome = decode(_as_frame(await socket.recv()))
    if not isinstance(welcome, Welcome):
        raise HandshakeError("peer did not accept the proof")
    return welcome


def _as_frame(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise HandshakeError("peer sent a text frame")
    return frame
