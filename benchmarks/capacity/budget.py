"""Works out the budgets at the target scale from the measured lines.

Run as ``python benchmarks/capacity/budget.py FILE`` on the output of ``make capacity``;
prints one JSON line for each role and budget.
"""

from __future__ import annotations

import json
import math
import sys
from pathlib import Path
from typing import Any, Final

from measuring import DATABASES, NODES, ORGANISATIONS, SLOTS, emit

from radishtrack.peer.link import PING_INTERVAL_S
from radishtrack.objects.watch import DEFAULT_WATCH_MS
from radishtrack.proxy.node import RECONCILE_INTERVAL_S, VM_LIST_INTERVAL_S
from radishtrack.rates.lease import RENEW_AFTER_MS
from radishtrack.usage.report import REPORT_INTERVAL_MS

CONNECTIONS_EACH: Final = 2_881
STATEMENTS_EACH: Final = 2_540
CHANGES_A_DAY: Final = 2_500
STARTS_A_DAY: Final = 326
DAY_S: Final = 86_400
NODES_A_REGION: Final = NODES / 2
"""Regions are taken as equal; with three and two zones they are 354 and 236."""

DATABASES_A_REGION: Final = DATABASES / 2
PAIRS_A_NODE: Final = ORGANISATIONS * SLOTS / NODES
"""Organisation and holder, if each organisation uses one database."""

MESSAGES_A_STATEMENT: Final = 2
"""Of a forwarded statement without rows; gives the cost of one message."""


def read_lines(path: Path) -> list[dict[str, Any]]:
    """Return the measured lines."""
    return [
        json.loads(line)
        for line in path.read_text().splitlines()
        if line.startswith("{")
    ]


class Measured:
    """Look-ups in the measured lines."""

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self.lines = lines

    def find(self, measure: str, **fields: object) -> dict[str, Any]:
        """Return the last line of a measure with these fields."""
        found = [
            line
            for line in self.lines
            if line["measure"] == measure
            and all(line.get(name) == value for name, value in fields.items())
        ]
        if not found:
            raise LookupError(f"{measure} {fields}")
        return found[-1]

    def slope(self, name: str) -> float:
        """Return the slope of a fit."""
        return float(self.find(f"fit {name}")["slope"])


def count_links() -> float:
    """Return the links of a node: distinct preferred holders, both directions."""
    drawn = NODES_A_REGION * -math.expm1(-DATABASES_A_REGION / NODES_A_REGION)
    return 2 * drawn


def sum_node_bytes(known: Measured, held: float, links: float) -> dict[str, float]:
    """Return control bytes a second of a node by mechanism."""
    change = known.find("configuration change at one node", databases=DATABASES)
    start = known.find("configuration start of a node", databases=DATABASES)
    watch = known.find("watch without changes")
    tokens = known.find(
        "rate tokens of one organisation at one holder", holders=3, demand_per_s=1000.0
    )
    vms = known.find("list of VMs", nodes=NODES)
    token_rate = PAIRS_A_NODE * tokens["bytes_per_s"]["median"]
    return {
        "status polls": held * known.slope("status bytes a second by databases held"),
        "list of VMs": vms["bytes"] / VM_LIST_INTERVAL_S,
        "rate tokens, as holder": token_rate,
        "rate tokens, as allocator": token_rate,
        "peer pings": links * known.slope("bytes a second by links, ping every 20 s"),
        "configuration": CHANGES_A_DAY * change["bytes"]["median"] / DAY_S,
        "watch without changes": watch["bytes_a_call"] * 1000 / DEFAULT_WATCH_MS,
        "usage": PAIRS_A_NODE
        * known.slope("usage bytes a second by organisations at the node"),
        "starts": STARTS_A_DAY / NODES * start["bytes"] / DAY_S,
    }


def sum_node_cpu(known: Measured, held: float, links: float) -> dict[str, float]:
    """Return percent of a core of a node by mechanism."""
    accept = known.find("configuration accept", databases=DATABASES)
    vms = known.find("list of VMs", nodes=NODES)
    reconcile = known.find("reconcile pass", nodes=NODES, databases=DATABASES)
    tokens = known.find(
        "rate tokens of one organisation at one holder", holders=3, demand_per_s=1000.0
    )
    message_us = (
        known.find("forwarded statement", rows=0, row_bytes=20)["cpu_us_both_ends"][
            "median"
        ]
        / 2
        / MESSAGES_A_STATEMENT
    )
    messages = PAIRS_A_NODE * tokens["messages_per_s"]["median"]
    requests = messages / 2
    return {
        "status polls": held * known.slope("core percent by databases held"),
        "idle process": known.find("node without clients", held=0)["core_percent"][
            "median"
        ],
        "reconcile": reconcile["cpu_us"]["median"] / RECONCILE_INTERVAL_S / 1e4,
        "list of VMs": vms["parse_cpu_us"]["median"] / VM_LIST_INTERVAL_S / 1e4,
        "peer pings": links
        * known.slope("core percent by links, one end, ping every 20 s"),
        "configuration": CHANGES_A_DAY
        * accept["change_cpu_us"]["median"]
        / DAY_S
        / 1e4,
        "rate tokens, messages of holder and allocator": 2
        * messages
        * message_us
        / 1e4,
        "rate tokens, allocator": requests
        * tokens["allocator_us_a_request"]["median"]
        / 1e4,
    }


def sum_memory(known: Measured, links: float) -> dict[str, float]:
    """Return megabytes of a node by state."""
    accept = known.find("configuration accept", databases=DATABASES)
    keys = known.find("keys", organisations=ORGANISATIONS)
    place = known.find("placement build", nodes=NODES, databases=DATABASES)
    slope = known.slope("node memory bytes by client connections")
    return {
        "process with its modules": known.find("node base")["memory_mb"],
        "configuration": accept["memory_mb"],
        "keys": keys["memory_bytes"] / 1e6,
        "placement": place["memory_bytes"] / 1e6,
        "peer links": links * known.slope("memory bytes by links, one end") / 1e6,
        "client connections": CONNECTIONS_EACH * slope / 1e6,
    }


def sum_reads(known: Measured) -> dict[str, float]:
    """Return the platform's reads a second for the fleet."""
    change = known.find("configuration change at one node", databases=DATABASES)
    start = known.find("configuration start of a node", databases=DATABASES)
    return {
        "list of VMs": NODES / VM_LIST_INTERVAL_S,
        "watches without changes": NODES * 1000 / DEFAULT_WATCH_MS,
        "configuration": CHANGES_A_DAY * change["read_calls"]["median"] * NODES / DAY_S,
        "starts": STARTS_A_DAY * start["chunks"] / DAY_S,
    }


def sum_writes() -> dict[str, float]:
    """Return the platform's writes a second for the fleet."""
    return {
        "allocator leases": ORGANISATIONS * 1000 / RENEW_AFTER_MS,
        "usage reports": NODES * 1000 / REPORT_INTERVAL_MS,
        "configuration": 2 * CHANGES_A_DAY / DAY_S,
        "starts and stops": 2 * STARTS_A_DAY / DAY_S,
    }


def emit_sum(name: str, limit: object, parts: dict[str, float]) -> None:
    """Print parts, largest first, and their sum."""
    ordered = sorted(parts.items(), key=lambda part: -part[1])
    rounded = {part: float(f"{value:.3g}") for part, value in ordered}
    emit(f"budget {name}", limit=limit, total=sum(parts.values()), parts=rounded)


def emit_processes(known: Measured) -> None:
    """Print the processes that a node's statements need."""
    for line in known.lines:
        if line["measure"] != "statement ratio":
            continue
        kind = line["kind"]

        def get_cost(at: str, kind: str = kind) -> float:
            cost = known.find("statement cpu us", kind=kind, at=at)
            return float(cost["cpu_us"]["median"])

        forwarded = get_cost("two nodes: entry") + get_cost("two nodes: holder")
        cores = forwarded * STATEMENTS_EACH / 1e6
        emit(
            "processes for a node's statements",
            kind=kind,
            local_us=get_cost("one node: node"),
            forwarded_us=forwarded,
            forwarded_cores=cores,
            processes_at_60_percent=math.ceil(cores / 0.6),
            nodes_of_one_process=math.ceil(NODES * cores / 0.6),
        )


def main() -> None:
    """Print all budgets."""
    known = Measured(read_lines(Path(sys.argv[1])))
    held = DATABASES * SLOTS / NODES
    links = count_links()
    emit(
        "shape",
        held_a_node=held,
        links_a_node=links,
        pairs_a_node=PAIRS_A_NODE,
        ping_interval_s=PING_INTERVAL_S,
    )
    emit_sum("node bytes a second", 2_000, sum_node_bytes(known, held, links))
    emit_sum("node percent of a core", 1.1, sum_node_cpu(known, held, links))
    emit_sum("node memory MB", 128, sum_memory(known, links))
    emit_sum("platform reads a second", 2_000, sum_reads(known))
    emit_sum("platform writes a second", "several hundred", sum_writes())
    emit_processes(known)


if __name__ == "__main__":
    main()
