"""CPU time and bytes of the replica sets, by number of groups.

Run: PYTHONPATH=src .venv/bin/python benchmarks/pooler_replica_sets.py
"""

from __future__ import annotations

import json
import timeit

from pooler_decisions import make_access

from radishtrack.clock import ManualTime
from radishtrack.platform.documents import render_replica_set
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.replica_set import ReplicaSetTracker
from radishtrack.pooler.replica_set_keeper import CHECK_INTERVAL_MS

ROUNDS = 20
SIZES = (4, 30, 710)
"""Numbers of groups, with three members each."""


def measure_ms(
    pairs: list[tuple[GroupAccess, ReplicaSetTracker]], at_ms: float
) -> float:
    """Return the time of one check of all groups, whose records stay as they are."""
    checked = [(*pair, pair[1].update(None, pair[0], at_ms)) for pair in pairs]

    def check() -> None:
        for access, tracker, record in checked:
            tracker.update(record, access, at_ms)

    return timeit.timeit(check, number=ROUNDS) / ROUNDS * 1_000


def main() -> None:
    """Print the time of a check in rest, and with one lost member in each group."""
    for size in SIZES:
        time = ManualTime(1_000.0)
        groups = [make_access(f"g{number}", time) for number in range(size)]
        for name, is_lost in (("in rest", False), ("one member lost", True)):
            for access in groups:
                if is_lost:
                    process = access.pools[f"{access.name}-2"].member.process
                    access.replaced_ms[process] = time.value_ms
            pairs = [(access, ReplicaSetTracker()) for access in groups]
            check_ms = measure_ms(pairs, time.value_ms)
            share = check_ms / CHECK_INTERVAL_MS
            print(f"{size} groups, {name}: {check_ms:.2f} ms a check, {share:.2%}")
        records = [ReplicaSetTracker().update(None, access, 0.0) for access in groups]
        specs = [render_replica_set(record) for record in records if record is not None]
        print(f"{size} groups: {len(json.dumps(specs))} bytes of records")


if __name__ == "__main__":
    main()
