"""Schedule of overlapping faults, determined by a seed."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final

import attrs

FAULTS_PER_S: Final = 1.2
"""With the durations below, about two faults are active at any time."""
MIN_DURATION_S: Final = 0.3
MAX_DURATION_S: Final = 3.5
"""Above all timeouts of a node, so that faults can end before or after each."""
REPEAT_PROBABILITY: Final = 0.3
"""Probability that a fault repeats soon after with the same node and target."""
WEIGHTS: Final = {
    "kill": 2,
    "terminate": 1,
    "freeze": 2,
    "crash": 1,
    "crash_primary": 2,
    "isolate_primary": 2,
    "store_down": 1,
    "store_slow": 1,
    "store_loses_answers": 1,
    "cut": 3,
    "cut_one_way": 2,
    "delay": 2,
    "reset": 2,
    "answer_lost": 3,
    "rate": 1,
}
PROMOTION_ALLOWANCE_S: Final = 4.0
"""Added to faults of a primary, so that they outlast a change of primary."""
PRIMARY_FAULTS: Final = frozenset({"crash_primary", "isolate_primary"})
RESTORED: Final = "store_restored"
"""Kind of the faults that `draw_restores` returns."""
MAX_AWAY_S: Final = 2.0
LINK_FAULTS: Final = frozenset({"cut", "cut_one_way", "delay", "reset"})


@attrs.frozen
class Fault:
    """One fault.

    Parameters
    ----------
    at_s : float
        Time from the start of the faults until it begins.
    duration_s : float
        Duration.
    kind : str
        A key of `WEIGHTS`, or `RESTORED`.
    node, target : str
        The node, and the member or the other end of the node's link.
    strength : float
        Strength between 0 and 1; its meaning depends on the kind.
    """

    at_s: float
    duration_s: float
    kind: str
    node: str
    target: str
    strength: float


def draw_faults(
    seed: int, length_s: float, nodes: Sequence[str], members: Sequence[str]
) -> list[Fault]:
    """Return the faults of a run, sorted by start time."""
    random = Random(seed)
    faults = list(_generate_faults(random, length_s, nodes, members))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_restores(
    seed: int, length_s: float, count: int, nodes: Sequence[str]
) -> list[Fault]:
    """Return restores of the store; they change no other fault of the seed."""
    random = Random(f"{seed}/restores")
    faults = [
        Fault(
            at_s=random.uniform(0.2, 1.0) * length_s,
            duration_s=random.uniform(MIN_DURATION_S, MAX_AWAY_S),
            kind=RESTORED,
            node=nodes[0],
            target="store",
            strength=random.random(),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def _generate_faults(
    random: Random, length_s: float, nodes: Sequence[str], members: Sequence[str]
) -> Iterator[Fault]:
    for _ in range(int(length_s * FAULTS_PER_S)):
        kind = random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        node = random.choice(nodes)
        targets = members
        if kind in LINK_FAULTS:
            targets = [*members, "store", *(other for other in nodes if other != node)]
        fault = Fault(
            at_s=random.uniform(0.0, length_s),
            duration_s=random.uniform(MIN_DURATION_S, MAX_DURATION_S)
            + (PROMOTION_ALLOWANCE_S if kind in PRIMARY_FAULTS else 0.0),
            kind=kind,
            node=node,
            target=random.choice(targets),
            strength=random.random(),
        )
        yield fault
        if random.random() < REPEAT_PROBABILITY:
            yield attrs.evolve(fault, at_s=fault.at_s + fault.duration_s + 0.2)
