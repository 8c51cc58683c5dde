"""Translates MySQL statements for sqlite, and sqlite errors for MySQL clients."""

from __future__ import annotations

import re
import uuid
from datetime import UTC, datetime
from typing import Final

import attrs

_SEGMENT: Final = re.compile(
    r"'(?:[^'\\]|\\.|'')*'"
    r'|"(?:[^"\\]|\\.|"")*"'
    r"|`[^`]*`"
    r"|/\*.*?\*/"
    r"|(?:--[ \t]|#)[^\n]*",
    re.DOTALL,
)
_ESCAPE: Final = re.compile(r"\\(.)|''|\"\"", re.DOTALL)
_ESCAPED: Final = {"n": "\n", "r": "\r", "t": "\t", "b": "\b", "Z": "\x1a", "0": "\0"}
_PLACEHOLDER: Final = re.compile("\x01(\\d+)\x01")

_KEY_COLUMN: Final = re.compile(
    r"\b(?:BIG|MEDIUM|SMALL)?INT(?:EGER)?(?:\(\d+\))?(?:\s+UNSIGNED)?(?:\s+NOT\s+NULL)?"
    r"\s+(?:AUTO_INCREMENT\s+PRIMARY\s+KEY|PRIMARY\s+KEY\s+AUTO_INCREMENT)",
    re.IGNORECASE,
)
_TABLE_OPTIONS: Final = re.compile(
    r"\)\s*(?:ENGINE|DEFAULT\s+CHARSET|CHARSET|COMMENT)\b[^)]*$", re.IGNORECASE
)
_ROW_LOCK: Final = re.compile(
    r"\s+(?:FOR\s+(?:UPDATE|SHARE)(?:\s+(?:NOWAIT|SKIP\s+LOCKED))?"
    r"|LOCK\s+IN\s+SHARE\s+MODE)\s*$",
    re.IGNORECASE,
)
_NOW: Final = re.compile(
    r"\b(?:NOW|CURRENT_TIMESTAMP|UTC_TIMESTAMP|SYSDATE|LOCALTIME)\s*\(\s*\d?\s*\)",
    re.IGNORECASE,
)
_UUID: Final = re.compile(r"\bUUID\s*\(\s*\)", re.IGNORECASE)
_RANDOM: Final = re.compile(r"\bRAND\s*\(\s*\)", re.IGNORECASE)
_SLEEP: Final = re.compile(r"\bSLEEP\s*\(\s*([\d.]+)\s*\)", re.IGNORECASE)
_SESSION_FUNCTION: Final = re.compile(
    r"\b(LAST_INSERT_ID|CONNECTION_ID|DATABASE|SCHEMA|VERSION)\s*\(\s*\)", re.IGNORECASE
)
_VARIABLE: Final = re.compile(
    r"@@(?:(?:session|global|local)\s*\.\s*)?(\w+)", re.IGNORECASE
)
_ON_DUPLICATE: Final = re.compile(r"\bON\s+DUPLICATE\s+KEY\s+UPDATE\b", re.IGNORECASE)
_VALUES_OF: Final = re.compile(r"\bVALUES\s*\(\s*(`?\w+`?)\s*\)", re.IGNORECASE)
_KEYWORD: Final = re.compile(r"[\s(]*([a-zA-Z]+)")
_TARGET: Final = re.compile(
    r"^\s*(?:INSERT\s+(?:OR\s+\w+\s+)?INTO|REPLACE\s+INTO|UPDATE|DELETE\s+FROM"
    r"|DROP\s+(?:TEMPORARY\s+)?TABLE(?:\s+IF\s+EXISTS)?)\s+`?(\w+)`?",
    re.IGNORECASE,
)

_REWRITES: Final = (
    (re.compile(r"^\s*INSERT\s+IGNORE\b", re.IGNORECASE), "INSERT OR IGNORE"),
    (re.compile(r"^\s*TRUNCATE(\s+TABLE)?\b", re.IGNORECASE), "DELETE FROM"),
    (re.compile(r"\b_binary(?=\s*\x01)", re.IGNORECASE), ""),
    (re.compile(r"\bINSERT\s+INTO\s+(\S+)\s*\(\s*\)\s*VALUES\s*\(\s*\)", re.I),
     r"INSERT INTO \1 DEFAULT VALUES"),
    (re.compile(r"^\s*(?:DESCRIBE|DESC|SHOW\s+COLUMNS\s+FROM)\s+(\S+)", re.I),
     r"SELECT name AS Field, type AS Type FROM pragma_table_info('\1')"),
    (re.compile(r"^\s*SHOW\s+TABLES\b.*", re.IGNORECASE | re.DOTALL),
     "SELECT name FROM sqlite_master WHERE type = 'table'"
     " AND substr(name, 1, 1) <> '_' AND name NOT LIKE 'sqlite%'"),
    (re.compile(r"^\s*SHOW\s+(?:WARNINGS|ERRORS)\b.*", re.I | re.DOTALL),
     "SELECT '' AS Level, 0 AS Code, '' AS Message WHERE 0"),
    (re.compile(r"^\s*SHOW\s+(?:\w+\s+)?(?:VARIABLES|STATUS)\b.*", re.I | re.DOTALL),
     "SELECT '' AS Variable_name, '' AS Value WHERE 0"),
)  # fmt: skip


class MemberError(Exception):
    """Error that is sent to the client as a MySQL error packet."""

    def __init__(self, code: int, state: str, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.state = state
        self.message = message


@attrs.define(frozen=True)
class Statement:
    """A statement translated for sqlite.

    Parameters
    ----------
    keyword : str
        First keyword, in upper case.
    text : str
        The statement in MySQL syntax without comments; its literals are converted.
    sql : str
        The statement for sqlite; deterministic, so that replicas can replay it.
    locks_rows : bool
        Whether it is a SELECT that requests row locks.
    sleep_ms : float
        Total time of its SLEEP calls, in milliseconds.
    target : str
        Table that it changes or drops, in lower case; empty if it names none.
    """

    keyword: str
    text: str
    sql: str
    locks_rows: bool
    sleep_ms: float
    target: str


def _convert_literal(segment: str) -> str:
    quote = segment[0]

    def unescape(match: re.Match[str]) -> str:
        character = match.group(1)
        if character is None:
            doubled = match.group(0)
            return quote if doubled[0] == quote else doubled
        if character in "%_":
            return "\\" + character
        return _ESCAPED.get(character, character)

    value = _ESCAPE.sub(unescape, segment[1:-1])
    return "'" + value.replace("'", "''") + "'"


def _extract_literals(text: str) -> tuple[str, list[str]]:
    literals: list[str] = []

    def extract(match: re.Match[str]) -> str:
        segment = match.group(0)
        if segment[0] == "`":
            return segment
        if segment[0] not in "'\"":
            return " "
        literals.append(_convert_literal(segment))
        return f"\x01{len(literals) - 1}\x01"

    return _SEGMENT.sub(extract, text), literals


def _replace_functions(sql: str, variables: dict[str, str]) -> str:
    now = datetime.now(UTC).strftime("%Y-%m-%d %H:%M:%S.%f")
    sql = _NOW.sub(f"'{now}'", sql)
    sql = _UUID.sub(lambda _: f"'{uuid.uuid4()}'", sql)
    sql = _RANDOM.sub(lambda _: repr(uuid.uuid4().int / 2**128), sql)
    sql = _SLEEP.sub("0", sql)
    sql = _SESSION_FUNCTION.sub(lambda m: variables[m.group(1).lower()], sql)
    return _VARIABLE.sub(lambda m: variables.get(m.group(1).lower(), "NULL"), sql)


def parse_statement(text: str, variables: dict[str, str]) -> Statement:
    """Translate a MySQL statement for sqlite.

    Parameters
    ----------
    text : str
        Statement of a client.
    variables : dict
        Values of system variables and session functions as SQL literals, by name in
        lower case.
    """
    sql, literals = _extract_literals(text.strip())
    sql = sql.strip().rstrip(";").strip()
    match = _KEYWORD.match(sql)
    keyword = match.group(1).upper() if match else ""
    mysql_text = _PLACEHOLDER.sub(lambda m: literals[int(m.group(1))], sql)
    sleep_ms = sum(float(seconds) for seconds in _SLEEP.findall(sql)) * 1000
    locks_rows = keyword == "SELECT" and _ROW_LOCK.search(sql) is not None
    for pattern, replacement in _REWRITES:
        sql = pattern.sub(replacement, sql)
    if keyword == "CREATE":
        sql = _KEY_COLUMN.sub("INTEGER PRIMARY KEY AUTOINCREMENT", sql)
        sql = _TABLE_OPTIONS.sub(")", sql)
    if _ON_DUPLICATE.search(sql):
        head, tail = _ON_DUPLICATE.split(sql, maxsplit=1)
        tail = _VALUES_OF.sub(r"excluded.\1", tail)
        sql = f"{head} ON CONFLICT DO UPDATE SET {tail}"
    if locks_rows:
        sql = _ROW_LOCK.sub("", sql)
    sql = _replace_functions(sql, variables)
    sql = _PLACEHOLDER.sub(lambda m: literals[int(m.group(1))], sql)
    target = _TARGET.match(sql)
    return Statement(
        keyword=keyword,
        text=mysql_text,
        sql=sql,
        locks_rows=locks_rows,
        sleep_ms=sleep_ms,
        target=target.group(1).lower() if target else "",
    )


_ERRORS_BY_FRAGMENT: Final = (
    ("no such table", 1146, "42S02"),
    ("no such column", 1054, "42S22"),
    ("has no column named", 1054, "42S22"),
    ("already exists", 1050, "42S01"),
    ("UNIQUE constraint", 1062, "23000"),
    ("NOT NULL constraint", 1048, "23000"),
    ("FOREIGN KEY constraint", 1452, "23000"),
    ("CHECK constraint", 3819, "HY000"),
    ("locked", 1205, "HY000"),
    ("values for", 1136, "21S01"),
    ("columns but", 1136, "21S01"),
    ("no such function", 1305, "42000"),
    ("syntax error", 1064, "42000"),
    ("unrecognized token", 1064, "42000"),
    ("incomplete input", 1064, "42000"),
    ("one statement at a time", 1064, "42000"),
    ("bindings", 1064, "42000"),
)


def translate_error(error: Exception) -> MemberError:
    """Return the MySQL error for an error of sqlite."""
    text = str(error)
    for fragment, code, state in _ERRORS_BY_FRAGMENT:
        if fragment in text:
            prefix = "Duplicate entry: " if code == 1062 else ""
            return MemberError(code, state, prefix + text)
    return MemberError(1105, "HY000", text)
