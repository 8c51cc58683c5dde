"""Access to the deployment beside the load: rows, metrics, CPU time and faults."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import aiohttp
import attrs
from prometheus_client.parser import text_string_to_metric_families

from radishtrack.bench.client import (
    ConnectError,
    Login,
    open_connection,
    run_statement,
)
from radishtrack.bench.experiment import PREVIOUS, PRIMARY, Experiment, Fault, Targets
from radishtrack.bench.ledger import ClientOutcome
from radishtrack.bench.schedule import Operation

DUMP_TIMEOUT_S: Final = 30.0
DUMP_RETRY_INTERVAL_S: Final = 0.5
HTTP_TIMEOUT_S: Final = 5.0
STATUS_SQL: Final = (
    "SELECT member, term, fenced_term, role, position_term, position_sequence"
    " FROM performance_schema.database_group_status"
)


@attrs.define(frozen=True)
class FaultRecord:
    """An injected fault; `error` is empty if the target accepted it."""

    at_ms: float
    name: str
    error: str = ""


@attrs.define(frozen=True)
class ReadCounts:
    """Number of reads by the role of the member that served them."""

    replica: float = 0.0
    primary: float = 0.0

    @property
    def replica_share(self) -> float | None:
        """Share of reads that replicas served; None without reads."""
        total = self.replica + self.primary
        return self.replica / total if total > 0 else None

    def minus(self, earlier: ReadCounts) -> ReadCounts:
        """Return the reads since `earlier`."""
        return ReadCounts(
            self.replica - earlier.replica, self.primary - earlier.primary
        )


def make_tables_sql(experiment: Experiment) -> tuple[str, ...]:
    """Return the statements that create the tables of an experiment."""
    bookings, receipts = experiment.booking_table, experiment.receipt_table
    head = "id BIGINT AUTO_INCREMENT PRIMARY KEY, organisation VARCHAR(64)"
    return (
        f"CREATE TABLE IF NOT EXISTS {bookings} "
        f"({head}, marker VARCHAR(64), state VARCHAR(16))",
        f"CREATE TABLE IF NOT EXISTS {receipts} "
        f"({head}, marker VARCHAR(64), amount BIGINT)",
        f"CREATE INDEX {bookings}_marker ON {bookings} (marker)",
    )


async def find_primary(targets: Targets) -> Login | None:
    """Return the login of the primary of the highest term among the members.

    A member that accepts the login but returns no status counts as a primary of
    term 0, so it is used only if no member reports that role.
    """
    primaries: list[tuple[int, Login]] = []
    for address in targets.dump:
        login = Login(
            address, targets.dump_user, targets.dump_password, targets.dump_database
        )
        term = await _read_primary_term(login)
        if term is not None:
            primaries.append((term, login))
    return max(primaries, key=lambda pair: pair[0])[1] if primaries else None


async def _read_primary_term(login: Login) -> int | None:
    try:
        connection = await open_connection(login, HTTP_TIMEOUT_S)
    except ConnectError:
        return None
    result = await run_statement(connection, STATUS_SQL, HTTP_TIMEOUT_S)
    connection.close()
    if result.client_outcome is not ClientOutcome.OK or not result.rows:
        return 0
    _, term, fenced_term, role, *_ = result.rows[0]
    is_primary = role == "primary" and int(term) == int(fenced_term)
    return int(term) if is_primary else None


async def run_on_primary(targets: Targets, statements: tuple[str, ...]) -> None:
    """Run statements directly on the primary, ignoring database errors.

    Raises
    ------
    ConnectError
        If no member reports that it is the primary.
    """
    login = await find_primary(targets)
    if login is None:
        raise ConnectError(ClientOutcome.NOT_CONNECTED)
    connection = await open_connection(login, HTTP_TIMEOUT_S)
    for sql in statements:
        await run_statement(connection, sql, HTTP_TIMEOUT_S)
    connection.close()


async def dump_markers(
    experiment: Experiment, targets: Targets, run: str
) -> dict[Operation, list[str]] | None:
    """Return the markers of a run's rows on the primary.

    Returns
    -------
    dict or None
        None if no primary responded in time, or the targets list no members.
    """
    if not targets.dump:
        return None
    loop = asyncio.get_running_loop()
    deadline = loop.time() + DUMP_TIMEOUT_S
    while loop.time() < deadline:
        login = await find_primary(targets)
        rows = None if login is None else await _read_markers(experiment, login, run)
        if rows is not None:
            return rows
        await asyncio.sleep(DUMP_RETRY_INTERVAL_S)
    return None


async def _read_markers(
    experiment: Experiment, login: Login, run: str
) -> dict[Operation, list[str]] | None:
    try:
        connection = await open_connection(login, HTTP_TIMEOUT_S)
    except ConnectError:
        return None
    tables = (
        (Operation.BOOKING, experiment.booking_table),
        (Operation.RECEIPT, experiment.receipt_table),
    )
    rows: dict[Operation, list[str]] = {}
    for operation, table in tables:
        sql = f"SELECT marker FROM {table} WHERE marker LIKE '{run}-%'"
        result = await run_statement(connection, sql, DUMP_TIMEOUT_S)
        if result.client_outcome is not ClientOutcome.OK:
            connection.close()
            return None
        rows[operation] = [str(row[0]) for row in result.rows]
    connection.close()
    return rows


async def fetch_read_counts(targets: Targets) -> ReadCounts | None:
    """Sum the reads of all proxies; None if the targets list no metrics."""
    if not targets.metrics:
        return None
    totals = {"replica": 0.0, "primary": 0.0}
    timeout = aiohttp.ClientTimeout(total=HTTP_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        for url in targets.metrics:
            try:
                async with http.get(url) as response:
                    text = await response.text()
            except (aiohttp.ClientError, TimeoutError):
                continue
            for role, value in _iterate_reads(text, targets):
                totals[role] += value
    return ReadCounts(totals["replica"], totals["primary"])


def _iterate_reads(text: str, targets: Targets) -> Iterator[tuple[str, float]]:
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            role = sample.labels.get(targets.reads_label)
            if sample.name == targets.reads_metric and role in ("replica", "primary"):
                yield role, sample.value


def read_cpu_s(pids: tuple[int, ...]) -> float:
    """Return the total CPU time of processes in seconds; ended ones count as 0."""
    ticks = 0
    for pid in pids:
        try:
            text = Path(f"/proc/{pid}/stat").read_text()
        except OSError:
            continue
        # The name in parentheses may contain spaces; user and system time are the
        # 12th and 13th fields after it.
        fields = text.rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


async def inject_faults(
    experiment: Experiment, targets: Targets, started_s: float
) -> list[FaultRecord]:
    """Inject the faults of the experiment at their times."""
    loop = asyncio.get_running_loop()
    records = []
    primary = ""
    for fault in sorted(experiment.faults, key=lambda fault: fault.at_s):
        await asyncio.sleep(max(0.0, started_s + fault.at_s - loop.time()))
        if fault.target == PRIMARY:
            primary = await find_primary_name(targets)
        name = primary if fault.target in (PRIMARY, PREVIOUS) else fault.target
        error = await _inject_fault(fault, name, targets)
        text = f"{fault.signal or fault.body} {fault.target} {name}"
        records.append(FaultRecord((loop.time() - started_s) * 1000, text, error))
    return records


async def find_primary_name(targets: Targets) -> str:
    """Return the name of the primary; empty if no member reports that role."""
    login = await find_primary(targets)
    if login is None:
        return ""
    return targets.dump_names[targets.dump.index(login.address)]


async def _inject_fault(fault: Fault, name: str, targets: Targets) -> str:
    try:
        if fault.signal:
            os.kill(targets.pids[name], signal.Signals[fault.signal])
            return ""
        timeout = aiohttp.ClientTimeout(total=HTTP_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            url = targets.controls[name]
            async with http.post(url, json=fault.body) as response:
                return "" if response.status < 300 else f"HTTP {response.status}"
    except (OSError, aiohttp.ClientError, KeyError) as error:
        return f"{type(error).__name__}: {error}"
