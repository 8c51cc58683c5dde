"""Tests a planned stop: no request is interrupted, and the node exits in time."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math

from radishtrack.platform.lines import ConnectionEnded, encode_line
from radishtrack.platform.main import stop_node
from radishtrack.pooler.readiness import make_stop_plan
from tests.pooler_simulation import Client, is_closed, open_simulation

ACCEPT_MARGIN_MS = 100.0
"""Time before the node stops accepting at which clients stop connecting."""


def test_stop_ends_within_the_grace_period() -> None:
    plan = make_stop_plan(1_000.0, 6_000.0)
    assert plan.accept_until_ms <= plan.finish_until_ms < plan.exit_ms < 7_000.0


async def test_idle_sessions_end_and_transactions_finish() -> None:
    """The load balancer sends connections until two probes have failed."""
    async with open_simulation() as simulation:
        running = simulation.nodes[0]
        idle = await simulation.connect(running, "orders")
        working = await simulation.connect(running, "orders")
        await working.execute("BEGIN")
        await working.execute("WRITE 1 x")
        stopping = asyncio.create_task(stop_node(running.node, running.frontend))
        await asyncio.sleep(0.2)
        assert not running.node.is_ready()
        late = await simulation.connect(running, "orders")
        assert (await late.execute("READ 1"))[0].startswith("DATAROW")
        assert await is_closed(idle.connection)
        assert (await working.execute("READ 1"))[-1] == "READY T -"
        assert (await working.execute("COMMIT"))[0].startswith("COMPLETE")
        assert await is_closed(working.connection)
        await stopping
        assert simulation.primary.received == 1


async def test_statements_under_load_are_all_answered_during_a_stop() -> None:
    """Requests that were accepted just before a connection closed got no answer.

    Statements arrive without a pause on many connections, and new connections come
    until the node stops accepting. A statement that ran at a member was accepted.
    """
    async with open_simulation(nodes=2) as simulation:
        running = simulation.nodes[0]
        ran: set[str] = set()
        for member in simulation.members.values():
            member.on_run = lambda _organisation, statement_id: ran.add(statement_id)
        answered: set[str] = set()
        unanswered: set[str] = set()

        async def run_statements(client: Client, prefix: str) -> None:
            for number in itertools.count():
                statement_id = f"{prefix}-{number}"
                text = "WRITE 1 x" if number % 3 == 0 else "READ 1"
                client.connection.write(encode_line(f"QUERY {statement_id} {text}"))
                unanswered.add(statement_id)
                while not (await client.connection.read_line()).startswith("READY"):
                    pass
                unanswered.discard(statement_id)
                answered.add(statement_id)

        async def use_connections(number: int) -> None:
            for attempt in itertools.count():
                if running.node.clock.now_ms() >= accept_until_ms:
                    return
                try:
                    client = await simulation.connect(running, "orders")
                except (OSError, ConnectionEnded):
                    return
                with contextlib.suppress(ConnectionEnded):
                    await run_statements(client, f"c{number}-{attempt}")

        accept_until_ms = math.inf
        clients = [asyncio.create_task(use_connections(n)) for n in range(12)]
        await asyncio.sleep(0.3)
        accept_until_ms = running.node.begin_stop().accept_until_ms - ACCEPT_MARGIN_MS
        await stop_node(running.node, running.frontend)
        await asyncio.gather(*clients)
        assert len(answered) > 100
        assert unanswered & ran == set()
