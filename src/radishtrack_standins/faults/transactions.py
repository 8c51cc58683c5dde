"""Transactions of several clients, and proxies that die or pause inside them."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import Answer, Client, Told

if TYPE_CHECKING:
    from radishtrack_standins.faults.world import World

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
        answer = await client.run(
            f"INSERT INTO orders (id, organisation) VALUES ('{tag}-{number}', '{tag}')"
        )
        ledger.statements += 1
        if not answer.ran:
            ledger.not_committed[tag] = str(answer)
            if client.connection is not None:
                await client.run("ROLLBACK")
            return
    await _check_own_rows(client, tag, ledger)
    if tag.endswith("3"):
        await client.run("ROLLBACK")
        ledger.not_committed[tag] = "rolled back by the client"
        return
    _note_commit(ledger, tag, await client.run("COMMIT"))


async def _check_own_rows(client: Client, tag: str, ledger: TransactionLedger) -> None:
    answer = await client.run(
        f"SELECT organisation, COUNT(*) FROM orders WHERE organisation = '{tag}' "
        "GROUP BY organisation"
    )
    ledger.statements += 1
    if answer.ran and [str(v) for v in answer.rows[0]] != [tag, str(ROWS_EACH)]:
        ledger.seen_foreign.append(f"{tag} saw {answer.rows}")


def _note_commit(ledger: TransactionLedger, tag: str, answer: Answer) -> None:
    if answer.ran:
        ledger.committed.add(tag)
    elif answer.may_have_run:
        ledger.unknown.add(tag)
    else:
        ledger.not_committed[tag] = str(answer)


async def judge(world: World, ledger: TransactionLedger) -> None:
    """Compare the ledger with the rows of the recorded primary."""
    report = world.report
    counts = Counter(str(row[1]) for row in await world.rows("orders"))
    report.add_requests(3, ledger.statements)
    for text in ledger.seen_foreign:
        report.add_problem(3, text)
    for tag, count in counts.items():
        report.require(3, count == ROWS_EACH, f"{tag} has {count} of {ROWS_EACH} rows")
    for tag in sorted(ledger.committed - counts.keys()):
        report.add_problem(2, f"acknowledged transaction {tag} is missing")
    for tag in sorted(ledger.not_committed.keys() & counts.keys()):
        told = ledger.not_committed[tag]
        report.add_problem(3, f"{tag} has rows although told: {told}")
    report.require(3, len(ledger.committed) > CLIENTS, "too few transactions ended")


async def mix(world: World, number: int, ledger: TransactionLedger) -> None:
    """Run transactions of one client until the time is over."""
    client = world.client(number)
    end = asyncio.get_running_loop().time() + RUN_S
    attempt = 0
    while asyncio.get_running_loop().time() < end:
        attempt += 1
        await run_transaction(client, f"t{number}-{attempt}", ledger)
        if client.connection is None:
            client = world.client(number + attempt)
        await asyncio.sleep(world.random.uniform(0, 0.02))
    client.drop()


async def kill_proxy(world: World) -> None:
    """Kill a proxy in the middle of transactions, and start it again."""
    await world.define_tables()
    ledger = TransactionLedger()
    tasks = [asyncio.create_task(mix(world, n, ledger)) for n in range(CLIENTS)]
    await asyncio.sleep(1.0)
    open_client = world.client(1)
    await open_client.run("BEGIN")
    await open_client.run("INSERT INTO orders VALUES ('open-0', 'open')")
    ledger.not_committed["open"] = "its proxy died before the commit"
    await asyncio.to_thread(world.cluster.proxies[1].kill)
    await asyncio.sleep(1.0)
    world.cluster.proxies[1].start()
    await asyncio.gather(*tasks)
    await asyncio.sleep(SETTLE_S)
    await judge(world, ledger)


async def pause_proxy_at_commit(world: World) -> None:
    """Pause a proxy between commit and answer, and resume it after a promotion."""
    await world.define_tables()
    report = world.report
    old = await world.primary()
    await world.control(old, delay_ms=150)
    writers = [world.client(0) for _ in range(4)]
    for writer in writers:
        await writer.connect()
    tasks = [
        asyncio.create_task(
            writer.run(f"INSERT INTO orders VALUES ('paused-{number}', 'paused')")
        )
        for number, writer in enumerate(writers)
    ]
    await asyncio.sleep(0.1 + 0.2 * world.random.random())
    world.cluster.proxies[0].signal(signal.SIGSTOP)
    await asyncio.to_thread(world.cluster.members[old].kill)
    promoted_s = await world.wait_promoted(old)
    await asyncio.sleep(0.5)
    world.cluster.proxies[0].signal(signal.SIGCONT)
    report.add_figure(2, "change of primary with a paused proxy", promoted_s, "s", 7.0)
    answers = await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    rows = {str(row[0]) for row in await world.rows("orders")}
    report.add_requests(2, len(answers))
    report.add_requests(9, len(answers))
    for number, answer in enumerate(answers):
        row = f"paused-{number}"
        if answer.ran:
            report.require(2, row in rows, f"{row} acknowledged and missing")
        if answer.told in (Told.NOT_RUN, Told.REJECTED):
            report.require(9, row not in rows, f"{row} ran although told: {answer}")
