"""Socket options that decide what becomes of bytes that were not acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Final

USER_TIMEOUT_MS: Final = 3_000
"""Time after which the kernel closes a connection whose peer acknowledges nothing;
members close connections to unreachable hosts after the same time."""
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER: Final = struct.pack("ii", 0, 0)


def limit_unacknowledged(transport: asyncio.BaseTransport) -> None:
    """Close a connection whose peer acknowledges nothing for `USER_TIMEOUT_MS`."""
    _set_option(transport, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def set_reset_on_close(transport: asyncio.BaseTransport, *, is_reset: bool) -> None:
    """Choose whether the kernel resets a connection when its socket is closed.

    Otherwise it goes on sending what it has, also after the process was killed, and
    that arrives when a partition ends.
    """
    value = RESET_ON_CLOSE if is_reset else CLOSE_IN_ORDER
    _set_option(transport, socket.SOL_SOCKET, socket.SO_LINGER, value)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, so that none of its undelivered bytes arrives later."""
    set_reset_on_close(transport, is_reset=True)
    transport.abort()


def _set_option(
    transport: asyncio.BaseTransport, level: int, option: int, value: int | bytes
) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # The socket may be closed already.
        with contextlib.suppress(OSError, ValueError):
            sock.setsockopt(level, option, value)
