"""Encodes token requests and grants as payloads of peer messages."""

from __future__ import annotations

from typing import Any

import attrs
import cbor2

from radishtrack.peer.codec import CodecError
from radishtrack.rates.messages import Settlement, Stamp, TokenGrant, TokenRequest


def encode_request(request: TokenRequest) -> bytes:
    """Return the payload for a token request."""
    return cbor2.dumps(attrs.astuple(request))


def decode_request(payload: bytes) -> TokenRequest:
    """Return the token request in a payload.

    Raises
    ------
    CodecError
        If the payload is not a token request.
    """
    try:
        fields: list[Any] = cbor2.loads(payload)
        organisation, holder, request_id, token_count, demand, *rest = fields
        settlements, echo, revision, leaving = rest
        return TokenRequest(
            organisation,
            holder,
            request_id,
            token_count,
            demand,
            tuple(Settlement(*entry) for entry in settlements),
            None if echo is None else Stamp(*echo),
            revision,
            leaving,
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise CodecError(f"not a token request: {error}") from error


def encode_grant(grant: TokenGrant | None) -> bytes:
    """Return the payload for a grant; None means that the node is not the allocator."""
    return b"" if grant is None else cbor2.dumps(attrs.astuple(grant))


def decode_grant(payload: bytes) -> TokenGrant | None:
    """Return the grant in a payload, or None if the sender is not the allocator.

    Raises
    ------
    CodecError
        If the payload is not a grant.
    """
    if not payload:
        return None
    try:
        fields: list[Any] = cbor2.loads(payload)
        organisation, holder, request_id, stamp, *rest = fields
        return TokenGrant(organisation, holder, request_id, Stamp(*stamp), *rest)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise CodecError(f"not a token grant: {error}") from error
