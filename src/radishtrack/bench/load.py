"""Open-loop load: requests are sent at their times, whatever becomes of others."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import Final

import attrs

from radishtrack.bench.client import (
    Session,
    World,
    move_session,
    perform,
)
from radishtrack.bench.experiment import Experiment, Targets
from radishtrack.bench.ledger import Judgement, Ledger, Told, Write, judge
from radishtrack.bench.observe import (
    FaultRecord,
    ReadCounts,
    dump_markers,
    read_counts,
    read_cpu_s,
    run_faults,
)
from radishtrack.bench.schedule import Arrival, make_schedule

DRAIN_LIMIT_S: Final = 30.0


@attrs.define(frozen=True)
class Sample:
    """One finished request.

    Parameters
    ----------
    arrival : Arrival
        The request as scheduled.
    told : Told
        What the caller learned.
    ended_ms : float
        When, from the start of the load, in milliseconds.
    """

    arrival: Arrival
    told: Told
    ended_ms: float

    @property
    def latency_ms(self) -> float:
        """Time from the intended send time."""
        return max(0.0, self.ended_ms - self.arrival.at_ms)


@attrs.define
class RunResult:
    """Everything that one run of an experiment produced.

    `judgement` is None if the rows could not be read. `latest_send_ms` is how much
    later than intended the tool itself put a request into its queue, at worst.
    """

    experiment: Experiment
    samples: list[Sample]
    ledger: Ledger
    judgement: Judgement | None = None
    faults: list[FaultRecord] = attrs.field(factory=list)
    reads: ReadCounts | None = None
    cpu_s: float = 0.0
    idle_cpu_s: float = 0.0
    elapsed_s: float = 0.0
    moves: int = 0
    lost_connections: int = 0
    latest_send_ms: float = 0.0


@attrs.define
class _Queues:
    """The waiting requests of each session."""

    waiting: dict[tuple[str, int], asyncio.Queue[Arrival | None]]
    latest_send_ms: float = 0.0


async def run_experiment(experiment: Experiment, targets: Targets) -> RunResult:
    """Run the load once, and judge it.

    Parameters
    ----------
    experiment : Experiment
        The load and its faults.
    targets : Targets
        Where it goes.

    Returns
    -------
    RunResult
        All samples and the judgement.
    """
    loop = asyncio.get_running_loop()
    run = secrets.token_hex(4)
    result = RunResult(experiment, [], Ledger())
    reads_before = await read_counts(targets)
    idle_cores = await _measure_idle_cores(targets)
    cpu_before_s = read_cpu_s(targets.measured_pids)
    started_s = loop.time()
    world = World(
        experiment,
        targets,
        run,
        result.ledger,
        lambda: (loop.time() - started_s) * 1000,
    )
    faults = asyncio.create_task(run_faults(experiment, targets, started_s))
    await _run_sessions(world, result)
    result.faults = await faults
    result.elapsed_s = loop.time() - started_s
    result.cpu_s = read_cpu_s(targets.measured_pids) - cpu_before_s
    result.idle_cpu_s = idle_cores * result.elapsed_s
    reads_after = await read_counts(targets)
    if reads_before is not None and reads_after is not None:
        result.reads = reads_after.minus(reads_before)
    rows = await dump_markers(experiment, targets, run)
    result.judgement = None if rows is None else judge(result.ledger, rows)
    return result


async def _measure_idle_cores(targets: Targets) -> float:
    if targets.idle_s <= 0:
        return 0.0
    before_s = read_cpu_s(targets.measured_pids)
    await asyncio.sleep(targets.idle_s)
    return (read_cpu_s(targets.measured_pids) - before_s) / targets.idle_s


async def _run_sessions(world: World, result: RunResult) -> None:
    sessions = [
        Session(load.name, index, number + index)
        for number, load in enumerate(world.experiment.organisations)
        for index in range(load.sessions)
    ]
    queues = _Queues(
        {(session.organisation, session.index): asyncio.Queue() for session in sessions}
    )
    workers = [
        asyncio.create_task(_serve_session(world, session, queues, result))
        for session in sessions
    ]
    await _dispatch(world, queues, result)
    for queue in queues.waiting.values():
        queue.put_nowait(None)
    _, late = await asyncio.wait(workers, timeout=DRAIN_LIMIT_S)
    for worker in late:
        worker.cancel()
    for outcome in await asyncio.gather(*workers, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    result.latest_send_ms = queues.latest_send_ms
    result.moves = sum(session.moves for session in sessions)
    result.lost_connections = sum(session.lost_connections for session in sessions)


async def _dispatch(world: World, queues: _Queues, result: RunResult) -> None:
    limit = world.experiment.queue_limit
    for arrival in make_schedule(world.experiment):
        wait_ms = arrival.at_ms - world.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000)
        queues.latest_send_ms = max(
            queues.latest_send_ms, world.now_ms() - arrival.at_ms
        )
        queue = queues.waiting[arrival.organisation, arrival.session]
        if queue.qsize() < limit:
            queue.put_nowait(arrival)
        else:
            result.samples.append(Sample(arrival, Told.NOT_SENT, world.now_ms()))
    remaining_ms = world.experiment.duration_s * 1000 - world.now_ms()
    await asyncio.sleep(max(0.0, remaining_ms / 1000))


async def _serve_session(
    world: World, session: Session, queues: _Queues, result: RunResult
) -> None:
    queue = queues.waiting[session.organisation, session.index]
    every_ms = world.experiment.roaming.every_s * 1000
    # Sessions move at different times, so that not all meet at one address.
    next_move_ms = every_ms * (1 + session.index % 7 / 7) if every_ms else float("inf")
    arrival: Arrival | None = None
    try:
        while (arrival := await queue.get()) is not None:
            if world.now_ms() >= next_move_ms:
                next_move_ms += every_ms
                await move_session(world, session)
            told = await perform(world, session, arrival)
            result.samples.append(Sample(arrival, told, world.now_ms()))
    except asyncio.CancelledError:
        _record_abandoned(world, arrival, queue, result)
    finally:
        if session.connection is not None:
            with contextlib.suppress(OSError):
                session.connection.close()


def _record_abandoned(
    world: World,
    running: Arrival | None,
    queue: asyncio.Queue[Arrival | None],
    result: RunResult,
) -> None:
    """Record what had no answer when the run ended."""
    now_ms = world.now_ms()
    if running is not None:
        result.samples.append(Sample(running, Told.TIMED_OUT, now_ms))
        if running.operation.is_write:
            marker = f"{world.run}-{running.organisation}-{running.number}"
            write = Write(
                marker, running.operation, running.organisation, Told.TIMED_OUT
            )
            result.ledger.add_write(write, now_ms)
    while not queue.empty():
        arrival = queue.get_nowait()
        if arrival is not None:
            result.samples.append(Sample(arrival, Told.NOT_SENT, now_ms))
