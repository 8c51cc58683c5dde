"""Series of overlapping faults that a seed determines."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final

import attrs

FAULTS_PER_S: Final = 1.2
"""With their lengths below, about two faults are in force at any time."""
SHORTEST_S: Final = 0.3
LONGEST_S: Final = 3.5
"""Longer than all timeouts of a node, so that both sides of each are met."""
SERIES_SHARE: Final = 0.3
"""Part of the faults that come again soon after at the same place."""
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
PROMOTION_S: Final = 4.0
"""A primary stays away for at least as long, which a change of primary needs."""
PRIMARY_FAULTS: Final = frozenset({"crash_primary", "isolate_primary"})
LINK_FAULTS: Final = frozenset({"cut", "cut_one_way", "delay", "reset"})


@attrs.frozen
class Fault:
    """One fault.

    Parameters
    ----------
    at_s : float
        When it begins, from the start of the run.
    for_s : float
        How long it lasts.
    kind : str
        A key of `WEIGHTS`.
    node, target : str
        The node, and the other end of its link or the member.
    strength : float
        Between 0 and 1; what it means depends on the kind.
    """

    at_s: float
    for_s: float
    kind: str
    node: str
    target: str
    strength: float


def draw_faults(
    seed: int, length_s: float, nodes: Sequence[str], members: Sequence[str]
) -> list[Fault]:
    """Return the faults of a run in the order of their times."""
    random = Random(seed)
    faults = list(_draw(random, length_s, nodes, members))
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw(
    random: Random, length_s: float, nodes: Sequence[str], members: Sequence[str]
) -> Iterator[Fault]:
    for _ in range(int(length_s * FAULTS_PER_S)):
        kind = random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        node = random.choice(nodes)
        ends = members
        if kind in LINK_FAULTS:
            ends = [*members, "store", *(other for other in nodes if other != node)]
        fault = Fault(
            at_s=random.uniform(0.0, length_s),
            for_s=random.uniform(SHORTEST_S, LONGEST_S)
            + (PROMOTION_S if kind in PRIMARY_FAULTS else 0.0),
            kind=kind,
            node=node,
            target=random.choice(ends),
            strength=random.random(),
        )
        yield fault
        if random.random() < SERIES_SHARE:
            yield attrs.evolve(fault, at_s=fault.at_s + fault.for_s + 0.2)
