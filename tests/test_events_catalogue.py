"""Tests that `docs/events.md` lists exactly the events of the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from absl import logging

from radishtrack.cli._logging import configure_logging
from radishtrack.events import Event, log_event, use_json_lines

CATALOGUE = Path(__file__).parent.parent / "docs" / "events.md"
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \| ([^|]+) \| [^|]{5,} \|$", re.M)


def test_catalogue_and_code_are_equal() -> None:
    rows = ROW.findall(CATALOGUE.read_text(encoding="utf-8"))
    listed = [(int(number), *rest) for number, *rest in rows]
    assert listed == sorted(
        (event.number, event.name, event.severity, event.text) for event in Event
    )


def test_numbers_are_unique_and_severities_valid() -> None:
    assert len({event.number for event in Event}) == len(Event)
    assert {event.severity for event in Event} <= {"info", "warning", "error"}


@pytest.mark.parametrize(
    ("as_json", "line"),
    [
        (True, '{"event": 5001, "text": "configuration revision in force", "n": 7}'),
        (False, "R5001 configuration revision in force n=7"),
    ],
)
def test_lines_go_to_standard_error_in_the_chosen_format(
    as_json: bool, line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    handler = logging.get_absl_handler()
    try:
        configure_logging(as_json=as_json)
        log_event(Event.CONFIGURATION_ACCEPTED, n=7)
    finally:
        use_json_lines(False)
        handler.setFormatter(logging.PythonFormatter())
    captured = capsys.readouterr()
    assert captured.out == ""
    last = captured.err.splitlines()[-1]
    assert last == line if as_json else last.endswith(line)
