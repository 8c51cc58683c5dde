"""Starts a radishtrack node from a source checkout."""

from __future__ import annotations

import sys
import time
from pathlib import Path

PROCESS_STARTED_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1_000_000
"""Start of the process; the imports below take most of the time until it serves."""

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from radishtrack.platform.main import run

if __name__ == "__main__":
    sys.exit(run(process_started_ms=PROCESS_STARTED_MS))
