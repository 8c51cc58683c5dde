"""Finds the line of a key in TOML text, because `tomllib` reports no positions."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Final

from radishtrack._validation import KeyPath

_HEADER: Final = re.compile(r"^\s*(\[\[?)([^\[\]]+)\]\]?\s*(?:#.*)?$")
_KEY: Final = re.compile(r"^\s*([A-Za-z0-9_\-\"']+)\s*=")
_POSITION: Final = re.compile(r"at line (\d+)")


def index_lines(text: str) -> dict[KeyPath, int]:
    """Return the line of every table and every key that begins a line.

    Parameters
    ----------
    text : str
        Valid TOML.

    Returns
    -------
    dict
        Line numbers, counted from 1, by path.
    """
    lines: dict[KeyPath, int] = {}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _HEADER.match(line):
            names = [_unquote(name) for name in header[2].split(".")]
            table = _resolve_header(names, header[1] == "[[", counts)
            lines.setdefault(table, number)
        elif key := _KEY.match(line):
            lines.setdefault((*table, _unquote(key[1])), number)
    return lines


def find_line(lines: Mapping[KeyPath, int], path: KeyPath) -> int:
    """Return the line of a path, or of the nearest enclosing table."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return 1


def find_error_line(message: str, text: str) -> int:
    """Return the line in an error message of `tomllib`, or the last one."""
    position = _POSITION.search(message)
    return int(position[1]) if position else max(1, len(text.splitlines()))


def _resolve_header(
    names: list[str], is_array: bool, counts: dict[KeyPath, int]
) -> KeyPath:
    path: KeyPath = ()
    for depth, name in enumerate(names):
        path = (*path, name)
        is_last = depth == len(names) - 1
        if is_last and is_array:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path = (*path, counts[path] - 1)
    return path


def _unquote(name: str) -> str:
    return name.strip().strip("\"'")
