"""Time of the routing decision for each statement, as JSON lines.

Run as ``python benchmarks/decisions.py``; figures depend on the machine.
"""

from __future__ import annotations

import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Final

from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.routing.options import split_options
from radishtrack.routing.route import (
    ReadRequest,
    RouteClass,
    choose_member,
    resolve_read_class,
)
from radishtrack.routing.statement import Kind, Statement, make_classifier
from radishtrack.session.position import Position, TermStart

SIZES: Final = ((8, 3), (8, 710), (1000, 3), (1000, 710))
STATEMENTS: Final = 20_000
MISSES: Final = 1_000
REPEATS: Final = 5
NANOSECONDS_PER_MICROSECOND: Final = 1_000
SEED: Final = 1


def make_statements(organisations: int, databases: int) -> list[tuple[str, str]]:
    """Return pairs of database and statement, in a random mix of four kinds."""
    rng = random.Random(SEED)
    statements = []
    for number in range(STATEMENTS):
        organisation = rng.randrange(organisations)
        database = f"database-{rng.randrange(databases)}"
        statements.append((database, _make_statement(rng, number, organisation)))
    return statements


def _make_statement(rng: random.Random, number: int, organisation: int) -> str:
    kind = rng.randrange(4)
    if kind == 0:
        return (
            f"/*radishtrack class=strict*/ SELECT id, state, promised FROM booking "
            f"WHERE organisation = 'org-{organisation}' AND id = {number}"
        )
    if kind == 1:
        return (
            f"/*radishtrack class=aged max_age_ms=5000*/ SELECT id, row, plot FROM "
            f"grave WHERE site = {organisation} AND family = 'Tamm {number}' LIMIT 50"
        )
    if kind == 2:
        return (
            f"/*radishtrack request_id=r{number}*/ INSERT INTO receipt (booking, "
            f"amount, note) VALUES ({number}, {number}.50, 'paid at counter {number}')"
        )
    return (
        f"SELECT b.id, b.state FROM booking b JOIN job j ON j.booking = b.id "
        f"WHERE b.organisation = 'org-{organisation}' AND j.state IN (1, 2, {number})"
    )


def make_groups(databases: int) -> dict[str, tuple[Group, dict[str, MemberStatus]]]:
    """Return the group and member statuses of each database, with three members."""
    groups = {}
    for number in range(databases):
        names = tuple(f"member-{number}-{index}" for index in range(3))
        group = Group(f"database-{number}", 1, 2, names[0], names, (TermStart(2, 5),))
        statuses = {
            name: MemberStatus(
                name,
                2,
                2,
                Role.REPLICA if index else Role.PRIMARY,
                Position(2, 100),
            )
            for index, name in enumerate(names)
        }
        groups[group.database] = (group, statuses)
    return groups


def make_decider(
    databases: int, classify: Callable[[str], Statement]
) -> Callable[[str, str], object]:
    """Return a function that makes all decisions on one statement."""
    groups = make_groups(databases)
    route = RouteClass()
    position = Position(2, 90)

    def decide(database: str, sql: str) -> object:
        options, rest = split_options(sql)
        statement = classify(rest)
        if statement.kind is not Kind.READ:
            return statement
        group, statuses = groups[database]
        read_class = resolve_read_class(options, route, True, False)
        ages_ms = dict.fromkeys(statuses, 10.0)
        return choose_member(
            ReadRequest(read_class, group, statuses, position, ages_ms)
        )

    return decide


def measure_cached(organisations: int, databases: int) -> dict[str, object]:
    """Measure statements whose forms are in the classifier's cache."""
    statements = make_statements(organisations, databases)
    decide = make_decider(databases, make_classifier())
    for database, sql in statements[:100]:
        decide(database, sql)
    passes = [_time_pass(decide, statements) for _ in range(REPEATS)]
    samples = sorted(sample for one_pass in passes for sample in one_pass)
    return {
        "case": "cached",
        "organisations": organisations,
        "databases": databases,
        "mean_us": round(statistics.fmean(samples), 2),
        "p50_us": round(samples[len(samples) // 2], 2),
        "p99_us": round(samples[len(samples) * 99 // 100], 2),
        "samples": len(samples),
    }


def _time_pass(
    decide: Callable[[str, str], object], statements: list[tuple[str, str]]
) -> list[float]:
    samples = []
    for database, sql in statements:
        begin = time.perf_counter_ns()
        decide(database, sql)
        elapsed_ns = time.perf_counter_ns() - begin
        samples.append(elapsed_ns / NANOSECONDS_PER_MICROSECOND)
    return samples


def _iterate_new_forms() -> Iterator[str]:
    for number in range(MISSES):
        yield (
            f"SELECT b.id, b.state AS s{number}a FROM booking b JOIN job j "
            f"ON j.booking = b.id WHERE b.organisation = 'org' AND j.state IN (1, 2)"
        )


def measure_miss() -> dict[str, object]:
    """Measure statements whose forms are not cached, and memory per cached form."""
    classify = make_classifier()
    statements = list(_iterate_new_forms())
    classify("SELECT 1")
    samples = []
    for sql in statements:
        begin = time.perf_counter_ns()
        classify(sql)
        samples.append((time.perf_counter_ns() - begin) / NANOSECONDS_PER_MICROSECOND)
    traced_classify = make_classifier()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for sql in statements:
        traced_classify(sql)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "case": "miss",
        "mean_us": round(statistics.fmean(samples), 1),
        "p99_us": round(sorted(samples)[len(samples) * 99 // 100], 1),
        "bytes_per_form": round((after_bytes - before_bytes) / len(statements)),
        "form_characters": len(statements[0]),
        "samples": len(samples),
    }


def run() -> None:
    """Print one JSON line for each case."""
    for organisations, databases in SIZES:
        print(json.dumps(measure_cached(organisations, databases)), flush=True)
    print(json.dumps(measure_miss()), flush=True)


if __name__ == "__main__":
    run()
