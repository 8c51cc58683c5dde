"""Schedule of all requests, determined by the experiment and its seed."""

from __future__ import annotations

import enum
import heapq
import random
from collections.abc import Iterator

import attrs

from radishtrack.bench.experiment import Experiment, Mix, OrganisationLoad

MS_PER_S = 1000.0


class Operation(enum.Enum):
    """Kind of a request."""

    BOOKING = "booking"
    STATUS = "status"
    AGED = "aged"
    SESSION_READ = "session_read"
    RECEIPT = "receipt"

    @property
    def is_write(self) -> bool:
        """Whether the request inserts a row."""
        return self in (Operation.BOOKING, Operation.RECEIPT)


@attrs.define(frozen=True, order=True)
class Arrival:
    """One request of the open loop.

    Parameters
    ----------
    at_ms : float
        Intended send time from the start of the load, in milliseconds.
    organisation : str
        Organisation that sends it.
    session : int
        Index of the organisation's session that sends it.
    number : int
        Number of the request within the organisation.
    operation : Operation
        Kind of the request.
    is_within_rate : bool
        Whether a token bucket with the organisation's rate and burst admits it.
    """

    at_ms: float
    organisation: str
    session: int
    number: int
    operation: Operation = attrs.field(order=False)
    is_within_rate: bool = attrs.field(order=False)


def make_schedule(experiment: Experiment) -> Iterator[Arrival]:
    """Return all requests in the order of their send times.

    Each organisation is a separate Poisson process with its own random numbers, so
    adding an organisation does not change the requests of the others.
    """
    return heapq.merge(
        *(_iterate_arrivals(experiment, load) for load in experiment.organisations)
    )


def _iterate_arrivals(
    experiment: Experiment, load: OrganisationLoad
) -> Iterator[Arrival]:
    rng = random.Random(f"{experiment.seed} {load.name}")
    operations, weights = _split_mix(experiment.mix)
    # Arrivals at the highest rate are thinned to the current rate.
    factors = [o.factor for o in experiment.overloads if o.organisation == load.name]
    max_per_s = load.offered_per_s * max([1.0, *factors])
    tokens, last_refill_s, at_s, number = load.burst, 0.0, 0.0, 0
    while True:
        at_s += rng.expovariate(max_per_s)
        if at_s >= experiment.duration_s:
            return
        if rng.random() * max_per_s >= _offered_per_s(experiment, load, at_s):
            continue
        tokens = min(load.burst, tokens + (at_s - last_refill_s) * load.limit_per_s)
        last_refill_s = at_s
        is_within_rate = load.limit_per_s == 0 or tokens >= 1
        if is_within_rate:
            tokens -= 1
        yield Arrival(
            at_s * MS_PER_S,
            load.name,
            rng.randrange(load.sessions),
            number,
            rng.choices(operations, weights)[0],
            is_within_rate,
        )
        number += 1


def _offered_per_s(
    experiment: Experiment, load: OrganisationLoad, at_s: float
) -> float:
    factors = [
        overload.factor
        for overload in experiment.overloads
        if overload.organisation == load.name
        and overload.start_s <= at_s < overload.end_s
    ]
    factor = max(factors, default=1.0)
    return load.offered_per_s * factor


def _split_mix(mix: Mix) -> tuple[list[Operation], list[float]]:
    operations = list(Operation)
    return operations, [getattr(mix, operation.value) for operation in operations]
