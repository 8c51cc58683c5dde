"""Shared tools of the capacity programs: output, CPU time, memory, relay and fleet."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import statistics
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Final

import attrs

from radishtrack.config.document import Document, make_document
from radishtrack.config.model import (
    Database,
    Member,
    Organisation,
    Owner,
    ReadClass,
    Route,
    Service,
)
from radishtrack.membership.nodes import Node

NODES: Final = 590
DATABASES: Final = 710
ORGANISATIONS: Final = 1_000
"""Assumed; the requirements state no number of organisations at the target scale."""

SLOTS: Final = 3
CONNECTIONS: Final = 30
REGIONS: Final = {
    "norge-ost": ("oslo-a", "oslo-b", "hamar-c"),
    "ee-harju": ("harju-a", "harju-b"),
}
OWNERS: Final = ("fjellsko", "kalmistu")
MICROSECONDS_PER_SECOND: Final = 1_000_000
CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")


@attrs.define(frozen=True)
class Spread:
    """Median and range of repeated measurements."""

    median: float
    low: float
    high: float


def summarise(values: Sequence[float]) -> Spread:
    """Return the median and the range of `values`."""
    return Spread(statistics.median(values), min(values), max(values))


def emit(measure: str, **fields: object) -> None:
    """Print one result as a JSON line; floats keep four significant digits."""
    rounded = {name: _round_value(value) for name, value in fields.items()}
    print(json.dumps({"measure": measure, **rounded}), flush=True)


def emit_fit(measure: str, points: Iterable[tuple[float, float]]) -> None:
    """Print the least-squares line through `points` as intercept, slope and r2."""
    pairs = tuple(points)
    xs, ys = [x for x, _ in pairs], [y for _, y in pairs]
    slope, intercept = statistics.linear_regression(xs, ys)
    mean = statistics.fmean(ys)
    total_squares = sum((y - mean) ** 2 for y in ys)
    residual_squares = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    r2 = 1.0 - residual_squares / total_squares if total_squares else 1.0
    emit(f"fit {measure}", sizes=xs, intercept=intercept, slope=slope, r2=r2)


def measure_cpu_us(work: Callable[[], object], *, repeats: int = 5) -> Spread:
    """Return the CPU time of one call of `work` in microseconds."""
    samples = []
    for _ in range(repeats):
        begin = time.process_time_ns()
        work()
        samples.append((time.process_time_ns() - begin) / 1000)
    return summarise(samples)


def read_cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_bytes(pid: int | None = None) -> int:
    """Return the resident memory in bytes of a process, by default of this one."""
    fields = Path(f"/proc/{pid or os.getpid()}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


@attrs.define
class CountingRelay:
    """A TCP relay on loopback that counts payload bytes and connections."""

    port: int
    target_port: int
    sent: int = 0
    received: int = 0
    connections: int = 0
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    server: asyncio.Server | None = None

    @property
    def total(self) -> int:
        """Payload bytes in both directions."""
        return self.sent + self.received

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection."""
        self.connections += 1
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        for source, sink, is_request in (
            (reader, target_writer, True),
            (target_reader, writer, False),
        ):
            task = asyncio.create_task(self._forward(source, sink, is_request))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_request: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                if is_request:
                    self.sent += len(data)
                else:
                    self.received += len(data)
                sink.write(data)
                await sink.drain()
        sink.close()


async def start_relay(target_port: int) -> CountingRelay:
    """Start a relay to a port on loopback."""
    relay = CountingRelay(0, target_port)
    relay.server = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
    relay.port = relay.server.sockets[0].getsockname()[1]
    return relay


def make_nodes(count: int) -> tuple[Node, ...]:
    """Return nodes spread evenly over the zones of both regions."""
    zones = [(region, zone) for region, named in REGIONS.items() for zone in named]
    return tuple(
        Node(
            f"node-{number:04}",
            zones[number % len(zones)][1],
            zones[number % len(zones)][0],
            f"10.1.{number // 250}.{number % 250}:7000",
        )
        for number in range(count)
    )


def make_fleet_document(
    databases: int, organisations: int, *, rate: float = 1500.0
) -> Document:
    """Return a configuration with one service of two routes for each database."""
    regions = tuple(REGIONS)
    return make_document(
        (Owner(name) for name in OWNERS),
        (
            Organisation(
                f"organisation-{number:04}",
                OWNERS[number % 2],
                rate if number else rate + 1,
                1500,
            )
            for number in range(organisations)
        ),
        (
            _make_database(number, regions[number % len(regions)])
            for number in range(databases)
        ),
        (_make_service(number) for number in range(databases)),
    )


def _make_database(number: int, region: str) -> Database:
    name = f"database-{number:04}"
    zones = REGIONS[region]
    members = tuple(
        Member(
            f"{name}-{index}",
            f"10.2.{number % 250}.{index}",
            3306,
            33062,
            zones[index % len(zones)],
        )
        for index in range(3)
    )
    return Database(name, OWNERS[number % 2], region, SLOTS, CONNECTIONS, members)


def _make_service(number: int) -> Service:
    name, database = f"service-{number:04}", f"database-{number:04}"
    routes = (
        Route(name, "orders", database, ("orders", "receipts", "jobs")),
        Route(
            name,
            "history",
            database,
            ("history",),
            ReadClass.AGED,
            5000,
            True,
            ("select",),
        ),
    )
    return Service(name, database, (), routes)


def _round_value(value: object) -> object:
    if isinstance(value, Spread):
        return {name: _round_value(part) for name, part in attrs.asdict(value).items()}
    if isinstance(value, float):
        return float(f"{value:.4g}")
    return value
