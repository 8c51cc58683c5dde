"""Members that break off a result, respond late or lose the response to a commit."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Final

from radishtrack_standins.faults.client import ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

ROW_COUNT: Final = 3000
ROWS_PER_INSERT: Final = 500
LATE_CLIENTS: Final = 8
LATE_REQUESTS_PER_CLIENT: Final = 25
SENDERS_PER_REQUEST: Final = 8


async def _insert_rows(deployment: Deployment) -> None:
    client = deployment.create_client(0)
    for first in range(0, ROW_COUNT, ROWS_PER_INSERT):
        values = ", ".join(
            f"('row-{number:05}', 'x')"
            for number in range(first, first + ROWS_PER_INSERT)
        )
        result = await client.run(f"INSERT INTO orders VALUES {values}")
        if not result.ran:
            raise RuntimeError(f"INSERT of the rows failed: {result}")
    client.abort()


async def break_connections_in_result(deployment: Deployment) -> None:
    """Close members' connections in the middle of results, with and without BEGIN."""
    await deployment.create_tables()
    await _insert_rows(deployment)
    report, complete = (
        deployment.report,
        tuple((f"row-{n:05}",) for n in range(ROW_COUNT)),
    )
    requests = 0
    for limit in (0, 1, 199, 200, 201, 1500, ROW_COUNT - 1):
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
                f"{len(result.rows)} of {ROW_COUNT} rows after the connection "
                f"was closed at row {limit}",
            )
            again = await client.run("SELECT id FROM orders WHERE id = 'row-00007'")
            requests += 1
            report.require(
                8,
                not again.ran or again.rows == (("row-00007",),),
                f"next request received {again.rows[:2]}",
            )
            client.abort()
    report.add_requests(8, requests)


async def delay_responses(deployment: Deployment) -> None:
    """Let members respond late while clients abort reads.

    Each request selects its own name, so that a response to another request shows.
    """
    await deployment.create_tables()
    await _insert_rows(deployment)
    report, outcomes = deployment.report, Counter[str]()

    async def send_requests(number: int) -> None:
        client = deployment.create_client(number)
        for turn in range(LATE_REQUESTS_PER_CLIENT):
            name = f"row-{(number * LATE_REQUESTS_PER_CLIENT + turn) % ROW_COUNT:05}"
            read_class = ("strict", "session")[turn % 2]
            result = await client.run(
                f"/*radishtrack class={read_class} timeout_ms=150*/ "
                f"SELECT id, '{name}' FROM orders WHERE id = '{name}'"
            )
            outcomes[result.outcome.value] += 1
            report.require(
                8,
                not result.ran or result.rows == ((name, name),),
                f"request for {name} received {result.rows}",
            )
            report.require(
                8,
                result.outcome is not ClientOutcome.NO_RESPONSE,
                "request had no response",
            )
        client.abort()

    async def vary_delays() -> None:
        for _ in range(6):
            for member in deployment.cluster.members:
                delay_ms = deployment.random.choice((0, 0, 50, 140, 300, 800))
                await deployment.control_member(member, delay_ms=delay_ms)
            await asyncio.sleep(0.5)
        for member in deployment.cluster.members:
            await deployment.control_member(member, delay_ms=0)

    async def abort_reads(number: int) -> None:
        for turn in range(LATE_REQUESTS_PER_CLIENT):
            client = deployment.create_client(number + turn)
            reading = asyncio.create_task(client.run("SELECT id FROM orders"))
            await asyncio.sleep(deployment.random.uniform(0.01, 0.15))
            client.abort()
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    await asyncio.gather(
        vary_delays(),
        abort_reads(0),
        abort_reads(1),
        *(send_requests(number) for number in range(LATE_CLIENTS)),
    )
    report.add_requests(8, sum(outcomes.values()))
    report.require(
        8, outcomes[ClientOutcome.RAN.value], f"no request was served: {dict(outcomes)}"
    )
    result = await deployment.create_client(0).run("SELECT COUNT(*) FROM orders")
    report.require(8, result.ran, f"request failed after the delays ended: {result}")


async def lose_commit_responses(deployment: Deployment) -> None:
    """Lose the responses to commits, before and after the commits take effect."""
    await deployment.create_tables()
    report, old_primary = deployment.report, await deployment.read_primary()
    results: dict[str, StatementResult] = {}
    for number in range(24):
        switch = "drop_after_commit" if number % 2 else "drop_before_commit"
        has_request_id = number % 4 < 2
        name = f"lost-{number}"
        prefix = f"/*radishtrack request_id={name}*/ " if has_request_id else ""
        client = deployment.create_client(number)
        await client.connect()
        await deployment.control_member(old_primary, **{switch: True})
        statement = f"{prefix}INSERT INTO receipts (order_id) VALUES ('{name}')"
        results[name] = await client.run(statement)
        if has_request_id:
            first = results[name]
            # Repeat the request, as a client does after an unknown outcome.
            results[name] = await deployment.create_client(number + 1).run(statement)
            report.require(
                10,
                results[name].ran,
                f"repeated request ID failed: {results[name]}",
            )
            if not results[name].ran and (first.ran or first.may_have_run):
                results[name] = first
        client.abort()
        await deployment.control_member(old_primary, **{switch: False})
    await _check_receipts(deployment, results)


async def _check_receipts(
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
            report.require(
                9, not counts[name], f"{name} ran although reported as: {result}"
            )


async def repeat_request_at_both_proxies(deployment: Deployment) -> None:
    """Send the same request ID through both proxies at once."""
    await deployment.create_tables()
    report, results = deployment.report, {}

    async def send(name: str, number: int) -> StatementResult:
        client = deployment.create_client(number)
        result = await client.run(
            f"/*radishtrack request_id={name}*/ "
            f"INSERT INTO receipts (order_id) VALUES ('{name}')"
        )
        client.abort()
        return result

    for turn in range(12):
        name = f"both-{turn}"
        responses = await asyncio.gather(
            *(send(name, n) for n in range(SENDERS_PER_REQUEST))
        )
        results[name] = next((a for a in responses if a.ran), responses[0])
        report.require(
            10,
            all(result.ran for result in responses),
            f"{name}: {[str(a) for a in responses if not a.ran][:1]}",
        )
    await _check_receipts(deployment, results)
    report.add_requests(10, 11 * SENDERS_PER_REQUEST)
