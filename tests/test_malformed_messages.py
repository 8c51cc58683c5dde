"""Tests that malformed messages of any port raise only their declared error.

An unexpected error would end the task or the process that reads them.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.peer.codec import CodecError, decode
from radishtrack.platform.documents import (
    DocumentError,
    parse_catalog,
    parse_member,
    parse_node,
)
from radishtrack.platform.object_store import StoredObject, decode_body
from radishtrack.platform.settings import SettingsError, parse_settings
from radishtrack.platform.wire import (
    WireError,
    parse_member_response,
    parse_query,
    parse_ready,
    parse_refusal,
    parse_startup,
)
from radishtrack.pooler.catalog import Catalog
from tests.pooler_simulation import make_config

SETTINGS = {
    "nodeName": "edge-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen": {"frontend": "10.0.0.1:8465", "ready": "10.0.0.1:8460"},
    "internalPorts": [7560, 7575],
    "bounds": {"graceS": 6, "revokeStrict": True, "revokeMs": 5000},
    "platform": {"address": "10.0.0.9:8466"},
    "cloudApi": {"address": "10.0.0.8:8466"},
}
HUGE = 10**400
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([HUGE, -1, 0, float("nan"), float("inf"), -1.5])
    | st.text(max_size=8)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)
ENTRY = {
    "service": "strekk",
    "address": "10.0.0.1:8085",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "dbRole": "replica",
    "born": 1,
}
NODE = {"name": "edge-1", "host": "10.0.0.1", "port": 1, "zone": "a", "startedMs": 1}
PROTOCOL_WORDS = (
    *("READY", "I", "T", "X", "ERROR", "COMPLETE", "DATAROW", "QUERY", "STARTUP"),
    *("BEGIN", "READ", "SET", "PREPARE", "1.2", "-", "primary", "\x00", "9" * 500),
)
WORDS = st.sampled_from(PROTOCOL_WORDS)
LINES = st.lists(WORDS | st.text(max_size=5), max_size=8).map(" ".join)


def parse_config(stored: StoredObject) -> Catalog:
    return asyncio.run(parse_catalog(stored))


def mutate(document: Any, path: list[int], value: Any) -> Any:
    """Return a document with one of its values replaced; `path` selects it."""
    if not path or not isinstance(document, dict | list) or not document:
        return value
    keys = list(document) if isinstance(document, dict) else range(len(document))
    key = list(keys)[path[0] % len(document)]
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[key] = mutate(copy[key], path[1:], value)
    return copy


@settings(max_examples=400, deadline=None)
@given(path=st.lists(st.integers(0, 20), max_size=4), value=VALUES)
@pytest.mark.parametrize(
    ("parse", "document"),
    [(parse_config, make_config()), (parse_member, ENTRY), (parse_node, NODE)],
)
def test_malformed_object_of_the_store_raises_a_document_error(
    parse: Callable[[StoredObject], Any], document: Any, path: list[int], value: Any
) -> None:
    """Other writers' entries may have any fields; they name nothing to use."""
    with contextlib.suppress(DocumentError):
        parse(StoredObject("i-1", 1, mutate(document, path, value)))


@pytest.mark.parametrize("value", [HUGE, float("nan"), float("inf"), -1.0])
def test_rate_that_is_no_finite_positive_number_is_invalid(value: float) -> None:
    """An infinite rate raised OverflowError at every later change of the nodes."""
    config = make_config()
    config["tenants"][0]["ratePerS"] = value
    with pytest.raises(DocumentError):
        parse_config(StoredObject("main", 1, config))


@pytest.mark.parametrize("value", [0, -2, HUGE])
def test_member_without_a_usable_number_of_slots_is_invalid(value: int) -> None:
    with pytest.raises(DocumentError):
        parse_member(StoredObject("i-1", 1, ENTRY | {"slots": value}))


@settings(max_examples=300, deadline=None)
@given(line=LINES, other=LINES, has_report=st.booleans())
def test_malformed_line_raises_a_wire_error(
    line: str, other: str, has_report: bool
) -> None:
    for parse in (parse_startup, parse_query, parse_ready, parse_refusal):
        with contextlib.suppress(WireError):
            parse(line)
    with contextlib.suppress(WireError):
        parse_member_response([line, other, "READY I 1.2"], has_report=has_report)
    with contextlib.suppress(WireError):
        parse_member_response(
            [f"DATAROW {line}", "COMPLETE -", f"READY I {other}"], has_report=True
        )


@settings(max_examples=300, deadline=None)
@given(path=st.lists(st.integers(0, 30), max_size=4), value=VALUES)
def test_malformed_settings_raise_a_settings_error(path: list[int], value: Any) -> None:
    text = json.dumps(mutate(SETTINGS, path, value))
    with contextlib.suppress(SettingsError):
        parse_settings(text)


@pytest.mark.parametrize("body", [b"[" * 200_000, b'{"a":' * 100_000, b"\xff", b"{"])
def test_unreadable_body_of_the_store_is_an_unavailable_store(body: bytes) -> None:
    """A deeply nested body raised RecursionError, which ended the node."""
    with pytest.raises(ValueError):
        decode_body(body)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=80))
def test_malformed_frame_of_a_peer_raises_a_codec_error(frame: bytes) -> None:
    with contextlib.suppress(CodecError):
        decode(frame)


def test_deeply_nested_frame_of_a_peer_raises_a_codec_error() -> None:
    with pytest.raises(CodecError):
        decode(b"\x81" * 500_000)
