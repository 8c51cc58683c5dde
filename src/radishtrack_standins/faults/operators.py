"""Changes of the configuration: racing operators, leaving members, restarts."""

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

FORCE_LIMIT_S: Final = 4.0
LEAVING_LIMIT_S: Final = 4.0
OBSERVE_S: Final = 3.0
CONFLICT_EXIT_CODE: Final = 3
POLL_S: Final = 0.05
CHECKS: Final = 20
GUESTS: Final = ("left", "right")
OUTAGE_START_LIMIT_S: Final = 20.0


def _write(deployment: Deployment, name: str, text: str) -> Path:
    path = deployment.cluster.directory / f"{name}.toml"
    path.write_text(text)
    return path


def _text(deployment: Deployment) -> str:
    return make_configuration(deployment.cluster, deployment.cluster.plan.organisations)


def _add_organisations(deployment: Deployment, *names: str) -> str:
    """Return a configuration in which these guests get the owner of the database."""
    plan = deployment.cluster.plan
    guests = tuple((name, 400.0, 400) for name in GUESTS)
    text = make_configuration(deployment.cluster, (*plan.organisations, *guests))
    for name in set(GUESTS) - set(names):
        head = f'name = "{name}"\nowner = '
        text = text.replace(f'{head}"fjellsko"', f'{head}"guest"')
    return text + '\n[[owner]]\nname = "guest"\n'


def _change(deployment: Deployment, table: str, turn: int) -> str:
    """Return a configuration with another table and a burst that is new each turn."""
    return _add_organisations(deployment, table).replace(
        "burst = 400", f"burst = {401 + turn}"
    )


async def _apply(deployment: Deployment, name: str, text: str, revision: int) -> Any:
    path = _write(deployment, name, text)
    return await deployment.run_cli(
        "config", "apply", str(path), "--revision", str(revision)
    )


async def _is_open(deployment: Deployment, number: int, table: str) -> bool:
    client = deployment.create_client(number, table)
    client.has_rate_retries = False
    result = await client.run(f"SELECT COUNT(*) FROM {table}")
    client.drop()
    return _is_in_force(result)


def _is_in_force(result: StatementResult) -> bool:
    # The entry decides on access before the holder decides on the rate.
    return result.ran or result.code == OVER_RATE_CODE


async def _wait_open(
    deployment: Deployment, number: int, table: str, limit_s: float
) -> float:
    start = time.monotonic()
    while time.monotonic() - start < limit_s:
        if await _is_open(deployment, number, table):
            return time.monotonic() - start
        await asyncio.sleep(POLL_S)
    return float("inf")


async def _create(deployment: Deployment, *tables: str) -> None:
    done = await _apply(deployment, "guests", _add_organisations(deployment), 1)
    if done.returncode:
        raise RuntimeError(f"apply failed: {done.stderr}")
    client = deployment.create_client(0)
    for table in tables:
        result = await client.run(f"CREATE TABLE {table} (id INTEGER PRIMARY KEY)")
        if not result.ran:
            raise RuntimeError(f"definition failed: {result}")
        await asyncio.to_thread(deployment.cluster.issue_key, table)
    client.drop()


async def race(deployment: Deployment) -> None:
    """Let two operators apply different changes on the same revision at once."""
    await _create(deployment, "left", "right")
    report, revision, requests = deployment.report, 2, 0
    for turn in range(3):
        done = await asyncio.gather(
            _apply(deployment, f"l{turn}", _change(deployment, "left", turn), revision),
            _apply(
                deployment, f"r{turn}", _change(deployment, "right", turn), revision
            ),
        )
        codes = [each.returncode for each in done]
        requests += 2
        report.require(
            13,
            sorted(codes) == [0, CONFLICT_EXIT_CODE],
            f"exit codes {codes}: {done[0].stderr[-150:]} {done[1].stderr[-150:]}",
        )
        if 0 not in codes:
            return
        revision += 1
        won, lost = ("left", "right") if codes[0] == 0 else ("right", "left")
        times = await asyncio.gather(
            *(_wait_open(deployment, n, won, 3 * FORCE_LIMIT_S) for n in range(2))
        )
        report.add_figure(13, "time until in force", max(times), "s", FORCE_LIMIT_S)
        for number in range(2):
            both = await _is_open(deployment, number, lost)
            report.require(13, not both, f"the losing change is in force at {number}")
    report.add_requests(13, requests + 2 * requests)


async def lose_apply_answer(deployment: Deployment) -> None:
    """Lose the answer to the update, then apply again with the attempt's ID."""
    await _create(deployment, "left")
    report = deployment.report
    await deployment.control_platform(lose_answers_count=4)
    path = str(_write(deployment, "lost", _add_organisations(deployment, "left")))
    arguments = ("config", "apply", path, "--revision", "2", "--apply-id", "attempt-1")
    first = await deployment.run_cli(*arguments)
    again = await deployment.run_cli(*arguments)
    report.require(
        13, again.returncode == 0, f"{first.returncode}, {again.returncode}: {again}"
    )
    times = await asyncio.gather(
        *(_wait_open(deployment, n, "left", 3 * FORCE_LIMIT_S) for n in range(2))
    )
    report.add_figure(13, "time until in force", max(times), "s", FORCE_LIMIT_S)
    report.add_requests(13, 4)


async def restart_in_outage(deployment: Deployment) -> None:
    """Restart a proxy while the platform is down; it must serve the latest revision."""
    await _create(deployment, "left", "right")
    report = deployment.report
    for revision, tables in enumerate((("left",), ("left", "right")), 2):
        done = await _apply(
            deployment,
            f"c{revision}",
            _add_organisations(deployment, *tables),
            revision,
        )
        report.require(13, done.returncode == 0, f"apply failed: {done.stderr[-200:]}")
    await asyncio.gather(
        *(_wait_open(deployment, n, "right", 3 * FORCE_LIMIT_S) for n in range(2))
    )
    await deployment.control_platform(outage="silent")
    proxy = deployment.cluster.proxies[1]
    await asyncio.to_thread(proxy.kill)
    proxy.start()
    served = await _wait_open(deployment, 1, "right", OUTAGE_START_LIMIT_S)
    report.require(13, served < OUTAGE_START_LIMIT_S, "restarted proxy does not serve")
    report.add_figure(13, "restart in an outage until in force", served, "s")
    await _check_served(deployment, 0, "right")
    await deployment.control_platform(outage="")
    await asyncio.sleep(1.0)
    for number in range(2):
        await _check_served(deployment, number, "right")
    report.add_requests(13, 3 * CHECKS)


async def _check_served(deployment: Deployment, number: int, table: str) -> None:
    client = deployment.create_client(number, table)
    client.has_rate_retries = False
    for _ in range(CHECKS):
        result = await client.run(f"SELECT COUNT(*) FROM {table}")
        if not _is_in_force(result):
            deployment.report.add_problem(13, f"p{number + 1} fell back: {result}")
            break
        await asyncio.sleep(POLL_S)
    client.drop()


async def leave_replica(deployment: Deployment) -> None:
    """Mark a replica as leaving while clients read."""
    await _leave(deployment, "m2", _configure_leaving)


async def leave_primary(deployment: Deployment) -> None:
    """Mark the primary as leaving while clients read and write."""
    await _leave(deployment, await deployment.read_primary(), _configure_leaving)


async def announce_leaving(deployment: Deployment) -> None:
    """Let the database's operator announce the leaving primary on the platform."""
    await _leave(deployment, await deployment.read_primary(), _announce_leaving)


async def _configure_leaving(deployment: Deployment, member: str) -> None:
    name = f'name = "{member}"\n'
    text = _text(deployment).replace(name, f"{name}leaving = true\n")
    done = await _apply(deployment, "leaving", text, 1)
    failed = done.stderr[-200:]
    deployment.report.require(11, done.returncode == 0, f"apply failed: {failed}")


async def _announce_leaving(deployment: Deployment, member: str) -> None:
    await asyncio.to_thread(
        deployment.cluster.call_platform,
        "PUT",
        f"/objects/members/{deployment.cluster.plan.database}",
        {"value": {"leaving": [member]}, "expected_version": 0},
    )


async def _leave(
    deployment: Deployment,
    member: str,
    mark: Callable[[Deployment, str], Awaitable[None]],
) -> None:
    await deployment.create_tables()
    report, stop, counts = deployment.report, asyncio.Event(), [0, 0]
    failures: Counter[str] = Counter()

    async def use(number: int) -> None:
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
        client.drop()

    tasks = [asyncio.create_task(use(number)) for number in range(8)]
    await asyncio.sleep(1.0)
    await mark(deployment, member)
    await asyncio.sleep(LEAVING_LIMIT_S)
    before = await _count_work(deployment, member)
    await asyncio.sleep(OBSERVE_S)
    late = await _count_work(deployment, member) - before
    stop.set()
    await asyncio.gather(*tasks)
    report.require(11, late == 0, f"{member}: {late} statements after the limit")
    report.require(
        11,
        not counts[1],
        f"{counts[1]} of {sum(counts)} requests failed: {failures.most_common(1)}",
    )
    report.add_figure(11, f"statements after {LEAVING_LIMIT_S:g} s", late, "", 0)
    report.add_requests(11, sum(counts))


async def _count_work(deployment: Deployment, member: str) -> int:
    seen = await deployment.query_member(member, "/statements?contains=orders")
    return sum(each["port"] == "main" for each in seen["statements"])
