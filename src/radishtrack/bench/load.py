"""Open-loop load: requests are sent on schedule, whether or not others finished."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import Final

import attrs

from radishtrack.bench.client import (
    RunContext,
    Session,
    move_session,
    run_request,
)
from radishtrack.bench.experiment import Experiment, Targets
from radishtrack.bench.ledger import ClientOutcome, Judgement, Ledger, Write, judge
from radishtrack.bench.observe import (
    FaultRecord,
    ReadCounts,
    dump_markers,
    fetch_read_counts,
    inject_faults,
    read_cpu_s,
)
from radishtrack.bench.schedule import Arrival, make_schedule

FINISH_TIMEOUT_S: Final = 30.0


@attrs.define(frozen=True)
class Sample:
    """One finished request.

    Parameters
    ----------
    arrival : Arrival
        The request as scheduled.
    client_outcome : ClientOutcome
        Result as the client sees it.
    ended_ms : float
        Time of the result from the start of the load, in milliseconds.
    """

    arrival: Arrival
    client_outcome: ClientOutcome
    ended_ms: float

    @property
    def latency_ms(self) -> float:
        """Time from the intended send time to the result."""
        return max(0.0, self.ended_ms - self.arrival.at_ms)


@attrs.define
class RunResult:
    """Samples, ledger and measurements of one run of an experiment.

    `judgement` is None if the rows could not be read. `latest_send_ms` is the largest
    delay with which the load tool itself put a request into its queue.
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
    """Queued requests of each session."""

    by_session: dict[tuple[str, int], asyncio.Queue[Arrival | None]]
    latest_send_ms: float = 0.0


async def run_experiment(experiment: Experiment, targets: Targets) -> RunResult:
    """Run the load once and compare its ledger with the rows of the database.

    Parameters
    ----------
    experiment : Experiment
        The load and its faults.
    targets : Targets
        The deployment that serves it.

    Returns
    -------
    RunResult
        All samples, measurements and the judgement.
    """
    loop = asyncio.get_running_loop()
    run = secrets.token_hex(4)
    result = RunResult(experiment, [], Ledger())
    reads_before = await fetch_read_counts(targets)
    idle_cores = await _measure_idle_cores(targets)
    cpu_before_s = read_cpu_s(targets.measured_pids)
    started_s = loop.time()
    context = RunContext(
        experiment,
        targets,
        run,
        result.ledger,
        lambda: (loop.time() - started_s) * 1000,
    )
    faults = asyncio.create_task(inject_faults(experiment, targets, started_s))
    await _run_sessions(context, result)
    result.faults = await faults
    result.elapsed_s = loop.time() - started_s
    result.cpu_s = read_cpu_s(targets.measured_pids) - cpu_before_s
    result.idle_cpu_s = idle_cores * result.elapsed_s
    reads_after = await fetch_read_counts(targets)
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


async def _run_sessions(context: RunContext, result: RunResult) -> None:
    sessions = [
        Session(load.name, index, number + index)
        for number, load in enumerate(context.experiment.organisations)
        for index in range(load.sessions)
    ]
    queues = _Queues(
        {(session.organisation, session.index): asyncio.Queue() for session in sessions}
    )
    workers = [
        asyncio.create_task(_serve_session(context, session, queues, result))
        for session in sessions
    ]
    await _dispatch(context, queues, result)
    for queue in queues.by_session.values():
        queue.put_nowait(None)
    _, unfinished = await asyncio.wait(workers, timeout=FINISH_TIMEOUT_S)
    for worker in unfinished:
        worker.cancel()
    for outcome in await asyncio.gather(*workers, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    result.latest_send_ms = queues.latest_send_ms
    result.moves = sum(session.moves for session in sessions)
    result.lost_connections = sum(session.lost_connections for session in sessions)


async def _dispatch(context: RunContext, queues: _Queues, result: RunResult) -> None:
    limit = context.experiment.queue_limit
    for arrival in make_schedule(context.experiment):
        wait_ms = arrival.at_ms - context.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000)
        queues.latest_send_ms = max(
            queues.latest_send_ms, context.now_ms() - arrival.at_ms
        )
        queue = queues.by_session[arrival.organisation, arrival.session]
        if queue.qsize() < limit:
            queue.put_nowait(arrival)
        else:
            result.samples.append(
                Sample(arrival, ClientOutcome.NOT_SENT, context.now_ms())
            )
    remaining_ms = context.experiment.duration_s * 1000 - context.now_ms()
    await asyncio.sleep(max(0.0, remaining_ms / 1000))


async def _serve_session(
    context: RunContext, session: Session, queues: _Queues, result: RunResult
) -> None:
    queue = queues.by_session[session.organisation, session.index]
    every_ms = context.experiment.roaming.every_s * 1000
    # Staggered, so that the sessions do not all move to one address at once.
    next_move_ms = every_ms * (1 + session.index % 7 / 7) if every_ms else float("inf")
    arrival: Arrival | None = None
    try:
        while (arrival := await queue.get()) is not None:
            if context.now_ms() >= next_move_ms:
                next_move_ms += every_ms
                await move_session(context, session)
            client_outcome = await run_request(context, session, arrival)
            result.samples.append(Sample(arrival, client_outcome, context.now_ms()))
    except asyncio.CancelledError:
        _record_unfinished(context, arrival, queue, result)
    finally:
        if session.connection is not None:
            with contextlib.suppress(OSError):
                session.connection.close()


def _record_unfinished(
    context: RunContext,
    current: Arrival | None,
    queue: asyncio.Queue[Arrival | None],
    result: RunResult,
) -> None:
    """Record the requests that had no result when the run ended."""
    now_ms = context.now_ms()
    if current is not None:
        result.samples.append(Sample(current, ClientOutcome.TIMED_OUT, now_ms))
        if current.operation.is_write:
            marker = f"{context.run}-{current.organisation}-{current.number}"
            write = Write(
                marker, current.operation, current.organisation, ClientOutcome.TIMED_OUT
            )
            result.ledger.add_write(write, now_ms)
    while not queue.empty():
        arrival = queue.get_nowait()
        if arrival is not None:
            result.samples.append(Sample(arrival, ClientOutcome.NOT_SENT, now_ms))
