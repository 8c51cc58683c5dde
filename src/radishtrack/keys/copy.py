"""Copies of the keyring for peers that cannot reach the platform."""

from __future__ import annotations

import hashlib
from typing import Any, Final

import attrs

from radishtrack._sealed import open_copy, seal_copy
from radishtrack.keys.keyring import Keyring, RevokedKey, encode_keys

COPY_KIND: Final = "keys"


@attrs.define(frozen=True)
class KeysCopy:
    """A copy of a peer's keyring.

    Parameters
    ----------
    age_ms : float
        Time since the peer's keyring was last confirmed to equal the platform's, when
        the copy was sent; the receiver subtracts it from the time of its request.
    digest : str
        Digest of the versions of all objects; if the receiver has the same, the copy
        only updates its age.
    objects : dict
        Version and value by organisation.
    """

    age_ms: float
    digest: str
    objects: dict[str, tuple[int, dict[str, Any]]]


def compute_digest(keyring: Keyring) -> str:
    """Return a digest of the versions of all organisations' keys."""
    versions = sorted(
        (name, keys.version) for name, keys in keyring.organisations.items()
    )
    return hashlib.sha256(repr(versions).encode()).hexdigest()


def seal_keys(
    keyring: Keyring, age_ms: float, secret: str, *, known_digest: str = ""
) -> bytes:
    """Return an authenticated copy for a peer.

    Parameters
    ----------
    keyring : Keyring
        This node's keys.
    age_ms : float
        Time since they were last confirmed to equal the platform's, in milliseconds.
    secret : str
        The peer secret.
    known_digest : str
        Digest of the peer's keyring; if it is the same, the copy contains no keys.
    """
    digest = compute_digest(keyring)
    objects = {
        name: {"version": keys.version, "value": encode_keys(keys)}
        for name, keys in keyring.organisations.items()
        if digest != known_digest
    }
    value = {"age_ms": age_ms, "digest": digest, "objects": objects}
    return seal_copy(COPY_KIND, value, secret)


def open_keys(data: bytes, secret: str) -> KeysCopy | None:
    """Return a peer's copy, or None if it is not authentic."""
    value = open_copy(COPY_KIND, data, secret)
    if value is None:
        return None
    objects = {
        name: (entry["version"], entry["value"])
        for name, entry in value["objects"].items()
    }
    return KeysCopy(float(value["age_ms"]), str(value["digest"]), objects)


def apply_copy(keyring: Keyring, copy: KeysCopy) -> tuple[RevokedKey, ...]:
    """Apply the newer versions in a peer's copy; return the keys that it revokes."""
    return tuple(
        revoked
        for name, (version, value) in copy.objects.items()
        for revoked in keyring.apply_object(name, version, value)
    )
