"""Accepts connections from peers and passes their messages to handlers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Final

import attrs
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from radishtrack.errors import Outcome
from radishtrack.events import Event, log_event
from radishtrack.peer.codec import CodecError, decode, encode, encode_rows
from radishtrack.peer.handshake import HandshakeError, make_challenge, verify_proof
from radishtrack.peer.link import INITIAL_CREDIT_CHUNKS, PING_INTERVAL_S, PING_TIMEOUT_S
from radishtrack.peer.messages import (
    MAX_FRAME_BYTES,
    Cancel,
    Credit,
    EndSession,
    Execute,
    Failed,
    Hello,
    Message,
    Proof,
    Rows,
    Welcome,
)

if TYPE_CHECKING:
    import ssl

HANDSHAKE_TIMEOUT_S: Final = 2.0
CREDIT_TIMEOUT_S: Final = 30.0

ExecuteHandler = Callable[[str, Execute], AsyncIterator[Message]]
EndSessionHandler = Callable[[str, int], Awaitable[None]]
CallHandler = Callable[[str, Message], Awaitable[Message | None]]


@attrs.define
class PeerHandlers:
    """Handlers for the messages of a node's peers.

    Parameters
    ----------
    execute : callable
        Takes the connection's identifier and a statement; yields the response.
    end_session : callable
        Takes the connection's identifier and a session number.
    end_connection : callable
        Takes the connection's identifier; ends all sessions of the connection.
    call : callable
        Takes the peer's node name and any other message; returns the response or None.
    observe_control : callable
        Called with the size in bytes of each response outside of statements.
    incarnation : int
        Incarnation of this node's process; see `Welcome`.
    """

    execute: ExecuteHandler
    end_session: EndSessionHandler
    end_connection: Callable[[str], Awaitable[None]]
    call: CallHandler
    observe_control: Callable[[int], None]
    incarnation: int = 0


@attrs.define
class _ServerLink:
    """State of one accepted connection."""

    socket: ServerConnection
    node: str
    connection_id: str
    handlers: PeerHandlers
    tasks: dict[int, asyncio.Task[None]] = attrs.field(factory=dict)
    credits: dict[int, asyncio.Semaphore] = attrs.field(factory=dict)

    async def read(self) -> None:
        async for frame in self.socket:
            if not isinstance(frame, bytes):
                raise CodecError("peer sent a text frame")
            self._dispatch(decode(frame))

    async def end(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks.values())
        await self.handlers.end_connection(self.connection_id)

    def _dispatch(self, message: Message) -> None:
        match message:
            case Credit():
                credit = self.credits.get(message.request)
                if credit is not None:
                    for _ in range(min(message.chunks, INITIAL_CREDIT_CHUNKS)):
                        credit.release()
            case Cancel():
                task = self.tasks.get(message.request)
                if task is not None:
                    task.cancel()
            case _:
                # Only statements can be cancelled. Other tasks get a negative key that
                # no statement has.
                number = -id(message)
                if isinstance(message, Execute):
                    number = message.request
                    self.credits[number] = asyncio.Semaphore(INITIAL_CREDIT_CHUNKS)
                task = asyncio.create_task(self._handle(message))
                self.tasks[number] = task
                task.add_done_callback(lambda _: self._remove_task(number))

    def _remove_task(self, number: int) -> None:
        self.tasks.pop(number, None)
        self.credits.pop(number, None)

    async def _handle(self, message: Message) -> None:
        # A lost connection also ends `read`, after which `end` cleans up.
        with contextlib.suppress(WebSocketException):
            try:
                await self._respond(message)
            except WebSocketException:
                raise
            except Exception as error:
                # Only this exchange fails. Without a response, the peer would wait for
                # its whole time limit.
                name = type(message).__name__
                log_event(
                    Event.BACKGROUND_FAILED,
                    task=f"response to {name} of {self.node}",
                    reason=repr(error),
                )
                number = getattr(message, "request", None)
                if number is not None:
                    failure = _make_send_failure(number, repr(error))
                    await self.socket.send(encode(failure))

    async def _respond(self, message: Message) -> None:
        if isinstance(message, Execute):
            await self._execute(message)
        elif isinstance(message, EndSession):
            await self.handlers.end_session(self.connection_id, message.session)
        else:
            response = await self.handlers.call(self.node, message)
            if response is not None:
                frame = encode(response)
                self.handlers.observe_control(len(frame))
                await self.socket.send(frame)

    async def _execute(self, message: Execute) -> None:
        credit = self.credits[message.request]
        responses = self.handlers.execute(self.connection_id, message)
        try:
            async with contextlib.aclosing(responses):  # type: ignore[type-var]
                async for response in responses:
                    if not isinstance(response, Rows):
                        await self.socket.send(encode(response))
                        continue
                    for frame in encode_rows(response):
                        # A client that stops reading would occupy a database
                        # connection, so the request is abandoned after a timeout.
                        async with asyncio.timeout(CREDIT_TIMEOUT_S):
                            await credit.acquire()
                        await self.socket.send(frame)
        except (TimeoutError, CodecError) as error:
            reason = str(error) or "the client did not read rows in time"
            await self.socket.send(encode(_make_send_failure(message.request, reason)))


def _make_send_failure(request: int, reason: str) -> Failed:
    # The statement ran on the member, but its result could not be forwarded.
    return Failed(request, "send", "", Outcome.UNKNOWN.value, 9002, reason, 0.0, False)


async def start_peer_server(
    host: str,
    port: int,
    node: str,
    secret: bytes,
    handlers: PeerHandlers,
    *,
    tls: ssl.SSLContext | None = None,
) -> Server:
    """Start to accept connections from peers.

    Parameters
    ----------
    host, port : str, int
        Address to listen on.
    node : str
        Name of this node.
    secret : bytes
        The fleet secret; peers that do not know it are refused.
    handlers : PeerHandlers
        Handlers for the peers' messages.
    tls : ssl.SSLContext, optional
        Server context for TLS.
    """

    async def accept(socket: ServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await _authenticate(socket, node, secret, handlers.incarnation)
        except (
            HandshakeError,
            CodecError,
            TimeoutError,
            WebSocketException,
        ) as error:
            log_event(Event.PEER_REFUSED, peer=socket.remote_address, reason=error)
            await socket.close(1008, "refused")
            return
        link = _ServerLink(socket, peer, f"{peer}/{socket.id}", handlers)
        try:
            await link.read()
        except (CodecError, WebSocketException) as error:
            log_event(Event.PEER_LOST, peer=peer, reason=error)
        finally:
            await link.end()

    return await serve(
        accept,
        host,
        port,
        ssl=tls,
        max_size=MAX_FRAME_BYTES,
        compression=None,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_TIMEOUT_S,
    )


async def _authenticate(
    socket: ServerConnection, node: str, secret: bytes, incarnation: int
) -> str:
    hello = decode(_as_frame(await socket.recv()))
    if not isinstance(hello, Hello):
        raise HandshakeError("peer did not start with Hello")
    challenge = make_challenge(hello, node, secret)
    await socket.send(encode(challenge))
    proof = decode(_as_frame(await socket.recv()))
    if not isinstance(proof, Proof):
        raise HandshakeError("peer did not send a proof")
    verify_proof(hello, challenge, proof, secret)
    await socket.send(encode(Welcome(node, incarnation)))
    return hello.node


def _as_frame(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise HandshakeError("peer sent a text frame")
    return frame
