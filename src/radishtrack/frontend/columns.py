"""Columns of results whose values are already text."""

from __future__ import annotations

from datetime import date, datetime
from typing import Any, Final

from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

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
_BLOBS: Final = frozenset(
    {
        ColumnType.BLOB,
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
    }
)


def make_column(name: str, type_code: int) -> ResultColumn:
    """Return a column that sends text values under the database's type.

    Parameters
    ----------
    name : str
        Name of the column.
    type_code : int
        MySQL type code that the database reported.
    """
    kind = ColumnType(type_code)
    if kind in _INTEGERS:
        return _make(name, ColumnType.LONGLONG, int)
    if kind in _FLOATS:
        return _make(name, ColumnType.DOUBLE, float)
    if kind in _TIMES:
        return _make(name, ColumnType.DATETIME, datetime.fromisoformat)
    if kind is ColumnType.DATE:
        return _make(name, ColumnType.DATE, date.fromisoformat)
    if kind in _BLOBS:
        return _make(name, ColumnType.BLOB, _identity)
    return _make(name, ColumnType.VAR_STRING, _identity)


def _make(name: str, kind: ColumnType, parse: Any) -> ResultColumn:
    encode = ResultColumn(name=name, type=kind).binary_encoder
    return ResultColumn(
        name=name,
        type=kind,
        text_encoder=_encode_text,
        binary_encoder=lambda column, value: encode(column, parse(value)),
    )


def _encode_text(column: ResultColumn, value: str | bytes) -> bytes:
    return value if isinstance(value, bytes) else value.encode()


def _identity(value: Any) -> Any:
    return value
