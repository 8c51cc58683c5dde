"""A node's copy of all keys, built from the platform's ``keys/<organisation>``."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import attrs

from radishtrack.keys.key import (
    DIGEST_BYTES,
    compute_verifier,
    find_key_texts,
    parse_key_id,
)

KIND: Final = "keys"
"""Kind of the platform objects that hold keys."""


@attrs.define(frozen=True)
class Verifier:
    """The stored digest of an active key."""

    organisation: str
    key_id: str
    digest: bytes = attrs.field(repr=False)


@attrs.define(frozen=True)
class RevokedKey:
    """A key that is no longer active."""

    organisation: str
    key_id: str


@attrs.define(frozen=True)
class OrganisationKeys:
    """The active keys of one organisation at one version of its object."""

    version: int
    verifiers: Mapping[str, Verifier]


@attrs.define
class Keyring:
    """The active keys of all organisations.

    An object is replaced only by a higher version, so a delayed response cannot make a
    revoked key valid again. A platform that was restored from a backup may list a key
    as active that this node has seen as revoked; it stays revoked.
    """

    organisations: dict[str, OrganisationKeys] = attrs.field(factory=dict)
    by_id: dict[str, tuple[Verifier, ...]] = attrs.field(factory=dict)
    """Active keys of all organisations by key identifier."""
    revoked: set[tuple[str, str]] = attrs.field(factory=set)
    """Organisation and identifier of keys that were listed as revoked."""

    def find_verifiers(self, organisation: str) -> tuple[Verifier, ...]:
        """Return the verifiers of an organisation's active keys."""
        keys = self.organisations.get(organisation)
        return tuple(keys.verifiers.values()) if keys else ()

    def is_active(self, organisation: str, key_id: str) -> bool:
        """Return whether a key exists and is not revoked."""
        keys = self.organisations.get(organisation)
        return keys is not None and key_id in keys.verifiers

    def contains_key(self, sql: str) -> bool:
        """Return whether a statement contains the text of an active key."""
        return any(self._is_active_key(text) for text in find_key_texts(sql))

    def apply_object(
        self, organisation: str, version: int, value: Mapping[str, Any] | None
    ) -> tuple[RevokedKey, ...]:
        """Apply a new version of an organisation's keys.

        Parameters
        ----------
        organisation : str
            Name of the object.
        version : int
            Version of the object.
        value : mapping or None
            Value of the object; None if it was deleted.

        Returns
        -------
        tuple of RevokedKey
            Keys that were active and are not in this version; empty if the version is
            not higher than the current one.
        """
        current = self.organisations.get(organisation)
        if current is not None and version <= current.version:
            return ()
        self.revoked |= _find_revoked(organisation, value)
        verifiers = {
            key_id: verifier
            for key_id, verifier in _parse_verifiers(organisation, value).items()
            if (organisation, key_id) not in self.revoked
        }
        self._update_index(current.verifiers if current else {}, verifiers)
        self.organisations[organisation] = OrganisationKeys(version, verifiers)
        previous = current.verifiers if current else {}
        return tuple(
            RevokedKey(organisation, key_id)
            for key_id, verifier in previous.items()
            if verifiers.get(key_id) != verifier
        )

    def _is_active_key(self, text: str) -> bool:
        candidates = self.by_id.get(parse_key_id(text) or "", ())
        if not candidates:
            return False
        digest = compute_verifier(text)
        return any(verifier.digest == digest for verifier in candidates)

    def _update_index(
        self, before: Mapping[str, Verifier], after: Mapping[str, Verifier]
    ) -> None:
        for key_id, verifier in before.items():
            remaining = (item for item in self.by_id[key_id] if item is not verifier)
            self.by_id[key_id] = tuple(remaining)
            if not self.by_id[key_id]:
                del self.by_id[key_id]
        for key_id, verifier in after.items():
            self.by_id[key_id] = (*self.by_id.get(key_id, ()), verifier)


def make_keyring() -> Keyring:
    """Return a keyring without keys."""
    return Keyring()


def encode_keys(keys: OrganisationKeys) -> dict[str, Any]:
    """Return the active keys as the value of a platform object."""
    entries = [
        {"id": verifier.key_id, "verifier": verifier.digest.hex()}
        for verifier in keys.verifiers.values()
    ]
    return {"keys": entries}


def _parse_verifiers(
    organisation: str, value: Mapping[str, Any] | None
) -> dict[str, Verifier]:
    """Return the active keys; an entry that cannot be parsed counts as revoked."""
    verifiers = {}
    entries = (value or {}).get("keys")
    for entry in entries if isinstance(entries, list) else ():
        verifier = _parse_verifier(organisation, entry)
        if verifier is not None:
            verifiers[verifier.key_id] = verifier
    return verifiers


def _find_revoked(
    organisation: str, value: Mapping[str, Any] | None
) -> set[tuple[str, str]]:
    entries = (value or {}).get("keys")
    return {
        (organisation, entry["id"])
        for entry in (entries if isinstance(entries, list) else ())
        if isinstance(entry, dict)
        and entry.get("revoked")
        and isinstance(entry.get("id"), str)
    }


def _parse_verifier(organisation: str, entry: object) -> Verifier | None:
    if not isinstance(entry, dict) or entry.get("revoked"):
        return None
    key_id, text = entry.get("id"), entry.get("verifier")
    if not isinstance(key_id, str) or not isinstance(text, str):
        return None
    try:
        digest = bytes.fromhex(text)
    except ValueError:
        return None
    return (
        Verifier(organisation, key_id, digest) if len(digest) == DIGEST_BYTES else None
    )
