"""Normalisation of statements: removal of literals and comments."""

from __future__ import annotations

import re
from typing import Final

import attrs

# An identifier may begin with a digit, so digits are a number only if no letter
# follows. The leading character class lets the regex engine skip to digits; the
# lookbehind after it checks the character before the first digit.
_NUMBER_PATTERN: Final = r"""
    [0-9](?<![\w$.@\x80-\U0010ffff].)
    (?:(?<=0)x[0-9a-fA-F]++|(?<=0)b[01]++|[0-9]*+(?:\.[0-9]*+)?(?:[eE][+-]?[0-9]++)?)
    (?![\w$.\x80-\U0010ffff])
"""
_FLAGS: Final = re.VERBOSE | re.DOTALL | re.ASCII

# Alternatives are tried from left to right at every character. MySQL's rules apply:
# a double dash begins a comment only before white space.
_LEXEMES: Final = re.compile(
    r"""
    (?P<text>'[^'\\]*+(?:(?:\\.|'')[^'\\]*+)*+'|"[^"\\]*+(?:(?:\\.|"")[^"\\]*+)*+")
  | (?P<name>`(?:[^`]|``)*+`)
  | (?P<executable>/\*M?!)
  | (?P<hint>/\*\+.*?\*/)
  | (?P<comment>/\*.*?\*/|--(?=[\s\x00-\x1f]|\Z)[^\n]*+|\#[^\n]*+)
  | (?P<minus>--)
  | (?P<broken>
        ['"`]|/\*|\*/
      | (?<![\w$\x80-\U0010ffff])\$
      | [\x00-\x08\x0e-\x1f\x7f-\xa0\u1680\u180e\u2000-\u200f\u2028-\u202f]
      | [\u205f-\u2064\u3000\ufeff\ud800-\udfff]
    )
  | (?P<number>"""
    + _NUMBER_PATTERN
    + ")",
    _FLAGS,
)
_REPLACEMENTS: Final = {
    "text": "''",
    "number": "0",
    "executable": "\x01",
    "comment": " ",
    # Two minus signs. They are separated because a comment after them becomes a space,
    # and a double dash before a space would begin a comment.
    "minus": "- -",
    "broken": "\x02",
}

# Text without these characters has only single-quoted strings without escapes, so two
# substitutions without a Python callback give the same result in a fifth of the time.
_NEEDS_LEXER: Final = re.compile(
    r'["`\\#$\x00-\x08\x0e-\x1f\x7f-\xa0\u1680-\U0010ffff]', _FLAGS & ~re.VERBOSE
)
_SIMPLE_STRING: Final = re.compile(r"'[^']*+'(?:'[^']*+')*+")
_NUMBER: Final = re.compile(_NUMBER_PATTERN, _FLAGS)

_LIST: Final = re.compile(r"\((?:0|'')(?:,\s*+(?:0|'')){3,}+\)")
_ROWS: Final = re.compile(r"(\([^()`]{1,2000}+\))(?:\s*+,\s*+\1)++")


@attrs.define(frozen=True)
class NormalisedStatement:
    """A statement without literals and comments.

    Parameters
    ----------
    text : str
        The text; strings are replaced by ``''``, numbers by ``0``, comments by a space.
    has_executable_comment : bool
        Whether there is a comment whose content MySQL executes.
    is_broken : bool
        Whether a quotation or comment is unterminated, or there are characters that
        MySQL and the parser interpret differently.
    """

    text: str
    has_executable_comment: bool = False
    is_broken: bool = False


def normalise_statement(sql: str) -> NormalisedStatement:
    """Replace literals and comments of a statement.

    Parameters
    ----------
    sql : str
        The statement.

    Returns
    -------
    NormalisedStatement
        Equal for statements that differ only in literals, comments, and the length
        of lists of literals.
    """
    if _NEEDS_LEXER.search(sql) or "--" in sql or "/*" in sql or "*/" in sql:
        return _normalise_with_lexer(sql)
    text = _SIMPLE_STRING.sub("''", sql)
    # Complete strings have an even number of quotes.
    is_broken = text.count("'") % 2 == 1
    return NormalisedStatement(
        _collapse_lists(_NUMBER.sub("0", text)), False, is_broken
    )


def _normalise_with_lexer(sql: str) -> NormalisedStatement:
    text = _LEXEMES.sub(_replace, sql)
    return NormalisedStatement(_collapse_lists(text), "\x01" in text, "\x02" in text)


def _collapse_lists(text: str) -> str:
    if "," in text:
        text = _ROWS.sub(r"\1", _LIST.sub("(0,0,0)", text))
    return text.strip(" \t\r\n\f\v;")


def _replace(match: re.Match[str]) -> str:
    return _REPLACEMENTS.get(match.lastgroup or "") or match[0]
