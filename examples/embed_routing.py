"""Routes reads without running a node: options, read class, evidence and member.

Run it with `python examples/embed_routing.py`. It opens no socket.
"""

from __future__ import annotations

from collections.abc import Iterator

from radishtrack.group.evidence import StatusRound, choose_strict
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.routing.options import ReadClass, split_options
from radishtrack.routing.route import (
    EffectiveClass,
    ReadRequest,
    RouteClass,
    choose_member,
    resolve_read_class,
)
from radishtrack.routing.statement import make_classifier
from radishtrack.session.position import Position, TermStart

GROUP = Group(
    database="strekk-db",
    version=7,
    term=2,
    primary="strekk-2",
    members=("strekk-1", "strekk-2", "strekk-3"),
    history=(TermStart(1, 0), TermStart(2, 40)),
)
ZONES = {"strekk-1": "oslo-a", "strekk-2": "oslo-b", "strekk-3": "hamar-c"}
ROUTE = RouteClass(ReadClass.SESSION)


def make_statuses() -> dict[str, MemberStatus]:
    """Return the status of each member; strekk-1 lags by 5 changes."""
    return {
        "strekk-1": MemberStatus("strekk-1", 2, 2, Role.REPLICA, Position(2, 95)),
        "strekk-2": MemberStatus("strekk-2", 2, 2, Role.PRIMARY, Position(2, 100)),
        "strekk-3": MemberStatus("strekk-3", 2, 2, Role.REPLICA, Position(2, 100)),
    }


def determine_read_class(sql: str, *, has_position: bool) -> EffectiveClass:
    """Return the read class of a statement, resolved from its options and `ROUTE`."""
    options, _ = split_options(sql)
    return resolve_read_class(options, ROUTE, has_position, in_transaction=False)


def describe_reads() -> Iterator[str]:
    """Yield one line for each routing decision."""
    classify = make_classifier()
    for sql in ("SELECT state FROM jobs WHERE id = 7", "UPDATE jobs SET state = 'x'"):
        statement = classify(sql)
        yield f"{sql}: {statement.kind.value} of {', '.join(statement.tables)}"
    select = "SELECT state FROM jobs WHERE id = 7"
    statuses = make_statuses()
    for position in (Position(2, 90), Position(2, 98), Position(2, 101)):
        request = ReadRequest(
            effective=determine_read_class(select, has_position=True),
            group=GROUP,
            statuses=statuses,
            position=position,
            zones=ZONES,
            zone="oslo-a",
        )
        yield f"session read at {position}: {choose_member(request)}"
    aged = ReadRequest(
        effective=determine_read_class(
            f"/*radishtrack class=aged max_age_ms=500*/ {select}", has_position=False
        ),
        group=GROUP,
        statuses=statuses,
        ages_ms={"strekk-1": 800.0, "strekk-3": 120.0},
        zones=ZONES,
        zone="oslo-a",
    )
    yield f"aged read of at most 500 ms: {choose_member(aged)}"


def describe_evidence() -> Iterator[str]:
    """Yield the choice for a strict read after status polls with missing responses."""
    for unresponsive in ((), ("strekk-3",), ("strekk-2", "strekk-3")):
        statuses = {
            name: status
            for name, status in make_statuses().items()
            if name not in unresponsive
        }
        choice = choose_strict(StatusRound(0.0, statuses), GROUP)
        yield f"strict read, unresponsive {list(unresponsive)}: {choice}"


if __name__ == "__main__":
    for line in (*describe_reads(), *describe_evidence()):
        print(line)
