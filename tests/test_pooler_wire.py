"""Tests the encoding and decoding of the platform's line protocol and documents."""

from __future__ import annotations

import pytest

from radishtrack.group.status import Role
from radishtrack.platform.documents import (
    DocumentError,
    parse_address,
    parse_catalog,
    parse_member,
)
from radishtrack.platform.object_store import StoredObject
from radishtrack.platform.settings import SettingsError, parse_settings
from radishtrack.platform.wire import (
    WireError,
    format_client_response,
    format_query,
    parse_member_response,
    parse_query,
    parse_report,
    parse_startup,
)
from radishtrack.pooler.catalog import ReadClass, digest_key
from radishtrack.pooler.statements import (
    Begin,
    ClientResponse,
    Commit,
    Fence,
    InvalidStatement,
    Prepare,
    Refusal,
    Run,
    RunPrepared,
    SetValue,
    TransactionState,
)
from radishtrack.session.position import Position
from tests.pooler_simulation import KEY, make_config


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        ("READ 1a4", Run("q", "READ 1a4", False)),
        ("WRITE 1a4 some data  x", Run("q", "WRITE 1a4 some data  x", True)),
        ("EXECUTE s1 1a4 x y", RunPrepared("q", "s1", "1a4 x y")),
        ("SET a b c", SetValue("a", "b c")),
        ("PREPARE s WRITE q2", Prepare("s", True, "q2")),
        ("BEGIN", Begin(False)),
        ("BEGIN READ", Begin(True)),
        ("COMMIT", Commit("q")),
    ],
)
def test_statements_are_parsed(text: str, statement: object) -> None:
    assert parse_query(f"QUERY q {text}") == statement


@pytest.mark.parametrize(
    "text", ["SINCE 1.1 READ a", "STATUS", "BEGIN WRITE", "read a", "PREPARE s X q"]
)
def test_other_commands_are_not_forwarded_to_members(text: str) -> None:
    """A client could otherwise fence or step down members."""
    assert isinstance(parse_query(f"QUERY q {text}"), InvalidStatement)


@pytest.mark.parametrize("line", ["", "HELLO", "QUERY", "QUERY q", "QUERY q "])
def test_line_that_is_not_a_query_is_rejected(line: str) -> None:
    with pytest.raises(WireError):
        parse_query(line)


def test_reads_and_writes_keep_their_identifier_and_text() -> None:
    """A member rejects a statement whose text was changed."""
    text = "WRITE 1a4 two  blanks\tand \udcff"
    run = parse_query(f"QUERY 5c0e {text}")
    assert isinstance(run, Run)
    assert format_query(run, None) == f"QUERY 5c0e {text}"
    assert format_query(run, Position(3, 7)) == f"QUERY 5c0e SINCE 3.7 {text}"
    prepared = RunPrepared("5c0e", "w_q2", "1a4 x  y")
    assert format_query(prepared, None) == "QUERY 5c0e EXECUTE w_q2 1a4 x  y"
    assert format_query(Fence(4), None) == "QUERY - PAUSE 4"


def test_startup_needs_a_database() -> None:
    assert parse_startup("STARTUP orders key") == ("orders", "key")
    assert parse_startup("STARTUP orders") == ("orders", None)
    with pytest.raises(WireError):
        parse_startup("STARTUP ")


@pytest.mark.parametrize(
    "lines",
    [
        ["READY I 1.1"],
        ["DATAROW a", "READY I 1.1"],
        ["COMPLETE s", "READY X 1.1"],
        ["COMPLETE s", "READY I 1"],
        ["nonsense", "COMPLETE s", "READY I -"],
    ],
)
def test_incomplete_responses_are_rejected(lines: list[str]) -> None:
    """A truncated or interleaved response must not be returned as a result."""
    with pytest.raises(WireError):
        parse_member_response(lines, has_report=False)


def test_unknown_error_code_means_that_the_statement_ran() -> None:
    """Clients rely on the codes that say that the statement did not run."""
    response = parse_member_response(["ERROR STRANGE x", "READY I -"], has_report=False)
    assert response.refusal is Refusal.EXECUTION_FAILED


def test_status_row_is_decoded() -> None:
    report = parse_report("replica 3 3.1209 4 12.5 2 17")
    assert report.role is Role.REPLICA and report.position == Position(3, 1209)
    assert report.is_fenced and report.lag_ms == 12.5
    assert (report.busy, report.connections) == (2, 17)
    assert parse_report("replica 3 3.1209 4 12.5").connections is None
    malformed = (
        "replica 3",
        "boss 3 3.1 0 0",
        "replica x 3.1 0 0",
        "replica 3 3.1 0 0 x 1",
    )
    for row in malformed:
        with pytest.raises(WireError):
            parse_report(row)


def test_error_text_stays_on_one_line() -> None:
    """A line break in a message would look like another response."""
    response = ClientResponse(
        TransactionState.IDLE, refusal=Refusal.BUSY, detail="a\r\nREADY I -"
    )
    assert format_client_response(response) == "ERROR BUSY a READY I -\r\nREADY I -"


async def test_configuration_is_decoded_without_the_keys() -> None:
    catalog = await parse_catalog(StoredObject("main", 7, make_config()))
    assert catalog.routes["status"].read_class is ReadClass.AGED
    assert catalog.routes["status"].max_age_ms == 1500
    assert catalog.key_owners[digest_key(KEY)].name == "verksted"
    assert KEY not in repr(catalog)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("routes", None),
        ("routes", [{"host": 1}]),
        ("version", "7"),
        ("limits", {}),
        ("tenants", [{"name": "a"}]),
    ],
)
async def test_invalid_configuration_is_rejected_as_a_whole(
    field: str, value: object
) -> None:
    """A partly accepted configuration could drop routes that are in use."""
    with pytest.raises(DocumentError):
        await parse_catalog(StoredObject("main", 7, make_config() | {field: value}))


MEMBER = {
    "service": "g",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "dbRole": "replica",
    "born": 5,
}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", ""),
        ("address", "10.0.0.1"),
        ("address", "10.0.0.1:99999"),
        ("slots", "2"),
        ("slots", True),
        ("state", "maybe"),
        ("dbRole", None),
        ("born", 5.5),
    ],
)
def test_invalid_entry_is_rejected(field: str, value: object) -> None:
    """Other programs write entries too."""
    assert parse_member(StoredObject("i-1", 1, MEMBER)).started_ms == 5
    with pytest.raises(DocumentError):
        parse_member(StoredObject("i-1", 1, MEMBER | {field: value}))


def test_addresses_need_host_and_port() -> None:
    assert parse_address("10.0.0.1:80") == ("10.0.0.1", 80)
    with pytest.raises(ValueError, match="not an address"):
        parse_address(":80")


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"nodeName": "a"}'])
def test_partly_written_settings_are_rejected(text: str) -> None:
    """The file may be read while it is written; the node keeps its settings."""
    with pytest.raises(SettingsError):
        parse_settings(text)
