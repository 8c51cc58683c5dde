"""Parsing and validation of configuration files, and the look-up of routes."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest

from radishtrack.config.document import (
    Document,
    Source,
    parse_document,
    parse_sources,
)
from radishtrack.config.model import ReadClass
from radishtrack.config.render import render_document

EXAMPLES = Path(__file__).parent.parent / "examples"
VALID = (EXAMPLES / "fjellsko.toml").read_text(encoding="utf-8")
SOURCES = [
    Source(name, (EXAMPLES / name).read_text(encoding="utf-8"))
    for name in ("fjellsko.toml", "kalmistu.toml")
]


def find_line(text: str, part: str) -> int:
    return text[: text.index(part)].count("\n") + 1


def parse_valid(text: str) -> Document:
    result = parse_document(text, "f.toml")
    assert result.is_ok(), result.error
    return result.ok


@pytest.mark.parametrize("source", SOURCES, ids=lambda source: source.file)
def test_each_example_is_valid_alone(source: Source) -> None:
    assert len(parse_valid(source.text).organisations) == 8


def test_the_examples_have_the_documented_sizes() -> None:
    databases = parse_sources(SOURCES).ok.databases
    sizes = {
        name: (part.slots, part.connections, len(part.members), part.region)
        for name, part in databases.items()
    }
    assert sizes["strekk-db"] == (2, 15, 3, "norge-ost")
    assert sizes["kalmistu-db"] == (3, 35, 3, "ee-harju")
    assert databases["strekk-db"].connections_per_slot == 7


INVALID_EDITS = [
    ('owner = "fjellsko"', 'owner = "fjelsko"', "did you mean 'fjellsko'?"),
    ("rate = 400", "rate = 0", "a number above 0"),
    ("rate = 400", 'rate = "400"', "found text '400'"),
    ("rate = 400", "rate = nan", "found a number nan"),
    ("burst = 400", "burst = 0", "an integer from 1"),
    ("burst = 400", "brust = 400", "did you mean 'burst'?"),
    ('name = "storgata-sport"', 'name = "open"', "the user of open routes"),
    ('name = "storgata-sport"', 'name = "Storgata"', "characters a-z"),
    ('name = "karl-johan-sko"', 'name = "storgata-sport"', "'storgata-sport' twice"),
    ("connections = 15", "connections = 1", "each of the 2 slots"),
    ("port = 13306", "port = 0", "from 1 to 65535"),
    ('name = "strekk-2"', 'name = "strekk-1"', "'strekk-1' twice"),
    ('database = "strekk-db"', 'database = "strek-db"', "did you mean 'strekk-db'?"),
    ('depends_on = ["workshop"]', 'depends_on = ["w"]', "unknown service 'w'"),
    ('depends_on = ["workshop"]', 'depends_on = ["orders"]', "cycle orders -> orders"),
    ('class = "strict"', 'class = "strikt"', "did you mean 'strict'?"),
    ("max_age_ms = 60000", "max_age_ms = 0", "as the class is aged"),
    ("idempotent = false", "max_age_ms = 5", "no max_age_ms, as the class is session"),
    ('statements = ["select"]', 'statements = ["delete"]', "as the route is open"),
    ('statements = ["select"]', 'statements = ["selct"]', "did you mean 'select'?"),
    ('tables = ["opening_hours"]', 'tables = ["*"]', "names of tables"),
    ('tables = ["receipts"]', 'tables = ["jobs"]', "also in route workshop/job-status"),
    ('tables = ["receipts"]', "tables = []", "at least one table"),
    ("open = true", 'open = "yes"', "true or false"),
]


@pytest.mark.parametrize(("old", "new", "reason"), INVALID_EDITS)
def test_an_error_is_reported_with_file_line_and_reason(
    old: str, new: str, reason: str
) -> None:
    text = VALID.replace(old, new, 1)
    errors = parse_document(text, "f.toml").error
    matching = [error for error in errors if reason in error.reason]
    assert matching, [str(error) for error in errors]
    assert matching[0].file == "f.toml"
    assert matching[0].line == find_line(VALID, old)


@pytest.mark.parametrize(
    ("text", "line", "reason"),
    [
        ("a = [", 1, "expected TOML"),
        ('[[owner]]\nname = "a"\nname = "b"', 3, "expected TOML"),
        ('[owner]\nname = "a"', 1, "[[owner]]"),
        ("owner = 5", 1, "[[owner]]"),
        ('\n[[ownr]]\nname = "a"', 2, "did you mean 'owner'?"),
        ("[[owner]]", 1, "found nothing"),
        ("owner = [1]", 1, "expected a table"),
    ],
)
def test_files_of_wrong_structure_are_rejected(
    text: str, line: int, reason: str
) -> None:
    errors = parse_document(text, "f.toml").error
    assert (errors[0].line, reason in errors[0].reason) == (line, True), errors


def test_fewer_than_three_members_are_rejected() -> None:
    start = VALID.index("[[database.member]]")
    text = VALID[:start] + VALID[VALID.index("[[service]]") :]
    (error,) = parse_document(text, "f.toml").error
    assert "3 to 9 members, found 0" in error.reason


def test_a_cycle_is_reported_once_with_all_its_services() -> None:
    parts = [("a", "b"), ("b", "c"), ("c", "a"), ("d", "a")]
    text = VALID + "".join(
        f'[[service]]\nname = "{name}"\ndatabase = "strekk-db"\ndepends_on = ["{to}"]\n'
        for name, to in parts
    )
    (error,) = parse_document(text, "f.toml").error
    assert "the cycle a -> b -> c -> a" in error.reason
    assert error.line == find_line(text, 'depends_on = ["a"]')


def test_all_errors_of_all_files_are_reported_with_their_own_lines() -> None:
    second = SOURCES[1].text.replace("slots = 3", "slots = 0")
    first = SOURCES[0].text.replace("slots = 2", "slots = 0")
    errors = parse_sources([Source("a", first), Source("b", second)]).error
    locations = [(error.file, error.line) for error in errors]
    assert locations == [
        ("a", find_line(first, "slots = 0")),
        ("b", find_line(second, "slots = 0")),
    ]


def test_a_rendered_document_parses_to_an_equal_one() -> None:
    document = parse_sources(SOURCES).ok
    parsed = parse_valid(render_document(document))
    for field in attrs.fields(Document):
        assert getattr(parsed, field.name) == getattr(document, field.name)


ROUTES = (
    VALID
    + """
[[service]]
name = "extra"
database = "strekk-db"

[[service.route]]
name = "hours"
tables = ["hours"]
class = "aged"
max_age_ms = 1000
open = true
statements = ["select"]

[[service.route]]
name = "hours-writes"
tables = ["hours"]
statements = ["update"]
idempotent = true

[[service.route]]
name = "rest"
tables = ["*"]
"""
)


@pytest.mark.parametrize(
    ("tables", "is_read", "label", "read_class", "is_open"),
    [
        (["jobs"], True, "workshop/job-status", "strict", False),
        (["hours"], True, "extra/hours", "aged", True),
        (["hours"], False, "extra/hours-writes", "session", False),
        (["unheard"], True, "extra/rest", "session", False),
        (["hours", "jobs"], True, "workshop/job-status", "strict", False),
        (["hours", "opening_hours"], True, "extra/hours", "aged", True),
        (["opening_hours", "unheard"], True, "extra/rest", "session", False),
        ([], True, "/", "session", False),
    ],
)
def test_find_route(
    tables: list[str], is_read: bool, label: str, read_class: str, is_open: bool
) -> None:
    route = parse_valid(ROUTES).find_route("strekk-db", tables, is_read)
    assert route is not None
    assert route.label == label
    assert route.read_class is ReadClass(read_class)
    assert route.open is is_open


def test_an_open_route_gives_access_only_to_its_own_tables() -> None:
    document = parse_valid(VALID)
    assert document.find_route("strekk-db", ["opening_hours"], False) is None
    assert document.find_route("strekk-db", ["unheard"], True) is None
    assert document.find_route("other-db", ["opening_hours"], True) is None
    assert document.find_route("other-db", [], True) is None
    mixed = document.find_route("strekk-db", ["opening_hours", "jobs"], True)
    assert mixed is not None
    assert not mixed.open
