"""A key is withdrawn, together with its route, while a transaction is open."""

import asyncio
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

STATEMENTS = 11
PAUSE_S = 0.9
"""Below `txIdleMs` (3 s); clients pause between the statements of a transaction."""


async def run() -> int:
    deployment = Deployment(CASE)
    record, group = deployment.record, deployment.group
    await deployment.start(nodes=1)
    node = deployment.nodes[0]
    kept, ended = (
        route("fiti832ti23", group.name, "session"),
        route(
            "lepu270",
            group.name,
            "primary",
            timeoutMs=1000,
            objectiveMs=200,
            priority=1,
        ),
    )
    staying, leaving = tenant("nypu920", ["kept0key"]), tenant("lahe77", ["gone0key"])
    before = config(7, group, [kept, ended], [staying, leaving])
    after = config(9, group, [kept], [staying, tenant("lahe77", [])])
    deployment.store.put("config", "main", before)
    try:
        await deployment.start_nodes()
        client = Client(record, "client")
        if not (await client.connect(node, "lepu270", "gone0key")).startswith("READY"):
            raise CouldNotRun("no session")
        await client.query(new_id(), "BEGIN")
        first = await client.query(new_id(), "READ 1a4")
        if not first.is_success:
            raise CouldNotRun(f"first statement: {first}")
        if has_disruption():
            deployment.store.put("config", "main", after)
        acked_ms = now_ms()
        record.write("operator: configuration without the key acknowledged")
        sent: dict[str, float] = {}
        for number in range(STATEMENTS):
            await asyncio.sleep(PAUSE_S)
            text = "COMMIT" if number == STATEMENTS - 1 else f"WRITE 1a4 data{number}"
            statement_id = new_id()
            sent[statement_id] = now_ms()
            answer = await client.query(statement_id, text)
            if not answer.is_success:
                break
        late = [
            (sent[statement_id] - acked_ms, member, text)
            for _, member, _, statement_id, text in group.arrived
            if sent.get(statement_id, 0.0) > acked_ms + BOUNDS["revokeMs"]
        ]
        if not has_disruption():
            if len(late) < 2:
                raise CouldNotRun("the transaction did not run to its end")
            record.write("verdict: held, the key was never taken away")
            return EXIT_HELD
        # The key must be unusable for a new session, or the case shows nothing.
        probe = await Client(record, "probe").connect(node, "fiti832ti23", "gone0key")
        if not probe.startswith("ERROR NOAUTH"):
            raise CouldNotRun(f"the node has not applied the configuration: {probe}")
        for sent_ms, member, text in late:
            record.write(
                f"verdict: CONFIG broken: {member} ran {text!r}, sent "
                f"{sent_ms:.0f} ms after the key was taken away"
            )
        return EXIT_BROKEN if late else EXIT_HELD
    finally:
        await deployment.close()


main(run)
