"""Keys: the text that clients present and the verifier that the fleet stores."""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable
from typing import Final

import attrs

ALPHABET: Final = "abcdefghijklmnopqrstuvwxyz234567"
KEY_ID_CHARACTERS: Final = 8
SECRET_CHARACTERS: Final = 32
"""160 random bits, so that a stolen verifier cannot be attacked with a dictionary."""

PREFIX: Final = "rtk_"
DIGEST_BYTES: Final = 20

RandomBytes = Callable[[int], bytes]
"""Returns the given number of random bytes, for example `secrets.token_bytes`."""

_KEY: Final = re.compile(
    rf"rtk_([a-z2-7]{{{KEY_ID_CHARACTERS}}})_[a-z2-7]{{{SECRET_CHARACTERS}}}"
)


@attrs.define(frozen=True)
class IssuedKey:
    """A new key; its text is shown once and never stored.

    Parameters
    ----------
    organisation : str
        The organisation that the key is for.
    text : str
        The password that a client presents.
    key_id : str
        Identifier of the key, part of the text and no secret.
    verifier_hex : str
        SHA1(SHA1(text)) in hexadecimal, which the fleet stores.
    """

    organisation: str
    text: str = attrs.field(repr=False)
    key_id: str
    verifier_hex: str = attrs.field(repr=False)


def issue_key(organisation: str, random: RandomBytes) -> IssuedKey:
    """Return a new key of an organisation.

    Parameters
    ----------
    organisation : str
        The organisation.
    random : callable
        Source of cryptographically strong random bytes.
    """
    key_id = _generate_text(random, KEY_ID_CHARACTERS)
    text = f"{PREFIX}{key_id}_{_generate_text(random, SECRET_CHARACTERS)}"
    return IssuedKey(organisation, text, key_id, compute_verifier(text).hex())


def compute_verifier(text: str) -> bytes:
    """Return SHA1(SHA1(text)), the form that ``mysql_native_password`` stores."""
    return hashlib.sha1(hashlib.sha1(text.encode()).digest()).digest()


def compute_scramble(text: str, nonce: bytes) -> bytes:
    """Return the response of a client that knows the key to the server's nonce."""
    stage1 = hashlib.sha1(text.encode()).digest()
    mask = hashlib.sha1(nonce + hashlib.sha1(stage1).digest()).digest()
    return bytes(left ^ right for left, right in zip(stage1, mask, strict=True))


def verify_scramble(verifier: bytes, nonce: bytes, scramble: bytes) -> bool:
    """Return whether a client's response proves knowledge of the key.

    Parameters
    ----------
    verifier : bytes
        SHA1(SHA1(key)).
    nonce : bytes
        The 20 bytes that the server sent, without a trailing zero.
    scramble : bytes
        The client's response: SHA1(key) XOR SHA1(nonce + SHA1(SHA1(key))).

    Returns
    -------
    bool
        The comparison takes constant time.
    """
    if len(scramble) != DIGEST_BYTES or len(verifier) != DIGEST_BYTES:
        return False
    mask = hashlib.sha1(nonce + verifier).digest()
    stage1 = bytes(left ^ right for left, right in zip(scramble, mask, strict=True))
    return hmac.compare_digest(hashlib.sha1(stage1).digest(), verifier)


def find_key_texts(sql: str) -> list[str]:
    """Return every text in a statement that has the form of a key, in lower case."""
    lowered = sql.lower()
    if PREFIX not in lowered:
        return []
    return [match[0] for match in _KEY.finditer(lowered)]


def parse_key_id(text: str) -> str | None:
    """Return the identifier in a key text, or None if the text is not a key."""
    match = _KEY.fullmatch(text)
    return match[1] if match else None


def _generate_text(random: RandomBytes, length: int) -> str:
    # 256 is a multiple of 32, so every character is equally likely.
    return "".join(ALPHABET[byte % len(ALPHABET)] for byte in random(length))
