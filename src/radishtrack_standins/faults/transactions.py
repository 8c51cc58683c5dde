"""Transactions of several clients, and proxies that die or pause inside them."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import Client, ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

CLIENTS: Final = 6
RUN_S: Final = 5.0
ROWS_EACH: Final = 3
SETTLE_S: Final = 3.0


@attrs.define
class TransactionLedger:
    """What clients were told about their transactions, by tag."""

    committed: set[str] = attrs.field(factory=set)
    not_committed: dict[str, str] = attrs.field(factory=dict)
    unknown: set[str] = attrs.field(factory=set)
    seen_foreign: list[str] = attrs.field(factory=list)
    statements: int = 0


async def run_transaction(client: Client, tag: str, ledger: TransactionLedger) -> None:
    """Insert `ROWS_EACH` rows in one transaction and commit or roll back."""
    begun = await client.run("BEGIN")
    ledger.statements += 1
    if not begun.ran:
        ledger.not_committed[tag] = str(begun)
        return
    for number in range(ROWS_EACH):
        result = await client.run(
            f"INSERT INTO orders (id, organisation) VALUES ('{tag}-{number}', '{tag}')"
        )
        ledger.statements += 1
        if not result.ran:
            ledger.not_committed[tag] = str(result)
            if client.connection is not None:
                await client.run("ROLLBACK")
            return
    await _check_own_rows(client, tag, ledger)
    if tag.endswith("7"):
        client.drop()
        ledger.not_committed[tag] = "the client left before the commit"
        return
    if tag.endswith("3"):
        await client.run("ROLLBACK")
        ledger.not_committed[tag] = "rolled back by the client"
        return
    _record_commit(ledger, tag, await client.run("COMMIT"))


async def _check_own_rows(client: Client, tag: str, ledger: TransactionLedger) -> None:
    result = await client.run(
        f"SELECT organisation, COUNT(*) FROM orders WHERE organisation = '{tag}' "
        "GROUP BY organisation"
    )
    ledger.statements += 1
    if result.ran and [str(v) for v in result.rows[0]] != [tag, str(ROWS_EACH)]:
        ledger.seen_foreign.append(f"{tag} saw {result.rows}")


def _record_commit(
    ledger: TransactionLedger, tag: str, result: StatementResult
) -> None:
    if result.ran:
        ledger.committed.add(tag)
    elif result.may_have_run:
        ledger.unknown.add(tag)
    else:
        ledger.not_committed[tag] = str(result)


async def judge(deployment: Deployment, ledger: TransactionLedger) -> None:
    """Compare the ledger with the rows of the recorded primary."""
    report = deployment.report
    counts = Counter(str(row[1]) for row in await deployment.read_rows("orders"))
    report.add_requests(3, ledger.statements)
    for text in ledger.seen_foreign:
        report.add_problem(3, text)
    for tag, count in counts.items():
        report.require(3, count == ROWS_EACH, f"{tag} has {count} of {ROWS_EACH} rows")
    for tag in sorted(ledger.committed - counts.keys()):
        report.add_problem(2, f"acknowledged transaction {tag} is missing")
    for tag in sorted(ledger.not_committed.keys() & counts.keys()):
        reported = ledger.not_committed[tag]
        report.add_problem(3, f"{tag} has rows although told: {reported}")
    report.require(3, len(ledger.committed) > CLIENTS, "too few transactions ended")


async def mix(deployment: Deployment, number: int, ledger: TransactionLedger) -> None:
    """Run transactions of one client until the time is over."""
    client = deployment.create_client(number)
    end = asyncio.get_running_loop().time() + RUN_S
    attempt = 0
    while asyncio.get_running_loop().time() < end:
        attempt += 1
        await run_transaction(client, f"t{number}-{attempt}", ledger)
        if client.connection is None:
            client = deployment.create_client(number + attempt)
        await asyncio.sleep(deployment.random.uniform(0, 0.02))
    client.drop()


async def kill_proxy(deployment: Deployment) -> None:
    """Kill a proxy in the middle of transactions, and start it again."""
    await deployment.create_tables()
    ledger = TransactionLedger()
    tasks = [asyncio.create_task(mix(deployment, n, ledger)) for n in range(CLIENTS)]
    await asyncio.sleep(1.0)
    open_client = deployment.create_client(1)
    await open_client.run("BEGIN")
    await open_client.run("INSERT INTO orders VALUES ('open-0', 'open')")
    ledger.not_committed["open"] = "its proxy died before the commit"
    await asyncio.to_thread(deployment.cluster.proxies[1].kill)
    await asyncio.sleep(1.0)
    deployment.cluster.proxies[1].start()
    await asyncio.gather(*tasks)
    await asyncio.sleep(SETTLE_S)
    await judge(deployment, ledger)


async def pause_proxy_at_commit(deployment: Deployment) -> None:
    """Pause a proxy between commit and answer, and resume it after a promotion."""
    await deployment.create_tables()
    report = deployment.report
    old = await deployment.read_primary()
    await deployment.control_member(old, delay_ms=150)
    writers = [deployment.create_client(0) for _ in range(4)]
    for writer in writers:
        await writer.connect()
    tasks = [
        asyncio.create_task(
            writer.run(f"INSERT INTO orders VALUES ('paused-{number}', 'paused')")
        )
        for number, writer in enumerate(writers)
    ]
    await asyncio.sleep(0.1 + 0.2 * deployment.random.random())
    deployment.cluster.proxies[0].signal(signal.SIGSTOP)
    await asyncio.to_thread(deployment.cluster.members[old].kill)
    promoted_s = await deployment.wait_for_promotion(old)
    await asyncio.sleep(0.5)
    deployment.cluster.proxies[0].signal(signal.SIGCONT)
    report.add_figure(2, "change of primary with a paused proxy", promoted_s, "s", 7.0)
    results = await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    rows = {str(row[0]) for row in await deployment.read_rows("orders")}
    report.add_requests(2, len(results))
    report.add_requests(9, len(results))
    for number, result in enumerate(results):
        row = f"paused-{number}"
        if result.ran:
            report.require(2, row in rows, f"{row} acknowledged and missing")
        if result.outcome in (ClientOutcome.NOT_RUN, ClientOutcome.REJECTED):
            report.require(9, row not in rows, f"{row} ran although told: {result}")
