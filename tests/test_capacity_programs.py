"""Checks that the programs behind docs/CAPACITY.md can still be started.

Six of them failed with an ImportError or TypeError, since no check ran them.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import pytest

FOLDER = Path(__file__).resolve().parent.parent / "benchmarks" / "capacity"
NAMES = sorted(path.stem for path in FOLDER.glob("*.py"))


@pytest.mark.parametrize("name", NAMES)
def test_capacity_program_can_be_imported(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.syspath_prepend(str(FOLDER))
    try:
        importlib.import_module(name)
    finally:
        sys.modules.pop(name, None)
