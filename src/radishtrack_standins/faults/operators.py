"""Changes of the configuration: concurrent applies, leaving members, restarts."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from radishtrack_standins.cluster import make_configuration
from radishtrack_standins.faults.client import OVER_RATE_CODE, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

IN_FORCE_LIMIT_S: Final = 4.0
"""Longest allowed time until an applied revision is in force at all proxies."""
LEAVING_LIMIT_S: Final = 4.0
"""Time after which a leaving member must get no more statements."""
OBSERVATION_S: Final = 3.0
CONFLICT_EXIT_CODE: Final = 3
POLL_INTERVAL_S: Final = 0.05
CHECK_COUNT: Final = 20
GUEST_ORGANISATIONS: Final = ("left", "right")
"""Organisations that get access later; each has a table of the same name."""
OUTAGE_START_LIMIT_S: Final = 20.0


def _write_configuration(deployment: Deployment, name: str, text: str) -> Path:
    path = deployment.cluster.directory / f"{name}.toml"
    path.write_text(text)
    return path


def _format_configuration(deployment: Deployment) -> str:
    return make_configuration(deployment.cluster, deployment.cluster.plan.organisations)


def _format_guest_access(deployment: Deployment, *names: str) -> str:
    """Return a configuration that gives only these guests access to the database.

    They have the owner of the database; the other guests have another owner.
    """
    plan = deployment.cluster.plan
    guests = tuple((name, 400.0, 400) for name in GUEST_ORGANISATIONS)
    text = make_configuration(deployment.cluster, (*plan.organisations, *guests))
    for name in set(GUEST_ORGANISATIONS) - set(names):
        head = f'name = "{name}"\nowner = '
        text = text.replace(f'{head}"fjellsko"', f'{head}"guest"')
    return text + '\n[[owner]]\nname = "guest"\n'


def _format_guest_change(deployment: Deployment, table: str, turn: int) -> str:
    """Return a configuration with access for one guest and a new burst each turn."""
    return _format_guest_access(deployment, table).replace(
        "burst = 400", f"burst = {401 + turn}"
    )


async def _apply(deployment: Deployment, name: str, text: str, revision: int) -> Any:
    path = _write_configuration(deployment, name, text)
    return await deployment.run_cli(
        "config", "apply", str(path), "--revision", str(revision)
    )


async def _has_access(deployment: Deployment, number: int, table: str) -> bool:
    client = deployment.create_client(number, table)
    client.has_rate_retries = False
    result = await client.run(f"SELECT COUNT(*) FROM {table}")
    client.abort()
    return _is_in_force(result)


def _is_in_force(result: StatementResult) -> bool:
    # Over the rate counts as access: the entry checks access before the holder checks
    # the rate.
    return result.ran or result.code == OVER_RATE_CODE


async def _wait_for_access(
    deployment: Deployment, number: int, table: str, limit_s: float
) -> float:
    """Return the seconds until a guest has access; infinity after `limit_s`."""
    start_s = time.monotonic()
    while time.monotonic() - start_s < limit_s:
        if await _has_access(deployment, number, table):
            return time.monotonic() - start_s
        await asyncio.sleep(POLL_INTERVAL_S)
    return float("inf")


async def _create_guests(deployment: Deployment, *tables: str) -> None:
    """Add the guests without access; create their tables and issue their keys."""
    completed = await _apply(deployment, "guests", _format_guest_access(deployment), 1)
    if completed.returncode:
        raise RuntimeError(f"config apply failed: {completed.stderr}")
    client = deployment.create_client(0)
    for table in tables:
        result = await client.run(f"CREATE TABLE {table} (id INTEGER PRIMARY KEY)")
        if not result.ran:
            raise RuntimeError(f"CREATE TABLE failed: {result}")
        await asyncio.to_thread(deployment.cluster.issue_key, table)
    client.abort()


async def apply_concurrently(deployment: Deployment) -> None:
    """Let two operators apply different changes to the same revision concurrently."""
    await _create_guests(deployment, "left", "right")
    report, revision, requests = deployment.report, 2, 0
    for turn in range(3):
        completed = await asyncio.gather(
            _apply(
                deployment,
                f"l{turn}",
                _format_guest_change(deployment, "left", turn),
                revision,
            ),
            _apply(
                deployment,
                f"r{turn}",
                _format_guest_change(deployment, "right", turn),
                revision,
            ),
        )
        codes = [each.returncode for each in completed]
        requests += 2
        report.require(
            13,
            sorted(codes) == [0, CONFLICT_EXIT_CODE],
            f"exit codes {codes}: {completed[0].stderr[-150:]} "
            f"{completed[1].stderr[-150:]}",
        )
        if 0 not in codes:
            return
        revision += 1
        winner, loser = ("left", "right") if codes[0] == 0 else ("right", "left")
        times = await asyncio.gather(
            *(
                _wait_for_access(deployment, n, winner, 3 * IN_FORCE_LIMIT_S)
                for n in range(2)
            )
        )
        report.add_figure(13, "time until in force", max(times), "s", IN_FORCE_LIMIT_S)
        for number in range(2):
            has_loser_access = await _has_access(deployment, number, loser)
            report.require(
                13,
                not has_loser_access,
                f"the rejected change is in force at proxies[{number}]",
            )
    report.add_requests(13, requests + 2 * requests)


async def lose_apply_response(deployment: Deployment) -> None:
    """Lose the response to an apply, then repeat it with the same apply ID."""
    await _create_guests(deployment, "left")
    report = deployment.report
    await deployment.control_platform(lose_answers_count=4)
    path = str(
        _write_configuration(
            deployment, "lost", _format_guest_access(deployment, "left")
        )
    )
    arguments = ("config", "apply", path, "--revision", "2", "--apply-id", "attempt-1")
    first = await deployment.run_cli(*arguments)
    again = await deployment.run_cli(*arguments)
    report.require(
        13,
        again.returncode == 0,
        f"exit codes {first.returncode}, {again.returncode}: {again}",
    )
    times = await asyncio.gather(
        *(
            _wait_for_access(deployment, n, "left", 3 * IN_FORCE_LIMIT_S)
            for n in range(2)
        )
    )
    report.add_figure(13, "time until in force", max(times), "s", IN_FORCE_LIMIT_S)
    report.add_requests(13, 4)


async def restart_in_outage(deployment: Deployment) -> None:
    """Restart a proxy while the platform is down; it must serve the latest revision."""
    await _create_guests(deployment, "left", "right")
    report = deployment.report
    for revision, tables in enumerate((("left",), ("left", "right")), 2):
        completed = await _apply(
            deployment,
            f"c{revision}",
            _format_guest_access(deployment, *tables),
            revision,
        )
        report.require(
            13,
            completed.returncode == 0,
            f"config apply failed: {completed.stderr[-200:]}",
        )
    await asyncio.gather(
        *(
            _wait_for_access(deployment, n, "right", 3 * IN_FORCE_LIMIT_S)
            for n in range(2)
        )
    )
    await deployment.control_platform(outage="silent")
    proxy = deployment.cluster.proxies[1]
    await asyncio.to_thread(proxy.kill)
    proxy.start()
    elapsed_s = await _wait_for_access(deployment, 1, "right", OUTAGE_START_LIMIT_S)
    report.require(
        13, elapsed_s < OUTAGE_START_LIMIT_S, "restarted proxy does not serve"
    )
    report.add_figure(13, "restart in an outage until in force", elapsed_s, "s")
    await _check_access_kept(deployment, 0, "right")
    await deployment.control_platform(outage="")
    await asyncio.sleep(1.0)
    for number in range(2):
        await _check_access_kept(deployment, number, "right")
    report.add_requests(13, 3 * CHECK_COUNT)


async def _check_access_kept(deployment: Deployment, number: int, table: str) -> None:
    client = deployment.create_client(number, table)
    client.has_rate_retries = False
    for _ in range(CHECK_COUNT):
        result = await client.run(f"SELECT COUNT(*) FROM {table}")
        if not _is_in_force(result):
            deployment.report.add_problem(
                13, f"p{number + 1} does not serve the revision in force: {result}"
            )
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    client.abort()


async def mark_replica_as_leaving(deployment: Deployment) -> None:
    """Mark a replica as leaving while clients read and write."""
    await _check_leaving(deployment, "m2", _configure_leaving)


async def mark_primary_as_leaving(deployment: Deployment) -> None:
    """Mark the primary as leaving while clients read and write."""
    await _check_leaving(
        deployment, await deployment.read_primary(), _configure_leaving
    )


async def announce_leaving_primary(deployment: Deployment) -> None:
    """Announce the leaving primary on the platform, as the database's operator does."""
    await _check_leaving(deployment, await deployment.read_primary(), _announce_leaving)


async def _configure_leaving(deployment: Deployment, member: str) -> None:
    name = f'name = "{member}"\n'
    text = _format_configuration(deployment).replace(name, f"{name}leaving = true\n")
    completed = await _apply(deployment, "leaving", text, 1)
    error_text = completed.stderr[-200:]
    deployment.report.require(
        11, completed.returncode == 0, f"config apply failed: {error_text}"
    )


async def _announce_leaving(deployment: Deployment, member: str) -> None:
    await asyncio.to_thread(
        deployment.cluster.call_platform,
        "PUT",
        f"/objects/members/{deployment.cluster.plan.database}",
        {"value": {"leaving": [member]}, "expected_version": 0},
    )


async def _check_leaving(
    deployment: Deployment,
    member: str,
    mark_as_leaving: Callable[[Deployment, str], Awaitable[None]],
) -> None:
    await deployment.create_tables()
    report, stop, counts = deployment.report, asyncio.Event(), [0, 0]
    failures: Counter[str] = Counter()

    async def send_requests(number: int) -> None:
        client, turn = deployment.create_client(number), 0
        while not stop.is_set():
            turn += 1
            if turn % 3:
                result = await client.run(
                    "/*radishtrack class=session*/ SELECT COUNT(*) FROM orders"
                )
            else:
                result = await client.run(
                    f"INSERT INTO orders VALUES ('{number}-{turn}', 'x')"
                )
            counts[not result.ran] += 1
            if not result.ran:
                failures[str(result)] += 1
            await asyncio.sleep(0.02)
        client.abort()

    tasks = [asyncio.create_task(send_requests(number)) for number in range(8)]
    await asyncio.sleep(1.0)
    await mark_as_leaving(deployment, member)
    await asyncio.sleep(LEAVING_LIMIT_S)
    earlier_count = await _count_statements(deployment, member)
    await asyncio.sleep(OBSERVATION_S)
    late_count = await _count_statements(deployment, member) - earlier_count
    stop.set()
    await asyncio.gather(*tasks)
    report.require(
        11, late_count == 0, f"{member}: {late_count} statements after the limit"
    )
    report.require(
        11,
        not counts[1],
        f"{counts[1]} of {sum(counts)} requests failed: {failures.most_common(1)}",
    )
    report.add_figure(11, f"statements after {LEAVING_LIMIT_S:g} s", late_count, "", 0)
    report.add_requests(11, sum(counts))


async def _count_statements(deployment: Deployment, member: str) -> int:
    response = await deployment.query_member(member, "/statements?contains=orders")
    return sum(each["port"] == "main" for each in response["statements"])
