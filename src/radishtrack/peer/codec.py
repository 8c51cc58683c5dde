"""Encodes messages as CBOR arrays of a type number and the fields in order."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import attrs
import cbor2

from radishtrack.peer.messages import (
    MAX_FRAME_BYTES,
    MESSAGE_TYPES,
    Message,
    Rows,
)

_TYPE_NUMBERS: Final = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
_FIELD_NAMES: Final = {
    kind: tuple(field.name for field in attrs.fields(kind)) for kind in MESSAGE_TYPES
}
_SCALARS: Final[dict[str, tuple[type, ...]]] = {
    "int": (int,),
    "str": (str,),
    "bytes": (bytes,),
    "bool": (bool,),
    "float": (float, int),
}
_FIELD_TYPES: Final = {
    kind: tuple(_SCALARS.get(str(field.type), (tuple,)) for field in attrs.fields(kind))
    for kind in MESSAGE_TYPES
}


class CodecError(ValueError):
    """Raised for a frame that is not a message of this protocol version."""


def encode(message: Message) -> bytes:
    """Return the frame for a message.

    Raises
    ------
    CodecError
        If the frame would exceed `MAX_FRAME_BYTES`.
    """
    message_type = type(message)
    values = [getattr(message, name) for name in _FIELD_NAMES[message_type]]
    frame = cbor2.dumps([_TYPE_NUMBERS[message_type], *values])
    if len(frame) > MAX_FRAME_BYTES:
        raise CodecError(
            f"{message_type.__name__} needs {len(frame)} bytes; limit {MAX_FRAME_BYTES}"
        )
    return frame


def encode_rows(message: Rows) -> Iterator[bytes]:
    """Yield the frames for a chunk of rows, split to fit `MAX_FRAME_BYTES`.

    Raises
    ------
    CodecError
        If a single row exceeds `MAX_FRAME_BYTES`.
    """
    try:
        yield encode(message)
    except CodecError:
        if len(message.rows) == 1:
            raise
        middle = len(message.rows) // 2
        for rows in (message.rows[:middle], message.rows[middle:]):
            yield from encode_rows(Rows(message.request, rows))


def decode(frame: bytes) -> Message:
    """Return the message in a frame.

    Raises
    ------
    CodecError
        If the frame is not exactly one message of a known type with valid fields.
    """
    try:
        array: Any = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise CodecError(f"frame is not valid CBOR: {error}") from error
    if not isinstance(array, list) or not array:
        raise CodecError("frame is not a CBOR array with a type number")
    number, *values = array
    if type(number) is not int or not 0 <= number < len(MESSAGE_TYPES):
        raise CodecError(f"unknown message type {number!r}")
    message_type = MESSAGE_TYPES[number]
    expected = _FIELD_TYPES[message_type]
    if len(values) != len(expected):
        raise CodecError(
            f"{message_type.__name__} has {len(values)} fields; "
            f"expected {len(expected)}"
        )
    fields = [
        _convert_lists_to_tuples(value) if types == (tuple,) else value
        for value, types in zip(values, expected, strict=True)
    ]
    for name, value, types in zip(
        _FIELD_NAMES[message_type], fields, expected, strict=True
    ):
        if type(value) not in types:
            raise CodecError(
                f"{message_type.__name__}.{name} has type {type(value).__name__}"
            )
    return message_type(*fields)


def _convert_lists_to_tuples(value: Any) -> Any:
    if isinstance(value, list):
        return tuple(map(_convert_lists_to_tuples, value))
    return value
