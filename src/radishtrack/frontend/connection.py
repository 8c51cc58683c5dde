"""Client connections: limits, timeouts and fixes for `mysql-mimic`."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from typing import Any, Final

import attrs
from mysql_mimic.auth import IdentityProvider
from mysql_mimic.connection import Connection
from mysql_mimic.control import Control, TooManyConnections
from mysql_mimic.errors import ErrorCode as WireErrorCode
from mysql_mimic.packets import make_error, parse_com_stmt_reset
from mysql_mimic.server import MysqlServer
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ServerStatus

from radishtrack.events import Event, log_event

PACKET_TOO_LARGE: Final = 1153
WRITE_TIMEOUT_S: Final = 30.0
CLOSE_DELAY_S: Final = 0.1
DISCARD_TIMEOUT_S: Final = 5.0
"""Longest wait for the rest of a packet that is refused."""


class PacketTooLarge(Exception):
    """Raised when a client sends a packet that exceeds the size limit.

    Parameters
    ----------
    size, limit : int
        Size of the packet and the limit, in bytes.
    """

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"packet of {size} bytes; the limit is {limit}")
        self.size = size


@attrs.define(slots=False)
class BoundedReader:
    """Stream reader that rejects packets over a size limit.

    `mysql-mimic` reads a packet's header with ``read(4)``, which can return fewer bytes
    if the header is split over two TCP segments, and reads a packet of any announced
    length into memory.
    """

    reader: asyncio.StreamReader
    max_packet_bytes: int

    @property
    def _transport(self) -> asyncio.BaseTransport:
        return self.reader._transport  # type: ignore[attr-defined,no-any-return]

    @_transport.setter
    def _transport(self, transport: asyncio.BaseTransport) -> None:
        # The library replaces the reader's transport when TLS starts.
        self.reader._transport = transport  # type: ignore[attr-defined]

    async def read(self, count: int) -> bytes:
        """Return exactly `count` bytes, or no bytes at the end of the stream."""
        try:
            return await self.reader.readexactly(count)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            return b""

    async def readexactly(self, count: int) -> bytes:
        """Return exactly `count` bytes.

        Raises
        ------
        PacketTooLarge
            If `count` exceeds the limit.
        """
        if count > self.max_packet_bytes:
            raise PacketTooLarge(count, self.max_packet_bytes)
        return await self.reader.readexactly(count)

    async def discard(self, count: int) -> None:
        """Read and drop up to `count` bytes, for at most `DISCARD_TIMEOUT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while count > 0 and (data := await self.reader.read(count)):
                    count -= len(data)


@attrs.define(slots=False)
class TimedWriter:
    """Stream writer that aborts the connection if the client does not read in time.

    The library's packet stream is a compiled class that cannot be subclassed, so its
    reader and writer are wrapped instead.
    """

    writer: asyncio.StreamWriter

    @property
    def transport(self) -> asyncio.WriteTransport:
        """The connection's transport."""
        return self.writer.transport

    @property
    def _transport(self) -> asyncio.WriteTransport:
        return self.writer.transport

    @_transport.setter
    def _transport(self, transport: asyncio.WriteTransport) -> None:
        # The library replaces the writer's transport when TLS starts.
        self.writer._transport = transport  # type: ignore[attr-defined]

    def write(self, data: bytes) -> None:
        """Add data to the send buffer."""
        self.writer.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room, for at most `WRITE_TIMEOUT_S`."""
        if self.writer.transport.get_write_buffer_size() == 0:
            # The buffer is empty; this call only raises if the connection is lost.
            await self.writer.drain()
            return
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self.writer.drain()
        except TimeoutError as error:
            self.writer.transport.abort()
            raise ConnectionClosed from error

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@attrs.define
class HandshakeStream:
    """Packet stream of the connection phase, whose upgrade to TLS keeps early bytes.

    A client may send its TLS handshake directly after the SSL request. These bytes may
    already be in the reader's buffer, where the library's `start_tls` leaves them.

    Parameters
    ----------
    stream : MysqlStream
        The library's stream.
    reader : asyncio.StreamReader
        The reader that the stream uses.
    """

    stream: MysqlStream
    reader: asyncio.StreamReader

    def __getattr__(self, name: str) -> Any:
        return getattr(self.stream, name)

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Upgrade the connection; see `MysqlStream.start_tls`."""
        transport = self.stream.writer.transport
        # Bytes that arrive before the TLS protocol is installed would also be lost.
        transport.pause_reading()
        buffer = self.reader._buffer  # type: ignore[attr-defined]
        early_bytes = bytes(buffer)
        buffer.clear()
        upgrade = asyncio.ensure_future(self.stream.start_tls(context))
        # The first iteration of the event loop installs the TLS protocol, the second
        # one connects it.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if early_bytes:
            protocol = transport.get_protocol()
            protocol.get_buffer(len(early_bytes))[: len(early_bytes)] = early_bytes
            protocol.buffer_updated(len(early_bytes))
        await upgrade


@attrs.define(frozen=True)
class OkFields:
    """Fields of the next OK packet."""

    affected_rows: int = 0
    last_insert_id: int = 0


class ClientConnection(Connection):
    """Reports affected rows, resets sessions, and closes after a failed login."""

    next_ok: OkFields | None = None
    stream: Any

    async def connection_phase(self) -> None:
        """Perform the handshake and login, with TLS if the client requests it."""
        stream: Any = self.stream
        self.stream = HandshakeStream(stream, stream.reader.reader)
        try:
            await super().connection_phase()
        finally:
            self.stream = stream

    async def authenticate(self, **arguments: Any) -> None:
        """Check the login; if it fails, close the connection.

        `mysql-mimic` continues with the command phase after a failed login. The session
        has no user then: its `init` ends the connection, and `handle_query` refuses
        statements.
        """
        self.session.username = None
        await super().authenticate(**arguments)
        if self.session.username is None:
            self.stream.writer.close()

    def ok(self, **fields: Any) -> bytes:
        """Return an OK packet with the fields of the last executed statement."""
        if self.next_ok is not None and not fields:
            fields = attrs.asdict(self.next_ok)
        self.next_ok = None
        packet: bytes = super().ok(**fields)
        return packet

    def close_after_response(self) -> None:
        """Close the connection after a delay in which the current response is sent."""
        asyncio.get_running_loop().call_later(CLOSE_DELAY_S, self.stream.writer.close)

    async def command_phase(self) -> None:
        """Serve commands until the client disconnects or violates the protocol."""
        try:
            await super().command_phase()
        except PacketTooLarge as error:
            await self.stream.write(self.error(msg=error, code=PACKET_TOO_LARGE))
            # A close with unread input resets the connection, and the client may lose
            # the error.
            await self.stream.reader.discard(error.size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    async def handle_reset_connection(self, data: bytes) -> None:
        """Reset the session (COM_RESET_CONNECTION)."""
        await self.session.reset()
        self.prepared_stmts.clear()
        await self.stream.write(self.ok())

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Reset a prepared statement; `mysql-mimic` would also reset the session."""
        statement = self.get_stmt(parse_com_stmt_reset(data).stmt_id)
        statement.param_buffers = None
        statement.cursor = None
        await self.stream.write(self.ok())


@attrs.define
class ConnectionControl(Control):
    """Registry of the open client connections, with a limit on their number."""

    limit: int
    connections: dict[int, ClientConnection] = attrs.field(factory=dict)
    last_number: int = 0

    async def add(self, connection: ClientConnection) -> int:
        """Register a connection and return its number."""
        if len(self.connections) >= self.limit:
            raise TooManyConnections
        self.last_number = self.last_number % 0xFFFFFFFF + 1
        self.connections[self.last_number] = connection
        return self.last_number

    async def remove(self, connection_id: int) -> None:
        """Remove a connection from the registry."""
        self.connections.pop(connection_id, None)

    def count_sending(self) -> int:
        """Return the number of connections with output that is not sent yet."""
        return sum(
            connection.stream.writer.transport.get_write_buffer_size() > 0
            for connection in self.connections.values()
        )


class FrontendServer(MysqlServer):
    """MySQL server whose connections are `ClientConnection` objects."""

    def __init__(
        self,
        session_factory: Callable[[], BaseSession],
        control: ConnectionControl,
        identity_provider: IdentityProvider,
        max_packet_bytes: int,
        get_refusal_reason: Callable[[], str | None],
        **arguments: Any,
    ) -> None:
        super().__init__(
            session_factory=session_factory,
            control=control,
            identity_provider=identity_provider,
            **arguments,
        )
        self.max_packet_bytes = max_packet_bytes
        self.get_refusal_reason = get_refusal_reason

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        bounded = BoundedReader(reader, self.max_packet_bytes)
        stream = MysqlStream(bounded, TimedWriter(writer))
        connection = ClientConnection(
            stream=stream,
            session=self.session_factory(),
            control=self.control,
            server_capabilities=self.capabilities,
            identity_provider=self.identity_provider,
            ssl=self.ssl,
        )
        # Drivers compare the autocommit mode they need with the flags of the first
        # packet.
        connection.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        with contextlib.suppress(ConnectionError, ConnectionClosed):
            await self._serve(connection, stream, writer)

    async def _serve(
        self,
        connection: ClientConnection,
        stream: MysqlStream,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            reason = self.get_refusal_reason()
            if reason is not None:
                raise TooManyConnections(reason)
            number = await self.control.add(connection)
        except TooManyConnections as error:
            log_event(Event.CLIENT_REFUSED, reason=error or "connection limit")
            text = str(error) or "Too many connections"
            await stream.write(make_error(msg=text, code=WireErrorCode.CON_COUNT_ERROR))
            writer.close()
            return
        connection.connection_id = number
        try:
            await connection.start()
        except (ConnectionError, ConnectionClosed):
            raise
        except Exception as error:
            # Whatever a client sends ends its own connection only.
            log_event(Event.CLIENT_REFUSED, reason=str(error) or repr(error))
        finally:
            writer.close()
            await self.control.remove(number)
