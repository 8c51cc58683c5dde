"""Classification of statements, and the normalised text that is its cache key."""

from __future__ import annotations

import pytest
import sqlglot
from hypothesis import given, settings
from hypothesis import strategies as st
from sqlglot.tokens import TokenType

from radishtrack.routing import _normalise
from radishtrack.routing.statement import Kind, Local, classify, make_classifier

REPLICA_READS = [
    "SELECT 1",
    "select a from t where x = 'it''s' and y = \"a\\\"b\" -- note",
    "SELECT /* it's */ a FROM t # foo'",
    "(SELECT 1) UNION (SELECT 2)",
    "WITH x AS (SELECT 1) SELECT * FROM x JOIN stall.bookings b USING (id)",
    "SELECT count(*), date_format(a, '%Y'), ifnull(a, 1), now() FROM t GROUP BY 1",
    "SELECT `a``b;c` FROM `t t`",
    "SELECT x'41', _utf8mb4'a', N'b', 0x41, 1e5, .5, -1, 1. FROM t",
    "SELECT 'FOR UPDATE', 'GET_LOCK(1)', '@x' FROM t",
    "SELECT a FROM t WHERE b = 5--1",
    "SELECT a FROM t WHERE d > NOW() - INTERVAL 5 DAY LIMIT 10 OFFSET 5",
    "SHOW TABLES",
    "DESCRIBE t",
    "EXPLAIN SELECT 1",
]

PRIMARY_ONLY = [
    "SELECT a FROM t FOR UPDATE",
    "SELECT a FROM t FOR/**/UPDATE SKIP LOCKED",
    "SELECT a FROM t FOR SHARE",
    "SELECT a FROM t LOCK IN SHARE MODE",
    "SELECT 5--1 FROM t FOR UPDATE",
    "SELECT 5--/**/1, booking_total(2) FROM t",
    "SELECT id FROM t WHERE a = 1.5FOR UPDATE",
    "SELECT * FROM t INTO OUTFILE 'x'",
    "SELECT a INTO @x FROM t",
    "SELECT GET_LOCK('a', 1)",
    "SELECT sleep (1)",
    "SELECT LAST_INSERT_ID(5)",
    "SELECT @x := 1",
    "SELECT @`x`",
    "SELECT booking_total(1)",
    "SELECT stall.booking_total(1)",
    "SELECT /*+ SET_VAR(sql_mode='ANSI') */ 1",
    "WITH x AS (SELECT 1) DELETE FROM y",
    "EXPLAIN ANALYZE SELECT 1",
    "INSERT INTO t SELECT 1",
    "UPDATE t SET a = 1",
    "DELETE FROM t",
    "REPLACE INTO t VALUES (1)",
    "CALL p()",
    "DO SLEEP(1)",
    "ROLLBACK TO SAVEPOINT a",
    "SAVEPOINT a",
    "FROBNICATE t",
    "SELECT FROM WHERE",
    "SELECT " + "(" * 500 + "1" + ")" * 500,
]

REFUSED = [
    "KILL 5",
    "/* x */ kill query 5",
    "SHOW FULL PROCESSLIST",
    "LOAD DATA INFILE 'x' INTO TABLE t",
    "SELECT 1; DROP TABLE t",
    "SELECT 1;;SELECT 2",
    "XA START 'x'",
    "LOCK TABLES t READ",
    "UNLOCK TABLES",
    "CREATE TEMPORARY TABLE t (a INT)",
    "PREPARE s FROM 'KILL 5'",
    "COMMIT AND CHAIN",
    "ROLLBACK WORK AND CHAIN",
    "/*!50000 KILL 5 */",
    "SELECT 1 /*! INTO OUTFILE 'x' */",
    "SELECT 'abc",
    "SELECT `abc",
    "SELECT 1 /* abc",
    "SELECT $$ ' $$",
    "SELECT a\u00a0FROM t",
    "SELECT 1\x00",
    "SET GLOBAL a = 1",
    "SET @@GLOBAL.a = 1",
    "SET sql_mode = 'ANSI_QUOTES'",
    "SET sql_mode = CONCAT('ANSI', '_QUOTES')",
    "SET NAMES utf8mb4, autocommit = 0",
    "SET PASSWORD = 'x'",
    "SELECT * FROM information_schema.processlist",
    "SELECT * FROM `performance_schema` . threads",
    "CALL sys.group_fence(9)",
    "CALL `sys` /* x */ . group_promote(9)",
    "SELECT sys.group_fence(9)",
    "DO sys.group_fence(9)",
    "ALTER TABLE mysql.user ADD x INT",
    "USE sys",
    "DELETE FROM radishtrack_journal",
    "GRANT ALL ON t TO u",
    "STOP REPLICA",
    "FLUSH TABLES WITH READ LOCK",
]


@pytest.mark.parametrize("sql", REPLICA_READS)
def test_reads_without_side_effects_can_run_on_a_replica(sql: str) -> None:
    statement = classify(sql)
    assert statement.kind is Kind.READ
    assert statement.is_idempotent
    assert not statement.dirties_session


@pytest.mark.parametrize("sql", PRIMARY_ONLY)
def test_reads_with_side_effects_and_unknown_statements_run_on_the_primary(
    sql: str,
) -> None:
    statement = classify(sql)
    assert statement.kind is Kind.WRITE
    assert not statement.is_idempotent


@pytest.mark.parametrize("sql", REFUSED)
def test_statements_with_effects_beyond_the_request_are_refused_with_a_reason(
    sql: str,
) -> None:
    statement = classify(sql)
    assert statement.kind is Kind.REFUSED
    assert statement.reason


@pytest.mark.parametrize(
    ("sql", "kind", "local"),
    [
        ("BEGIN", Kind.BEGIN, None),
        ("start transaction with consistent snapshot;", Kind.BEGIN, None),
        ("COMMIT AND NO CHAIN NO RELEASE", Kind.COMMIT, None),
        ("rollback work", Kind.ROLLBACK, None),
        ("SHOW RADISHTRACK SESSION", Kind.SHOW_SESSION, None),
        ("SET time_zone = '+00:00'", Kind.SET, None),
        ("SET sql_mode = 'STRICT_TRANS_TABLES'", Kind.SET, None),
        ("CREATE TABLE t (a INT)", Kind.DDL, None),
        ("SET NAMES utf8mb4 COLLATE utf8mb4_bin", Kind.LOCAL, Local.SET_NAMES),
        ("SET AUTOCOMMIT = 0", Kind.LOCAL, Local.AUTOCOMMIT_OFF),
        ("SET @@session.autocommit = ON", Kind.LOCAL, Local.AUTOCOMMIT_ON),
        ("SELECT @@version_comment LIMIT 1", Kind.LOCAL, Local.SELECT_VARIABLES),
        ("SHOW VARIABLES LIKE 'x%'", Kind.LOCAL, Local.SHOW_VARIABLES),
        ("SELECT LAST_INSERT_ID()", Kind.LOCAL, Local.SELECT_LAST_INSERT_ID),
        ("USE `stall`", Kind.LOCAL, Local.USE),
    ],
)
def test_transaction_control_settings_and_driver_statements(
    sql: str, kind: Kind, local: Local | None
) -> None:
    statement = classify(sql)
    assert (statement.kind, statement.local) == (kind, local)


@pytest.mark.parametrize(
    "sql",
    ["SELECT GET_LOCK('a', 1)", "SET @x = 1", "SELECT @x := 1", "CALL p()", "DO f()"],
)
def test_statements_that_leave_state_behind_dirty_the_connection(sql: str) -> None:
    assert classify(sql).dirties_session


@pytest.mark.parametrize(
    ("sql", "tables"),
    [
        ("WITH c AS (SELECT 1 FROM s.a) SELECT * FROM c JOIN `b b`", ["b b", "s.a"]),
        ("WITH a AS (SELECT 1), b AS (SELECT * FROM a) SELECT * FROM b, a", []),
        ("WITH RECURSIVE n AS (SELECT 1 UNION SELECT n FROM n) SELECT n FROM n", []),
        ("WITH a AS (SELECT 1) SELECT * FROM a UNION SELECT * FROM b", ["b"]),
        ("WITH a AS (SELECT * FROM a) SELECT * FROM a", ["a"]),
        ("WITH b AS (SELECT * FROM a), a AS (SELECT 1) SELECT * FROM a", ["a"]),
        ("SELECT * FROM (WITH a AS (SELECT 1) SELECT * FROM a) x JOIN a", ["a"]),
        ("WITH a AS (SELECT 1) SELECT * FROM s.a", ["s.a"]),
        ("SELECT 1 FROM a WHERE b IN (TABLE c)", ["a", "c"]),
        ("SELECT 1 FROM dual", []),
        ("SELECT 1 FROM `dual`, s.dual", ["dual", "s.dual"]),
    ],
)
def test_a_common_table_expression_hides_no_table(sql: str, tables: list[str]) -> None:
    """Access is checked by table, so every table that is read must be listed."""
    statement = classify(sql)
    assert statement.kind is Kind.READ
    assert sorted(statement.tables) == tables


def test_digits_in_names_are_not_taken_for_literals() -> None:
    """Otherwise two tables would share one cached classification."""
    assert classify("SELECT a1 FROM t1 JOIN 2b").tables == ("t1", "2b")
    assert classify("SELECT a1 FROM t2 JOIN é3").tables == ("t2", "é3")


def test_the_classification_cache_is_bounded() -> None:
    """Clients that never repeat a statement must not exhaust the node's memory."""
    bounded = make_classifier(max_cached_statements=4)
    for number in range(20):
        assert bounded(f"SELECT c{number}a FROM t").kind is Kind.READ
    cache = bounded.__closure__
    assert cache is not None
    sizes = [
        cell.cell_contents.cache_info().currsize
        for cell in cache
        if hasattr(cell.cell_contents, "cache_info")
    ]
    assert sizes == [4]


literals = st.one_of(
    st.integers(0, 10**12).map(str),
    st.floats(0, 1e9, allow_nan=False).map(repr).filter(lambda text: "inf" not in text),
    st.text(max_size=12).map(
        lambda text: (
            "'" + text.replace("\\", "\\\\").replace("'", "''").replace("\0", "") + "'"
        )
    ),
    st.text(max_size=12).map(
        lambda text: '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    ),
    st.sampled_from(["'FOR UPDATE'", "'; KILL 1'", "'/*!'", "'--'", "'#'", "'`'"]),
)
frames = st.sampled_from(
    [
        ("SELECT a FROM t WHERE b = {}", Kind.READ),
        ("SELECT a FROM t WHERE b = {} FOR UPDATE", Kind.WRITE),
        ("SELECT {} INTO OUTFILE 'x' FROM t", Kind.WRITE),
        ("SELECT f({}) FROM t", Kind.WRITE),
        ("/* {{ */ SELECT {} FROM `t`", Kind.READ),
        ("SELECT a FROM t WHERE b IN (1,2,3,{})", Kind.READ),
        ("UPDATE t SET a = {} WHERE b = 1", Kind.WRITE),
        ("KILL {}", Kind.REFUSED),
        ("SELECT {}; KILL 1", Kind.REFUSED),
        ("SELECT 1 /*! + {} */", Kind.REFUSED),
    ]
)


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(frame=frames, literal=literals)
def test_no_literal_changes_the_class(frame: tuple[str, Kind], literal: str) -> None:
    pattern, kind = frame
    assert classify(pattern.format(literal)).kind is kind


_FRAGMENTS = (
    *("SELECT", "FROM", "t1", "FOR UPDATE", "'", "''", '"', "`", "--", "-- ", "#"),
    *("/*", "*/", "/*!", "\\", "\n", " ", "1", "1.5", "0x1f", "1e5", "a1", "1a", "x"),
    *("@", "@@", ";", ",", "(", ")", "é", "$", ".", "-", "abc", "IN (1,2)"),
)
fragments = st.lists(st.sampled_from(_FRAGMENTS), max_size=14)


@settings(derandomize=True, deadline=None, max_examples=800, database=None)
@given(parts=fragments)
def test_fast_normalisation_equals_that_of_the_lexer(parts: list[str]) -> None:
    """Otherwise the classification would depend on which of the two was used."""
    sql = "".join(parts)
    fast, full = (
        _normalise.normalise_statement(sql),
        _normalise._normalise_with_lexer(sql),
    )
    assert fast.is_broken == full.is_broken
    if not fast.is_broken:
        assert fast == full


def _words(sql: str) -> list[str]:
    ignored = (TokenType.VAR, TokenType.STRING, TokenType.NUMBER, TokenType.HEX_STRING)
    tokens = sqlglot.tokenize(sql, read="mysql")
    return [token.text.upper() for token in tokens if token.token_type not in ignored]


words = st.sampled_from(["SELECT", "FROM", "WHERE", "t", "a.b", ",", "=", "(", ")"])
spaced = st.lists(
    st.one_of(words, literals, st.sampled_from(["-- c'\n", "/* ' */", "`a'b`"])),
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(parts=spaced)
def test_normalisation_keeps_every_word_that_the_parser_reads(parts: list[str]) -> None:
    """A literal or comment must neither hide words nor leave some of its own."""
    sql = " ".join(part.replace("\x00", "") for part in parts)
    normalised = _normalise.normalise_statement(sql)
    if not normalised.is_broken and "," not in parts:
        assert _words(normalised.text) == _words(sql)
