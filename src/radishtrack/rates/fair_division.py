"""Max-min fair division of a rate over demands."""

from __future__ import annotations


def divide_fairly(demands: dict[str, float], rate: float) -> dict[str, float]:
    """Return each holder's max-min fair share of `rate`.

    Parameters
    ----------
    demands : dict of str to float
        Demand of each holder, in requests per second.
    rate : float
        Rate to divide, in requests per second.

    Returns
    -------
    dict of str to float
        No holder gets more than its demand, and a holder that gets less than its
        demand gets at least as much as every other.
    """
    shares: dict[str, float] = {}
    remaining = rate
    by_demand = sorted(demands.items(), key=_demand_of)
    for index, (holder, demand) in enumerate(by_demand):
        shares[holder] = min(demand, remaining / (len(by_demand) - index))
        remaining -= shares[holder]
    return shares


def _demand_of(item: tuple[str, float]) -> float:
    return item[1]
