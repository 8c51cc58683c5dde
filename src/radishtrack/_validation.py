"""Reads typed values from TOML tables and collects everything that is wrong."""

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
    """One value that cannot be used.

    Parameters
    ----------
    path : tuple of str or int
        Keys and array indices that lead to the value.
    expected : str
        What would be accepted.
    found : str
        What is there; never a secret.
    """

    path: KeyPath
    expected: str
    found: str

    @property
    def key(self) -> str:
        """The path in dotted form, for example ``database[0].member[1].port``."""
        return format_path(self.path)


def format_path(path: KeyPath) -> str:
    """Return a path in dotted form with indices in brackets."""
    parts = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return "".join(parts).removeprefix(".")


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return `` (did you mean 'x'?)`` for the nearest known name, or nothing."""
    matches = difflib.get_close_matches(name, list(known), n=1, cutoff=0.5)
    return f" (did you mean {matches[0]!r}?)" if matches else ""


def describe_value(value: object) -> str:
    """Return a short description of a value and its type."""
    kind = _TYPE_NAMES.get(type(value).__name__, type(value).__name__)
    if isinstance(value, list | dict):
        return kind
    shown = repr(value) if len(repr(value)) <= 60 else repr(value)[:57] + "..."
    return f"{kind} {shown}" if not isinstance(value, bool) else str(value).lower()


@attrs.define
class TableReader:
    """Reads the keys of one table; problems go into a shared list.

    A value that is missing or wrong is replaced by a neutral one, so that reading
    continues and all problems are reported together.
    """

    table: Mapping[str, Any]
    path: KeyPath
    problems: list[Problem]
    known: list[str] = attrs.field(factory=list)

    def add_problem(self, key: str, expected: str, found: str) -> None:
        """Record that the value of `key` cannot be used."""
        self.problems.append(Problem((*self.path, key), expected, found))

    def read_text(
        self, key: str, default: str | None = None, *, secret: bool = False
    ) -> str:
        """Return a non-empty text."""
        value = self._take(key, default, "text that is not empty")
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
        """Return a text that `accept` approves; `expected` describes it."""
        value = self._take(key, None, expected)
        if value is None:
            return ""
        if isinstance(value, str) and accept(value):
            return value
        self.add_problem(key, expected, describe_value(value))
        return ""

    def read_integer(
        self, key: str, default: int | None = None, *, low: int, high: int
    ) -> int:
        """Return an integer between `low` and `high`, both included."""
        expected = f"an integer from {low} to {high}"
        value = self._take(key, default, expected)
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
        """Return a finite number above `above` and up to `high`."""
        expected = f"a number above {above:g} and up to {high:g}"
        value = self._take(key, None, expected)
        if value is None:
            return high
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and above < value <= high:
            return float(value)
        self.add_problem(key, expected, describe_value(value))
        return high

    def read_flag(self, key: str, default: bool) -> bool:
        """Return true or false."""
        value = self._take(key, default, "true or false")
        if isinstance(value, bool):
            return value
        self.add_problem(key, "true or false", describe_value(value))
        return default

    def read_choice(
        self, key: str, choices: tuple[str, ...], default: str | None = None
    ) -> str:
        """Return one of the `choices`."""
        expected = "one of " + ", ".join(repr(choice) for choice in choices)
        value = self._take(key, default, expected)
        if value is None or value in choices:
            return str(value or choices[0])
        hint = suggest_name(value, choices) if isinstance(value, str) else ""
        self.add_problem(key, expected, describe_value(value) + hint)
        return choices[0]

    def read_texts(
        self, key: str, default: tuple[str, ...] | None = None
    ) -> tuple[str, ...]:
        """Return a list of different non-empty texts."""
        expected = "a list of different texts"
        value = self._take(key, default, expected)
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
            twice = next(item for item in value if value.count(item) > 1)
            self.add_problem(key, expected, f"{twice!r} twice")
        return tuple(dict.fromkeys(value))

    def read_table(self, key: str, *, required: bool = True) -> TableReader:
        """Return a reader of a table inside this one.

        A table that is missing is one problem; its keys are not reported as well.
        """
        value = self._take(key, None if required else {}, "a table")
        if isinstance(value, dict):
            return TableReader(value, (*self.path, key), self.problems)
        if value is not None:
            self.add_problem(key, "a table", describe_value(value))
        return TableReader({}, (*self.path, key), [])

    def read_tables(self, key: str) -> list[TableReader]:
        """Return a reader for each table of an array of tables."""
        value = self._take(key, [], "an array of tables")
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
        """Refuse the keys that nothing asked for."""
        for key in self.table:
            if key not in self.known:
                nearest = suggest_name(key, self.known)
                expected = "only " + ", ".join(self.known)
                self.add_problem(key, expected, f"unknown key {key!r}{nearest}")

    def _take(self, key: str, default: Any, expected: str) -> Any:
        self.known.append(key)
        if key in self.table:
            return self.table[key]
        if default is None:
            self.add_problem(key, expected, MISSING)
        return default
