"""A replica receives nothing for a while, another is lost for good, and the primary
crashes meanwhile."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import (  # noqa: E402
    EXIT_BROKEN,
    EXIT_HELD,
    Client,
    CouldNotRun,
    Deployment,
    config,
    has_disruption,
    main,
    new_id,
    route,
    tenant,
)

DEAF_S = 6.5
"""Largest length of `replica_lag` in the site file."""
PRIMARY_CRASH_S = 5.5
"""When the primary crashes, from the start of the deafness."""
PRIMARY_DOWN_S = 7.0
"""Largest length of `srv_crash` in the site file."""
WRITES = 20


async def run() -> int:
    deployment = Deployment(CASE, promote_ms=300.0)
    record, group = deployment.record, deployment.group
    await deployment.start(nodes=2)
    deployment.store.put(
        "config",
        "main",
        config(
            7,
            group,
            [
                route(
                    "lepu270",
                    group.name,
                    "primary",
                    timeoutMs=1000,
                    objectiveMs=200,
                    priority=1,
                )
            ],
            [tenant("nypu920", ["u6wsjnbanfqasnmgkcuy"])],
        ),
    )
    acknowledged: list[str] = []
    missing: list[str] = []

    def check(member, _old) -> None:
        """Compare the log of a member that is promoted now with the answers."""
        for statement_id in acknowledged:
            if statement_id not in member.log:
                missing.append(statement_id)
                record.write(
                    f"verdict: LOST broken: the commit {statement_id} was acknowledged "
                    f"to its client and is not in the log of {member.name}, which is "
                    f"promoted"
                )

    group.on_promoted = check

    async def write(number: int) -> None:
        client = Client(record, f"client {number}")
        node = deployment.nodes[number % len(deployment.nodes)]
        try:
            await client.connect(node, "lepu270", "u6wsjnbanfqasnmgkcuy")
            statement_id = new_id()
            answer = await client.query(statement_id, f"WRITE 1a4 data{number}")
            if answer.is_success:
                acknowledged.append(statement_id)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.write(f"client {number}: {error!r}")
        client.close()

    primary, deaf, third = group.members.values()
    try:
        await deployment.start_nodes()
        if has_disruption():
            deaf.is_deaf = True
            record.write(f"{deaf.name}: receives nothing from now on")
        for number in range(WRITES):
            await write(number)
        if len(acknowledged) < WRITES // 2:
            raise CouldNotRun("the writes were not served before the disruption")
        loop = asyncio.get_running_loop()
        started = loop.time()
        if has_disruption():
            await third.crash()
            await asyncio.sleep(PRIMARY_CRASH_S - (loop.time() - started))
            await primary.crash()
            await asyncio.sleep(DEAF_S - (loop.time() - started))
            deaf.is_deaf = False
            group.catch_up()
            record.write(f"{deaf.name}: receives again")
            await asyncio.sleep(
                PRIMARY_CRASH_S + PRIMARY_DOWN_S - (loop.time() - started)
            )
            await primary.restart()
        await asyncio.sleep(10.0)
        for number in range(WRITES, WRITES + 4):
            await write(number)
        record.write(
            f"verdict: {len(acknowledged)} commits acknowledged, {len(missing)} lost; "
            f"the primary is {group.leader().name} in term {group.term}"
        )
        return EXIT_BROKEN if missing else EXIT_HELD
    finally:
        await deployment.close()


main(run)
