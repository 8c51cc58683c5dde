"""Parsing and formatting of messages of the platform's line protocol."""

from __future__ import annotations

from typing import Final

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.statements import (
    Begin,
    ClientResponse,
    ClientStatement,
    Commit,
    Deallocate,
    Discard,
    Fence,
    GetStatus,
    InvalidStatement,
    MemberResponse,
    MemberStatement,
    Prepare,
    Refusal,
    Rollback,
    Run,
    RunPrepared,
    SetValue,
    StepDown,
    TransactionState,
    Unfence,
)
from radishtrack.session.position import Position

INTERNAL_STATEMENT_ID: Final = "-"
"""Identifier in messages that carry no client's statement ID."""
NO_SIGNATURE: Final = "-"

ERROR_CODES: Final = {
    Refusal.NO_DATABASE: "NODB",
    Refusal.NO_ACCESS: "NOAUTH",
    Refusal.BUSY: "BUSY",
    Refusal.ABORTED: "ABORTED",
    Refusal.LAGGING: "LAGGING",
    Refusal.READ_ONLY: "READONLY",
    Refusal.WRONG_MEMBER: "WRONGNODE",
    Refusal.CONNECTION_LIMIT: "CONNLIMIT",
    Refusal.NO_STATEMENT: "NOSTMT",
    Refusal.EXECUTION_FAILED: "EXECFAIL",
    Refusal.TIMED_OUT: "TIMEOUT",
    Refusal.OUTCOME_UNKNOWN: "INDOUBT",
    Refusal.MALFORMED: "MALFORMED",
}
_REFUSALS: Final = {code: refusal for refusal, code in ERROR_CODES.items()}
_STATE_LETTERS: Final = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_STATES_BY_LETTER: Final = {letter: state for state, letter in _STATE_LETTERS.items()}
_ROLES: Final = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
STATUS_FIELD_COUNT: Final = 5
"""Number of required fields of a status row: role, term, position, fenced term, lag."""
LOAD_FIELD_COUNT: Final = 2
"""Number of optional fields that follow: busy and connections."""


class WireError(ValueError):
    """Raised for a malformed or unexpected message."""


def parse_startup(line: str) -> tuple[str, str | None]:
    """Return the database and the key in a client's first message.

    Raises
    ------
    WireError
        If the line is not a startup message.
    """
    words = line.split(" ")
    if words[0] != "STARTUP" or len(words) not in (2, 3) or not words[1]:
        raise WireError("expected STARTUP with a database and an optional key")
    return words[1], words[2] if len(words) == 3 else None


def parse_query(line: str) -> ClientStatement:
    """Return a client's statement.

    Raises
    ------
    WireError
        If the line is not a query message.
    """
    word, _, rest = line.partition(" ")
    statement_id, _, text = rest.partition(" ")
    if word != "QUERY" or not statement_id or not text:
        raise WireError(f"unexpected message {word[:20]!r}")
    return _parse_statement(statement_id, text)


def _parse_statement(statement_id: str, text: str) -> ClientStatement:
    words = text.split(" ")
    match words:
        case ["BEGIN"]:
            return Begin(is_read_only=False)
        case ["BEGIN", "READ"]:
            return Begin(is_read_only=True)
        case ["COMMIT"]:
            return Commit(statement_id)
        case ["ROLLBACK"]:
            return Rollback()
        case ["READ", item] if item:
            return Run(statement_id, text, is_write=False)
        case ["WRITE", item, _, *_] if item:
            return Run(statement_id, text, is_write=True)
        case ["EXECUTE", name, item, *_] if name and item:
            return RunPrepared(statement_id, name, text.split(" ", 2)[2])
        case ["SET", name, _, *_] if name:
            return SetValue(name, text.split(" ", 2)[2])
        case ["PREPARE", name, ("READ" | "WRITE") as mode, shape] if name and shape:
            return Prepare(name, mode == "WRITE", shape)
        case ["DEALLOC", name] if name:
            return Deallocate(name)
        case _:
            return InvalidStatement(f"unknown statement {words[0][:20]!r}")


def format_client_response(response: ClientResponse) -> str:
    """Return the lines of the response to a client's statement."""
    lines = [f"DATAROW {row}" for row in response.rows if response.refusal is None]
    if response.refusal is None:
        lines.append(f"COMPLETE {response.signature or NO_SIGNATURE}")
    else:
        detail = " ".join(response.detail.split()) or response.refusal.value
        lines.append(f"ERROR {ERROR_CODES[response.refusal]} {detail}")
    lines.append(format_ready(response.state))
    return "\r\n".join(lines)


def format_ready(state: TransactionState) -> str:
    """Return the message that ends a response to a client."""
    return f"READY {_STATE_LETTERS[state]} -"


def format_error(refusal: Refusal, detail: str) -> str:
    """Return an error message to a client."""
    return f"ERROR {ERROR_CODES[refusal]} {detail}"


def format_query(statement: MemberStatement, min_position: Position | None) -> str:
    """Return the message that sends a statement to a member.

    Parameters
    ----------
    statement : MemberStatement
        The statement.
    min_position : Position or None
        Position that the member's log must contain.
    """
    since = (
        f"SINCE {min_position.term}.{min_position.sequence} "
        if min_position is not None
        else ""
    )
    match statement:
        case Run(statement_id, text, _):
            return f"QUERY {statement_id} {since}{text}"
        case RunPrepared(statement_id, name, arguments):
            return f"QUERY {statement_id} {since}EXECUTE {name} {arguments}"
        case Begin(is_read_only):
            mode = "BEGIN READ" if is_read_only else "BEGIN"
            return f"QUERY {INTERNAL_STATEMENT_ID} {since}{mode}"
        case Commit(statement_id):
            return f"QUERY {statement_id} COMMIT"
        case Rollback():
            return f"QUERY {INTERNAL_STATEMENT_ID} ROLLBACK"
        case SetValue(name, value):
            return f"QUERY {INTERNAL_STATEMENT_ID} SET {name} {value}"
        case Prepare(name, is_write, shape):
            mode = "WRITE" if is_write else "READ"
            return f"QUERY {INTERNAL_STATEMENT_ID} PREPARE {name} {mode} {shape}"
        case Discard():
            return f"QUERY {INTERNAL_STATEMENT_ID} DISCARD"
        case GetStatus():
            return f"QUERY {INTERNAL_STATEMENT_ID} STATUS"
        case Fence(term):
            return f"QUERY {INTERNAL_STATEMENT_ID} PAUSE {term}"
        case Unfence():
            return f"QUERY {INTERNAL_STATEMENT_ID} RESUME"
        case StepDown(term):
            return f"QUERY {INTERNAL_STATEMENT_ID} STEPDOWN {term}"


def parse_ready(line: str) -> tuple[TransactionState, Position | None]:
    """Return the state and position in the last line of a member's response.

    Raises
    ------
    WireError
        If the line is not a ready message.
    """
    words = line.split(" ")
    if len(words) != 3 or words[0] != "READY" or words[1] not in _STATES_BY_LETTER:
        raise WireError(f"expected READY, not {line[:40]!r}")
    return _STATES_BY_LETTER[words[1]], parse_position(words[2])


def parse_member_response(lines: list[str], *, has_report: bool) -> MemberResponse:
    """Return a member's response from its lines, the last of which is `READY`.

    Raises
    ------
    WireError
        If the lines are not a complete response.
    """
    if len(lines) < 2:
        raise WireError("response without a result")
    state, position = parse_ready(lines[-1])
    word, _, rest = lines[-2].partition(" ")
    rows = tuple(_parse_row(line) for line in lines[:-2])
    if word == "ERROR":
        code, _, detail = rest.partition(" ")
        # An unknown code does not imply that the statement did not run.
        refusal = _REFUSALS.get(code, Refusal.EXECUTION_FAILED)
        return MemberResponse((), "", refusal, f"{code} {detail}", state, position)
    if word != "COMPLETE":
        raise WireError(f"expected COMPLETE or ERROR, not {word[:20]!r}")
    report = parse_report(rows[0]) if has_report and rows else None
    return MemberResponse(rows, rest, None, "", state, position, report)


def parse_refusal(line: str) -> Refusal:
    """Return why a member did not accept a connection.

    Raises
    ------
    WireError
        If the line is not an error message.
    """
    words = line.split(" ")
    if words[0] != "ERROR" or len(words) < 2:
        raise WireError(f"expected READY or ERROR, not {line[:40]!r}")
    return _REFUSALS.get(words[1], Refusal.BUSY)


def parse_report(row: str) -> MemberReport:
    """Return the report in a status row, which does not contain the member's name.

    Raises
    ------
    WireError
        If fields are missing or malformed.
    """
    words = row.split(" ")
    try:
        role, term, received, held, lag_ms = words[:STATUS_FIELD_COUNT]
        position = parse_position(received)
        load = [int(word) for word in words[STATUS_FIELD_COUNT:][:LOAD_FIELD_COUNT]]
        busy, connections = load if len(load) == LOAD_FIELD_COUNT else (None, None)
        return MemberReport(
            member="",
            role=_ROLES[role],
            term=int(term),
            # End of the received log; its last `lag_ms` may not be applied yet.
            position=position or Position(0, 0),
            # "Held" is the term for which the member stopped receiving; 0 if none.
            fenced_term=int(held),
            lag_ms=float(lag_ms),
            busy=busy,
            connections=connections,
        )
    except (KeyError, ValueError) as error:
        raise WireError(f"not a status row: {row[:60]!r}") from error


def parse_position(text: str) -> Position | None:
    """Return a position written as TERM.NUMBER, or None for ``-``.

    Raises
    ------
    WireError
        If the text is not a position.
    """
    if text == "-":
        return None
    term, dot, number = text.partition(".")
    if not dot or not term.isdecimal() or not number.isdecimal():
        raise WireError(f"not a position: {text[:40]!r}")
    return Position(int(term), int(number))


def _parse_row(line: str) -> str:
    word, _, row = line.partition(" ")
    if word != "DATAROW":
        raise WireError(f"expected DATAROW, not {word[:20]!r}")
    return row
