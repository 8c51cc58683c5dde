"""Planned stops of a proxy under load."""

from __future__ import annotations

import asyncio
import itertools
import signal
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import Answer, Client, Told

if TYPE_CHECKING:
    from radishtrack_standins.faults.world import World

WORKERS: Final = 12
DRAINING_CODE: Final = 9006
EXIT_TIMEOUT_S: Final = 25.0
INTERRUPTED: Final = (Told.LOST, Told.UNKNOWN, Told.SILENT)


@attrs.define
class StopLedger:
    """Requests during the stop."""

    ran: set[str] = attrs.field(factory=set)
    not_run: dict[str, str] = attrs.field(factory=dict)
    interrupted: list[str] = attrs.field(factory=list)
    requests: int = 0

    def note(self, name: str, answer: Answer) -> None:
        """Take down an answer."""
        self.requests += 1
        if answer.told in INTERRUPTED:
            self.interrupted.append(f"{name}: {answer}")
        elif answer.ran:
            self.ran.add(name)
        else:
            self.not_run[name] = str(answer)


async def stop_under_load(world: World) -> None:
    """Stop a proxy with SIGTERM while it works in every way."""
    await world.define_tables()
    report, ledger, ending = world.report, StopLedger(), asyncio.Event()
    proxy = world.cluster.proxies[1]
    tasks = [
        asyncio.create_task(_load(world, n, ledger, ending)) for n in range(WORKERS)
    ]
    slow = asyncio.create_task(_run_slowly(world, ledger))
    inside, idle = world.client(1), world.client(1)
    await inside.run("BEGIN")
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
    await _judge(world, ledger)


async def _judge(world: World, ledger: StopLedger) -> None:
    report = world.report
    rows = {str(row[0]) for row in await world.rows("orders")}
    names = {name for name in ledger.ran if not name.startswith("read")}
    report.require(12, names <= rows, f"acknowledged and missing: {names - rows}")
    report.add_requests(9, ledger.requests)
    for name in sorted(ledger.not_run.keys() & rows):
        report.add_problem(9, f"{name} ran although told: {ledger.not_run[name]}")


async def _load(
    world: World, number: int, ledger: StopLedger, ending: asyncio.Event
) -> None:
    client = world.client(number)
    for turn in itertools.count():
        if ending.is_set():
            break
        name = f"stop-{number}-{turn}"
        answer = await client.run(f"INSERT INTO orders VALUES ('{name}', 'x')")
        ledger.note(name, answer)
        if client.connection is None:
            # A load balancer sends the next connection to the other proxy.
            client = world.client(0)
    client.drop()


async def _run_slowly(world: World, ledger: StopLedger) -> None:
    client = world.client(1)
    await asyncio.sleep(0.6)
    ledger.note(
        "read-slow", await client.run("SELECT SLEEP(2), id FROM orders LIMIT 1")
    )
    client.drop()


async def _end_transaction(client: Client, ledger: StopLedger) -> None:
    for number in range(3):
        name = f"inside-{number}"
        ledger.note(
            name, await client.run(f"INSERT INTO orders VALUES ('{name}', 'inside')")
        )
        await asyncio.sleep(0.2)
    answer = await client.run("COMMIT")
    ledger.note("read-commit", answer)
    if not answer.ran:
        ledger.interrupted.append(f"transaction open at the stop: {answer}")
