"""Stores and revokes keys in the platform's ``keys/<organisation>`` objects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import attrs

from radishtrack.config.store import (
    MS_PER_S,
    ObjectStore,
    StoreUnavailable,
    WriteResult,
)
from radishtrack.keys.key import IssuedKey
from radishtrack.keys.keyring import KIND

MAX_WRITE_ATTEMPTS: Final = 8

Entries = tuple["KeyEntry", ...]


class KeyNotFound(LookupError):
    """Raised if the organisation has no key with this identifier."""


@attrs.define(frozen=True)
class KeyEntry:
    """One key as the platform stores it.

    Parameters
    ----------
    id : str
        Identifier of the key.
    verifier : str
        SHA1(SHA1(key)) in hexadecimal.
    created : str
        When it was issued, in ISO 8601.
    revoked : str
        When it was revoked, in ISO 8601; empty if it is active.
    """

    id: str
    verifier: str = attrs.field(repr=False)
    created: str
    revoked: str = ""


async def fetch_keys(store: ObjectStore, organisation: str) -> Entries:
    """Return all keys of an organisation, revoked ones included."""
    stored = await store.get(KIND, organisation)
    return read_entries(stored.value if stored else None)


async def add_key(store: ObjectStore, issued: IssuedKey, created: str) -> Entries:
    """Store an issued key; return the organisation's keys.

    Raises
    ------
    StoreUnavailable
        If the platform does not respond; the key may be stored or not, and is harmless
        as long as its text was not handed out.
    """
    entry = KeyEntry(issued.key_id, issued.verifier_hex, created)

    def append_entry(entries: Entries) -> Entries:
        return entries if entry in entries else (*entries, entry)

    return await _update(store, issued.organisation, append_entry)


async def revoke_key(
    store: ObjectStore, organisation: str, key_id: str, revoked: str
) -> Entries:
    """Mark a key as revoked; return the organisation's keys.

    Raises
    ------
    KeyNotFound
        If there is no such key.
    StoreUnavailable
        If the platform does not respond; the call can safely be repeated.
    """

    def mark_entry(entries: Entries) -> Entries:
        if all(entry.id != key_id for entry in entries):
            raise KeyNotFound(key_id)
        return tuple(
            attrs.evolve(entry, revoked=revoked)
            if entry.id == key_id and not entry.revoked
            else entry
            for entry in entries
        )

    return await _update(store, organisation, mark_entry)


async def _update(
    store: ObjectStore, organisation: str, change: Callable[[Entries], Entries]
) -> Entries:
    """Update with compare-and-swap; retry on conflicts and lost responses."""
    for _ in range(MAX_WRITE_ATTEMPTS):
        stored = await store.get(KIND, organisation)
        current = read_entries(stored.value if stored else None)
        updated = change(current)
        if updated == current:
            return current
        value = {"keys": [attrs.asdict(entry) for entry in updated]}
        version = stored.version if stored else 0
        result = await store.put(KIND, organisation, value, version)
        if result is WriteResult.WRITTEN:
            return updated
        await asyncio.sleep(store.retry_pause_ms / MS_PER_S)
    raise StoreUnavailable(
        f"the keys of {organisation} could not be updated in "
        f"{MAX_WRITE_ATTEMPTS} attempts"
    )


def read_entries(value: Any) -> Entries:
    """Return the keys in the value of a platform object; None contains no keys."""
    entries = value.get("keys", []) if isinstance(value, dict) else []
    return tuple(
        KeyEntry(
            entry["id"],
            entry["verifier"],
            entry.get("created") or "",
            entry.get("revoked") or "",
        )
        for entry in entries
    )
