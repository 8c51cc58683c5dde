"""HTTP client for the platform's calls, with reuse of idle connections.

It has h11 for the protocol and nothing else, because a node's start is part of every
recovery, and a full client library takes a third of it to import.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import attrs
import h11

from radishtrack.platform.sockets import (
    limit_unacknowledged,
    reset_connection,
    set_reset_on_close,
)

READ_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
"""Longest body of a response; lists come in pages of about 1 MB."""
IDLE_CONNECTION_S: Final = 5.0
"""Idle connections are closed before an intermediary drops them."""
MIN_BYTES_PER_S: Final = 8_000
"""Average rate below which a response that keeps arriving is given up."""
MAX_IDLE_CONNECTIONS: Final = 4
"""Number of idle connections that are kept; calls are seldom concurrent."""


class HttpError(Exception):
    """Raised for a request without a complete response.

    Parameters
    ----------
    reason : str
        What failed.
    is_sent : bool
        Whether the request may have arrived.
    received_bytes : int
        Size of what was received of the response.
    """

    def __init__(self, reason: str, *, is_sent: bool, received_bytes: int = 0) -> None:
        super().__init__(reason)
        self.is_sent = is_sent
        self.received_bytes = received_bytes


@attrs.frozen
class HttpResponse:
    """Status, body and headers of a response.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        The whole body.
    headers : mapping
        Values by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[bytes, bytes]


@attrs.define(eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(our_role=h11.CLIENT)
    )
    idle_since_s: float = 0.0
    received_bytes: int = 0
    """Size of what was received in the latest exchange."""

    @property
    def is_reusable(self) -> bool:
        """Whether the next request can be sent."""
        return (
            self.protocol.our_state is h11.IDLE
            and not self.reader.at_eof()
            and not self.writer.is_closing()
            and _now_s() - self.idle_since_s < IDLE_CONNECTION_S
        )

    async def exchange(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        on_received: Callable[[int], None],
    ) -> HttpResponse:
        """Send a request and read its response.

        `on_received` is called with the size of what has been received so far.
        """
        protocol = self.protocol
        request = h11.Request(method=method, target=path, headers=headers)
        data = protocol.send(request) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        self.received_bytes = 0
        # A request must not arrive after the end of the process that sent it, either.
        set_reset_on_close(self.writer.transport, is_reset=True)
        self.writer.write(data)
        status, content = 0, bytearray()
        response_headers: dict[bytes, bytes] = {}
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                received = await self.reader.read(READ_BYTES)
                protocol.receive_data(received)
                self.received_bytes += len(received)
                on_received(self.received_bytes)
            elif isinstance(event, h11.Response):
                status = event.status_code
                response_headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                content += event.data
                if len(content) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError("response is too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("connection closed before a response")
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
        set_reset_on_close(self.writer.transport, is_reset=False)
        self.idle_since_s = _now_s()
        return HttpResponse(status, bytes(content), response_headers)

    def close(self) -> None:
        """Close the connection after a complete exchange."""
        self.writer.transport.abort()

    def reset(self) -> None:
        """Give up an exchange: what has not arrived of the request never does."""
        reset_connection(self.writer.transport)


@attrs.define(eq=False)
class HttpClient:
    """Client of one address, ``host:port``."""

    address: str
    idle: list[_Connection] = attrs.field(factory=list)

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: float,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> HttpResponse:
        """Send one request and return its response.

        Parameters
        ----------
        method, path : str
            Method and target.
        timeout_ms : float
            Longest wait in milliseconds for the start of the response, connecting
            included, and for each further part of it. A response may take longer as a
            whole: its size is not known beforehand, nor what the link carries.
        headers : mapping, optional
            Headers besides the host, type and length of the body.
        body : bytes
            JSON text; empty for none.

        Raises
        ------
        HttpError
            If there is no complete response.
        """
        all_headers = [("Host", self.address), *(headers or {}).items()]
        if body:
            all_headers.append(("Content-Type", "application/json"))
        if body or method != "GET":
            all_headers.append(("Content-Length", str(len(body))))
        connection: _Connection | None = None
        is_complete = False

        def fail(reason: str) -> HttpError:
            received_bytes = 0 if connection is None else connection.received_bytes
            return HttpError(
                reason, is_sent=connection is not None, received_bytes=received_bytes
            )

        timeout_s, started_s = timeout_ms / 1000, _now_s()

        def extend(received_bytes: int) -> None:
            slowest_s = started_s + timeout_s + received_bytes / MIN_BYTES_PER_S
            limit.reschedule(min(_now_s() + timeout_s, slowest_s))

        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection = self._take_idle()
                if connection is None:
                    connection = await self._connect()
                response = await connection.exchange(
                    method, path, all_headers, body, extend
                )
            is_complete = True
        except TimeoutError as error:
            raise fail("TimeoutError") from error
        except (OSError, h11.ProtocolError) as error:
            raise fail(str(error) or type(error).__name__) from error
        finally:
            # The response to an incomplete exchange could reach the next request.
            if connection is not None and not is_complete:
                connection.reset()
        if connection.is_reusable and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()
        return response

    async def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    def _take_idle(self) -> _Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None

    async def _connect(self) -> _Connection:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        limit_unacknowledged(writer.transport)
        return _Connection(reader, writer)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
