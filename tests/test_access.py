"""Access of organisations and of clients without a key to tables, by route."""

from __future__ import annotations

import pytest

from radishtrack.config.document import Document, parse_document
from radishtrack.errors import RequestError
from radishtrack.proxy.access import check_access, find_database
from radishtrack.proxy.client_state import ClientState
from radishtrack.routing.statement import make_classifier

MEMBERS = "".join(
    f"""
[[database.member]]
name = "m{number}"
host = "127.0.0.1"
port = {number}
admin_port = {number + 10}
zone = "oslo-a"
"""
    for number in (1, 2, 3)
)
TEXT = f"""
[[owner]]
name = "fjellsko"
[[owner]]
name = "kalmistu"
[[organisation]]
name = "verksted"
owner = "fjellsko"
rate = 10
burst = 10
[[organisation]]
name = "rahumae"
owner = "kalmistu"
rate = 10
burst = 10
[[database]]
name = "strekk-db"
owner = "fjellsko"
region = "norge-ost"
slots = 2
connections = 15
{MEMBERS}
[[service]]
name = "stretching"
database = "strekk-db"
[[service.route]]
name = "orders"
tables = ["orders"]
[[service.route]]
name = "prices"
tables = ["prices"]
statements = ["select"]
open = true
"""


@pytest.fixture(scope="module")
def document() -> Document:
    return parse_document(TEXT, "test.toml").ok


@pytest.mark.parametrize(
    ("organisation", "sql", "allowed"),
    [
        ("verksted", "SELECT * FROM orders", True),
        ("verksted", "INSERT INTO orders VALUES (1)", True),
        ("verksted", "SELECT * FROM prices", True),
        ("verksted", "INSERT INTO prices VALUES (1)", False),
        ("verksted", "DELETE FROM others", False),
        ("rahumae", "SELECT * FROM orders", False),
        ("rahumae", "INSERT INTO orders VALUES (1)", False),
        ("rahumae", "SELECT * FROM prices", True),
        ("rahumae", "SELECT * FROM prices JOIN orders", False),
        ("rahumae", "SELECT 1", False),
        ("rahumae", "BEGIN", False),
        ("open", "SELECT * FROM prices", True),
        ("open", "SELECT * FROM prices FOR UPDATE", False),
        ("open", "SELECT * FROM orders", False),
        ("open", "UPDATE prices SET price = 1", False),
        ("open", "BEGIN", False),
        ("removed", "SELECT * FROM orders", False),
    ],
)
def test_access(document: Document, organisation: str, sql: str, allowed: bool) -> None:
    state = ClientState(1, organisation, "key", "strekk-db")
    statement = make_classifier()(sql)
    database = find_database(document, state)
    if allowed:
        check_access(document, state, database, statement)
    else:
        with pytest.raises(RequestError):
            check_access(document, state, database, statement)


@pytest.mark.parametrize("name", ["", "nope"])
def test_an_unknown_database_is_refused(document: Document, name: str) -> None:
    with pytest.raises(RequestError, match="database"):
        find_database(document, ClientState(1, "verksted", "key", name))
