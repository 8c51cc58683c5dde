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

WORKERS: Final = 12
DRAINING_CODE: Final = 9006
EXIT_TIMEOUT_S: Final = 25.0
INTERRUPTED: Final = (
    ClientOutcome.LOST,
    ClientOutcome.UNKNOWN,
    ClientOutcome.NO_RESPONSE,
)


@attrs.define
class StopLedger:
    """Requests during the stop."""

    ran: set[str] = attrs.field(factory=set)
    not_run: dict[str, str] = attrs.field(factory=dict)
    interrupted: list[str] = attrs.field(factory=list)
    requests: int = 0

    def record(self, name: str, result: StatementResult) -> None:
        """Take down an answer."""
        self.requests += 1
        if result.outcome in INTERRUPTED:
            self.interrupted.append(f"{name}: {result}")
        elif result.ran:
            self.ran.add(name)
        else:
            self.not_run[name] = str(result)


async def stop_under_load(deployment: Deployment) -> None:
    """Stop a proxy with SIGTERM while it works in every way."""
    await deployment.create_tables()
    report, ledger, ending = deployment.report, StopLedger(), asyncio.Event()
    proxy = deployment.cluster.proxies[1]
    tasks = [
        asyncio.create_task(_load(deployment, n, ledger, ending))
        for n in range(WORKERS)
    ]
    slow = asyncio.create_task(_run_slowly(deployment, ledger))
    inside, idle = deployment.create_client(1), deployment.create_client(1)
    begun = await inside.run("BEGIN")
    report.require(12, begun.ran, f"transaction before the stop: {begun}")
    await idle.run("SELECT COUNT(*) FROM orders")
    await asyncio.sleep(1.0)
    proxy.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    first = await idle.run("SELECT COUNT(*) FROM orders")
    report.require(
        12, first.code == DRAINING_CODE, f"idle session at the stopping node: {first}"
    )
    await _end_transaction(inside, ledger)
    assert proxy.process is not None
    try:
        code = await asyncio.to_thread(proxy.process.wait, EXIT_TIMEOUT_S)
    except Exception as error:
        code = -1
        report.add_problem(12, f"did not exit: {error!r}")
    await asyncio.sleep(1.0)
    ending.set()
    await asyncio.gather(slow, *tasks)
    report.require(12, code == 0, f"exit code {code}")
    report.add_requests(12, ledger.requests)
    report.add_figure(12, "interrupted", len(ledger.interrupted), "requests", 0)
    for text in ledger.interrupted:
        report.add_problem(12, text)
    await _judge(deployment, ledger)


async def _judge(deployment: Deployment, ledger: StopLedger) -> None:
    report = deployment.report
    rows = {str(row[0]) for row in await deployment.read_rows("orders")}
    names = {name for name in ledger.ran if not name.startswith("read")}
    report.require(12, names <= rows, f"acknowledged and missing: {names - rows}")
    report.add_requests(9, ledger.requests)
    for name in sorted(ledger.not_run.keys() & rows):
        report.add_problem(9, f"{name} ran although told: {ledger.not_run[name]}")


async def _load(
    deployment: Deployment, number: int, ledger: StopLedger, ending: asyncio.Event
) -> None:
    client = deployment.create_client(number)
    for turn in itertools.count():
        if ending.is_set():
            break
        name = f"stop-{number}-{turn}"
        result = await client.run(f"INSERT INTO orders VALUES ('{name}', 'x')")
        ledger.record(name, result)
        if client.connection is None:
            # A load balancer sends the next connection to the other proxy.
            client = deployment.create_client(0)
    client.drop()


async def _run_slowly(deployment: Deployment, ledger: StopLedger) -> None:
    client = deployment.create_client(1)
    await asyncio.sleep(0.6)
    ledger.record(
        "read-slow", await client.run("SELECT SLEEP(2), id FROM orders LIMIT 1")
    )
    client.drop()


async def _end_transaction(client: Client, ledger: StopLedger) -> None:
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
