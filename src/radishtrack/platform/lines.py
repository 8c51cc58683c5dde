"""A TCP connection that carries lines, for clients and for members."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final, cast

MAX_LINE_BYTES: Final = 1_048_576
"""Longest line of the protocol."""
HIGH_WATER_BYTES: Final = 2 * MAX_LINE_BYTES
"""Unread input at which the connection stops reading."""
MAX_UNSENT_BYTES: Final = 4 * MAX_LINE_BYTES
"""Unsent output at which a peer that does not read loses its connection."""
USER_TIMEOUT_MS: Final = 3_000
"""The kernel gives up a connection whose peer acknowledges nothing for so long; members
drop connections to dark hosts after the same time."""
KEEPALIVE_S: Final = 2
"""Pause between keep-alive probes, so that an idle connection to a dark host ends."""


class ConnectionEnded(Exception):
    """Raised when the other side has closed, or the line is too long."""


class LineConnection(asyncio.Protocol):
    """Splits input into lines; one reader at a time."""

    def __init__(self, on_open: Callable[[LineConnection], None] | None = None) -> None:
        self.on_open = on_open
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.scanned = 0
        self.ended = False
        self.waiter: asyncio.Future[None] | None = None
        self.is_paused = False
        self.on_end: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self.transport = cast("asyncio.Transport", transport)
        connected = transport.get_extra_info("socket")
        if connected is not None:
            _set_options(connected)
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Keep input for `read_line`."""
        self.buffer += data
        if len(self.buffer) > HIGH_WATER_BYTES and self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the other side sends nothing more."""
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection has ended."""
        self.ended = True
        self._wake()
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended or is being closed."""
        return self.ended or self.transport is None or self.transport.is_closing()

    @property
    def has_input(self) -> bool:
        """Whether input has arrived that nobody has read."""
        return bool(self.buffer)

    async def read_line(self) -> str:
        """Return the next line without its end.

        Raises
        ------
        ConnectionEnded
            If the connection ended before the end of the line.
        """
        while True:
            end = self.buffer.find(b"\n", self.scanned)
            if end >= 0:
                return self._take_line(end)
            self.scanned = len(self.buffer)
            if self.scanned > MAX_LINE_BYTES:
                raise ConnectionEnded("line is too long")
            if self.is_closed:
                raise ConnectionEnded("connection closed")
            self._resume()
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None

    def write(self, data: bytes) -> None:
        """Send bytes; a peer that does not read is disconnected."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.transport.abort()

    def close(self) -> None:
        """Close after sending what is left."""
        self.on_end = None
        if self.transport is not None:
            self.transport.close()
        self._wake()

    def abort(self) -> None:
        """Close at once."""
        self.on_end = None
        if self.transport is not None:
            self.transport.abort()
        self._wake()

    def _take_line(self, end: int) -> str:
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        self.scanned = 0
        if len(line) > MAX_LINE_BYTES:
            raise ConnectionEnded("line is too long")
        return line.removesuffix(b"\r").decode("utf-8", "surrogateescape")

    def _resume(self) -> None:
        if self.is_paused and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


def encode_line(text: str) -> bytes:
    """Return a line with its end."""
    return text.encode("utf-8", "surrogateescape") + b"\r\n"


def _set_options(connected: socket.socket) -> None:
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
