"""Starts a radishtrack node from a source checkout."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from radishtrack.platform.main import run

if __name__ == "__main__":
    sys.exit(run())
