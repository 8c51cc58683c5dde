"""Memory of a node for idle client connections.

Run as ``python benchmarks/capacity/clients.py``; prints JSON lines. A proxy runs in a
separate process, its connections come from an ordinary driver, and its resident
memory is read from the kernel.
"""

from __future__ import annotations

import asyncio
from typing import Any, Final

import aiomysql
from measuring import emit, emit_fit, read_cpu_s, read_rss_bytes

from radishtrack_standins.cluster import Cluster, ClusterPlan, start_cluster

SIZES: Final = (200, 500, 1_000)
RATE: Final = 1_000_000.0
SETTLE_S: Final = 1.0
BYTES_PER_MB: Final = 1e6


async def connect(cluster: Cluster) -> Any:
    """Open one connection."""
    organisation = cluster.plan.organisations[0][0]
    return await aiomysql.connect(
        host="127.0.0.1",
        port=cluster.proxies[0].client_port,
        user=organisation,
        password=cluster.keys[organisation],
        db=cluster.plan.database,
        autocommit=True,
    )


async def measure(cluster: Cluster) -> None:
    """Open connections in steps and read the proxy's memory after each."""
    process = cluster.proxies[0].process
    assert process is not None
    emit("node base", memory_mb=read_rss_bytes(process.pid) / BYTES_PER_MB)
    # The first connection and statement load modules and fill caches.
    connections = [await connect(cluster)]
    async with connections[0].cursor() as cursor:
        await cursor.execute("SELECT @@version")
    points = []
    for size in SIZES:
        cpu_before_s, connected = read_cpu_s(process.pid), len(connections)
        while len(connections) < size:
            connections.append(await connect(cluster))
        connect_cpu_s = (read_cpu_s(process.pid) - cpu_before_s) / (
            len(connections) - connected
        )
        await asyncio.sleep(SETTLE_S)
        memory_bytes = read_rss_bytes(process.pid)
        emit(
            "idle client connections",
            connections=size,
            memory_mb=memory_bytes / BYTES_PER_MB,
            connect_cpu_us=1e6 * connect_cpu_s,
        )
        points.append((float(size), float(memory_bytes)))
    emit_fit("node memory bytes by client connections", points)
    for connection in connections:
        connection.close()


def main() -> None:
    """Start a deployment with one proxy and measure it."""
    plan = ClusterPlan(
        zones=("oslo-a",),
        slots=1,
        organisations=(("measured", RATE, int(RATE)),),
    )
    cluster = start_cluster(plan)
    try:
        asyncio.run(measure(cluster))
    finally:
        cluster.close()


if __name__ == "__main__":
    main()
