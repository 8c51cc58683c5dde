"""Tests that peers reject malformed frames, other versions and a wrong secret."""

from __future__ import annotations

import attrs
import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.peer.codec import CodecError, decode, encode
from radishtrack.peer.handshake import (
    HandshakeError,
    make_challenge,
    make_hello,
    make_proof,
    verify_proof,
)
from radishtrack.peer.messages import (
    MAX_FRAME_BYTES,
    MESSAGE_TYPES,
    Cancel,
    Done,
    Message,
    Proof,
    Rows,
)
from radishtrack.peer.token_codec import (
    decode_grant,
    decode_request,
    encode_grant,
    encode_request,
)
from radishtrack.rates.messages import Settlement, Stamp, TokenGrant, TokenRequest

SECRET = b"secret of the fleet"
_VALUES = {
    "int": st.integers(-(2**62), 2**62),
    "str": st.text(max_size=20),
    "bytes": st.binary(max_size=20),
    "bool": st.booleans(),
    "float": st.floats(allow_nan=False),
    "tuple[str, ...]": st.lists(st.text(max_size=5), max_size=3).map(tuple),
    "tuple[int, ...]": st.lists(st.integers(0, 300), max_size=3).map(tuple),
    "tuple[bytes, ...]": st.lists(st.binary(max_size=5), max_size=3).map(tuple),
    "tuple[tuple[str, int], ...]": st.lists(
        st.tuples(st.text(max_size=5), st.integers(0, 300)), max_size=3
    ).map(tuple),
    "tuple[tuple[str, int, float], ...]": st.lists(
        st.tuples(st.text(max_size=5), st.integers(0, 300), st.floats(allow_nan=False)),
        max_size=3,
    ).map(tuple),
    "tuple[PackedReport, ...]": st.lists(
        st.tuples(
            st.text(max_size=5),
            st.text(max_size=5),
            st.booleans(),
            *(st.integers(0, 2**40) for _ in range(6)),
            *(st.floats(allow_nan=False) for _ in range(2)),
            *(st.integers(-1, 2**40) for _ in range(2)),
        ),
        max_size=3,
    ).map(tuple),
    "tuple[Row, ...]": st.lists(
        st.lists(st.none() | st.text(max_size=5) | st.binary(max_size=5)).map(tuple),
        max_size=3,
    ).map(tuple),
}


def make_messages() -> st.SearchStrategy[Message]:
    return st.one_of(
        [
            st.builds(kind, *(_VALUES[str(field.type)] for field in attrs.fields(kind)))
            for kind in MESSAGE_TYPES
        ]
    )


@settings(derandomize=True, deadline=None, max_examples=300)
@given(make_messages())
def test_every_message_survives_the_wire(message: Message) -> None:
    assert decode(encode(message)) == message


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=60))
def test_noise_is_refused_and_never_crashes(frame: bytes) -> None:
    try:
        message = decode(frame)
    except CodecError:
        return
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "content",
    [
        [],
        [999, 1],
        [True, 1],
        ["1", 1],
        [MESSAGE_TYPES.index(Cancel)],
        [MESSAGE_TYPES.index(Cancel), 1, 2],
        [MESSAGE_TYPES.index(Cancel), "1"],
        [MESSAGE_TYPES.index(Done), 1, 1, 1, 1, 1, "m", "primary", 1],
        {"type": 1},
    ],
)
def test_malformed_frames_are_rejected(content: object) -> None:
    with pytest.raises(CodecError):
        decode(cbor2.dumps(content))


def test_a_frame_over_the_limit_is_not_sent() -> None:
    with pytest.raises(CodecError, match="limit"):
        encode(Rows(1, (("x" * MAX_FRAME_BYTES,),)))


def test_a_handshake_succeeds_with_the_same_secret() -> None:
    hello = make_hello("p1")
    challenge = make_challenge(hello, "p2", SECRET)
    verify_proof(hello, challenge, make_proof(hello, challenge, SECRET), SECRET)


def test_a_server_without_the_secret_is_rejected() -> None:
    hello = make_hello("p1")
    challenge = make_challenge(hello, "p2", b"another")
    with pytest.raises(HandshakeError, match="p2"):
        make_proof(hello, challenge, SECRET)


def test_a_client_without_the_secret_is_rejected() -> None:
    hello = make_hello("p1")
    challenge = make_challenge(hello, "p2", SECRET)
    with pytest.raises(HandshakeError, match="p1"):
        verify_proof(hello, challenge, Proof(b"x" * 32), SECRET)


def test_a_reflected_proof_is_rejected() -> None:
    """The server's own proof must not be accepted as the client's."""
    hello = make_hello("p1")
    challenge = make_challenge(hello, "p2", SECRET)
    with pytest.raises(HandshakeError):
        verify_proof(hello, challenge, Proof(challenge.proof), SECRET)


def test_a_proof_of_another_handshake_is_rejected() -> None:
    hello = make_hello("p1")
    old = make_proof(hello, make_challenge(hello, "p2", SECRET), SECRET)
    with pytest.raises(HandshakeError):
        verify_proof(hello, make_challenge(hello, "p2", SECRET), old, SECRET)


def test_another_version_is_rejected_by_both_sides() -> None:
    hello = attrs.evolve(make_hello("p1"), version=99)
    with pytest.raises(HandshakeError, match="version 99"):
        make_challenge(hello, "p2", SECRET)
    challenge = make_challenge(make_hello("p1"), "p2", SECRET)
    with pytest.raises(HandshakeError, match="version 99"):
        make_proof(make_hello("p1"), attrs.evolve(challenge, version=99), SECRET)


def test_token_messages_are_decoded_as_encoded() -> None:
    request = TokenRequest(
        "o", "p1.7", 3, 5, 2.5, (Settlement(1, 2, 0),), Stamp(1, 2, 3.5), 4, True
    )
    grant = TokenGrant("o", "p1.7", 3, Stamp(1, 2, 3.5), 5, 200.0, 0.0, True, False)
    assert decode_request(encode_request(request)) == request
    assert decode_grant(encode_grant(grant)) == grant
    assert decode_grant(encode_grant(None)) is None


@pytest.mark.parametrize("payload", [b"\x00", cbor2.dumps([1, 2]), cbor2.dumps("x")])
def test_malformed_token_messages_are_rejected(payload: bytes) -> None:
    with pytest.raises(CodecError):
        decode_request(payload)
    with pytest.raises(CodecError):
        decode_grant(payload)
