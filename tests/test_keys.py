"""Keys: only active keys give access, and only for their own organisation."""

from __future__ import annotations

import secrets
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pymysql._auth import scramble_native_password

from memory_store import MemoryPlatform
from radishtrack.config.store import StoreUnavailable
from radishtrack.keys.copy import apply_copy, compute_digest, open_keys, seal_keys
from radishtrack.keys.key import (
    compute_scramble,
    compute_verifier,
    find_key_texts,
    issue_key,
    parse_key_id,
    verify_scramble,
)
from radishtrack.keys.keyring import Keyring, RevokedKey, make_keyring
from radishtrack.keys.store import KeyNotFound, add_key, fetch_keys, revoke_key
from radishtrack.revision import make_revision

SECRET = "a peer secret of the fleet"
NONCE = bytes(range(1, 21))
ISSUED = issue_key("verksted", lambda count: bytes(range(count)))


def make_value(*key_ids: str, revoked: tuple[str, ...] = ()) -> dict[str, Any]:
    return {
        "keys": [
            {
                "id": key_id,
                "verifier": compute_verifier(key_id).hex(),
                "created": "2026-01-01T00:00:00+00:00",
                "revoked": "2026-01-02T00:00:00+00:00" if key_id in revoked else "",
            }
            for key_id in key_ids
        ]
    }


def test_an_issued_key_has_the_documented_form() -> None:
    prefix, key_id, random = ISSUED.text.split("_")
    assert (prefix, key_id, len(random)) == ("rtk", ISSUED.key_id, 32)
    assert parse_key_id(ISSUED.text) == ISSUED.key_id
    assert ISSUED.text not in repr(ISSUED)
    assert issue_key("verksted", secrets.token_bytes).text != ISSUED.text


def test_the_scramble_of_an_independent_implementation_is_accepted() -> None:
    scramble = scramble_native_password(ISSUED.text.encode(), NONCE)
    assert scramble == compute_scramble(ISSUED.text, NONCE)
    assert verify_scramble(bytes.fromhex(ISSUED.verifier_hex), NONCE, scramble)


@pytest.mark.parametrize(
    ("text", "nonce", "length"),
    [
        (ISSUED.text[:-1] + "_", NONCE, 20),
        (ISSUED.text, NONCE[::-1], 20),
        (ISSUED.text, NONCE, 19),
        (ISSUED.text, NONCE, 0),
        ("", NONCE, 20),
    ],
)
def test_a_wrong_scramble_is_refused(text: str, nonce: bytes, length: int) -> None:
    scramble = compute_scramble(text, nonce)[:length]
    verifier = bytes.fromhex(ISSUED.verifier_hex)
    assert not verify_scramble(verifier, NONCE, scramble)


@pytest.mark.parametrize(
    ("sql", "count"),
    [
        ("SELECT 1", 0),
        ("SELECT 'rtk_x'", 0),
        (f"SELECT '{ISSUED.text}'", 1),
        (f"SELECT '{ISSUED.text.upper()}'", 1),
        (f"INSERT INTO t VALUES ('x{ISSUED.text}y','{ISSUED.text}')", 2),
        (f"SELECT /* {ISSUED.text} */ 1", 1),
    ],
)
def test_key_texts_inside_statements_are_found(sql: str, count: int) -> None:
    assert find_key_texts(sql) == [ISSUED.text] * count


def test_only_texts_with_a_matching_verifier_are_keys() -> None:
    keyring = make_keyring()
    entry = {"id": ISSUED.key_id, "verifier": ISSUED.verifier_hex}
    keyring.apply_object("verksted", 1, {"keys": [entry]})
    assert keyring.contains_key(f"SELECT '{ISSUED.text}'")
    other = f"rtk_{ISSUED.key_id}_{'a' * 32}"
    assert not keyring.contains_key(f"SELECT '{other}'")
    keyring.apply_object("verksted", 2, None)
    assert not keyring.contains_key(f"SELECT '{ISSUED.text}'")
    assert keyring.by_id == {}


def test_a_key_is_active_only_for_its_own_organisation() -> None:
    keyring = make_keyring()
    keyring.apply_object("a", 1, make_value("k1"))
    keyring.apply_object("b", 2, make_value("k2"))
    assert keyring.is_active("a", "k1")
    assert not keyring.is_active("b", "k1")
    assert not keyring.is_active("c", "k1")
    assert [verifier.key_id for verifier in keyring.find_verifiers("b")] == ["k2"]
    assert keyring.find_verifiers("c") == ()


@pytest.mark.parametrize(
    ("value", "revoked"),
    [
        (make_value("k1", "k2", revoked=("k1",)), {"k1"}),
        (make_value("k2"), {"k1"}),
        (make_value("k1", "k2", "k3"), set()),
        (None, {"k1", "k2"}),
        ({"keys": "damaged"}, {"k1", "k2"}),
        ({"keys": [{"id": "k1", "verifier": "zz"}, 5, {"id": "k2"}]}, {"k1", "k2"}),
        ({"keys": [{"id": "k1", "verifier": "00"}]}, {"k1", "k2"}),
        ({"keys": [{"id": "k1", "verifier": "00" * 20}]}, {"k1", "k2"}),
    ],
)
def test_a_new_version_reports_the_keys_that_it_revokes(
    value: dict[str, Any] | None, revoked: set[str]
) -> None:
    """A changed verifier makes a different key; damaged entries are not active."""
    keyring = make_keyring()
    assert keyring.apply_object("a", 3, make_value("k1", "k2")) == ()
    revocations = keyring.apply_object("a", 4, value)
    assert set(revocations) == {RevokedKey("a", key_id) for key_id in revoked}


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 8), max_size=20))
def test_a_revoked_key_never_becomes_valid_again(versions: list[int]) -> None:
    """Version 4 and later revoke k1; answers arrive in any order."""
    keyring = make_keyring()
    revocations = []
    highest = 0
    for version in versions:
        revoked = ("k1",) if version >= 4 else ()
        revocations += keyring.apply_object(
            "a", version, make_value("k1", "k2", revoked=revoked)
        )
        highest = max(highest, version)
        assert keyring.is_active("a", "k1") == (highest < 4)
    assert len(revocations) <= 1


def make_filled_keyring(version: int, *key_ids: str) -> Keyring:
    keyring = make_keyring()
    keyring.apply_object("a", version, make_value(*key_ids))
    return keyring


def test_a_peers_copy_applies_revocations_and_never_reverts_them() -> None:
    newer, older = make_filled_keyring(5, "k2"), make_filled_keyring(4, "k1", "k2")
    copy = open_keys(seal_keys(newer, 1_500.0, SECRET), SECRET)
    assert copy is not None
    assert copy.age_ms == 1_500.0
    assert apply_copy(older, copy) == (RevokedKey("a", "k1"),)
    assert compute_digest(older) == compute_digest(newer) == copy.digest
    late = open_keys(seal_keys(make_filled_keyring(4, "k1"), 0, SECRET), SECRET)
    assert late is not None
    assert apply_copy(older, late) == ()
    assert not older.is_active("a", "k1")


def test_an_equal_copy_contains_no_keys_and_a_forged_one_is_rejected() -> None:
    keyring = make_filled_keyring(5, "k2")
    digest = compute_digest(keyring)
    copy = open_keys(seal_keys(keyring, 0, SECRET, known_digest=digest), SECRET)
    assert copy is not None
    assert copy.objects == {}
    assert open_keys(seal_keys(keyring, 0, "another secret"), SECRET) is None


FAULTS = ["lost answer", "late", "lost request", "ok"]


@pytest.mark.parametrize("fault", FAULTS)
async def test_keys_are_issued_and_revoked_once_despite_lost_messages(
    fault: str,
) -> None:
    platform = MemoryPlatform([fault, "ok", fault])
    store = platform.make_store()
    await add_key(store, ISSUED, "then")
    await revoke_key(store, "verksted", ISSUED.key_id, "now")
    await revoke_key(store, "verksted", ISSUED.key_id, "later")
    (entry,) = await fetch_keys(store, "verksted")
    assert (entry.id, entry.verifier, entry.revoked) == (
        ISSUED.key_id,
        ISSUED.verifier_hex,
        "now",
    )
    assert ISSUED.text not in str(platform.objects)
    assert platform.written_kinds == ["keys", "keys"]


async def test_an_unknown_key_or_an_unavailable_platform_is_an_error() -> None:
    platform = MemoryPlatform()
    store = platform.make_store()
    with pytest.raises(KeyNotFound):
        await revoke_key(store, "verksted", "none", "now")
    platform.is_down = True
    with pytest.raises(StoreUnavailable):
        await add_key(store, ISSUED, "then")


def test_a_revoked_key_stays_revoked_when_the_platform_is_restored() -> None:
    """The platform listed it as active again, as it was before its revocation."""
    keyring = make_keyring()
    active = make_value("k1", "k2")
    revoked = make_value("k1", "k2")
    revoked["keys"][0]["revoked"] = "2026-12-04T18:00:00Z"
    keyring.apply_object("a", make_revision(1, 5), active)
    keyring.apply_object("a", make_revision(1, 6), revoked)
    keyring.apply_object("a", make_revision(2, 5), active)
    assert not keyring.is_active("a", "k1") and keyring.is_active("a", "k2")
