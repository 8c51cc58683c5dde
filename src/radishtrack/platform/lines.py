"""TCP connection of the line protocol, for clients and for members."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final, cast

from radishtrack.platform.sockets import (
    limit_unacknowledged,
    reset_connection,
    set_reset_on_close,
)

LINE_END: Final = b"\r\n"
"""End of a line; either byte alone may be part of the last field."""
MAX_LINE_BYTES: Final = 1_048_576
"""Longest line of the protocol."""
HIGH_WATER_BYTES: Final = 2 * MAX_LINE_BYTES
"""Unread input at which the connection stops reading."""
MAX_UNSENT_BYTES: Final = 4 * MAX_LINE_BYTES
"""Unsent output at which the connection to a peer that does not read is aborted."""
SEND_CHUNK_BYTES: Final = MAX_LINE_BYTES
"""Size of the parts in which a long output is handed to the transport."""
KEEPALIVE_INTERVAL_S: Final = 2
"""Interval of keep-alive probes, which end idle connections to unreachable hosts."""


class ConnectionEnded(Exception):
    """Raised when the connection has ended or a line is too long."""


class LineConnection(asyncio.Protocol):
    """Splits input into lines; `read_line` may have one caller at a time."""

    def __init__(self, on_open: Callable[[LineConnection], None] | None = None) -> None:
        self.on_open = on_open
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.scanned_bytes = 0
        self.has_ended = False
        self.waiter: asyncio.Future[None] | None = None
        self.is_paused = False
        self.can_write = asyncio.Event()
        self.is_lost = asyncio.Event()
        self.on_end: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options and call `on_open`."""
        self.transport = cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(SEND_CHUNK_BYTES)
        self.can_write.set()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)
        limit_unacknowledged(transport)
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Buffer input for `read_line`."""
        self.buffer += data
        if len(self.buffer) > HIGH_WATER_BYTES and self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of input; the transport then closes."""
        self.has_ended = True
        self._wake()
        return False

    def pause_writing(self) -> None:
        """Let `send` wait until the peer has taken most of the output."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Let `send` continue."""
        self.can_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection and call `on_end`."""
        self.has_ended = True
        self.can_write.set()
        self.is_lost.set()
        self._wake()
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended or is being closed."""
        return self.has_ended or self.transport is None or self.transport.is_closing()

    @property
    def has_input(self) -> bool:
        """Whether unread input is buffered."""
        return bool(self.buffer)

    async def read_line(self) -> str:
        """Return the next line without its line ending.

        Raises
        ------
        ConnectionEnded
            If the connection ended before the line did, or the line is too long.
        """
        while True:
            end = self.buffer.find(LINE_END, self.scanned_bytes)
            if end >= 0:
                return self._pop_line(end)
            # The line end may have arrived in part.
            self.scanned_bytes = max(0, len(self.buffer) - 1)
            if self.scanned_bytes > MAX_LINE_BYTES:
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

    async def send(self, data: bytes) -> None:
        """Send bytes at the pace of the peer; return once little of them is unsent.

        The kernel ends the connection to a peer that takes nothing for a while, see
        `limit_unacknowledged`.
        """
        for start in range(0, len(data), SEND_CHUNK_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            self.transport.write(data[start : start + SEND_CHUNK_BYTES])
            await self.can_write.wait()

    async def wait_closed(self) -> None:
        """Wait until a connection that is being closed has sent its output."""
        if self.transport is not None:
            await self.is_lost.wait()

    def set_reset_on_close(self, *, is_reset: bool) -> None:
        """Choose whether output is lost that has not arrived when the socket closes."""
        if self.transport is not None:
            set_reset_on_close(self.transport, is_reset=is_reset)

    def close(self) -> None:
        """Close after sending buffered output."""
        self.on_end = None
        if self.transport is not None:
            self.transport.close()
        self._wake()

    def abort(self) -> None:
        """Reset the connection, so that unsent output does not arrive later."""
        self.on_end = None
        if self.transport is not None:
            reset_connection(self.transport)
        self._wake()

    def _pop_line(self, end: int) -> str:
        line = bytes(self.buffer[:end])
        del self.buffer[: end + len(LINE_END)]
        self.scanned_bytes = 0
        if len(line) > MAX_LINE_BYTES:
            raise ConnectionEnded("line is too long")
        return line.decode("utf-8", "surrogateescape")

    def _resume(self) -> None:
        if self.is_paused and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


def encode_line(text: str) -> bytes:
    """Return an encoded line with its line ending."""
    return text.encode("utf-8", "surrogateescape") + LINE_END


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
