"""A planned stop of a machine on which clients have transactions open."""

import asyncio
import random
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import (  # noqa: E402
    BOUNDS,
    EXIT_BROKEN,
    EXIT_HELD,
    Client,
    CouldNotRun,
    Deployment,
    config,
    has_disruption,
    main,
    new_id,
    now_ms,
    route,
    tenant,
)

CLIENTS = 20
STATEMENTS = 12
"""The most that a transaction has."""
PAUSE_S = 0.25
BEGIN_S = (1.0, 2.0)
"""When transactions begin, after the SIGTERM; the node still serves its sessions."""
DEADLINE_MS = 4000.0
"""Deadline of `plot-lookup`, from the client's first attempt."""
TIMEOUT_MS = 2000.0
"""`timeoutMs` of its route."""
WORK_MS = (60.0, 200.0)
"""Inside the work of `plot-lookup`: 40 ms in the mean, 300 ms at most."""


class Sent:
    """A statement that a client has sent, and how it ended."""

    def __init__(self, statement_id: str, text: str, begun_ms: float) -> None:
        self.statement_id, self.text, self.begun_ms = statement_id, text, begun_ms
        self.sent_ms, self.ended_ms, self.is_complete = now_ms(), 0.0, False


async def run() -> int:
    deployment = Deployment(CASE, work_ms=lambda word: random.uniform(*WORK_MS))
    record, group = deployment.record, deployment.group
    await deployment.start(nodes=2)
    node = deployment.nodes[0]
    database = route(
        "xapu221ny95",
        group.name,
        "bounded_staleness",
        timeoutMs=2000,
        objectiveMs=600,
        maxStalenessMs=1500,
    )
    deployment.store.put(
        "config",
        "main",
        config(7, group, [database], [tenant("nypu920", ["u6wsjnbanfqasnmgkcuy"])]),
    )
    statements: list[Sent] = []
    connected: list[int] = []
    stopping = asyncio.Event()

    async def run_transaction(number: int) -> None:
        client = Client(record, f"client {number}")
        if not (
            await client.connect(node, "xapu221ny95", "u6wsjnbanfqasnmgkcuy")
        ).startswith("READY"):
            return
        connected.append(number)
        await stopping.wait()
        await asyncio.sleep(random.uniform(*BEGIN_S))
        texts = ["BEGIN READ", *["READ 1a4"] * STATEMENTS, "COMMIT"]
        begun_ms = now_ms()
        for text in texts:
            sent = Sent(new_id(), text, begun_ms)
            statements.append(sent)
            answer = await client.query(sent.statement_id, text)
            sent.ended_ms, sent.is_complete = now_ms(), bool(answer.ready)
            if not answer.is_success:
                break
            await asyncio.sleep(PAUSE_S)
        client.close()

    try:
        await deployment.start_nodes()
        clients = [asyncio.create_task(run_transaction(n)) for n in range(CLIENTS)]
        await asyncio.sleep(1.0)
        if len(connected) < CLIENTS:
            raise CouldNotRun("not all clients have a session")
        stopped_ms = now_ms()
        stopping.set()
        if has_disruption():
            node.send(signal.SIGTERM)
            record.write(f"platform: SIGTERM to {node.name}")
            kill = asyncio.get_running_loop().call_later(
                BOUNDS["graceS"], node.send, signal.SIGKILL
            )
            await node.process.wait()
            kill.cancel()
            record.write(
                f"platform: {node.name} has ended after "
                f"{now_ms() - stopped_ms:.0f} ms with {node.process.returncode}"
            )
        await asyncio.gather(*clients)
        arrived = {entry[3]: entry for entry in group.arrived}
        if len(arrived) < CLIENTS:
            raise CouldNotRun("the transactions did not run")
        broken = 0
        for sent in statements:
            entry = arrived.get(sent.statement_id)
            if sent.is_complete or entry is None:
                continue
            after_ms = sent.sent_ms - stopped_ms
            is_late = sent.ended_ms - sent.sent_ms >= TIMEOUT_MS
            if is_late or sent.ended_ms - sent.begun_ms >= DEADLINE_MS:
                record.write(f"excused: {sent.statement_id}, its time was over")
                continue
            broken += 1
            record.write(
                f"verdict: LOST broken: {sent.statement_id} {sent.text!r}, sent "
                f"{after_ms:.0f} ms after SIGTERM, was passed on to {entry[1]}, and "
                f"the connection ended without an answer at "
                f"{sent.ended_ms - stopped_ms:.0f} ms"
            )
        record.write(f"verdict: {broken} of {len(statements)} requests cut off")
        return EXIT_BROKEN if broken else EXIT_HELD
    finally:
        await deployment.close()


main(run)
