"""Entry point of ``python -m radishtrack.bench``."""

from __future__ import annotations

import sys

from radishtrack.bench.main import run

if __name__ == "__main__":
    sys.exit(run())
