"""Classification of statements, cached by their normalised text."""

from __future__ import annotations

import enum
import functools
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

import attrs
import sqlglot
from sqlglot import exp

from radishtrack.routing import _rules
from radishtrack.routing._normalise import normalise_statement

MAX_CACHED_STATEMENTS: Final = 2048
MAX_PARSED_CHARACTERS: Final = 4096
MAX_PARENTHESES: Final = 200

_QUOTED_NAME: Final = re.compile(r"`(?:[^`]|``)*`")
_PREFIX: Final = re.compile(r"(?<![\w$\x80-\U0010ffff])[xXbBnN]''", re.ASCII)
_PARSED_WORDS: Final = frozenset(
    {"SELECT", "WITH", "INSERT", "UPDATE", "DELETE", "REPLACE"}
)
_FIRST_WORD: Final = re.compile(r"[\s(]*([A-Za-z]+)", re.ASCII)


class Kind(enum.Enum):
    """What the proxy does with a statement."""

    READ = "read"
    """Can run on a replica."""
    WRITE = "write"
    """Runs on the primary; also every statement that is not recognised."""
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    """Changes a session variable of the database."""
    SHOW_SESSION = "show session"
    LOCAL = "local"
    """Answered by the proxy."""
    REFUSED = "refused"
    DDL = "ddl"


class Local(enum.Enum):
    """The statements that the proxy answers itself."""

    SELECT_VARIABLES = "select variables"
    SELECT_LAST_INSERT_ID = "select last insert id"
    SET_NAMES = "set names"
    AUTOCOMMIT_ON = "autocommit on"
    AUTOCOMMIT_OFF = "autocommit off"
    SHOW_VARIABLES = "show variables"
    SHOW_WARNINGS = "show warnings"
    USE = "use"


@attrs.define(frozen=True)
class Statement:
    """Classification of a statement.

    Parameters
    ----------
    kind : Kind
        What the proxy does with it.
    tables : tuple of str
        Tables that the statement names, as ``table`` or ``schema.table``; empty if
        it was not parsed.
    is_idempotent : bool
        Whether repeating it has no further effect.
    dirties_session : bool
        Whether the database connection must not be reused for other sessions
        afterwards.
    normalised : str
        The statement without literals and comments.
    local : Local or None
        Which statement the proxy answers, for `Kind.LOCAL`.
    reason : str
        Why it is refused, for `Kind.REFUSED`.
    reads_session : bool
        Whether the result depends on earlier statements of the same database
        connection, so that it is defined only inside a transaction.
    """

    kind: Kind
    tables: tuple[str, ...] = ()
    is_idempotent: bool = False
    dirties_session: bool = False
    normalised: str = ""
    local: Local | None = None
    reason: str = ""
    reads_session: bool = False


def make_classifier(
    max_cached_statements: int = MAX_CACHED_STATEMENTS,
) -> Callable[[str], Statement]:
    """Return a classifier with its own cache.

    Parameters
    ----------
    max_cached_statements : int
        Maximum number of cached classifications.

    Returns
    -------
    callable
        Takes the statement without its options comment and returns a `Statement`.
    """
    classify_cached = functools.lru_cache(maxsize=max_cached_statements)(
        classify_normalised
    )

    def classify_statement(sql: str) -> Statement:
        normalised = normalise_statement(sql)
        text = normalised.text
        if normalised.has_executable_comment:
            return _refuse(text, "executable comments are not accepted")
        if normalised.is_broken:
            return _refuse(text, "unterminated quotation or comment, or a control code")
        # The classification of SET depends on the values.
        if text[:3].upper() == "SET":
            return _classify_setting(sql, text)
        if len(text) > MAX_PARSED_CHARACTERS:
            return classify_normalised(text)
        return classify_cached(text)

    return classify_statement


def classify_normalised(text: str) -> Statement:
    """Classify a normalised statement.

    Parameters
    ----------
    text : str
        The normalised text of a complete statement; the values of SET are not checked.

    Returns
    -------
    Statement
        The classification.
    """
    if ";" in _QUOTED_NAME.sub("", text):
        return _refuse(text, "multiple statements in one request are not supported")
    if _rules.SHOW_SESSION.fullmatch(text):
        return Statement(Kind.SHOW_SESSION, (), True, False, text)
    if _rules.RESERVED_NAME.search(text):
        return _refuse(
            text, "names that contain 'radishtrack' are reserved for the proxy"
        )
    for pattern, reason in _rules.REFUSED:
        if pattern.match(text):
            return _refuse(text, reason)
    tree = _parse(text)
    if _uses_system_schema(text, tree):
        return _refuse(text, "system schemas are reserved for the database's operators")
    return _classify_by_pattern(text) or _classify_by_tree(text, tree)


def _refuse(text: str, reason: str) -> Statement:
    return Statement(Kind.REFUSED, (), False, False, text, None, reason)


def _classify_setting(sql: str, text: str) -> Statement:
    checked = classify_normalised(text)
    if checked.kind is Kind.REFUSED:
        return checked
    if _rules.REFUSED_SETTING.match(text):
        return _refuse(text, "this setting is reserved for the database's operators")
    if _rules.SQL_MODE.search(text) and not _rules.SAFE_SQL_MODE.fullmatch(sql.strip()):
        return _refuse(text, "this sql_mode would change how statements are parsed")
    if _rules.SET_NAMES.fullmatch(text):
        return Statement(Kind.LOCAL, (), True, False, text, Local.SET_NAMES)
    autocommit = _rules.AUTOCOMMIT.fullmatch(sql.strip(" \t\r\n\f\v;"))
    if autocommit is not None:
        is_on = autocommit["value"].upper() in ("1", "ON", "TRUE")
        local = Local.AUTOCOMMIT_ON if is_on else Local.AUTOCOMMIT_OFF
        return Statement(Kind.LOCAL, (), True, False, text, local)
    if "autocommit" in text.lower():
        return _refuse(text, "autocommit must be set in a separate statement")
    return Statement(Kind.SET, (), False, True, text)


_LOCAL: Final = (
    (_rules.SELECT_VARIABLES.fullmatch, Local.SELECT_VARIABLES),
    (_rules.SELECT_LAST_INSERT_ID.fullmatch, Local.SELECT_LAST_INSERT_ID),
    (_rules.SHOW_VARIABLES.match, Local.SHOW_VARIABLES),
    (_rules.SHOW_WARNINGS.match, Local.SHOW_WARNINGS),
    (_rules.USE.fullmatch, Local.USE),
)
_TRANSACTION: Final = (
    (_rules.BEGIN.fullmatch, Kind.BEGIN),
    (_rules.COMMIT.fullmatch, Kind.COMMIT),
    (_rules.ROLLBACK.fullmatch, Kind.ROLLBACK),
)


def _classify_by_pattern(text: str) -> Statement | None:
    for matches, kind in _TRANSACTION:
        if matches(text):
            return Statement(kind, (), False, False, text)
    for matches, local in _LOCAL:
        if matches(text):
            return Statement(Kind.LOCAL, (), True, False, text, local)
    if _rules.SAVEPOINT.match(text):
        return Statement(Kind.WRITE, (), False, False, text, reads_session=True)
    if _rules.DDL_STATEMENT.match(text):
        return Statement(Kind.DDL, (), False, False, text)
    is_replica_safe = not _rules.NEEDS_PRIMARY.search(text)
    if is_replica_safe and (
        _rules.SHOW_SCHEMA.match(text) or _rules.DESCRIBE_STATEMENT.fullmatch(text)
    ):
        return Statement(Kind.READ, (), True, False, text)
    return None


def _classify_by_tree(text: str, tree: exp.Expression | None) -> Statement:
    tables = () if tree is None else tuple(dict.fromkeys(_iterate_tables(tree)))
    is_read = (
        tree is not None
        and _rules.QUERY.match(text) is not None
        and not _rules.NEEDS_PRIMARY.search(text)
        and not _rules.SIDE_EFFECTS.search(text)
        and _is_replica_safe_query(tree)
    )
    first_word = _FIRST_WORD.match(text)
    is_call = first_word is not None and first_word[1].upper() in ("CALL", "DO")
    return Statement(
        Kind.READ if is_read else Kind.WRITE,
        tables,
        is_idempotent=is_read,
        dirties_session=is_call or _rules.LEAVES_SESSION_STATE.search(text) is not None,
        normalised=text,
        reads_session=_rules.READS_SESSION_STATE.search(text) is not None,
    )


def _parse(text: str) -> exp.Expression | None:
    first_word = _FIRST_WORD.match(text)
    if first_word is None or first_word[1].upper() not in _PARSED_WORDS:
        return None
    if len(text) > MAX_PARSED_CHARACTERS or text.count("(") > MAX_PARENTHESES:
        return None
    try:
        trees = sqlglot.parse(_PREFIX.sub("''", text), read="mysql")
    except Exception:
        # The parser raises exceptions of many types for text that it does not expect;
        # all of them mean that the statement is not recognised.
        return None
    return trees[0] if len(trees) == 1 else None


def _is_replica_safe_query(tree: exp.Expression) -> bool:
    if not isinstance(tree, exp.Query):
        return False
    return all(_is_replica_safe_node(node) for node in tree.walk())


def _is_replica_safe_node(node: exp.Expression) -> bool:
    if isinstance(node, _EXCLUDED_NODES):
        return False
    if isinstance(node, exp.Anonymous):
        is_qualified = isinstance(node.parent, exp.Dot)
        return not is_qualified and node.name.upper() in _rules.KNOWN_FUNCTIONS
    return True


_EXCLUDED_NODES: Final[tuple[type[Any], ...]] = (
    exp.Into,
    exp.Lock,
    exp.DML,
    exp.DDL,
    exp.Command,
    exp.Parameter,
    exp.SessionParameter,
    exp.PropertyEQ,
    exp.NextValueFor,
)


def _iterate_tables(tree: exp.Expression) -> Iterator[str]:
    with_clause = tree.args.get("with_")
    expressions = [] if with_clause is None else with_clause.expressions
    # Only the outermost WITH is considered: its names are visible everywhere, except in
    # earlier definitions and, unless it is recursive, in their own.
    definitions = {cte.alias: number for number, cte in enumerate(expressions)}
    is_recursive = bool(with_clause is not None and with_clause.recursive)
    numbers = {id(cte): number for number, cte in enumerate(expressions)}
    for table in tree.find_all(exp.Table):
        if not table.name or _is_dual(table):
            continue
        definition = definitions.get(table.name)
        if not table.db and definition is not None:
            enclosing = _find_enclosing_definition(table, numbers)
            if (
                enclosing is None
                or definition < enclosing
                or (is_recursive and definition == enclosing)
            ):
                continue
        yield f"{table.db}.{table.name}" if table.db else table.name


def _is_dual(table: exp.Table) -> bool:
    is_bare = not table.db and not table.this.args.get("quoted")
    return is_bare and table.name.upper() == "DUAL"


def _find_enclosing_definition(
    node: exp.Expression, numbers: Mapping[int, int]
) -> int | None:
    parent = node.parent
    while parent is not None:
        if id(parent) in numbers:
            return numbers[id(parent)]
        parent = parent.parent
    return None


def _uses_system_schema(text: str, tree: exp.Expression | None) -> bool:
    if tree is None:
        return _rules.SYSTEM_NAME.search(text) is not None
    schemas = (dot.this.name.lower() for dot in tree.find_all(exp.Dot))
    return any(_is_system_table(table) for table in _iterate_tables(tree)) or any(
        schema in _rules.SYSTEM_SCHEMAS for schema in schemas
    )


def _is_system_table(table: str) -> bool:
    schema, _, name = table.lower().rpartition(".")
    return schema in _rules.SYSTEM_SCHEMAS or (
        schema == "information_schema" and name in _rules.SYSTEM_TABLES
    )


classify: Final = make_classifier()
