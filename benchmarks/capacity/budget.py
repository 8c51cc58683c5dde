"""Computes the resource budgets at the target scale from the measurements.

Run as ``python benchmarks/capacity/budget.py FILE`` on the output of ``make capacity``;
prints one JSON line for each budget.
"""

from __future__ import annotations

import json
import math
import sys
from pathlib import Path
from typing import Any, Final

from measuring import DATABASES, NODES, ORGANISATIONS, SLOTS, emit

from radishtrack.objects.watch import DEFAULT_WATCH_MS
from radishtrack.peer.link import PING_INTERVAL_S
from radishtrack.proxy.node import RECONCILE_INTERVAL_S, VM_LIST_INTERVAL_S
from radishtrack.rates.lease import RENEW_AFTER_MS
from radishtrack.usage.report import REPORT_INTERVAL_MS

CONNECTIONS_PER_NODE: Final = 2_881
STATEMENTS_PER_S_PER_NODE: Final = 2_540
CHANGES_PER_DAY: Final = 2_500
STARTS_PER_DAY: Final = 326
DAY_S: Final = 86_400
NODES_PER_REGION: Final = NODES / 2
"""Assumes regions of equal size; with three and two zones they have 354 and 236."""

DATABASES_PER_REGION: Final = DATABASES / 2
PAIRS_PER_NODE: Final = ORGANISATIONS * SLOTS / NODES
"""Pairs of organisation and holder, if each organisation uses one database."""

MESSAGES_PER_STATEMENT: Final = 2
"""Messages of a forwarded statement without rows, to derive the cost of one."""


def read_lines(path: Path) -> list[dict[str, Any]]:
    """Return the JSON lines of a file."""
    return [
        json.loads(line)
        for line in path.read_text().splitlines()
        if line.startswith("{")
    ]


class Measurements:
    """Look-up of measurements by name and fields."""

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self.lines = lines

    def find(self, measure: str, **fields: object) -> dict[str, Any]:
        """Return the last line of a measure with these fields, or raise LookupError."""
        matches = [
            line
            for line in self.lines
            if line["measure"] == measure
            and all(line.get(name) == value for name, value in fields.items())
        ]
        if not matches:
            raise LookupError(f"no measurement of {measure!r} with {fields}")
        return matches[-1]

    def get_slope(self, name: str) -> float:
        """Return the slope of a linear fit."""
        return float(self.find(f"fit {name}")["slope"])


def count_links() -> float:
    """Return the expected number of peer links of a node.

    A node has a link to each distinct preferred holder of its region's databases, and
    as many links from others.
    """
    preferred_holders = NODES_PER_REGION * -math.expm1(
        -DATABASES_PER_REGION / NODES_PER_REGION
    )
    return 2 * preferred_holders


def sum_node_bytes(
    measured: Measurements, held_databases: float, links: float
) -> dict[str, float]:
    """Return control bytes per second of a node by mechanism."""
    change = measured.find("configuration change at one node", databases=DATABASES)
    start = measured.find("configuration start of a node", databases=DATABASES)
    watch = measured.find("watch without changes")
    tokens = measured.find(
        "rate tokens of one organisation at one holder", holders=3, demand_per_s=1000.0
    )
    vms = measured.find("list of VMs", nodes=NODES)
    token_bytes_per_s = PAIRS_PER_NODE * tokens["bytes_per_s"]["median"]
    return {
        "status polls": held_databases
        * measured.get_slope("status bytes a second by databases held"),
        "list of VMs": vms["bytes"] / VM_LIST_INTERVAL_S,
        "rate tokens, as holder": token_bytes_per_s,
        "rate tokens, as allocator": token_bytes_per_s,
        "peer pings": links
        * measured.get_slope("bytes a second by links, ping every 20 s"),
        "configuration": CHANGES_PER_DAY * change["bytes"]["median"] / DAY_S,
        "watch without changes": watch["bytes_a_call"] * 1000 / DEFAULT_WATCH_MS,
        "usage": PAIRS_PER_NODE
        * measured.get_slope("usage bytes a second by organisations at the node"),
        "starts": STARTS_PER_DAY / NODES * start["bytes"] / DAY_S,
    }


def sum_node_cpu(
    measured: Measurements, held_databases: float, links: float
) -> dict[str, float]:
    """Return percent of a core that a node uses, by mechanism."""
    accept = measured.find("configuration accept", databases=DATABASES)
    vms = measured.find("list of VMs", nodes=NODES)
    reconcile = measured.find("reconcile pass", nodes=NODES, databases=DATABASES)
    tokens = measured.find(
        "rate tokens of one organisation at one holder", holders=3, demand_per_s=1000.0
    )
    message_us = (
        measured.find("forwarded statement", rows=0, row_bytes=20)["cpu_us_both_ends"][
            "median"
        ]
        / 2
        / MESSAGES_PER_STATEMENT
    )
    messages_per_s = PAIRS_PER_NODE * tokens["messages_per_s"]["median"]
    requests_per_s = messages_per_s / 2
    return {
        "status polls": held_databases
        * measured.get_slope("core percent by databases held"),
        "idle process": measured.find("node without clients", held=0)["core_percent"][
            "median"
        ],
        "reconcile": reconcile["cpu_us"]["median"] / RECONCILE_INTERVAL_S / 1e4,
        "list of VMs": vms["parse_cpu_us"]["median"] / VM_LIST_INTERVAL_S / 1e4,
        "peer pings": links
        * measured.get_slope("core percent by links, one end, ping every 20 s"),
        "configuration": CHANGES_PER_DAY
        * accept["change_cpu_us"]["median"]
        / DAY_S
        / 1e4,
        "rate tokens, messages of holder and allocator": 2
        * messages_per_s
        * message_us
        / 1e4,
        "rate tokens, allocator": requests_per_s
        * tokens["allocator_us_a_request"]["median"]
        / 1e4,
    }


def sum_memory(measured: Measurements, links: float) -> dict[str, float]:
    """Return the memory of a node in megabytes by kind of state."""
    accept = measured.find("configuration accept", databases=DATABASES)
    keys = measured.find("keys", organisations=ORGANISATIONS)
    placement = measured.find("placement build", nodes=NODES, databases=DATABASES)
    slope = measured.get_slope("node memory bytes by client connections")
    return {
        "process with its modules": measured.find("node base")["memory_mb"],
        "configuration": accept["memory_mb"],
        "keys": keys["memory_bytes"] / 1e6,
        "placement": placement["memory_bytes"] / 1e6,
        "peer links": links
        * measured.get_slope("memory bytes by links, one end")
        / 1e6,
        "client connections": CONNECTIONS_PER_NODE * slope / 1e6,
    }


def sum_reads(measured: Measurements) -> dict[str, float]:
    """Return reads per second from the platform by the whole fleet."""
    change = measured.find("configuration change at one node", databases=DATABASES)
    start = measured.find("configuration start of a node", databases=DATABASES)
    return {
        "list of VMs": NODES / VM_LIST_INTERVAL_S,
        "watches without changes": NODES * 1000 / DEFAULT_WATCH_MS,
        "configuration": CHANGES_PER_DAY
        * change["read_calls"]["median"]
        * NODES
        / DAY_S,
        "starts": STARTS_PER_DAY * start["chunks"] / DAY_S,
    }


def sum_writes() -> dict[str, float]:
    """Return writes per second to the platform by the whole fleet."""
    return {
        "allocator leases": ORGANISATIONS * 1000 / RENEW_AFTER_MS,
        "usage reports": NODES * 1000 / REPORT_INTERVAL_MS,
        "configuration": 2 * CHANGES_PER_DAY / DAY_S,
        "starts and stops": 2 * STARTS_PER_DAY / DAY_S,
    }


def emit_sum(name: str, limit: object, parts: dict[str, float]) -> None:
    """Print the parts of a budget, largest first, and their sum."""
    ordered = sorted(parts.items(), key=lambda part: -part[1])
    rounded = {part: float(f"{value:.3g}") for part, value in ordered}
    emit(f"budget {name}", limit=limit, total=sum(parts.values()), parts=rounded)


def emit_processes(measured: Measurements) -> None:
    """Print how many processes the statements of a node need."""
    for line in measured.lines:
        if line["measure"] != "statement ratio":
            continue
        kind = line["kind"]

        def get_cost(at: str, kind: str = kind) -> float:
            cost = measured.find("statement cpu us", kind=kind, at=at)
            return float(cost["cpu_us"]["median"])

        forwarded_us = get_cost("two nodes: entry") + get_cost("two nodes: holder")
        cores = forwarded_us * STATEMENTS_PER_S_PER_NODE / 1e6
        emit(
            "processes for a node's statements",
            kind=kind,
            local_us=get_cost("one node: node"),
            forwarded_us=forwarded_us,
            forwarded_cores=cores,
            processes_at_60_percent=math.ceil(cores / 0.6),
            nodes_of_one_process=math.ceil(NODES * cores / 0.6),
        )


def main() -> None:
    """Print all budgets."""
    measured = Measurements(read_lines(Path(sys.argv[1])))
    held_databases = DATABASES * SLOTS / NODES
    links = count_links()
    emit(
        "shape",
        held_a_node=held_databases,
        links_a_node=links,
        pairs_a_node=PAIRS_PER_NODE,
        ping_interval_s=PING_INTERVAL_S,
    )
    emit_sum(
        "node bytes a second", 2_000, sum_node_bytes(measured, held_databases, links)
    )
    emit_sum(
        "node percent of a core", 1.1, sum_node_cpu(measured, held_databases, links)
    )
    emit_sum("node memory MB", 128, sum_memory(measured, links))
    emit_sum("platform reads a second", 2_000, sum_reads(measured))
    emit_sum("platform writes a second", "several hundred", sum_writes())
    emit_processes(measured)


if __name__ == "__main__":
    main()
