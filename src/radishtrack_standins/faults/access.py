"""Keys: whose they are, who sees them, and how fast a revoked one stops."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Final

from radishtrack_standins.faults.client import Client, ClientOutcome, StatementResult

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

REVOKED_LIMIT_S: Final = 4.0
DENIED_CODE: Final = 1045
POLL_S: Final = 0.05
REQUESTS_EACH: Final = 15


async def present_keys(deployment: Deployment) -> None:
    """Use keys with the right and wrong organisation, together and at once."""
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
            client.drop()
    requests += await _share_request_ids(deployment, names)
    requests += await _use_open_routes(deployment)
    report.add_requests(4, requests)


async def _share_request_ids(deployment: Deployment, names: list[str]) -> int:
    """Let organisations use equal request IDs at once; the journal names them."""

    async def post(name: str, number: int) -> None:
        client = deployment.create_client(number, name)
        result = await client.run(
            f"/*radishtrack request_id=same-{number}*/ "
            f"INSERT INTO orders VALUES ('{name}-{number}', '{name}')"
        )
        client.drop()
        deployment.report.require(4, result.ran, f"request of {name} failed: {result}")

    await asyncio.gather(
        *(post(name, n) for name in names for n in range(REQUESTS_EACH))
    )
    journal = await deployment.read_rows("radishtrack_journal")
    found = {(str(row[0]), str(row[1])) for row in journal}
    wanted = {(name, f"same-{n}") for name in names for n in range(REQUESTS_EACH)}
    deployment.report.require(4, found == wanted, f"journal differs: {found ^ wanted}")
    return len(wanted)


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
        for statement, allowed in statements.items():
            client = Client(proxy, "open", "", database)
            result = await client.run(statement)
            client.drop()
            report.require(
                4, result.ran == allowed, f"open route, {statement!r}: {result}"
            )
    return len(statements) * len(deployment.cluster.proxies)


async def send_keys(deployment: Deployment) -> None:
    """Put keys where they could reach a database, then look at what members saw."""
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
                client.drop()
    report.add_requests(5, sent)
    for member in deployment.cluster.members:
        seen = json.dumps(await deployment.query_member(member, "/statements")).lower()
        for name, text in keys.items():
            report.require(5, text not in seen, f"{member} saw the key of {name}")


def _is_denied(result: StatementResult) -> bool:
    return result.code == DENIED_CODE or result.outcome is ClientOutcome.LOST


async def _wait_refused(client: Client, statement: str, start: float) -> float:
    """Send a statement until it is refused; return the seconds since `start`."""
    while time.monotonic() - start < 3 * REVOKED_LIMIT_S:
        result = await client.run(statement)
        if _is_denied(result):
            return time.monotonic() - start
        await asyncio.sleep(POLL_S)
    return float("inf")


async def revoke(deployment: Deployment) -> None:
    """Revoke a key while it is used in every way at both proxies."""
    await deployment.create_tables()
    await _revoke(deployment, await _open_sessions(deployment))


async def revoke_cut_off(deployment: Deployment) -> None:
    """Revoke a key while one proxy is cut off from the platform."""
    await deployment.create_tables()
    sessions = await _open_sessions(deployment)
    relay = deployment.platform_relays[1]
    await deployment.control_relay(relay, cut_to_target=True, cut_from_target=True)
    await asyncio.sleep(1.0)
    await _revoke(deployment, sessions)


async def _open_sessions(deployment: Deployment) -> list[tuple[str, Client, str]]:
    read, sessions = "SELECT COUNT(*) FROM orders", []
    for number, proxy in enumerate(deployment.cluster.proxies):
        busy, inside = (
            deployment.create_client(number),
            deployment.create_client(number),
        )
        await busy.run(read)
        await inside.run("BEGIN")
        sessions.append((f"busy at {proxy.name}", busy, read))
        sessions.append((f"in a transaction at {proxy.name}", inside, read))
    return sessions


async def _revoke(
    deployment: Deployment, sessions: list[tuple[str, Client, str]]
) -> None:
    report, name = deployment.report, deployment.cluster.plan.organisations[0][0]
    slow = deployment.create_client(0)
    await slow.connect()
    idle = deployment.create_client(1)
    await idle.run("SELECT COUNT(*) FROM orders")
    key_id = deployment.cluster.keys[name].split("_")[1]
    # Measured from before the command, so that the time is never too short.
    start = time.monotonic()
    done, *times = await asyncio.gather(
        deployment.run_cli("keys", "revoke", name, key_id),
        *(_wait_refused(client, text, start) for _, client, text in sessions),
    )
    report.require(6, done.returncode == 0, f"revoke failed: {done.stderr[-200:]}")
    for (kind, _, _), seconds in zip(sessions, times, strict=True):
        report.require(
            6, seconds <= REVOKED_LIMIT_S, f"{kind}: refused after {seconds:.1f} s"
        )
    report.add_figure(6, "worst time until refused", max(times), "s", REVOKED_LIMIT_S)
    await asyncio.sleep(max(0.0, start + REVOKED_LIMIT_S - time.monotonic()))
    for number in range(len(deployment.cluster.proxies)):
        result = await deployment.create_client(number).run(
            "SELECT COUNT(*) FROM orders"
        )
        report.require(
            6, result.code == DENIED_CODE, f"new connection at p{number + 1}: {result}"
        )
    result = await idle.run("SELECT COUNT(*) FROM orders")
    report.require(6, _is_denied(result), f"idle connection: {result}")
    report.add_requests(6, len(sessions) + len(deployment.cluster.proxies) + 1)
    for _, client, _ in sessions:
        client.drop()
