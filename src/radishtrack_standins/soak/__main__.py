"""Command line of the soak test."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from radishtrack_standins.soak.run import run_soak


def main() -> int:
    """Run the seeds in sequence; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="radishtrack_standins.soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--length", type=float, default=12.0, help="seconds of faults")
    parser.add_argument("--restores", type=int, default=0, help="restores of the store")
    parser.add_argument("--logs", type=Path, help="directory for the nodes' logs")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        ledger = asyncio.run(
            run_soak(seed, arguments.length, directory, arguments.restores)
        )
        result = "; ".join(ledger.violations) or "no violations"
        print(f"seed {seed}: {result} {dict(ledger.outcomes)}", flush=True)
        if ledger.violations:
            failed += 1
            if arguments.logs is not None:
                shutil.copytree(directory, arguments.logs / f"seed-{seed}")
        shutil.rmtree(directory)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
