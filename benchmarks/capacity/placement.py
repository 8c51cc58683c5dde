"""Processor time and memory of placement and of the reconcile loop.

Run as ``python benchmarks/capacity/placement.py``; prints JSON lines.
"""

from __future__ import annotations

import tracemalloc
from typing import Final

from measuring import (
    DATABASES,
    NODES,
    Spread,
    emit,
    emit_fit,
    make_fleet_document,
    make_nodes,
    measure_cpu_us,
)

from radishtrack.clock import make_system_clock
from radishtrack.config.document import Document
from radishtrack.membership.nodes import make_membership
from radishtrack.membership.placement import Placement, make_placement
from radishtrack.proxy.holder import Holder
from radishtrack.proxy.node import RECONCILE_INTERVAL_S
from radishtrack.proxy.slots import Slots
from radishtrack.settings import DatabaseLogin

NODE_SIZES: Final = (50, 295, NODES)
DATABASE_SIZES: Final = (100, 400, DATABASES)


def place_all(placement: Placement, document: Document) -> None:
    """Place the slots and rank the voters of every database."""
    for database in document.databases.values():
        placement.place_slots(database.name, database.region, database.slots)
        placement.rank_voters(database.name, database.region, database.slots)


def measure_build(nodes: int, databases: int) -> Spread:
    """Measure the first placement of all databases, and its memory."""
    document = make_fleet_document(databases, 8)
    known = make_nodes(nodes)
    cost = measure_cpu_us(lambda: place_all(make_placement(known), document), repeats=3)
    tracemalloc.start()
    placement = make_placement(known)
    place_all(placement, document)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    emit(
        "placement build",
        nodes=nodes,
        databases=databases,
        cpu_ms=cost.median / 1000,
        memory_bytes=memory,
    )
    return cost


def measure_change(nodes: int, databases: int) -> Spread:
    """Measure the placement after one node came or went."""
    document = make_fleet_document(databases, 8)
    known = make_nodes(nodes)
    placement = make_placement(known)
    place_all(placement, document)
    views = [known[1:], known]

    def change() -> None:
        placement.set_nodes(views[0])
        views.reverse()
        place_all(placement, document)

    cost = measure_cpu_us(change, repeats=6)
    emit("placement change", nodes=nodes, databases=databases, cpu_us=cost)
    return cost


def measure_reconcile(nodes: int, databases: int) -> Spread:
    """Measure one pass of the reconcile loop without a change."""
    document = make_fleet_document(databases, 8)
    known = make_nodes(nodes)
    clock = make_system_clock()

    async def admit(organisation: str, deadline_ms: float) -> None:
        return

    placement = make_placement(known)
    membership = make_membership(known[0])
    membership.apply_list(known)
    holder = Holder(clock, admit)
    slots = Slots(known[0], clock, DatabaseLogin("user", ""), holder, placement)

    def reconcile() -> None:
        placement.set_nodes(membership.list_nodes(clock.now_ms()))
        slots.reconcile(document)

    reconcile()
    cost = measure_cpu_us(reconcile, repeats=15)
    emit(
        "reconcile pass",
        nodes=nodes,
        databases=databases,
        cpu_us=cost,
        core_share_percent=cost.median / RECONCILE_INTERVAL_S / 10_000,
    )
    return cost


def main() -> None:
    """Measure all sizes."""
    for name, measure in (
        ("placement build us", measure_build),
        ("placement change us", measure_change),
        ("reconcile us", measure_reconcile),
    ):
        by_nodes = [(size, measure(size, DATABASES).median) for size in NODE_SIZES]
        emit_fit(f"{name} by nodes, 710 databases", by_nodes)
        by_databases = [(size, measure(NODES, size).median) for size in DATABASE_SIZES]
        emit_fit(f"{name} by databases, 590 nodes", by_databases)


if __name__ == "__main__":
    main()
