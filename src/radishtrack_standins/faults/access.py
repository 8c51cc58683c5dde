"""Keys of other organisations, keys in statements, and revoked keys."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Final

from radishtrack_standins.faults.client import Client, ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

REVOCATION_LIMIT_S: Final = 4.0
ACCESS_DENIED_CODE: Final = 1045
POLL_INTERVAL_S: Final = 0.05
REQUESTS_PER_ORGANISATION: Final = 15


async def use_keys_across_organisations(deployment: Deployment) -> None:
    """Use keys with wrong organisations, equal request IDs and an open route."""
    await deployment.create_tables()
    report, names = (
        deployment.report,
        [n for n, _, _ in deployment.cluster.plan.organisations],
    )
    first, second = names[:2]
    keys, requests = deployment.cluster.keys, 0
    wrong = (
        (first, keys[second]),
        (second, keys[first]),
        (first, ""),
        ("nobody", keys[first]),
        (first, keys[first][:-1] + ("a" if keys[first][-1] != "a" else "b")),
        ("open", keys[first]),
    )
    for proxy in deployment.cluster.proxies:
        for user, password in wrong:
            client = Client(proxy, user, password, deployment.cluster.plan.database)
            result = await client.run("SELECT COUNT(*) FROM orders")
            requests += 1
            report.require(4, not result.ran, f"{user} with a wrong key was served")
            client.abort()
    requests += await _use_equal_request_ids(deployment, names)
    requests += await _use_open_routes(deployment)
    report.add_requests(4, requests)


async def _use_equal_request_ids(deployment: Deployment, names: list[str]) -> int:
    """Let organisations use equal request IDs at once; the journal keeps them apart."""

    async def post(name: str, number: int) -> None:
        client = deployment.create_client(number, name)
        result = await client.run(
            f"/*radishtrack request_id=same-{number}*/ "
            f"INSERT INTO orders VALUES ('{name}-{number}', '{name}')"
        )
        client.abort()
        deployment.report.require(4, result.ran, f"request of {name} failed: {result}")

    await asyncio.gather(
        *(post(name, n) for name in names for n in range(REQUESTS_PER_ORGANISATION))
    )
    journal = await deployment.read_rows("radishtrack_journal")
    actual = {(str(row[0]), str(row[1])) for row in journal}
    expected = {
        (name, f"same-{n}") for name in names for n in range(REQUESTS_PER_ORGANISATION)
    }
    deployment.report.require(
        4, actual == expected, f"journal entries differ: {actual ^ expected}"
    )
    return len(expected)


async def _use_open_routes(deployment: Deployment) -> int:
    report, database = deployment.report, deployment.cluster.plan.database
    statements = {
        "SELECT COUNT(*) FROM history": True,
        "SELECT COUNT(*) FROM orders": False,
        "SELECT * FROM history JOIN orders ON history.id = orders.id": False,
        "SELECT * FROM history WHERE id IN (SELECT id FROM orders)": False,
        "INSERT INTO history VALUES (1, 'x')": False,
        "BEGIN": False,
    }
    for proxy in deployment.cluster.proxies:
        for statement, is_allowed in statements.items():
            client = Client(proxy, "open", "", database)
            result = await client.run(statement)
            client.abort()
            report.require(
                4, result.ran == is_allowed, f"open route, {statement!r}: {result}"
            )
    return len(statements) * len(deployment.cluster.proxies)


async def send_keys_in_statements(deployment: Deployment) -> None:
    """Put keys into statements and check that no member receives them."""
    await deployment.create_tables()
    report, sent = deployment.report, 0
    first, second = [name for name, _, _ in deployment.cluster.plan.organisations][:2]
    keys = deployment.cluster.keys
    for number in range(len(deployment.cluster.proxies)):
        for text in (keys[first], keys[second], keys[first].upper()):
            for statement in (
                f"INSERT INTO orders VALUES ('{text}', 'x')",
                f"SELECT * FROM orders WHERE id = '{text}'",
                f"/* {text} */ SELECT COUNT(*) FROM orders",
                f"SELECT COUNT(*) FROM orders -- {text}",
                f"/*radishtrack request_id={text}*/ "
                "INSERT INTO orders VALUES ('k', 'x')",
                f"/*radishtrack session={text}*/ SELECT COUNT(*) FROM orders",
            ):
                client = deployment.create_client(number, first)
                await client.run(statement)
                sent += 1
                client.abort()
    report.add_requests(5, sent)
    for member in deployment.cluster.members:
        received = json.dumps(
            await deployment.query_member(member, "/statements")
        ).lower()
        for name, text in keys.items():
            report.require(
                5, text not in received, f"{member} received the key of {name}"
            )


def _is_denied(result: StatementResult) -> bool:
    return result.code == ACCESS_DENIED_CODE or result.outcome is ClientOutcome.LOST


async def _wait_until_refused(client: Client, statement: str, start_s: float) -> float:
    """Send a statement until it is refused; return the seconds since `start_s`.

    A connection that is closed counts as refused. The result is infinity if the
    statement is never refused.
    """
    while time.monotonic() - start_s < 3 * REVOCATION_LIMIT_S:
        result = await client.run(statement)
        if _is_denied(result):
            return time.monotonic() - start_s
        await asyncio.sleep(POLL_INTERVAL_S)
    return float("inf")


async def revoke_key(deployment: Deployment) -> None:
    """Revoke a key while sessions with and without a transaction use it."""
    await deployment.create_tables()
    await _check_revocation(deployment, await _open_sessions(deployment))


async def revoke_key_while_cut_off(deployment: Deployment) -> None:
    """Revoke a key while one proxy is cut off from the platform."""
    await deployment.create_tables()
    sessions = await _open_sessions(deployment)
    relay = deployment.platform_relays[1]
    await deployment.control_relay(relay, cut_to_target=True, cut_from_target=True)
    await asyncio.sleep(1.0)
    await _check_revocation(deployment, sessions)


async def _open_sessions(deployment: Deployment) -> list[tuple[str, Client, str]]:
    read, sessions = "SELECT COUNT(*) FROM orders", []
    for number, proxy in enumerate(deployment.cluster.proxies):
        busy, in_transaction = (
            deployment.create_client(number),
            deployment.create_client(number),
        )
        await busy.run(read)
        await in_transaction.run("BEGIN")
        sessions.append((f"busy at {proxy.name}", busy, read))
        sessions.append((f"in a transaction at {proxy.name}", in_transaction, read))
    return sessions


async def _check_revocation(
    deployment: Deployment, sessions: list[tuple[str, Client, str]]
) -> None:
    report, name = deployment.report, deployment.cluster.plan.organisations[0][0]
    unused = deployment.create_client(0)
    await unused.connect()
    idle = deployment.create_client(1)
    await idle.run("SELECT COUNT(*) FROM orders")
    key_id = deployment.cluster.keys[name].split("_")[1]
    # Start the clock before the command, so that the measured time is never too short.
    start_s = time.monotonic()
    completed, *times = await asyncio.gather(
        deployment.run_cli("keys", "revoke", name, key_id),
        *(_wait_until_refused(client, text, start_s) for _, client, text in sessions),
    )
    report.require(
        6, completed.returncode == 0, f"keys revoke failed: {completed.stderr[-200:]}"
    )
    for (kind, _, _), seconds in zip(sessions, times, strict=True):
        report.require(
            6, seconds <= REVOCATION_LIMIT_S, f"{kind}: refused after {seconds:.1f} s"
        )
    report.add_figure(
        6, "worst time until refused", max(times), "s", REVOCATION_LIMIT_S
    )
    await asyncio.sleep(max(0.0, start_s + REVOCATION_LIMIT_S - time.monotonic()))
    for number in range(len(deployment.cluster.proxies)):
        result = await deployment.create_client(number).run(
            "SELECT COUNT(*) FROM orders"
        )
        report.require(
            6,
            result.code == ACCESS_DENIED_CODE,
            f"new connection at p{number + 1}: {result}",
        )
    result = await idle.run("SELECT COUNT(*) FROM orders")
    report.require(6, _is_denied(result), f"idle connection: {result}")
    report.add_requests(6, len(sessions) + len(deployment.cluster.proxies) + 1)
    for _, client, _ in sessions:
        client.abort()
