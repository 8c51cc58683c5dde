"""Clients that book orders, read them back and post receipts."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import Client, ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment
    from radishtrack_standins.faults.report import Report

BOOKING_PAUSE_S: Final = 0.03
RECEIPT_ATTEMPTS: Final = 4


@attrs.define
class Ledger:
    """Outcomes reported to the clients; checked against the members' rows."""

    acknowledged: dict[str, float] = attrs.field(factory=dict)
    """Acknowledged bookings and the times of their acknowledgement, in seconds."""
    not_run: dict[str, StatementResult] = attrs.field(factory=dict)
    """Bookings that were reported as not run, were rejected or had no connection."""
    unknown: set[str] = attrs.field(factory=set)
    receipts: set[str] = attrs.field(factory=set)
    """Orders whose receipt was acknowledged."""
    attempted_receipts: set[str] = attrs.field(factory=set)
    stale_reads: list[str] = attrs.field(factory=list)
    reads: int = 0
    requests: int = 0
    unanswered: list[str] = attrs.field(factory=list)
    """Kinds of the requests that had no response in time."""
    outcomes: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    acknowledgement_times_s: list[float] = attrs.field(factory=list)
    read_times_s: list[float] = attrs.field(factory=list)

    def record(self, kind: str, result: StatementResult) -> None:
        """Count the outcome of a request."""
        self.requests += 1
        self.outcomes[kind, result.outcome.value] += 1
        if result.outcome is ClientOutcome.NO_RESPONSE:
            self.unanswered.append(kind)


@attrs.define
class Worker:
    """One client that moves between proxies with its session token."""

    deployment: Deployment
    number: int
    ledger: Ledger
    organisation: str
    token: str = ""
    client: Client | None = None
    moves: int = 0

    def move_to_next_proxy(self) -> Client:
        """Close the connection and use the next proxy from now on."""
        if self.client is not None:
            self.client.abort()
        self.moves += 1
        self.client = self.deployment.create_client(
            self.number + self.moves, self.organisation
        )
        return self.client

    async def run(self, kind: str, statement: str) -> StatementResult:
        """Run a statement; use the next proxy afterwards if the connection failed."""
        client = self.client or self.move_to_next_proxy()
        result = await client.run(statement)
        self.ledger.record(kind, result)
        if client.connection is None:
            self.move_to_next_proxy()
        return result

    async def book(self, order: str) -> None:
        """Book an order; once acknowledged, read it back and post its receipt."""
        result = await self.run(
            "booking",
            f"INSERT INTO orders (id, organisation) "
            f"VALUES ('{order}', '{self.organisation}')",
        )
        if not result.ran:
            has_not_run = result.outcome in (
                ClientOutcome.NOT_RUN,
                ClientOutcome.NOT_CONNECTED,
                ClientOutcome.REJECTED,
            )
            if has_not_run:
                self.ledger.not_run[order] = result
            else:
                self.ledger.unknown.add(order)
            return
        self.ledger.acknowledged[order] = time.monotonic()
        self.ledger.acknowledgement_times_s.append(time.monotonic())
        await self.check_read(order, "same connection", "")
        client = self.client or self.move_to_next_proxy()
        token = await client.read_token()
        if token:
            self.move_to_next_proxy()
            await self.check_read(order, "moved", f"/*radishtrack session={token}*/ ")
        self.move_to_next_proxy()
        await self.check_read(order, "strict", "/*radishtrack class=strict*/ ")
        await self.post_receipt(order)

    async def check_read(self, order: str, kind: str, prefix: str) -> None:
        """Read the order back; a result without the order is a stale read."""
        result = await self.run(
            f"{kind} read", f"{prefix}SELECT id FROM orders WHERE id = '{order}'"
        )
        self.ledger.reads += 1
        if result.ran:
            self.ledger.read_times_s.append(time.monotonic())
            if result.rows != ((order,),):
                self.ledger.stale_reads.append(f"{kind} read of {order}: {result.rows}")

    async def post_receipt(self, order: str) -> None:
        """Post a receipt with a request ID until a repetition is acknowledged.

        A first request that was acknowledged is repeated too: it must not run again.
        There are at most `RECEIPT_ATTEMPTS` attempts.
        """
        self.ledger.attempted_receipts.add(order)
        for number in range(RECEIPT_ATTEMPTS):
            result = await self.run(
                "receipt",
                f"/*radishtrack request_id=receipt-{order}*/ "
                f"INSERT INTO receipts (order_id) VALUES ('{order}')",
            )
            if result.ran:
                self.ledger.receipts.add(order)
                if number:
                    return


async def book_until_stopped(worker: Worker, stop: asyncio.Event) -> None:
    """Book orders until `stop` is set."""
    for number in itertools.count(1):
        if stop.is_set():
            break
        await worker.book(f"{worker.organisation}-{worker.number}-{number}")
        await asyncio.sleep(BOOKING_PAUSE_S)
    if worker.client is not None:
        worker.client.abort()


def compute_longest_gap_s(times_s: list[float], start_s: float, end_s: float) -> float:
    """Return the longest time without an event between `start_s` and `end_s`."""
    inside = sorted(time_s for time_s in times_s if start_s < time_s < end_s)
    return max(b - a for a, b in itertools.pairwise([start_s, *inside, end_s]))


async def check_ledger(deployment: Deployment, ledger: Ledger) -> None:
    """Compare the reported outcomes with the rows at the recorded primary."""
    report = deployment.report
    rows = {str(row[0]) for row in await deployment.read_rows("orders")}
    receipts = Counter(str(row[1]) for row in await deployment.read_rows("receipts"))
    _check_bookings(report, ledger, rows)
    report.add_requests(10, sum(receipts.values()))
    for order, count in receipts.items():
        report.require(10, count == 1, f"receipt of {order} posted {count} times")
    for order in sorted(ledger.receipts - receipts.keys()):
        report.add_problem(2, f"acknowledged receipt of {order} is missing")
    for kind in ledger.unanswered:
        report.add_problem(8, f"{kind} had no response")


def _check_bookings(report: Report, ledger: Ledger, rows: set[str]) -> None:
    report.add_requests(1, ledger.reads)
    for text in ledger.stale_reads:
        report.add_problem(1, text)
    report.add_requests(2, len(ledger.acknowledged))
    for order in sorted(ledger.acknowledged.keys() - rows):
        report.add_problem(2, f"acknowledged booking {order} is missing")
    report.add_requests(8, ledger.requests)
    report.add_requests(9, ledger.requests)
    for order in sorted(ledger.not_run.keys() & rows):
        report.add_problem(
            9, f"{order} ran although reported as: {ledger.not_run[order]}"
        )
