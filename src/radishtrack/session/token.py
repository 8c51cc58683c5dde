"""Session tokens: the positions of a session, signed and bound to an organisation."""

from __future__ import annotations

import base64
import binascii
import enum
import hashlib
import hmac
from collections.abc import Mapping
from typing import Final

import cbor2
from expression import Error, Ok, Result

from radishtrack.errors import make_not_run
from radishtrack.session.position import Position

TOKEN_VERSION: Final = 1
MAX_TOKEN_CHARACTERS: Final = 4096

_LENGTH_BYTES: Final = 2
_HEADER_BYTES: Final = 1 + _LENGTH_BYTES
_MAC_BYTES: Final = 32
_PURPOSE: Final = b"radishtrack session token\x00"
_INTEGER_LIMIT: Final = 2**63


class TokenRefusal(enum.Enum):
    """Why a token is rejected and treated as absent."""

    TOO_LONG = "longer than any valid token"
    MALFORMED = "not a token"
    OTHER_VERSION = "of another version"
    TRUNCATED = "incomplete"
    FORGED = "the signature does not match"
    FOREIGN = "issued to another organisation"


def encode_token(
    positions: Mapping[str, Position], organisation: str, secret: bytes
) -> str:
    """Encode and sign the positions of a session.

    Parameters
    ----------
    positions : mapping of str to Position
        The last position of the session for each database.
    organisation : str
        The only organisation that can use the token.
    secret : bytes
        The secret that all nodes share.

    Returns
    -------
    str
        The token, in the base64url alphabet without padding.

    Raises
    ------
    RequestError
        If the positions do not fit into a token.
    """
    payload = cbor2.dumps(
        [
            organisation,
            {
                name: [position.term, position.sequence]
                for name, position in positions.items()
            },
        ]
    )
    if len(payload) > MAX_TOKEN_CHARACTERS:
        raise make_not_run("session", "the session used too many databases for a token")
    signed = (
        bytes([TOKEN_VERSION]) + len(payload).to_bytes(_LENGTH_BYTES, "big") + payload
    )
    text = _encode_base64(signed + _sign(signed, secret))
    if len(text) > MAX_TOKEN_CHARACTERS:
        raise make_not_run("session", "the session used too many databases for a token")
    return text


def decode_token(
    text: str, organisation: str, secret: bytes
) -> Result[dict[str, Position], TokenRefusal]:
    """Verify a token and return its positions.

    Parameters
    ----------
    text : str
        The token as the client sent it.
    organisation : str
        The authenticated organisation of the client.
    secret : bytes
        The secret that all nodes share.

    Returns
    -------
    Result
        The position for each database, or why the token was rejected.
    """
    if len(text) > MAX_TOKEN_CHARACTERS:
        return Error(TokenRefusal.TOO_LONG)
    data = _decode_base64(text)
    if data is None or len(data) < 1:
        return Error(TokenRefusal.MALFORMED)
    if data[0] != TOKEN_VERSION:
        return Error(TokenRefusal.OTHER_VERSION)
    payload_bytes = int.from_bytes(data[1:_HEADER_BYTES], "big")
    if len(data) < _HEADER_BYTES + payload_bytes + _MAC_BYTES:
        return Error(TokenRefusal.TRUNCATED)
    signed, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
    if not hmac.compare_digest(mac, _sign(signed, secret)):
        return Error(TokenRefusal.FORGED)
    return _decode_payload(signed[_HEADER_BYTES:], organisation)


def _sign(signed: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, _PURPOSE + signed, hashlib.sha256)


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _decode_base64(text: str) -> bytes | None:
    try:
        data = base64.b64decode(
            text.encode("ascii") + b"=" * (-len(text) % 4),
            altchars=b"-_",
            validate=True,
        )
    except (binascii.Error, UnicodeEncodeError):
        return None
    # Base64 has several encodings of the same bytes; only the canonical one is valid.
    return data if _encode_base64(data) == text else None


def _decode_payload(
    payload: bytes, organisation: str
) -> Result[dict[str, Position], TokenRefusal]:
    try:
        issued_to, entries = cbor2.loads(payload)
        positions = {
            str(name): Position(_check_integer(term), _check_integer(sequence))
            for name, (term, sequence) in entries.items()
        }
    except (cbor2.CBORError, ValueError, TypeError, AttributeError):
        return Error(TokenRefusal.MALFORMED)
    if issued_to != organisation:
        return Error(TokenRefusal.FOREIGN)
    return Ok(positions)


def _check_integer(value: object) -> int:
    if not isinstance(value, int) or not 0 <= value < _INTEGER_LIMIT:
        raise ValueError
    return value
