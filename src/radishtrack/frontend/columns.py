"""Result columns for values that are already text."""

from __future__ import annotations

from datetime import date, datetime
from functools import lru_cache
from typing import Any, Final

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from radishtrack.backend.connection import BINARY_FLAG

COLUMN_CACHE_SIZE: Final = 4_096
"""Columns are not modified after creation, so statements can share them."""

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


@lru_cache(maxsize=COLUMN_CACHE_SIZE)
def make_column(name: str, type_code: int) -> ResultColumn:
    """Return a column of the database's type for values that are text.

    Parameters
    ----------
    name : str
        Name of the column.
    type_code : int
        MySQL type code reported by the database, with `BINARY_FLAG` for a column of
        bytes, because TEXT and BLOB columns have the same type code.
    """
    column_type = ColumnType(type_code & ~BINARY_FLAG)
    if column_type in _INTEGERS:
        return _make_result_column(name, ColumnType.LONGLONG, int)
    if column_type in _FLOATS:
        return _make_result_column(name, ColumnType.DOUBLE, float)
    if column_type in _TIMES:
        return _make_result_column(name, ColumnType.DATETIME, datetime.fromisoformat)
    if column_type is ColumnType.DATE:
        return _make_result_column(name, ColumnType.DATE, date.fromisoformat)
    if type_code & BINARY_FLAG:
        return _make_result_column(
            name, ColumnType.BLOB, _return_unchanged, CharacterSet.binary
        )
    return _make_result_column(name, ColumnType.VAR_STRING, _return_unchanged)


def _make_result_column(
    name: str,
    column_type: ColumnType,
    parse: Any,
    character_set: CharacterSet = CharacterSet.utf8mb4,
) -> ResultColumn:
    encode = ResultColumn(name=name, type=column_type).binary_encoder
    return ResultColumn(
        name=name,
        type=column_type,
        character_set=character_set,
        text_encoder=_encode_text,
        binary_encoder=lambda column, value: encode(column, parse(value)),
    )


def _encode_text(column: ResultColumn, value: str | bytes) -> bytes:
    return value if isinstance(value, bytes) else value.encode()


def _return_unchanged(value: Any) -> Any:
    return value
