"""Measure the CPU time of one statement in the proxy and in a pass-through.

One proxy, which holds the only slot, runs in front of three stand-in members. Each
client sends one statement after another; the CPU time of the proxy process is read
before and after. Prints a JSON line for each kind of statement and number of clients.

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
"""Enough for the proxy's pool and the clients of the pass-through together."""
RATE: Final = 1_000_000.0
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
MICROSECONDS_PER_S: Final = 1_000_000

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
    """A server process and the login of its clients."""

    name: str
    pid: int
    port: int
    user: str
    password: str
    database: str | None


@attrs.define(frozen=True)
class Sample:
    """CPU time per statement in one run, and the number of its statements."""

    cpu_us: float
    statements: int


def read_cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
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
    """Run one closed loop per client; return the CPU time per statement."""
    connections = [await connect(server) for _ in range(clients)]
    count = 0
    end_s = 0.0

    async def loop(connection: aiomysql.Connection) -> None:
        nonlocal count
        while time.monotonic() < end_s:
            await run_statement(connection, statement)
            count += 1

    for connection in connections:
        # The write gives the session a position; both fill the caches.
        await run_statement(connection, WRITE)
        for _ in range(WARM_UP_STATEMENTS // clients):
            await run_statement(connection, statement)
    cpu_before_s = read_cpu_s(server.pid)
    end_s = time.monotonic() + run_s
    await asyncio.gather(*(loop(connection) for connection in connections))
    cpu_s = read_cpu_s(server.pid) - cpu_before_s
    for connection in connections:
        connection.close()
    return Sample(cpu_s * MICROSECONDS_PER_S / count, count)


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
            match = None
            while match is None:
                if time.monotonic() > end_s or process.poll() is not None:
                    raise RuntimeError("pass-through exited or printed no port in time")
                time.sleep(0.05)
                output.seek(0)
                match = re.search(r"port=(\d+)", output.read())
            yield Server("passthrough", process.pid, int(match[1]), "plain", "", None)
        finally:
            process.terminate()
            process.wait(5)


def make_line(
    server: Server, kind: str, clients: int, samples: list[Sample]
) -> dict[str, object]:
    """Return the JSON line of one kind of statement."""
    costs = [sample.cpu_us for sample in samples]
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
        proxied = Server(
            "proxy",
            proxy.process.pid,
            proxy.client_port,
            "verksted",
            cluster.keys["verksted"],
            plan.database,
        )
        asyncio.run(prepare_table(proxied))
        passthrough = stack.enter_context(start_passthrough(cluster))
        for clients in options.clients:
            for kind in options.kinds:
                samples: dict[Server, list[Sample]] = {passthrough: [], proxied: []}
                for _ in range(REPEATS):
                    for server, results in samples.items():
                        text = (PLAIN if server is passthrough else STATEMENTS)[kind]
                        sample = measure(server, text, clients, options.run_s)
                        results.append(asyncio.run(sample))
                for server, results in samples.items():
                    print(
                        json.dumps(make_line(server, kind, clients, results)),
                        flush=True,
                    )


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="statement_cost.py")
    parser.add_argument("--clients", type=int, nargs="+", default=CLIENTS)
    parser.add_argument("--kinds", nargs="+", default=tuple(STATEMENTS))
    parser.add_argument("--run-s", type=float, default=RUN_S)
    run(parser.parse_args())


if __name__ == "__main__":
    main()
