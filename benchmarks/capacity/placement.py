"""CPU time and memory of placement and of the reconcile loop.

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
    """Measure CPU time and memory of the first placement of all databases."""
    document = make_fleet_document(databases, 8)
    all_nodes = make_nodes(nodes)
    cpu_us = measure_cpu_us(
        lambda: place_all(make_placement(all_nodes), document), repeats=3
    )
    tracemalloc.start()
    placement = make_placement(all_nodes)
    place_all(placement, document)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    emit(
        "placement build",
        nodes=nodes,
        databases=databases,
        cpu_ms=cpu_us.median / 1000,
        memory_bytes=memory_bytes,
    )
    return cpu_us


def measure_change(nodes: int, databases: int) -> Spread:
    """Measure the placement after one node was added or removed."""
    document = make_fleet_document(databases, 8)
    all_nodes = make_nodes(nodes)
    placement = make_placement(all_nodes)
    place_all(placement, document)
    node_lists = [all_nodes[1:], all_nodes]

    def change() -> None:
        placement.set_nodes(node_lists[0])
        node_lists.reverse()
        place_all(placement, document)

    cpu_us = measure_cpu_us(change, repeats=6)
    emit("placement change", nodes=nodes, databases=databases, cpu_us=cpu_us)
    return cpu_us


def measure_reconcile(nodes: int, databases: int) -> Spread:
    """Measure a pass of the reconcile loop that changes nothing."""
    document = make_fleet_document(databases, 8)
    all_nodes = make_nodes(nodes)
    clock = make_system_clock()

    async def admit(organisation: str, deadline_ms: float) -> None:
        return

    placement = make_placement(all_nodes)
    membership = make_membership(all_nodes[0])
    membership.apply_list(all_nodes)
    holder = Holder(clock, admit)
    slots = Slots(all_nodes[0], clock, DatabaseLogin("user", ""), holder, placement)

    def reconcile() -> None:
        placement.set_nodes(membership.list_nodes(clock.now_ms()))
        slots.reconcile(document)

    reconcile()
    cpu_us = measure_cpu_us(reconcile, repeats=15)
    emit(
        "reconcile pass",
        nodes=nodes,
        databases=databases,
        cpu_us=cpu_us,
        core_share_percent=cpu_us.median / RECONCILE_INTERVAL_S / 10_000,
    )
    return cpu_us


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
