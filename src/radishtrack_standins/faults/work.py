"""Work of counter staff and workshop: booking, reading back, posting receipts."""

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

PAUSE_S: Final = 0.03
RECEIPT_TRIES: Final = 4


@attrs.define
class Ledger:
    """What the clients were told; judged against the members' rows."""

    acknowledged: dict[str, float] = attrs.field(factory=dict)
    """Bookings and the times in seconds of their acknowledgement."""
    not_run: dict[str, StatementResult] = attrs.field(factory=dict)
    unknown: set[str] = attrs.field(factory=set)
    receipts: set[str] = attrs.field(factory=set)
    tried_receipts: set[str] = attrs.field(factory=set)
    stale: list[str] = attrs.field(factory=list)
    reads: int = 0
    requests: int = 0
    silent: list[str] = attrs.field(factory=list)
    outcomes: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    successes: list[float] = attrs.field(factory=list)
    read_times: list[float] = attrs.field(factory=list)

    def record(self, kind: str, result: StatementResult) -> None:
        """Count an answer."""
        self.requests += 1
        self.outcomes[kind, result.outcome.value] += 1
        if result.outcome is ClientOutcome.NO_RESPONSE:
            self.silent.append(kind)


@attrs.define
class Worker:
    """One employee who works through changing proxies with a session token."""

    deployment: Deployment
    number: int
    ledger: Ledger
    organisation: str
    token: str = ""
    client: Client | None = None
    moves: int = 0

    def move(self) -> Client:
        """Connect to the next proxy."""
        if self.client is not None:
            self.client.drop()
        self.moves += 1
        self.client = self.deployment.create_client(
            self.number + self.moves, self.organisation
        )
        return self.client

    async def run(self, kind: str, statement: str) -> StatementResult:
        """Run a statement; move to the other proxy if the connection failed."""
        client = self.client or self.move()
        result = await client.run(statement)
        self.ledger.record(kind, result)
        if client.connection is None:
            self.move()
        return result

    async def book(self, order: str) -> None:
        """Book an order, read it back, post its receipt."""
        result = await self.run(
            "booking",
            f"INSERT INTO orders (id, organisation) "
            f"VALUES ('{order}', '{self.organisation}')",
        )
        if not result.ran:
            known = result.outcome in (
                ClientOutcome.NOT_RUN,
                ClientOutcome.NOT_CONNECTED,
                ClientOutcome.REJECTED,
            )
            if known:
                self.ledger.not_run[order] = result
            else:
                self.ledger.unknown.add(order)
            return
        self.ledger.acknowledged[order] = time.monotonic()
        self.ledger.successes.append(time.monotonic())
        await self.check_read(order, "same connection", "")
        client = self.client or self.move()
        token = await client.read_token()
        if token:
            self.move()
            await self.check_read(order, "moved", f"/*radishtrack session={token}*/ ")
        self.move()
        await self.check_read(order, "strict", "/*radishtrack class=strict*/ ")
        await self.post_receipt(order)

    async def check_read(self, order: str, kind: str, prefix: str) -> None:
        """Read the order back; without it the read was stale."""
        result = await self.run(
            f"{kind} read", f"{prefix}SELECT id FROM orders WHERE id = '{order}'"
        )
        self.ledger.reads += 1
        if result.ran:
            self.ledger.read_times.append(time.monotonic())
            if result.rows != ((order,),):
                self.ledger.stale.append(f"{kind} read of {order}: {result.rows}")

    async def post_receipt(self, order: str) -> None:
        """Post a receipt under a request ID, and repeat it while not acknowledged."""
        self.ledger.tried_receipts.add(order)
        for number in range(RECEIPT_TRIES):
            result = await self.run(
                "receipt",
                f"/*radishtrack request_id=receipt-{order}*/ "
                f"INSERT INTO receipts (order_id) VALUES ('{order}')",
            )
            if result.ran:
                self.ledger.receipts.add(order)
                if number:
                    return


async def work(worker: Worker, stop: asyncio.Event) -> None:
    """Book orders until told to stop."""
    for number in itertools.count(1):
        if stop.is_set():
            break
        await worker.book(f"{worker.organisation}-{worker.number}-{number}")
        await asyncio.sleep(PAUSE_S)
    if worker.client is not None:
        worker.client.drop()


def compute_longest_gap_s(moments: list[float], start: float, end: float) -> float:
    """Return the longest time without a success between two moments, in seconds."""
    inside = sorted(moment for moment in moments if start < moment < end)
    return max(b - a for a, b in itertools.pairwise([start, *inside, end]))


async def judge(deployment: Deployment, ledger: Ledger) -> None:
    """Compare the ledger with the rows of the recorded primary."""
    report = deployment.report
    rows = {str(row[0]) for row in await deployment.read_rows("orders")}
    receipts = Counter(str(row[1]) for row in await deployment.read_rows("receipts"))
    _judge_bookings(report, ledger, rows)
    report.add_requests(10, sum(receipts.values()))
    for order, count in receipts.items():
        report.require(10, count == 1, f"receipt of {order} posted {count} times")
    for order in sorted(ledger.receipts - receipts.keys()):
        report.add_problem(2, f"acknowledged receipt of {order} is missing")
    for kind in ledger.silent:
        report.add_problem(8, f"{kind} was never answered")


def _judge_bookings(report: Report, ledger: Ledger, rows: set[str]) -> None:
    report.add_requests(1, ledger.reads)
    for text in ledger.stale:
        report.add_problem(1, text)
    report.add_requests(2, len(ledger.acknowledged))
    for order in sorted(ledger.acknowledged.keys() - rows):
        report.add_problem(2, f"acknowledged booking {order} is missing")
    report.add_requests(8, ledger.requests)
    report.add_requests(9, ledger.requests)
    for order in sorted(ledger.not_run.keys() & rows):
        report.add_problem(9, f"{order} ran although told: {ledger.not_run[order]}")
