"""Measure the processor time of one statement in the proxy and in a pass-through.

One proxy that is itself the holder runs before three stand-in members. Clients send
one statement after the other; the processor time of the proxy process is read before
and after. Prints a JSON line for each kind of statement and number of clients.

Run from the repository root: PYTHONPATH=src python benchmarks/statement_cost.py
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Final

import aiomysql
import attrs

from radishtrack_standins.cluster import HOST, Cluster, ClusterPlan, start_cluster

CLIENTS: Final = (1, 4, 16)
REPEATS: Final = 3
RUN_S: Final = 0.8
WARM_UP_STATEMENTS: Final = 20
START_TIMEOUT_S: Final = 10.0
MEMBER_CONNECTIONS: Final = 48
"""Enough for the pool of the proxy and the clients of the pass-through together."""
RATE: Final = 1_000_000.0
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
MICROSECONDS: Final = 1_000_000

READ: Final = "SELECT id, state FROM orders WHERE id = 1"
WRITE: Final = "UPDATE orders SET state = 'tended' WHERE id = 1"
STATEMENTS: Final = {
    "session": "/*radishtrack class=session*/ " + READ,
    "strict": "/*radishtrack class=strict*/ " + READ,
    "aged": "/*radishtrack class=aged max_age_ms=5000*/ " + READ,
    "write": WRITE,
}
PLAIN: Final = {"session": READ, "strict": READ, "aged": READ, "write": WRITE}


@attrs.define(frozen=True)
class Server:
    """A process that serves clients."""

    name: str
    pid: int
    port: int
    user: str
    password: str
    database: str | None


@attrs.define(frozen=True)
class Sample:
    """The cost of the statements of one run."""

    microseconds: float
    statements: int


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def connect(server: Server) -> aiomysql.Connection:
    """Open a client connection."""
    return await aiomysql.connect(
        host=HOST,
        port=server.port,
        user=server.user,
        password=server.password,
        db=server.database,
        autocommit=None,
    )


async def run_statement(connection: aiomysql.Connection, statement: str) -> None:
    """Run one statement and read its result."""
    async with connection.cursor() as cursor:
        await cursor.execute(statement)
        await cursor.fetchall()


async def prepare_table(server: Server) -> None:
    """Create the table with one row through the proxy."""
    connection = await connect(server)
    await run_statement(
        connection, "CREATE TABLE orders (id INT PRIMARY KEY, state VARCHAR(20))"
    )
    await run_statement(connection, "INSERT INTO orders VALUES (1, 'open')")
    connection.close()


async def measure(server: Server, statement: str, clients: int, run_s: float) -> Sample:
    """Run one closed loop for each client and return the cost of a statement."""
    connections = [await connect(server) for _ in range(clients)]
    count = 0
    end_s = 0.0

    async def loop(connection: aiomysql.Connection) -> None:
        nonlocal count
        while time.monotonic() < end_s:
            await run_statement(connection, statement)
            count += 1

    for connection in connections:
        # The write gives the session a position; both warm the caches.
        await run_statement(connection, WRITE)
        for _ in range(WARM_UP_STATEMENTS // clients):
            await run_statement(connection, statement)
    before_s = read_processor_s(server.pid)
    end_s = time.monotonic() + run_s
    await asyncio.gather(*(loop(connection) for connection in connections))
    used_s = read_processor_s(server.pid) - before_s
    for connection in connections:
        connection.close()
    return Sample(used_s * MICROSECONDS / count, count)


@contextmanager
def start_passthrough(cluster: Cluster) -> Iterator[Server]:
    """Run the pass-through in front of the primary."""
    with tempfile.TemporaryFile("w+") as output:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "radishtrack.bench.passthrough",
                f"--target={HOST}:{cluster.members['m1'].ports['port']}",
            ],
            stdin=subprocess.DEVNULL,
            stdout=output,
        )
        try:
            end_s = time.monotonic() + START_TIMEOUT_S
            found = None
            while found is None:
                if time.monotonic() > end_s or process.poll() is not None:
                    raise RuntimeError("the pass-through did not start")
                time.sleep(0.05)
                output.seek(0)
                found = re.search(r"port=(\d+)", output.read())
            yield Server("passthrough", process.pid, int(found[1]), "plain", "", None)
        finally:
            process.terminate()
            process.wait(5)


def report(
    server: Server, kind: str, clients: int, samples: list[Sample]
) -> dict[str, object]:
    """Return the JSON line of one kind of statement."""
    costs = [sample.microseconds for sample in samples]
    return {
        "server": server.name,
        "statement": kind,
        "clients": clients,
        "cpu_us_median": round(statistics.median(costs)),
        "cpu_us_min": round(min(costs)),
        "cpu_us_max": round(max(costs)),
        "statements": sum(sample.statements for sample in samples),
    }


def run(options: argparse.Namespace) -> None:
    """Start the processes, measure and print."""
    plan = ClusterPlan(
        zones=("oslo-a",),
        slots=1,
        connections=MEMBER_CONNECTIONS,
        organisations=(("verksted", RATE, int(RATE)),),
    )
    cluster = start_cluster(plan)
    with ExitStack() as stack:
        stack.callback(cluster.close)
        proxy = cluster.proxies[0]
        assert proxy.process is not None
        served = Server(
            "proxy",
            proxy.process.pid,
            proxy.client_port,
            "verksted",
            cluster.keys["verksted"],
            plan.database,
        )
        asyncio.run(prepare_table(served))
        plain = stack.enter_context(start_passthrough(cluster))
        for clients in options.clients:
            for kind in options.kinds:
                samples: dict[Server, list[Sample]] = {plain: [], served: []}
                for _ in range(REPEATS):
                    for server, taken in samples.items():
                        text = (PLAIN if server is plain else STATEMENTS)[kind]
                        sample = measure(server, text, clients, options.run_s)
                        taken.append(asyncio.run(sample))
                for server, taken in samples.items():
                    print(json.dumps(report(server, kind, clients, taken)), flush=True)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="statement_cost.py")
    parser.add_argument("--clients", type=int, nargs="+", default=CLIENTS)
    parser.add_argument("--kinds", nargs="+", default=tuple(STATEMENTS))
    parser.add_argument("--run-s", type=float, default=RUN_S)
    run(parser.parse_args())


if __name__ == "__main__":
    main()
