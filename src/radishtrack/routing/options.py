"""Request options in a leading ``/*radishtrack name=value ...*/`` comment."""

from __future__ import annotations

import enum
import re
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.errors import ErrorCode, Failure, Outcome, RequestError

MAX_COMMENT_CHARACTERS: Final = 8192
MAX_AGE_MS: Final = 86_400_000
MAX_TIMEOUT_MS: Final = 600_000

_MARKER: Final = "/*radishtrack"
_LEADING_COMMENT = re.compile(r"\s*/\*(?!!)(.*?)\*/", re.DOTALL | re.ASCII)
_NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{1,64}", re.ASCII)
_TOKEN = re.compile(r"[A-Za-z0-9_-]{1,4096}", re.ASCII)


class ReadClass(enum.Enum):
    """The consistency that a read requires."""

    STRICT = "strict"
    SESSION = "session"
    AGED = "aged"
    PRIMARY = "primary"
    """Reads inside a transaction; clients cannot request it by name."""


@attrs.define(frozen=True)
class RequestOptions:
    """Options of one statement.

    Parameters
    ----------
    read_class : ReadClass or None
        The requested class; None for the default of the route.
    max_age_ms : int or None
        Greatest accepted age of the data, in milliseconds.
    request_id : str
        Identifier under which the request runs at most once; empty for none.
    timeout_ms : int or None
        Time that the client allows for the request, in milliseconds.
    session : str
        Session token of an earlier connection; empty for none.
    """

    read_class: ReadClass | None = None
    max_age_ms: int | None = None
    request_id: str = ""
    timeout_ms: int | None = None
    session: str = ""


NO_OPTIONS: Final = RequestOptions()


def make_invalid_option(message: str) -> RequestError:
    """Return the error for a request with invalid options."""
    return RequestError(
        Failure("options", "", Outcome.NOT_RUN, ErrorCode.INVALID_OPTION, message)
    )


def split_options(sql: str) -> tuple[RequestOptions, str]:
    """Separate the options from a statement.

    Only comments before the first word of the statement are parsed, so text inside a
    string literal is never taken for options. Other comments stay.

    Parameters
    ----------
    sql : str
        The statement as the client sent it.

    Returns
    -------
    RequestOptions
        The options; empty if there is no such comment.
    str
        The statement without the options comment.

    Raises
    ------
    RequestError
        With `ErrorCode.INVALID_OPTION` for an unknown, repeated or invalid option.
    """
    if _MARKER not in sql:
        return NO_OPTIONS, sql
    options_comment: re.Match[str] | None = None
    comment = _LEADING_COMMENT.match(sql)
    while comment is not None:
        if _is_options_comment(comment[1]):
            if options_comment is not None:
                raise make_invalid_option("more than one radishtrack comment")
            options_comment = comment
        comment = _LEADING_COMMENT.match(sql, comment.end())
    if options_comment is None:
        return NO_OPTIONS, sql
    if len(options_comment[1]) > MAX_COMMENT_CHARACTERS:
        raise make_invalid_option("the radishtrack comment is too long")
    options = _parse_options(options_comment[1].split()[1:])
    return options, (
        sql[: options_comment.start()] + sql[options_comment.end() :].lstrip()
    )


def _is_options_comment(text: str) -> bool:
    return text.startswith("radishtrack") and text[11:12] in ("", *" \t\r\n\f\v")


def _parse_options(words: list[str]) -> RequestOptions:
    values: dict[str, str] = {}
    for word in words:
        name, separator, value = word.partition("=")
        if name not in _PARSERS or not separator:
            raise make_invalid_option(f"unknown option {name[:40]!r}")
        if name in values:
            raise make_invalid_option(f"option {name} is repeated")
        values[name] = value
    fields = {
        _FIELD_NAMES.get(name, name): _PARSERS[name](name, value)
        for name, value in values.items()
    }
    options = RequestOptions(**fields)  # type: ignore[arg-type]
    if options.max_age_ms is not None and options.read_class not in (
        None,
        ReadClass.AGED,
    ):
        raise make_invalid_option("max_age_ms needs class=aged")
    return options


def _parse_class(name: str, value: str) -> ReadClass:
    if value not in ("strict", "session", "aged"):
        raise make_invalid_option(f"{name} must be strict, session or aged")
    return ReadClass(value)


def _make_number_parser(upper_limit: int) -> Callable[[str, str], int]:
    def parse(name: str, value: str) -> int:
        if not _NUMBER.fullmatch(value) or not 1 <= int(value) <= upper_limit:
            raise make_invalid_option(f"{name} must be 1 to {upper_limit}")
        return int(value)

    return parse


def _make_text_parser(pattern: re.Pattern[str]) -> Callable[[str, str], str]:
    def parse(name: str, value: str) -> str:
        if not pattern.fullmatch(value):
            raise make_invalid_option(
                f"{name} is empty, too long or has characters that are not allowed"
            )
        return value

    return parse


_FIELD_NAMES: Final = {"class": "read_class"}
_PARSERS: Final[dict[str, Callable[[str, str], object]]] = {
    "class": _parse_class,
    "max_age_ms": _make_number_parser(MAX_AGE_MS),
    "request_id": _make_text_parser(_REQUEST_ID),
    "timeout_ms": _make_number_parser(MAX_TIMEOUT_MS),
    "session": _make_text_parser(_TOKEN),
}
