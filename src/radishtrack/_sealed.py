"""Copies that nodes hand to each other, authenticated by the peer secret."""

from __future__ import annotations

import hashlib
import hmac
import json
import zlib
from typing import Any, Final

MAC_BYTES: Final = 32
MAX_COPY_BYTES: Final = 1_000_000
"""A copy travels in one peer frame of at most 1 MiB."""


def seal_copy(kind: str, value: dict[str, Any], secret: str) -> bytes:
    """Return a compressed copy with its authentication code.

    Parameters
    ----------
    kind : str
        What the copy is of; a copy of one kind is never taken for another.
    value : dict
        JSON value.
    secret : str
        The peer secret.

    Raises
    ------
    ValueError
        If the copy does not fit into one peer frame.
    """
    content = zlib.compress(json.dumps(value, separators=(",", ":")).encode())
    if len(content) + MAC_BYTES > MAX_COPY_BYTES:
        raise ValueError(f"copy of {kind} has {len(content)} bytes, too many to send")
    return _compute_mac(kind, content, secret) + content


def open_copy(kind: str, data: bytes, secret: str) -> dict[str, Any] | None:
    """Return the value of a copy, or None if it is not authentic."""
    mac, content = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(kind, content, secret)):
        return None
    value = json.loads(zlib.decompress(content))
    return value if isinstance(value, dict) else None


def _compute_mac(kind: str, content: bytes, secret: str) -> bytes:
    message = kind.encode() + b"\0" + content
    return hmac.digest(secret.encode(), message, hashlib.sha256)
