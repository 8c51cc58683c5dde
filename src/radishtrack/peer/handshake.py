"""Mutual authentication of two nodes by a shared secret, with HMAC-SHA256.

Each proof covers both nonces, both node names, the protocol version and the side that
made it, so that it cannot be replayed or reflected.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import Final

import attrs

from radishtrack.peer.messages import PROTOCOL_VERSION, Challenge, Hello, Proof

NONCE_BYTES: Final = 16


class HandshakeError(Exception):
    """Raised when the peer is not authentic or has another protocol version."""


@attrs.define(frozen=True)
class Transcript:
    """The data that both proofs cover."""

    client: str
    server: str
    client_nonce: bytes
    server_nonce: bytes


def make_hello(node: str) -> Hello:
    """Return the connecting node's first message."""
    return Hello(PROTOCOL_VERSION, node, secrets.token_bytes(NONCE_BYTES))


def make_challenge(hello: Hello, node: str, secret: bytes) -> Challenge:
    """Return the accepting node's challenge with its own proof.

    Raises
    ------
    HandshakeError
        If the protocol versions differ or the nonce has the wrong length.
    """
    _check_version(hello.version)
    if len(hello.nonce) != NONCE_BYTES:
        raise HandshakeError("nonce has the wrong length")
    nonce = secrets.token_bytes(NONCE_BYTES)
    transcript = Transcript(hello.node, node, hello.nonce, nonce)
    return Challenge(
        PROTOCOL_VERSION, node, nonce, _prove(transcript, "server", secret)
    )


def make_proof(hello: Hello, challenge: Challenge, secret: bytes) -> Proof:
    """Verify the accepting node's proof and return the connecting node's proof.

    Raises
    ------
    HandshakeError
        If the protocol versions differ or the accepting node does not know the secret.
    """
    _check_version(challenge.version)
    transcript = _make_transcript(hello, challenge)
    expected = _prove(transcript, "server", secret)
    if not hmac.compare_digest(expected, challenge.proof):
        raise HandshakeError(f"node {challenge.node!r} does not know the fleet secret")
    return Proof(_prove(transcript, "client", secret))


def verify_proof(
    hello: Hello, challenge: Challenge, proof: Proof, secret: bytes
) -> None:
    """Verify the connecting node's proof.

    Raises
    ------
    HandshakeError
        If the connecting node does not know the secret.
    """
    expected = _prove(_make_transcript(hello, challenge), "client", secret)
    if not hmac.compare_digest(expected, proof.proof):
        raise HandshakeError(f"node {hello.node!r} does not know the fleet secret")


def _make_transcript(hello: Hello, challenge: Challenge) -> Transcript:
    return Transcript(hello.node, challenge.node, hello.nonce, challenge.nonce)


def _check_version(version: int) -> None:
    if version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"peer speaks protocol version {version}; this node speaks"
            f" {PROTOCOL_VERSION}"
        )


def _prove(transcript: Transcript, side: str, secret: bytes) -> bytes:
    parts = (
        side.encode(),
        str(PROTOCOL_VERSION).encode(),
        transcript.client.encode(),
        transcript.server.encode(),
        transcript.client_nonce,
        transcript.server_nonce,
    )
    framed = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(secret, framed, hashlib.sha256)
