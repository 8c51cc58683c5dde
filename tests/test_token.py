"""Session tokens: exact round trip, and rejection of tokens that were not issued."""

from __future__ import annotations

import base64

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.errors import RequestError
from radishtrack.session import token as token_module
from radishtrack.session.position import Position
from radishtrack.session.token import TokenRefusal, decode_token, encode_token

SECRET = b"fleet secret"
POSITIONS = {"strekk-db": Position(3, 17), "kalmistu-db": Position(1, 4)}
TOKEN = encode_token(POSITIONS, "sportshall", SECRET)
ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

numbers = st.integers(0, 2**62)


@settings(derandomize=True, deadline=None, max_examples=200, database=None)
@given(
    positions=st.dictionaries(
        st.text(max_size=20), st.builds(Position, numbers, numbers), max_size=8
    ),
    organisation=st.text(max_size=20),
)
def test_round_trip(positions: dict[str, Position], organisation: str) -> None:
    text = encode_token(positions, organisation, SECRET)
    assert set(text) <= set(ALPHABET)
    assert decode_token(text, organisation, SECRET).ok == positions


@settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(
    index=st.integers(0, len(TOKEN) - 1),
    letter=st.sampled_from(ALPHABET + "=+/é"),
    cut=st.sampled_from(["replace", "insert", "delete", "truncate"]),
)
def test_no_changed_token_is_accepted(index: int, letter: str, cut: str) -> None:
    changed = {
        "replace": TOKEN[:index] + letter + TOKEN[index + 1 :],
        "insert": TOKEN[:index] + letter + TOKEN[index:],
        "delete": TOKEN[:index] + TOKEN[index + 1 :],
        "truncate": TOKEN[:index],
    }[cut]
    if changed != TOKEN:
        assert decode_token(changed, "sportshall", SECRET).is_error()


@pytest.mark.parametrize("organisation", ["a", "ab", "abc"])
def test_each_token_has_one_valid_encoding(organisation: str) -> None:
    """Base64 decoders ignore the lowest bits of the last character."""
    token = encode_token(POSITIONS, organisation, SECRET)
    for letter in ALPHABET.replace(token[-1], ""):
        assert decode_token(token[:-1] + letter, organisation, SECRET).is_error()


def _resigned_as_version_2() -> str:
    data = base64.urlsafe_b64decode(TOKEN + "=" * (-len(TOKEN) % 4))
    signed = b"\x02" + data[1 : -token_module._MAC_BYTES]
    mac = token_module._sign(signed, SECRET)
    return base64.urlsafe_b64encode(signed + mac).rstrip(b"=").decode()


@pytest.mark.parametrize(
    ("text", "organisation", "secret", "refusal"),
    [
        (TOKEN, "sportshall", b"other", TokenRefusal.FORGED),
        (TOKEN, "skihall", SECRET, TokenRefusal.FOREIGN),
        (TOKEN[: len(TOKEN) // 8 * 4], "sportshall", SECRET, TokenRefusal.TRUNCATED),
        (TOKEN[:4], "sportshall", SECRET, TokenRefusal.TRUNCATED),
        (_resigned_as_version_2(), "sportshall", SECRET, TokenRefusal.OTHER_VERSION),
        ("", "sportshall", SECRET, TokenRefusal.MALFORMED),
        ("*", "sportshall", SECRET, TokenRefusal.MALFORMED),
        ("A" * 5000, "sportshall", SECRET, TokenRefusal.TOO_LONG),
    ],
)
def test_rejected_tokens_report_the_reason(
    text: str, organisation: str, secret: bytes, refusal: TokenRefusal
) -> None:
    assert decode_token(text, organisation, secret).error is refusal


def test_a_session_with_too_many_databases_gets_an_error_not_a_partial_token() -> None:
    """A token that lacks positions would allow reads that miss own writes."""
    many = {f"database-{number}": Position(1, number) for number in range(400)}
    with pytest.raises(RequestError):
        encode_token(many, "sportshall", SECRET)
