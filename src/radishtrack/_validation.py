"""Reads typed values from TOML tables and collects all problems."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

import attrs

KeyPath = tuple[str | int, ...]

MISSING: Final = "nothing"
REDACTED: Final = "a value that is not shown"

_TYPE_NAMES: Final = {
    "str": "text",
    "int": "an integer",
    "float": "a number",
    "bool": "true or false",
    "list": "a list",
    "dict": "a table",
}


@attrs.define(frozen=True)
class Problem:
    """An invalid or missing value.

    Parameters
    ----------
    path : tuple of str or int
        Keys and array indices that lead to the value.
    expected : str
        Description of valid values.
    found : str
        Description of the value in the file; never contains a secret.
    """

    path: KeyPath
    expected: str
    found: str

    @property
    def key(self) -> str:
        """The path in dotted form, for example ``database[0].member[1].port``."""
        return format_path(self.path)


def format_path(path: KeyPath) -> str:
    """Return a path in dotted form, with indices in brackets."""
    parts = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return "".join(parts).removeprefix(".")


def suggest_name(name: str, candidates: Iterable[str]) -> str:
    """Return `` (did you mean 'x'?)`` for the closest candidate, or an empty text."""
    matches = difflib.get_close_matches(name, list(candidates), n=1, cutoff=0.5)
    return f" (did you mean {matches[0]!r}?)" if matches else ""


def describe_value(value: object) -> str:
    """Return a short description of a value with its type."""
    type_name = _TYPE_NAMES.get(type(value).__name__, type(value).__name__)
    if isinstance(value, list | dict):
        return type_name
    text = repr(value) if len(repr(value)) <= 60 else repr(value)[:57] + "..."
    return f"{type_name} {text}" if not isinstance(value, bool) else str(value).lower()


@attrs.define
class TableReader:
    """Reads the values of one table and adds problems to a shared list.

    A missing or invalid value is replaced by a valid placeholder, so that reading
    continues and all problems are reported together.
    """

    table: Mapping[str, Any]
    path: KeyPath
    problems: list[Problem]
    known_keys: list[str] = attrs.field(factory=list)
    """Keys that were read; any other key in the table is unknown."""

    def add_problem(self, key: str, expected: str, found: str) -> None:
        """Record that the value of `key` is invalid or missing."""
        self.problems.append(Problem((*self.path, key), expected, found))

    def read_text(
        self, key: str, default: str | None = None, *, secret: bool = False
    ) -> str:
        """Return a text that is not empty; a `secret` is not shown in problems."""
        value = self._get(key, default, "text that is not empty")
        if value is None or (value == default and isinstance(value, str)):
            return value or ""
        if isinstance(value, str) and value:
            return value
        found = REDACTED if secret else describe_value(value)
        self.add_problem(key, "text that is not empty", found)
        return ""

    def read_matching(
        self, key: str, expected: str, accept: Callable[[str], bool]
    ) -> str:
        """Return a text for which `accept` is true; `expected` describes such texts."""
        value = self._get(key, None, expected)
        if value is None:
            return ""
        if isinstance(value, str) and accept(value):
            return value
        self.add_problem(key, expected, describe_value(value))
        return ""

    def read_integer(
        self, key: str, default: int | None = None, *, low: int, high: int
    ) -> int:
        """Return an integer from `low` to `high`, both included."""
        expected = f"an integer from {low} to {high}"
        value = self._get(key, default, expected)
        if value is None:
            return low
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_problem(key, expected, describe_value(value))
            return low
        if not low <= value <= high:
            self.add_problem(key, expected, str(value))
            return low
        return value

    def read_number(self, key: str, *, above: float, high: float) -> float:
        """Return a finite number greater than `above` and at most `high`."""
        expected = f"a number above {above:g} and up to {high:g}"
        value = self._get(key, None, expected)
        if value is None:
            return high
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and above < value <= high:
            return float(value)
        self.add_problem(key, expected, describe_value(value))
        return high

    def read_flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._get(key, default, "true or false")
        if isinstance(value, bool):
            return value
        self.add_problem(key, "true or false", describe_value(value))
        return default

    def read_choice(
        self, key: str, choices: tuple[str, ...], default: str | None = None
    ) -> str:
        """Return one of the `choices`."""
        expected = "one of " + ", ".join(repr(choice) for choice in choices)
        value = self._get(key, default, expected)
        if value is None or value in choices:
            return str(value or choices[0])
        hint = suggest_name(value, choices) if isinstance(value, str) else ""
        self.add_problem(key, expected, describe_value(value) + hint)
        return choices[0]

    def read_texts(
        self, key: str, default: tuple[str, ...] | None = None
    ) -> tuple[str, ...]:
        """Return a list of distinct texts that are not empty."""
        expected = "a list of different texts"
        value = self._get(key, default, expected)
        if value is None or value is default:
            return default or ()
        if not isinstance(value, list):
            self.add_problem(key, expected, describe_value(value))
            return ()
        wrong = [item for item in value if not isinstance(item, str) or not item]
        if wrong:
            self.add_problem(key, expected, describe_value(wrong[0]) + " in the list")
            return ()
        if len(set(value)) != len(value):
            duplicate = next(item for item in value if value.count(item) > 1)
            self.add_problem(key, expected, f"{duplicate!r} twice")
        return tuple(dict.fromkeys(value))

    def read_table(self, key: str, *, required: bool = True) -> TableReader:
        """Return a reader for a nested table.

        A missing table is reported as one problem; its keys are not reported.
        """
        value = self._get(key, None if required else {}, "a table")
        if isinstance(value, dict):
            return TableReader(value, (*self.path, key), self.problems)
        if value is not None:
            self.add_problem(key, "a table", describe_value(value))
        return TableReader({}, (*self.path, key), [])

    def read_tables(self, key: str) -> list[TableReader]:
        """Return a reader for each table in an array of tables."""
        value = self._get(key, [], "an array of tables")
        if not isinstance(value, list):
            self.add_problem(key, f"tables headed [[{key}]]", describe_value(value))
            return []
        readers = []
        for index, item in enumerate(value):
            path = (*self.path, key, index)
            if isinstance(item, dict):
                readers.append(TableReader(item, path, self.problems))
            else:
                self.problems.append(Problem(path, "a table", describe_value(item)))
        return readers

    def reject_unknown_keys(self) -> None:
        """Add a problem for each key of the table that was not read."""
        for key in self.table:
            if key not in self.known_keys:
                hint = suggest_name(key, self.known_keys)
                expected = "only " + ", ".join(self.known_keys)
                self.add_problem(key, expected, f"unknown key {key!r}{hint}")

    def _get(self, key: str, default: Any, expected: str) -> Any:
        self.known_keys.append(key)
        if key in self.table:
            return self.table[key]
        if default is None:
            self.add_problem(key, expected, MISSING)
        return default
