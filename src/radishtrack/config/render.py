"""Renders a configuration as TOML."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from radishtrack.config.chunk import list_entries
from radishtrack.config.document import Document


def render_document(document: Document) -> str:
    """Return the TOML text of a document; parsing it gives an equal document."""
    entries = list_entries(document)
    return "\n".join(
        line for kind, part in entries for line in (*_render_table(kind, part), "")
    )


def _render_table(heading: str, table: dict[str, Any]) -> Iterator[str]:
    yield f"[[{heading}]]"
    for key, value in table.items():
        if not _is_array_of_tables(value):
            # Strings, numbers, booleans and lists of strings have the same syntax in
            # JSON and TOML.
            yield f"{key} = {json.dumps(value)}"
    for key, value in table.items():
        if _is_array_of_tables(value):
            for part in value:
                yield from _render_table(f"{heading}.{key}", part)


def _is_array_of_tables(value: object) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)
