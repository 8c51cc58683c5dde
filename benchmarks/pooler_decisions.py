"""CPU time of the pooler's decisions on one statement, by number of objects.

Run: PYTHONPATH=src .venv/bin/python benchmarks/pooler_decisions.py
"""

from __future__ import annotations

import timeit

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.group.status import Role
from radishtrack.platform.wire import format_client_response, parse_query
from radishtrack.pooler.catalog import (
    Catalog,
    GroupSettings,
    Member,
    MemberReport,
    Organisation,
    ReadClass,
    Route,
    digest_key,
)
from radishtrack.pooler.group_access import GroupAccess, make_group_access
from radishtrack.pooler.rate_limit import RateLimiter
from radishtrack.pooler.retry import make_attempt_plan
from radishtrack.pooler.statements import ClientResponse, TransactionState
from radishtrack.session.position import Position

ROUNDS = 20_000
NODES = 4
SIZES = ((8, 3), (8, 710), (1_000, 3), (1_000, 710))
"""Numbers of organisations and databases."""


def make_access(name: str, time: ManualTime) -> GroupAccess:
    """Return a group of three members with 40 rounds of reports."""
    clock = make_manual_clock(time)
    access = make_group_access(name, "a", clock, None)  # type: ignore[arg-type]
    access.configure(GroupSettings(name, 16, 1), NODES)
    members = tuple(
        Member(f"{name}-{n}", name, "10.0.0.1", 80, z, 2, False, Role.REPLICA, 1)
        for n, z in enumerate("abc")
    )
    access.set_members(members, time.value_ms)
    for step in range(40):
        time.value_ms += 60.0
        for n, member in enumerate(members):
            role = Role.PRIMARY if n == 0 else Role.REPLICA
            report = MemberReport(member.name, 1, 0, role, Position(1, step), 10.0)
            access.evidence.observe_report(report, time.value_ms, time.value_ms)
            access.evidence.observe_position(
                member.name, Position(1, step), time.value_ms
            )
    return access


def make_catalog(organisations: int, databases: int) -> Catalog:
    """Return a configuration with these numbers of organisations and databases."""
    owners = [Organisation(f"o{n}", 1e9, 1e9) for n in range(organisations)]
    routes = {
        f"d{n}": Route(f"d{n}", f"g{n}", ReadClass.SESSION, 2_500, 800, 200, 2, False)
        for n in range(databases)
    }
    keys = {digest_key(f"key{n}"): owner for n, owner in enumerate(owners)}
    return Catalog(1, routes, {o.name: o for o in owners}, keys, {}, 3_000.0)


def measure(organisations: int, databases: int) -> float:
    """Return microseconds for all decisions on one read."""
    time = ManualTime(1_000.0)
    catalog = make_catalog(organisations, databases)
    # All groups have the same state, so a sample of them is enough.
    sampled = range(min(databases, 20))
    groups = {f"g{n}": make_access(f"g{n}", ManualTime(1_000.0)) for n in sampled}
    limiter = RateLimiter()
    limiter.configure(catalog.organisations, NODES, 0.0)
    time.value_ms += 100.0
    key = digest_key("key1")
    names = [f"d{n}" for n in range(len(groups))]
    counter = iter(range(10**9))

    def decide() -> None:
        database = names[next(counter) % len(names)]
        parse_query("QUERY 5c0e7a21d94b36f8 READ 1a4")
        route = catalog.routes[database]
        owner = catalog.key_owners[key]
        assert limiter.acquire(owner.name, time.value_ms)
        make_attempt_plan(route, time.value_ms)
        plan = groups[route.group].plan_read(route, Position(1, 30), owner.name)
        assert plan is not None and plan.members
        response = ClientResponse(TransactionState.IDLE, ("row",), "signature")
        format_client_response(response)

    best = min(timeit.repeat(decide, number=ROUNDS, repeat=3))
    return best / ROUNDS * 1e6


if __name__ == "__main__":
    print("organisations databases us per statement")
    for organisations, databases in SIZES:
        cost_us = measure(organisations, databases)
        print(f"{organisations:13} {databases:9} {cost_us:16.1f}")
