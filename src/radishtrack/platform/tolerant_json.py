"""Decodes JSON of which single objects can't be read.

Objects of other writers may be nested too deeply, have numbers of too many digits, or
contain bytes that are not text. The library's decoder then fails for the whole
document, so this one decodes the two outer levels field by field.
"""

from __future__ import annotations

import enum
import json
import re
from collections.abc import Callable
from typing import Any, Final


class Unreadable(enum.Enum):
    """Stands for a value that can't be read."""

    VALUE = "unreadable value"


UNREADABLE: Final = Unreadable.VALUE

_DECODER: Final = json.JSONDecoder()
_BLANK: Final = re.compile(r"[ \t\r\n]*")
_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[{]++|[\]}]++', re.DOTALL)
"""A string, or a run of brackets: deep nesting must not cost much time."""
_SCALAR: Final = re.compile(r"[^\s,\]}]+")
_UNDECODED: Final = re.compile("[\udc80-\udcff]")
"""What stands for bytes that are not UTF-8."""

_Decode = Callable[[str, int], tuple[Any, int]]
"""Returns the value at an offset of a text, and the offset behind it."""


def decode_tolerantly(data: bytes) -> Any:
    """Return a document with `UNREADABLE` in place of the values that can't be read.

    Only values of an outer object, and of the objects in its lists, are replaced.

    Raises
    ------
    ValueError
        If the two outer levels are not valid JSON.
    """
    text = data.decode("utf-8", "surrogateescape")
    value, end = _decode_object(text, _skip_blank(text, 0), _decode_field)
    if _skip_blank(text, end) != len(text):
        raise ValueError("data behind the document")
    return value


def _decode_field(text: str, at: int) -> tuple[Any, int]:
    """Decode a field of the document; lists are decoded item by item."""
    if text[at : at + 1] == "[":
        return _decode_list(text, at)
    return _decode_value(text, at)


def _decode_item(text: str, at: int) -> tuple[Any, int]:
    if text[at : at + 1] == "{":
        return _decode_object(text, at, _decode_value)
    return _decode_value(text, at)


def _decode_object(text: str, at: int, decode: _Decode) -> tuple[dict[str, Any], int]:
    fields: dict[str, Any] = {}
    at = _expect(text, at, "{")
    while text[at : at + 1] != "}":
        if fields:
            at = _expect(text, at, ",")
        key, at = _decode_value(text, at)
        if not isinstance(key, str):
            raise ValueError(f"no field name at {at}")
        at = _expect(text, _skip_blank(text, at), ":")
        fields[key], at = decode(text, at)
        at = _skip_blank(text, at)
    return fields, at + 1


def _decode_list(text: str, at: int) -> tuple[list[Any], int]:
    items: list[Any] = []
    at = _expect(text, at, "[")
    while text[at : at + 1] != "]":
        if items:
            at = _expect(text, at, ",")
        item, at = _decode_item(text, at)
        items.append(item)
        at = _skip_blank(text, at)
    return items, at + 1


def _decode_value(text: str, at: int) -> tuple[Any, int]:
    try:
        value, end = _DECODER.raw_decode(text, at)
    except (ValueError, RecursionError):
        return UNREADABLE, _find_end(text, at)
    return (UNREADABLE if _UNDECODED.search(text, at, end) else value), end


def _find_end(text: str, at: int) -> int:
    """Return the offset behind a value that can't be decoded."""
    if text[at : at + 1] not in ('"', "[", "{"):
        scalar = _SCALAR.match(text, at)
        if scalar is None:
            raise ValueError(f"no value at {at}")
        return scalar.end()
    depth = 0
    for token in _TOKEN.finditer(text, at):
        length = token.end() - token.start()
        if text[token.start()] in "[{":
            depth += length
        elif text[token.start()] in "]}":
            if depth <= length:
                return token.start() + depth
            depth -= length
        elif depth == 0:
            return token.end()
    raise ValueError(f"value at {at} does not end")


def _expect(text: str, at: int, character: str) -> int:
    """Return the offset of what follows a character, without blanks."""
    if text[at : at + 1] != character:
        raise ValueError(f"no {character!r} at {at}")
    return _skip_blank(text, at + 1)


def _skip_blank(text: str, at: int) -> int:
    blank = _BLANK.match(text, at)
    assert blank is not None
    return blank.end()
