"""Tests that the embedding examples run unchanged and open no socket."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

PROJECT = Path(__file__).resolve().parent.parent
NO_SOCKETS = """\
import runpy, sys
def refuse(event, arguments):
    if event.startswith("socket.") or event == "subprocess.Popen":
        raise RuntimeError(event)
sys.addaudithook(refuse)
runpy.run_path(sys.argv[1], run_name="__main__")
"""


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        (
            "embed_routing.py",
            (
                "session read at Position(term=2, sequence=90): "
                "ServeOn(member='strekk-1'",
                "session read at Position(term=2, sequence=98): "
                "ServeOn(member='strekk-3'",
                "session read at Position(term=2, sequence=101): WaitForPosition(",
                "aged read of at most 500 ms: ServeOn(member='strekk-3'",
                "unresponsive []: ServeReplicas(members=('strekk-3',)",
                "unresponsive ['strekk-2', 'strekk-3']: NoEvidence(",
            ),
        ),
        (
            "embed_rates.py",
            ("'holder-a': 50.0", "'holder-b': 175.0", "'holder-c': 175.0"),
        ),
    ],
)
def test_example_runs_without_a_node(name: str, expected: tuple[str, ...]) -> None:
    result = subprocess.run(
        [sys.executable, "-c", NO_SOCKETS, PROJECT / "examples" / name],
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": str(PROJECT / "src")},
    )
    assert result.returncode == 0, result.stderr
    for text in expected:
        assert text in result.stdout
