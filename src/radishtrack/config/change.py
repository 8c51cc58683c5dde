"""The difference between two configurations, as objects and as text."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from radishtrack.config.chunk import list_entries
from radishtrack.config.document import Document
from radishtrack.config.model import PART_KINDS


class Action(enum.Enum):
    """How an entry changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.define(frozen=True)
class FieldChange:
    """A value that differs; None stands for a missing value.

    Parameters
    ----------
    field : str
        Path of the value, for example ``connections`` or ``member[a].port``.
    before, after : object
        The two values.
    """

    field: str
    before: object
    after: object

    def __str__(self) -> str:
        return (
            f"{self.field} {_render_value(self.before)} -> {_render_value(self.after)}"
        )


@attrs.define(frozen=True)
class Change:
    """An entry that differs between two configurations.

    Parameters
    ----------
    action : Action
        How the entry changed.
    kind : str
        ``owner``, ``organisation``, ``database`` or ``service``.
    name : str
        Name of the entry.
    fields : tuple of FieldChange
        The values that differ, for a changed entry.
    """

    action: Action
    kind: str
    name: str
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        details = ", ".join(str(field) for field in self.fields)
        text = f"{self.action.value} {self.kind} {self.name}"
        return f"{text}: {details}" if details else text


def diff_documents(before: Document | None, after: Document) -> tuple[Change, ...]:
    """Return the changes from `before` to `after`, sorted by kind and name.

    Parameters
    ----------
    before : Document or None
        The earlier document; None for an empty one.
    after : Document
        The later document.
    """
    old = _index_entries(before) if before else {}
    new = _index_entries(after)
    comparisons = [
        _compare_entries(key, old.get(key), new.get(key)) for key in old | new
    ]
    changes = (change for change in comparisons if change is not None)
    return tuple(
        sorted(changes, key=lambda change: (PART_KINDS.index(change.kind), change.name))
    )


def render_changes(changes: Iterable[Change]) -> tuple[str, ...]:
    """Return one line of text for each change."""
    return tuple(str(change) for change in changes)


def _index_entries(document: Document) -> dict[tuple[str, str], dict[str, Any]]:
    return {(kind, part["name"]): part for kind, part in list_entries(document)}


def _compare_entries(
    key: tuple[str, str], before: dict[str, Any] | None, after: dict[str, Any] | None
) -> Change | None:
    kind, name = key
    if before is None:
        return Change(Action.ADDED, kind, name)
    if after is None:
        return Change(Action.REMOVED, kind, name)
    if before == after:
        return None
    old, new = dict(_flatten(before)), dict(_flatten(after))
    fields = tuple(
        FieldChange(field, old.get(field), new.get(field))
        for field in {**old, **new}
        if old.get(field) != new.get(field)
    )
    return Change(Action.CHANGED, kind, name, fields)


def _flatten(entry: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, object]]:
    """Yield values by path; members and routes are identified by name, not index."""
    for key, value in entry.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            for part in value:
                yield from _flatten(part, f"{prefix}{key}[{part['name']}].")
        else:
            yield f"{prefix}{key}", value


def _render_value(value: object) -> str:
    if value is None:
        return "nothing"
    if isinstance(value, list):
        return "[" + ", ".join(str(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, float) else str(value)
