"""Demonstration: clients of two organisations use two proxies during a failover.

The primary is killed during the run. The exit status is 0 only if the ledger of the
clients agrees with the rows of the database.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections import Counter
from typing import Any, Final

import aiomysql
import attrs
from pymysql.err import MySQLError

from radishtrack_standins.cluster import Cluster, ClusterPlan, start_cluster

RUN_S: Final = 12.0
KILL_AT_S: Final = 4.0
REFUSED_CODES: Final = (9001, 9003, 9006)
UNKNOWN_CODE: Final = 9002
FAILOVER_LIMIT_MS: Final = 7000.0


@attrs.define
class Ledger:
    """Client outcomes of all requests."""

    acknowledged: set[str] = attrs.field(factory=set)
    unknown: set[str] = attrs.field(factory=set)
    not_run: set[str] = attrs.field(factory=set)
    receipts: dict[str, int] = attrs.field(factory=dict)
    outcomes: Counter[tuple[str, str, str]] = attrs.field(factory=Counter)
    messages: Counter[str] = attrs.field(factory=Counter)
    stale: list[str] = attrs.field(factory=list)
    success_times: list[float] = attrs.field(factory=list)


@attrs.define
class Client:
    """A client with an ordinary driver; reconnects to the other proxy on errors."""

    cluster: Cluster
    organisation: str
    number: int
    ledger: Ledger
    connection: Any = None
    token: str = ""
    attempts: int = 0

    async def connect(self) -> Any:
        """Return the open connection, or connect to the next proxy."""
        if self.connection is None:
            proxies = self.cluster.proxies
            proxy = proxies[(self.number + self.attempts) % len(proxies)]
            self.attempts += 1
            self.connection = await aiomysql.connect(
                host="127.0.0.1",
                port=proxy.client_port,
                user=self.organisation,
                password=self.cluster.keys[self.organisation],
                db=self.cluster.plan.database,
                autocommit=True,
            )
        return self.connection

    async def run(self, kind: str, statement: str) -> tuple[str, tuple[Any, ...]]:
        """Run a statement; return its outcome and rows."""
        try:
            connection = await self.connect()
            async with connection.cursor() as cursor:
                await cursor.execute(statement)
                rows = tuple(await cursor.fetchall()) if cursor.description else ()
        except (MySQLError, OSError, EOFError) as error:
            code = error.args[0] if error.args else 0
            outcome = "refused" if code in REFUSED_CODES else "error"
            outcome = "unknown" if code == UNKNOWN_CODE else outcome
            if outcome == "error":
                self.disconnect()
            self.ledger.outcomes[self.organisation, kind, f"{outcome} {code}"] += 1
            self.ledger.messages[str(error.args[-1])] += 1
            return outcome, ()
        self.ledger.outcomes[self.organisation, kind, "ok"] += 1
        return "ok", rows

    def disconnect(self) -> None:
        """Close the connection; the next statement connects to the other proxy."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def close_with_token(self) -> None:
        """Request the session token, then disconnect to move to the other proxy."""
        outcome, rows = await self.run("session token", "SHOW RADISHTRACK SESSION")
        if outcome == "ok":
            self.token = rows[0][0]
        self.disconnect()


async def book_order(client: Client, number: int) -> None:
    """Insert an order, read it through the other proxy and insert its receipt."""
    ledger = client.ledger
    order = f"{client.organisation}-{client.number}-{number}"
    outcome, _ = await client.run(
        "booking",
        f"INSERT INTO orders (id, organisation) "
        f"VALUES ('{order}', '{client.organisation}')",
    )
    if outcome == "ok":
        ledger.acknowledged.add(order)
        ledger.success_times.append(time.monotonic())
    elif outcome == "refused":
        ledger.not_run.add(order)
        return
    else:
        ledger.unknown.add(order)
        return
    await client.close_with_token()
    read = f"/*radishtrack session={client.token}*/ SELECT id FROM orders "
    for kind, statement in (
        ("session read", f"{read}WHERE id = '{order}'"),
        (
            "status read",
            f"/*radishtrack class=strict*/ SELECT id FROM orders WHERE id = '{order}'",
        ),
    ):
        outcome, rows = await client.run(kind, statement)
        if outcome == "ok" and len(rows) != 1:
            ledger.stale.append(f"{kind} of {order}")
    await client.run(
        "aged read",
        "/*radishtrack class=aged max_age_ms=3000*/ SELECT COUNT(*) FROM orders",
    )
    receipt = (
        f"/*radishtrack request_id=receipt-{order}*/ "
        f"INSERT INTO receipts (order_id) VALUES ('{order}')"
    )
    for _ in range(2):  # A repeated request must not run again.
        outcome, _ = await client.run("receipt", receipt)
        if outcome == "ok":
            ledger.receipts[order] = 1


async def book_until(client: Client, end: float) -> None:
    """Insert orders until `end` on the monotonic clock."""
    number = 0
    while time.monotonic() < end:
        number += 1
        await book_order(client, number)
        await asyncio.sleep(0.03)
    client.disconnect()


async def run_demo(cluster: Cluster) -> bool:
    """Run the clients, kill the primary, and return whether the ledger agrees."""
    ledger = Ledger()
    names = [name for name, _, _ in cluster.plan.organisations]
    owner = Client(cluster, names[0], 0, ledger)
    for statement in (
        "CREATE TABLE orders (id VARCHAR(64) PRIMARY KEY, organisation VARCHAR(64))",
        "CREATE TABLE receipts (id INTEGER PRIMARY KEY AUTO_INCREMENT, "
        "order_id VARCHAR(64))",
    ):
        outcome, _ = await owner.run("definition", statement)
        if outcome != "ok":
            print(f"creating the tables failed: {outcome}")
            return False
    owner.disconnect()
    start = time.monotonic()
    clients = [
        Client(cluster, name, number, ledger) for name in names for number in range(4)
    ]
    tasks = [
        asyncio.create_task(book_until(client, start + RUN_S)) for client in clients
    ]
    await asyncio.sleep(KILL_AT_S)
    killed = cluster.primary()
    killed_at = time.monotonic()
    await asyncio.to_thread(cluster.members[killed].kill)
    await asyncio.gather(*tasks)
    return judge(cluster, ledger, killed, killed_at)


def judge(cluster: Cluster, ledger: Ledger, killed: str, killed_at: float) -> bool:
    """Compare the ledger with the rows of the new primary and print the result."""
    record = cluster.get_record()
    rows = {str(row[0]) for row in cluster.read_rows(record["primary"], "orders")}
    receipt_counts = Counter(
        str(row[1]) for row in cluster.read_rows(record["primary"], "receipts")
    )
    findings = {
        "acknowledged but missing": ledger.acknowledged - rows,
        "refused as not run but present": ledger.not_run & rows,
        "acknowledged receipt missing": ledger.receipts.keys() - receipt_counts.keys(),
        "receipt posted twice": {
            name for name, count in receipt_counts.items() if count > 1
        },
        "stale reads": set(ledger.stale),
    }
    gap_ms = compute_gap_ms(ledger.success_times, killed_at)
    print(f"{'organisation':16} {'request':14} {'outcome':12} {'count':>6}")
    for (organisation, kind, outcome), count in sorted(ledger.outcomes.items()):
        print(f"{organisation:16} {kind:14} {outcome:12} {count:6}")
    print(
        f"\nprimary {killed} killed; now {record['primary']} in term {record['term']}"
    )
    print(f"gap between acknowledged bookings: {gap_ms:.0f} ms")
    print(f"bookings acknowledged {len(ledger.acknowledged)}, rows {len(rows)}, ")
    for name, entries in findings.items():
        print(f"{name}: {len(entries)} {sorted(entries)[:3] if entries else ''}")
    for text, count in ledger.messages.most_common(3):
        print(f"{count} responses: {text}")
    ok = not any(findings.values()) and gap_ms < FAILOVER_LIMIT_MS
    ok = ok and record["primary"] != killed and len(ledger.acknowledged) > 100
    print("ledger and rows agree" if ok else "FAILED")
    return ok


def compute_gap_ms(success_times: list[float], since: float) -> float:
    """Return the longest time between successes from `since` on, in milliseconds."""
    times_s = [since, *sorted(time_s for time_s in success_times if time_s > since)]
    if len(times_s) == 1:
        return float("inf")
    return 1000 * max(later - earlier for earlier, later in itertools.pairwise(times_s))


def main() -> int:
    """Run the demonstration and return the exit status."""
    cluster = start_cluster(ClusterPlan())
    try:
        return 0 if asyncio.run(run_demo(cluster)) else 1
    finally:
        cluster.close()


if __name__ == "__main__":
    sys.exit(main())
