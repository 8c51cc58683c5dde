"""Members that die in a result, answer late, or lose the answer to a commit."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Final

from radishtrack_standins.faults.client import ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

ROWS: Final = 3000
ROWS_PER_INSERT: Final = 500
LATE_CLIENTS: Final = 8
LATE_REQUESTS: Final = 25
SENDERS: Final = 8


async def _fill(deployment: Deployment) -> None:
    client = deployment.create_client(0)
    for first in range(0, ROWS, ROWS_PER_INSERT):
        values = ", ".join(
            f"('row-{number:05}', 'x')"
            for number in range(first, first + ROWS_PER_INSERT)
        )
        result = await client.run(f"INSERT INTO orders VALUES {values}")
        if not result.ran:
            raise RuntimeError(f"filling failed: {result}")
    client.drop()


async def die_in_result(deployment: Deployment) -> None:
    """Let members die in the middle of results inside and outside transactions."""
    await deployment.create_tables()
    await _fill(deployment)
    report, complete = deployment.report, tuple((f"row-{n:05}",) for n in range(ROWS))
    requests = 0
    for limit in (0, 1, 199, 200, 201, 1500, ROWS - 1):
        for in_transaction in (False, True):
            client = deployment.create_client(requests)
            if in_transaction:
                await client.run("BEGIN")
            for member in deployment.cluster.members:
                await deployment.control_member(member, die_in_result=limit)
            result = await client.run("SELECT id FROM orders ORDER BY id")
            for member in deployment.cluster.members:
                await deployment.control_member(member, die_in_result=-1)
            requests += 1
            report.require(
                8,
                not result.ran or result.rows == complete,
                f"{len(result.rows)} of {ROWS} rows after a death at row {limit}",
            )
            again = await client.run("SELECT id FROM orders WHERE id = 'row-00007'")
            requests += 1
            report.require(
                8,
                not again.ran or again.rows == (("row-00007",),),
                f"next request got {again.rows[:2]}",
            )
            client.drop()
    report.add_requests(8, requests)


async def answer_late(deployment: Deployment) -> None:
    """Let members answer late and clients leave; every answer has a tag."""
    await deployment.create_tables()
    await _fill(deployment)
    report, outcomes = deployment.report, Counter[str]()

    async def ask(number: int) -> None:
        client = deployment.create_client(number)
        for turn in range(LATE_REQUESTS):
            name = f"row-{(number * LATE_REQUESTS + turn) % ROWS:05}"
            kind = ("strict", "session")[turn % 2]
            result = await client.run(
                f"/*radishtrack class={kind} timeout_ms=150*/ "
                f"SELECT id, '{name}' FROM orders WHERE id = '{name}'"
            )
            outcomes[result.outcome.value] += 1
            report.require(
                8,
                not result.ran or result.rows == ((name, name),),
                f"request for {name} got {result.rows}",
            )
            report.require(
                8,
                result.outcome is not ClientOutcome.NO_RESPONSE,
                "request had no answer",
            )
        client.drop()

    async def disturb() -> None:
        for _ in range(6):
            for member in deployment.cluster.members:
                delay_ms = deployment.random.choice((0, 0, 50, 140, 300, 800))
                await deployment.control_member(member, delay_ms=delay_ms)
            await asyncio.sleep(0.5)
        for member in deployment.cluster.members:
            await deployment.control_member(member, delay_ms=0)

    async def leave(number: int) -> None:
        for turn in range(LATE_REQUESTS):
            client = deployment.create_client(number + turn)
            reading = asyncio.create_task(client.run("SELECT id FROM orders"))
            await asyncio.sleep(deployment.random.uniform(0.01, 0.15))
            client.drop()
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    await asyncio.gather(
        disturb(), leave(0), leave(1), *(ask(number) for number in range(LATE_CLIENTS))
    )
    report.add_requests(8, sum(outcomes.values()))
    report.require(
        8, outcomes[ClientOutcome.RAN.value], f"no request was served: {dict(outcomes)}"
    )
    result = await deployment.create_client(0).run("SELECT COUNT(*) FROM orders")
    report.require(8, result.ran, f"not served after the delays ended: {result}")


async def lose_commit_answers(deployment: Deployment) -> None:
    """Lose the answers to commits, before and after the effect."""
    await deployment.create_tables()
    report, old = deployment.report, await deployment.read_primary()
    results: dict[str, StatementResult] = {}
    for number in range(24):
        switch = "drop_after_commit" if number % 2 else "drop_before_commit"
        identified = number % 4 < 2
        name = f"lost-{number}"
        prefix = f"/*radishtrack request_id={name}*/ " if identified else ""
        client = deployment.create_client(number)
        await client.connect()
        await deployment.control_member(old, **{switch: True})
        statement = f"{prefix}INSERT INTO receipts (order_id) VALUES ('{name}')"
        results[name] = await client.run(statement)
        if identified:
            first = results[name]
            # The same posting again, as a client does that was not sure.
            results[name] = await deployment.create_client(number + 1).run(statement)
            report.require(
                10,
                results[name].ran,
                f"posting with request ID not served: {results[name]}",
            )
            if not results[name].ran and (first.ran or first.may_have_run):
                results[name] = first
        client.drop()
        await deployment.control_member(old, **{switch: False})
    await _judge_postings(deployment, results)


async def _judge_postings(
    deployment: Deployment, results: dict[str, StatementResult]
) -> None:
    report = deployment.report
    counts = Counter(str(row[1]) for row in await deployment.read_rows("receipts"))
    report.add_requests(9, len(results))
    report.add_requests(10, len(results))
    for name, result in results.items():
        report.require(10, counts[name] <= 1, f"{name} ran {counts[name]} times")
        if result.ran:
            report.require(10, counts[name] == 1, f"{name} acknowledged and missing")
        if result.outcome in (ClientOutcome.NOT_RUN, ClientOutcome.REJECTED):
            report.require(9, not counts[name], f"{name} ran although told: {result}")


async def repeat_at_both_proxies(deployment: Deployment) -> None:
    """Send the same request ID through both proxies at once."""
    await deployment.create_tables()
    report, results = deployment.report, {}

    async def send(name: str, number: int) -> StatementResult:
        client = deployment.create_client(number)
        result = await client.run(
            f"/*radishtrack request_id={name}*/ "
            f"INSERT INTO receipts (order_id) VALUES ('{name}')"
        )
        client.drop()
        return result

    for turn in range(12):
        name = f"both-{turn}"
        responses = await asyncio.gather(*(send(name, n) for n in range(SENDERS)))
        results[name] = next((a for a in responses if a.ran), responses[0])
        report.require(
            10,
            all(result.ran for result in responses),
            f"{name}: {[str(a) for a in responses if not a.ran][:1]}",
        )
    await _judge_postings(deployment, results)
    report.add_requests(10, 11 * SENDERS)
