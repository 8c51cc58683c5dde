"""Compressed copies that nodes send each other, authenticated by the peer secret."""

from __future__ import annotations

import hashlib
import hmac
import json
import zlib
from typing import Any, Final

MAC_BYTES: Final = 32
MAX_COPY_BYTES: Final = 1_000_000
"""A copy is sent in one peer frame of at most 1 MiB."""


def seal_copy(kind: str, value: dict[str, Any], secret: str) -> bytes:
    """Return a compressed copy with its authentication code.

    Parameters
    ----------
    kind : str
        Kind of the copied objects; covered by the code, so that a copy of one kind is
        never accepted as another.
    value : dict
        The copied objects as a JSON value.
    secret : str
        The peer secret.

    Raises
    ------
    ValueError
        If the copy does not fit into one peer frame.
    """
    payload = zlib.compress(json.dumps(value, separators=(",", ":")).encode())
    if len(payload) + MAC_BYTES > MAX_COPY_BYTES:
        raise ValueError(
            f"copy of {kind} has {len(payload)} bytes; too large for a peer frame"
        )
    return _compute_mac(kind, payload, secret) + payload


def open_copy(kind: str, data: bytes, secret: str) -> dict[str, Any] | None:
    """Return the value in a copy, or None if the copy is not authentic."""
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(kind, payload, secret)):
        return None
    value = json.loads(zlib.decompress(payload))
    return value if isinstance(value, dict) else None


def _compute_mac(kind: str, payload: bytes, secret: str) -> bytes:
    message = kind.encode() + b"\0" + payload
    return hmac.digest(secret.encode(), message, hashlib.sha256)
