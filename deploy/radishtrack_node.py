"""Starts a radishtrack node from a source checkout."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from signal import SIGHUP, SIGTERM

PROCESS_STARTED_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1_000_000
"""Start of the process; the imports below take most of the time until it serves."""

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from radishtrack.early_signals import keep_signals

keep_signals((SIGHUP, SIGTERM))

from radishtrack.platform.main import run

if __name__ == "__main__":
    sys.exit(run(process_started_ms=PROCESS_STARTED_MS))
