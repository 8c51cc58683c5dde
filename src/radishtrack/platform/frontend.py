"""Serves clients over the platform's line protocol, one task per connection."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from radishtrack.events import Event, log_event
from radishtrack.platform.lines import ConnectionEnded, LineConnection, encode_line
from radishtrack.platform.wire import (
    WireError,
    format_client_response,
    format_error,
    format_ready,
    parse_query,
    parse_startup,
)
from radishtrack.pooler.node import Node
from radishtrack.pooler.session import ClientSession, Denied
from radishtrack.pooler.statements import ClientStatement, TransactionState
from radishtrack.pooler.tasks import start_task

STARTUP_TIMEOUT_MS: Final = 5_000.0
"""Time for the startup message; clients themselves give up after 2 s."""
ACCEPT_BACKLOG: Final = 512
"""Length of the accept queue; a full one delays new connections by seconds."""


@attrs.define(eq=False)
class ClientConnection:
    """A client's connection and session, and what its task waits for."""

    connection: LineConnection
    session: ClientSession | None = None
    is_waiting: bool = False
    is_sending: bool = False
    statement: ClientStatement | None = None
    """Statement that is running."""
    limit: asyncio.Timeout | None = None
    """Ends the connection's task when a planned stop ends."""

    @property
    def is_closable(self) -> bool:
        """Whether closing interrupts neither a request nor a transaction."""
        is_idle = self.session is None or self.session.state is TransactionState.IDLE
        return self.is_waiting and is_idle and not self.connection.has_input


@attrs.define(eq=False)
class Frontend:
    """Clients of a node; construct it with `start_frontend`."""

    node: Node
    server: asyncio.Server | None = None
    clients: set[ClientConnection] = attrs.field(factory=set)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    is_closing_idle: bool = False

    def accept(self, connection: LineConnection) -> None:
        """Start the task of a new connection."""
        task = start_task(self._serve(connection), "client connection")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close idle connections now and the others as soon as they become idle."""
        self.is_closing_idle = True
        for client in tuple(self.clients):
            if client.is_closable:
                client.connection.close()

    def close_waiting(self) -> None:
        """Close connections without a running statement, even in a transaction."""
        for client in tuple(self.clients):
            if client.is_waiting and not client.connection.has_input:
                client.connection.close()

    def answer_running(self) -> None:
        """Answer the statements that still run, and close the connections.

        Answers that clients still receive go on until the process exits.
        """
        now_s = asyncio.get_running_loop().time()
        for client in tuple(self.clients):
            if client.is_sending or client.limit is None:
                continue
            if client.limit.when() is None:
                client.limit.reschedule(now_s)

    async def _serve(self, connection: LineConnection) -> None:
        client = ClientConnection(connection)
        self.clients.add(client)
        try:
            async with asyncio.timeout(None) as client.limit:
                await self._start_session(client)
                while client.session is not None and await self._serve_next(client):
                    pass
        except TimeoutError:
            if client.limit is None or not client.limit.expired():
                raise
            if client.session is not None and client.statement is not None:
                response = client.session.abort(client.statement)
                connection.write(encode_line(format_client_response(response)))
        except ConnectionEnded:
            pass
        except WireError as error:
            log_event(Event.CLIENT_MALFORMED, reason=error)
        finally:
            client.limit = None
            if client.session is not None:
                await self.node.close_session(client.session)
            connection.close()
            # A planned stop waits for clients that still receive an answer.
            await connection.wait_closed()
            self.clients.discard(client)

    async def _start_session(self, client: ClientConnection) -> None:
        connection = client.connection
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_MS / 1000):
                line = await connection.read_line()
        except TimeoutError:
            return
        database, key = parse_startup(line)
        result = await self.node.open_session(database, key)
        if isinstance(result, Denied):
            connection.write(encode_line(format_error(result.refusal, result.detail)))
            return
        client.session = result
        connection.write(encode_line(format_ready(result.state)))

    async def _serve_next(self, client: ClientConnection) -> bool:
        """Serve one request; return whether to keep the session."""
        session, connection = client.session, client.connection
        assert session is not None
        is_idle = session.state is TransactionState.IDLE and not connection.has_input
        if self.is_closing_idle and is_idle:
            return False
        line = await self._read_request(client)
        if line == "TERMINATE":
            return False
        client.statement = parse_query(line)
        response = await session.handle(client.statement)
        client.statement = None
        client.is_sending = True
        await connection.send(encode_line(format_client_response(response)))
        client.is_sending = False
        return not session.needs_close

    async def _read_request(self, client: ClientConnection) -> str:
        session = client.session
        assert session is not None
        client.is_waiting = True
        try:
            if session.state is TransactionState.OPEN:
                idle_ms = self.node.store_copy.catalog.idle_transaction_ms
                try:
                    async with asyncio.timeout(idle_ms / 1000):
                        return await client.connection.read_line()
                except TimeoutError:
                    await session.expire_transaction()
            return await client.connection.read_line()
        finally:
            client.is_waiting = False


async def start_frontend(node: Node, host: str, port: int) -> Frontend:
    """Start to listen for clients."""
    frontend = Frontend(node)
    loop = asyncio.get_running_loop()
    frontend.server = await loop.create_server(
        lambda: LineConnection(frontend.accept), host, port, backlog=ACCEPT_BACKLOG
    )
    return frontend
