"""Transactions of several clients while a proxy is killed or paused."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import Client, ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

CLIENT_COUNT: Final = 6
RUN_S: Final = 5.0
ROWS_PER_TRANSACTION: Final = 3
SETTLE_S: Final = 3.0


@attrs.define
class TransactionLedger:
    """Outcomes reported for transactions, by tag."""

    committed: set[str] = attrs.field(factory=set)
    not_committed: dict[str, str] = attrs.field(factory=dict)
    """Reason why the transaction was not committed."""
    unknown: set[str] = attrs.field(factory=set)
    wrong_reads: list[str] = attrs.field(factory=list)
    statements: int = 0


async def run_transaction(client: Client, tag: str, ledger: TransactionLedger) -> None:
    """Insert rows in one transaction; commit, roll back or disconnect, by its tag."""
    begin_result = await client.run("BEGIN")
    ledger.statements += 1
    if not begin_result.ran:
        ledger.not_committed[tag] = str(begin_result)
        return
    for number in range(ROWS_PER_TRANSACTION):
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
        client.abort()
        ledger.not_committed[tag] = "client disconnected before the commit"
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
    if result.ran and [str(v) for v in result.rows[0]] != [
        tag,
        str(ROWS_PER_TRANSACTION),
    ]:
        ledger.wrong_reads.append(f"{tag} read {result.rows}")


def _record_commit(
    ledger: TransactionLedger, tag: str, result: StatementResult
) -> None:
    if result.ran:
        ledger.committed.add(tag)
    elif result.may_have_run:
        ledger.unknown.add(tag)
    else:
        ledger.not_committed[tag] = str(result)


async def check_transactions(deployment: Deployment, ledger: TransactionLedger) -> None:
    """Compare the reported outcomes with the rows at the recorded primary."""
    report = deployment.report
    counts = Counter(str(row[1]) for row in await deployment.read_rows("orders"))
    report.add_requests(3, ledger.statements)
    for text in ledger.wrong_reads:
        report.add_problem(3, text)
    for tag, count in counts.items():
        report.require(
            3,
            count == ROWS_PER_TRANSACTION,
            f"{tag} has {count} of {ROWS_PER_TRANSACTION} rows",
        )
    for tag in sorted(ledger.committed - counts.keys()):
        report.add_problem(2, f"acknowledged transaction {tag} is missing")
    for tag in sorted(ledger.not_committed.keys() & counts.keys()):
        reported = ledger.not_committed[tag]
        report.add_problem(3, f"{tag} has rows although reported as: {reported}")
    report.require(
        3, len(ledger.committed) > CLIENT_COUNT, "too few transactions were committed"
    )


async def run_transactions(
    deployment: Deployment, number: int, ledger: TransactionLedger
) -> None:
    """Run transactions of one client for `RUN_S` seconds."""
    client = deployment.create_client(number)
    end_s = asyncio.get_running_loop().time() + RUN_S
    attempt = 0
    while asyncio.get_running_loop().time() < end_s:
        attempt += 1
        await run_transaction(client, f"t{number}-{attempt}", ledger)
        if client.connection is None:
            client = deployment.create_client(number + attempt)
        await asyncio.sleep(deployment.random.uniform(0, 0.02))
    client.abort()


async def kill_proxy(deployment: Deployment) -> None:
    """Kill a proxy during transactions, and start it again."""
    await deployment.create_tables()
    ledger = TransactionLedger()
    tasks = [
        asyncio.create_task(run_transactions(deployment, n, ledger))
        for n in range(CLIENT_COUNT)
    ]
    await asyncio.sleep(1.0)
    open_client = deployment.create_client(1)
    await open_client.run("BEGIN")
    await open_client.run("INSERT INTO orders VALUES ('open-0', 'open')")
    ledger.not_committed["open"] = "proxy was killed before the commit"
    await asyncio.to_thread(deployment.cluster.proxies[1].kill)
    await asyncio.sleep(1.0)
    deployment.cluster.proxies[1].start()
    await asyncio.gather(*tasks)
    await asyncio.sleep(SETTLE_S)
    await check_transactions(deployment, ledger)


async def pause_proxy_at_commit(deployment: Deployment) -> None:
    """Pause a proxy between commit and response, and resume it after a promotion."""
    await deployment.create_tables()
    report = deployment.report
    old_primary = await deployment.read_primary()
    await deployment.control_member(old_primary, delay_ms=150)
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
    await asyncio.to_thread(deployment.cluster.members[old_primary].kill)
    elapsed_s = await deployment.wait_for_promotion(old_primary)
    await asyncio.sleep(0.5)
    deployment.cluster.proxies[0].signal(signal.SIGCONT)
    report.add_figure(2, "change of primary with a paused proxy", elapsed_s, "s", 7.0)
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
            report.require(
                9, row not in rows, f"{row} ran although reported as: {result}"
            )
