"""Columns of results whose values are already text."""

from __future__ import annotations

from datetime import date, datetime
from functools import lru_cache
from typing import Any, Final

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from radishtrack.backend.connection import BINARY_FLAG

CACHED_COLUMNS: Final = 4_096
"""Columns are not changed after they are made, so statements can share them."""

_INTEGERS: Final = frozenset(
    {
        ColumnType.TINY,
        ColumnType.SHORT,
        ColumnType.LONG,
        ColumnType.LONGLONG,
        ColumnType.INT24,
        ColumnType.YEAR,
    }
)
_FLOATS: Final = frozenset({ColumnType.FLOAT, ColumnType.DOUBLE})
_TIMES: Final = frozenset({ColumnType.DATETIME, ColumnType.TIMESTAMP})


@lru_cache(maxsize=CACHED_COLUMNS)
def make_column(name: str, type_code: int) -> ResultColumn:
    """Return a column that sends text values under the database's type.

    Parameters
    ----------
    name : str
        Name of the column.
    type_code : int
        MySQL type code that the database reported, plus `BINARY_FLAG` for a column of
        bytes; TEXT and BLOB columns have the same type code.
    """
    kind = ColumnType(type_code & ~BINARY_FLAG)
    if kind in _INTEGERS:
        return _make(name, ColumnType.LONGLONG, int)
    if kind in _FLOATS:
        return _make(name, ColumnType.DOUBLE, float)
    if kind in _TIMES:
        return _make(name, ColumnType.DATETIME, datetime.fromisoformat)
    if kind is ColumnType.DATE:
        return _make(name, ColumnType.DATE, date.fromisoformat)
    if type_code & BINARY_FLAG:
        return _make(name, ColumnType.BLOB, _identity, CharacterSet.binary)
    return _make(name, ColumnType.VAR_STRING, _identity)


def _make(
    name: str,
    kind: ColumnType,
    parse: Any,
    character_set: CharacterSet = CharacterSet.utf8mb4,
) -> ResultColumn:
    encode = ResultColumn(name=name, type=kind).binary_encoder
    return ResultColumn(
        name=name,
        type=kind,
        character_set=character_set,
        text_encoder=_encode_text,
        binary_encoder=lambda column, value: encode(column, parse(value)),
    )


def _encode_text(column: ResultColumn, value: str | bytes) -> bytes:
    return value if isinstance(value, bytes) else value.encode()


def _identity(value: Any) -> Any:
    return value
