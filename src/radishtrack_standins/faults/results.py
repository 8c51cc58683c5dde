"""Members that die in a result, answer late, or lose the answer to a commit."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Final

from radishtrack_standins.faults.client import Answer, Told

if TYPE_CHECKING:
    from radishtrack_standins.faults.world import World

ROWS: Final = 3000
ROWS_PER_INSERT: Final = 500
LATE_CLIENTS: Final = 8
LATE_REQUESTS: Final = 25
SENDERS: Final = 8


async def _fill(world: World) -> None:
    client = world.client(0)
    for first in range(0, ROWS, ROWS_PER_INSERT):
        values = ", ".join(
            f"('row-{number:05}', 'x')"
            for number in range(first, first + ROWS_PER_INSERT)
        )
        answer = await client.run(f"INSERT INTO orders VALUES {values}")
        if not answer.ran:
            raise RuntimeError(f"filling failed: {answer}")
    client.drop()


async def die_in_result(world: World) -> None:
    """Let members die in the middle of results inside and outside transactions."""
    await world.define_tables()
    await _fill(world)
    report, complete = world.report, tuple((f"row-{n:05}",) for n in range(ROWS))
    requests = 0
    for limit in (0, 1, 199, 200, 201, 1500, ROWS - 1):
        for in_transaction in (False, True):
            client = world.client(requests)
            if in_transaction:
                await client.run("BEGIN")
            for member in world.cluster.members:
                await world.control(member, die_in_result=limit)
            answer = await client.run("SELECT id FROM orders ORDER BY id")
            for member in world.cluster.members:
                await world.control(member, die_in_result=-1)
            requests += 1
            report.require(
                8,
                not answer.ran or answer.rows == complete,
                f"{len(answer.rows)} of {ROWS} rows after a death at row {limit}",
            )
            again = await client.run("SELECT id FROM orders WHERE id = 'row-00007'")
            requests += 1
            report.require(
                8,
                not again.ran or again.rows == (("row-00007",),),
                f"next request got {again.rows[:2]}",
            )
            client.drop()
    report.add_requests(8, requests)


async def answer_late(world: World) -> None:
    """Let members answer after the requests' deadlines; every answer has a tag."""
    await world.define_tables()
    await _fill(world)
    report, told = world.report, Counter[str]()

    async def ask(number: int) -> None:
        client = world.client(number)
        for turn in range(LATE_REQUESTS):
            name = f"row-{(number * LATE_REQUESTS + turn) % ROWS:05}"
            kind = ("strict", "session")[turn % 2]
            answer = await client.run(
                f"/*radishtrack class={kind} timeout_ms=150*/ "
                f"SELECT id, '{name}' FROM orders WHERE id = '{name}'"
            )
            told[answer.told.value] += 1
            report.require(
                8,
                not answer.ran or answer.rows == ((name, name),),
                f"request for {name} got {answer.rows}",
            )
            report.require(8, answer.told is not Told.SILENT, "request had no answer")
        client.drop()

    async def disturb() -> None:
        for _ in range(6):
            for member in world.cluster.members:
                delay_ms = world.random.choice((0, 0, 50, 140, 300, 800))
                await world.control(member, delay_ms=delay_ms)
            await asyncio.sleep(0.5)
        for member in world.cluster.members:
            await world.control(member, delay_ms=0)

    await asyncio.gather(disturb(), *(ask(number) for number in range(LATE_CLIENTS)))
    report.add_requests(8, sum(told.values()))
    report.require(8, told[Told.RAN.value], f"no request was served: {dict(told)}")
    answer = await world.client(0).run("SELECT COUNT(*) FROM orders")
    report.require(8, answer.ran, f"not served after the delays ended: {answer}")


async def lose_commit_answers(world: World) -> None:
    """Lose the answers to commits, before and after the effect."""
    await world.define_tables()
    report, old = world.report, await world.primary()
    told: dict[str, Answer] = {}
    for number in range(24):
        switch = "drop_after_commit" if number % 2 else "drop_before_commit"
        identified = number % 4 < 2
        name = f"lost-{number}"
        prefix = f"/*radishtrack request_id={name}*/ " if identified else ""
        client = world.client(number)
        await client.connect()
        await world.control(old, **{switch: True})
        statement = f"{prefix}INSERT INTO receipts (order_id) VALUES ('{name}')"
        told[name] = await client.run(statement)
        if identified:
            first = told[name]
            # The same posting again, as a client does that was not sure.
            told[name] = await world.client(number + 1).run(statement)
            report.require(
                10, told[name].ran, f"posting with request ID not served: {told[name]}"
            )
            if not told[name].ran and first.may_have_run:
                told[name] = first
        client.drop()
        await world.control(old, **{switch: False})
    await _judge_postings(world, told)


async def _judge_postings(world: World, told: dict[str, Answer]) -> None:
    report = world.report
    counts = Counter(str(row[1]) for row in await world.rows("receipts"))
    report.add_requests(9, len(told))
    report.add_requests(10, len(told))
    for name, answer in told.items():
        report.require(10, counts[name] <= 1, f"{name} ran {counts[name]} times")
        if answer.ran:
            report.require(10, counts[name] == 1, f"{name} acknowledged and missing")
        if answer.told in (Told.NOT_RUN, Told.REJECTED):
            report.require(9, not counts[name], f"{name} ran although told: {answer}")


async def repeat_at_both_proxies(world: World) -> None:
    """Send the same request ID through both proxies at once."""
    await world.define_tables()
    report, told = world.report, {}

    async def send(name: str, number: int) -> Answer:
        client = world.client(number)
        answer = await client.run(
            f"/*radishtrack request_id={name}*/ "
            f"INSERT INTO receipts (order_id) VALUES ('{name}')"
        )
        client.drop()
        return answer

    for turn in range(12):
        name = f"both-{turn}"
        answers = await asyncio.gather(*(send(name, n) for n in range(SENDERS)))
        told[name] = next((a for a in answers if a.ran), answers[0])
        report.require(
            10,
            all(answer.ran for answer in answers),
            f"{name}: {[str(a) for a in answers if not a.ran][:1]}",
        )
    await _judge_postings(world, told)
    report.add_requests(10, 11 * SENDERS)
