"""Planned stops of a proxy under load."""

from __future__ import annotations

import asyncio
import itertools
import signal
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import Client, ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

WORKER_COUNT: Final = 12
DRAINING_CODE: Final = 9006
EXIT_TIMEOUT_S: Final = 25.0
INTERRUPTED: Final = (
    ClientOutcome.LOST,
    ClientOutcome.UNKNOWN,
    ClientOutcome.NO_RESPONSE,
)


@attrs.define
class StopLedger:
    """Outcomes of the requests during the stop."""

    ran: set[str] = attrs.field(factory=set)
    not_run: dict[str, str] = attrs.field(factory=dict)
    interrupted: list[str] = attrs.field(factory=list)
    requests: int = 0

    def record(self, name: str, result: StatementResult) -> None:
        """Record the outcome of a request."""
        self.requests += 1
        if result.outcome in INTERRUPTED:
            self.interrupted.append(f"{name}: {result}")
        elif result.ran:
            self.ran.add(name)
        else:
            self.not_run[name] = str(result)


async def stop_under_load(deployment: Deployment) -> None:
    """Stop a proxy with SIGTERM during writes, a slow read and a transaction."""
    await deployment.create_tables()
    report, ledger, stop = deployment.report, StopLedger(), asyncio.Event()
    proxy = deployment.cluster.proxies[1]
    tasks = [
        asyncio.create_task(_insert_until_stopped(deployment, n, ledger, stop))
        for n in range(WORKER_COUNT)
    ]
    slow = asyncio.create_task(_run_slow_read(deployment, ledger))
    in_transaction, idle = deployment.create_client(1), deployment.create_client(1)
    begin_result = await in_transaction.run("BEGIN")
    report.require(12, begin_result.ran, f"BEGIN before the stop: {begin_result}")
    await idle.run("SELECT COUNT(*) FROM orders")
    await asyncio.sleep(1.0)
    proxy.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    idle_result = await idle.run("SELECT COUNT(*) FROM orders")
    report.require(
        12,
        idle_result.code == DRAINING_CODE,
        f"idle session at the stopping node: {idle_result}",
    )
    await _finish_transaction(in_transaction, ledger)
    assert proxy.process is not None
    try:
        code = await asyncio.to_thread(proxy.process.wait, EXIT_TIMEOUT_S)
    except Exception as error:
        code = -1
        report.add_problem(12, f"proxy did not exit: {error!r}")
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(slow, *tasks)
    report.require(12, code == 0, f"exit code {code}")
    report.add_requests(12, ledger.requests)
    report.add_figure(12, "interrupted", len(ledger.interrupted), "requests", 0)
    for text in ledger.interrupted:
        report.add_problem(12, text)
    await _check_rows(deployment, ledger)


async def _check_rows(deployment: Deployment, ledger: StopLedger) -> None:
    report = deployment.report
    rows = {str(row[0]) for row in await deployment.read_rows("orders")}
    names = {name for name in ledger.ran if not name.startswith("read")}
    report.require(12, names <= rows, f"acknowledged and missing: {names - rows}")
    report.add_requests(9, ledger.requests)
    for name in sorted(ledger.not_run.keys() & rows):
        report.add_problem(
            9, f"{name} ran although reported as: {ledger.not_run[name]}"
        )


async def _insert_until_stopped(
    deployment: Deployment, number: int, ledger: StopLedger, stop: asyncio.Event
) -> None:
    client = deployment.create_client(number)
    for turn in itertools.count():
        if stop.is_set():
            break
        name = f"stop-{number}-{turn}"
        result = await client.run(f"INSERT INTO orders VALUES ('{name}', 'x')")
        ledger.record(name, result)
        if client.connection is None:
            # A load balancer sends the next connection to the other proxy.
            client = deployment.create_client(0)
    client.abort()


async def _run_slow_read(deployment: Deployment, ledger: StopLedger) -> None:
    client = deployment.create_client(1)
    await asyncio.sleep(0.6)
    ledger.record(
        "read-slow", await client.run("SELECT SLEEP(2), id FROM orders LIMIT 1")
    )
    client.abort()


async def _finish_transaction(client: Client, ledger: StopLedger) -> None:
    for number in range(3):
        name = f"inside-{number}"
        ledger.record(
            name, await client.run(f"INSERT INTO orders VALUES ('{name}', 'inside')")
        )
        await asyncio.sleep(0.2)
    result = await client.run("COMMIT")
    ledger.record("read-commit", result)
    if not result.ran:
        ledger.interrupted.append(f"transaction open at the stop: {result}")
