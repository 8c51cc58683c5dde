"""Classification of statements, cached by their form."""

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
from radishtrack.routing._form import reduce_to_form

MAX_FORMS: Final = 2048
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
    """Runs on the primary; also everything that is not understood."""
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
    """What the proxy knows about a statement.

    Parameters
    ----------
    kind : Kind
        What the proxy does with it.
    tables : tuple of str
        Tables that the statement names, as ``table`` or ``schema.table``; empty if
        it was not parsed.
    is_idempotent : bool
        Whether it can be repeated without changing the result.
    dirties_session : bool
        Whether the database connection must not be reused by others afterwards.
    form : str
        The statement without literals and comments.
    local : Local or None
        What the proxy answers, for `Kind.LOCAL`.
    reason : str
        Why it is refused, for `Kind.REFUSED`.
    reads_session : bool
        Whether the result depends on earlier statements of the same database
        connection, so that it has a meaning only inside a transaction.
    """

    kind: Kind
    tables: tuple[str, ...] = ()
    is_idempotent: bool = False
    dirties_session: bool = False
    form: str = ""
    local: Local | None = None
    reason: str = ""
    reads_session: bool = False


def make_classifier(max_forms: int = MAX_FORMS) -> Callable[[str], Statement]:
    """Return a classifier with a cache of its own.

    Parameters
    ----------
    max_forms : int
        Number of forms whose classification is kept.

    Returns
    -------
    callable
        Takes the statement without its options comment and returns a `Statement`.
    """
    classify_cached = functools.lru_cache(maxsize=max_forms)(classify_form)

    def classify_statement(sql: str) -> Statement:
        form = reduce_to_form(sql)
        text = form.text
        if form.has_executable_comment:
            return _refuse(text, "comments that the database runs are not accepted")
        if form.is_broken:
            return _refuse(text, "unfinished quotation or comment, or a control code")
        # The class of these depends on their values.
        if text[:3].upper() == "SET":
            return _classify_setting(sql, text)
        if len(text) > MAX_PARSED_CHARACTERS:
            return classify_form(text)
        return classify_cached(text)

    return classify_statement


def classify_form(text: str) -> Statement:
    """Classify a statement by the text of its form.

    Parameters
    ----------
    text : str
        The form of a statement other than SET, not broken.

    Returns
    -------
    Statement
        The classification.
    """
    if ";" in _QUOTED_NAME.sub("", text):
        return _refuse(text, "several statements in one request")
    if _rules.SHOW_SESSION.fullmatch(text):
        return Statement(Kind.SHOW_SESSION, (), True, False, text)
    if _rules.RESERVED_NAME.search(text):
        return _refuse(text, "names with 'radishtrack' belong to the proxy")
    for pattern, reason in _rules.REFUSED:
        if pattern.match(text):
            return _refuse(text, reason)
    tree = _parse(text)
    if _names_system_schema(text, tree):
        return _refuse(text, "system schemas are reserved to the database's operators")
    return _classify_simple(text) or _classify_parsed(text, tree)


def _refuse(text: str, reason: str) -> Statement:
    return Statement(Kind.REFUSED, (), False, False, text, None, reason)


def _classify_setting(sql: str, text: str) -> Statement:
    checked = classify_form(text)
    if checked.kind is Kind.REFUSED:
        return checked
    if _rules.REFUSED_SETTING.match(text):
        return _refuse(text, "this setting is reserved to the database's operators")
    if _rules.SQL_MODE.search(text) and not _rules.SAFE_SQL_MODE.fullmatch(sql.strip()):
        return _refuse(text, "this sql_mode would change how statements are read")
    if _rules.SET_NAMES.fullmatch(text):
        return Statement(Kind.LOCAL, (), True, False, text, Local.SET_NAMES)
    autocommit = _rules.AUTOCOMMIT.fullmatch(sql.strip(" \t\r\n\f\v;"))
    if autocommit is not None:
        is_on = autocommit["value"].upper() in ("1", "ON", "TRUE")
        local = Local.AUTOCOMMIT_ON if is_on else Local.AUTOCOMMIT_OFF
        return Statement(Kind.LOCAL, (), True, False, text, local)
    if "autocommit" in text.lower():
        return _refuse(text, "autocommit must be set by a statement of its own")
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


def _classify_simple(text: str) -> Statement | None:
    for matches, kind in _TRANSACTION:
        if matches(text):
            return Statement(kind, (), False, False, text)
    for matches, local in _LOCAL:
        if matches(text):
            return Statement(Kind.LOCAL, (), True, False, text, local)
    if _rules.SAVEPOINT.match(text):
        return Statement(Kind.WRITE, (), False, False, text, reads_session=True)
    if _rules.DEFINITION.match(text):
        return Statement(Kind.DDL, (), False, False, text)
    is_plain = not _rules.NOT_PLAIN.search(text)
    if is_plain and (
        _rules.SHOW_SCHEMA.match(text) or _rules.DESCRIPTION.fullmatch(text)
    ):
        return Statement(Kind.READ, (), True, False, text)
    return None


def _classify_parsed(text: str, tree: exp.Expression | None) -> Statement:
    tables = () if tree is None else tuple(dict.fromkeys(_iterate_tables(tree)))
    is_read = (
        tree is not None
        and _rules.QUERY.match(text) is not None
        and not _rules.NOT_PLAIN.search(text)
        and not _rules.SIDE_EFFECTS.search(text)
        and _is_plain_query(tree)
    )
    first = _FIRST_WORD.match(text)
    calls = first is not None and first[1].upper() in ("CALL", "DO")
    return Statement(
        Kind.READ if is_read else Kind.WRITE,
        tables,
        is_idempotent=is_read,
        dirties_session=calls or _rules.DIRTY.search(text) is not None,
        form=text,
        reads_session=_rules.SESSION_STATE.search(text) is not None,
    )


def _parse(text: str) -> exp.Expression | None:
    first = _FIRST_WORD.match(text)
    if first is None or first[1].upper() not in _PARSED_WORDS:
        return None
    if len(text) > MAX_PARSED_CHARACTERS or text.count("(") > MAX_PARENTHESES:
        return None
    try:
        trees = sqlglot.parse(_PREFIX.sub("''", text), read="mysql")
    except Exception:
        # The parser raises errors of many types for text that it does not expect;
        # all of them mean that the statement is not understood.
        return None
    return trees[0] if len(trees) == 1 else None


def _is_plain_query(tree: exp.Expression) -> bool:
    if not isinstance(tree, exp.Query):
        return False
    return all(_is_plain_node(node) for node in tree.walk())


def _is_plain_node(node: exp.Expression) -> bool:
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
    # Only the outermost WITH counts: its names are visible everywhere, except in the
    # definitions up to the one that introduces them.
    definitions = {cte.alias: number for number, cte in enumerate(expressions)}
    is_recursive = bool(with_clause is not None and with_clause.recursive)
    numbers = {id(cte): number for number, cte in enumerate(expressions)}
    for table in tree.find_all(exp.Table):
        if not table.name or _is_dual(table):
            continue
        defined = definitions.get(table.name)
        if not table.db and defined is not None:
            inside = _find_definition(table, numbers)
            if (
                inside is None
                or defined < inside
                or (is_recursive and defined == inside)
            ):
                continue
        yield f"{table.db}.{table.name}" if table.db else table.name


def _is_dual(table: exp.Table) -> bool:
    is_plain = not table.db and not table.this.args.get("quoted")
    return is_plain and table.name.upper() == "DUAL"


def _find_definition(node: exp.Expression, numbers: Mapping[int, int]) -> int | None:
    parent = node.parent
    while parent is not None:
        if id(parent) in numbers:
            return numbers[id(parent)]
        parent = parent.parent
    return None


def _names_system_schema(text: str, tree: exp.Expression | None) -> bool:
    if tree is None:
        return _rules.SYSTEM_NAME.search(text) is not None
    calls = (dot.this.name.lower() for dot in tree.find_all(exp.Dot))
    return any(_is_system_table(table) for table in _iterate_tables(tree)) or any(
        schema in _rules.SYSTEM_SCHEMAS for schema in calls
    )


def _is_system_table(table: str) -> bool:
    schema, _, name = table.lower().rpartition(".")
    return schema in _rules.SYSTEM_SCHEMAS or (
        schema == "information_schema" and name in _rules.SYSTEM_TABLES
    )


classify: Final = make_classifier()
