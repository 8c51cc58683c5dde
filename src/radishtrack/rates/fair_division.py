"""Max-min fair division of a rate over demands."""

from __future__ import annotations


def divide_fairly(demands: dict[str, float], rate: float) -> dict[str, float]:
    """Return each holder's part of `rate`, by max-min fairness.

    Parameters
    ----------
    demands : dict of str to float
        Requests a second that each holder asks for.
    rate : float
        Requests a second to divide.

    Returns
    -------
    dict of str to float
        No holder gets more than its demand, and a holder that gets less than its
        demand gets at least as much as every other.
    """
    parts: dict[str, float] = {}
    left = rate
    by_demand = sorted(demands.items(), key=_demand_of)
    for index, (holder, demand) in enumerate(by_demand):
        parts[holder] = min(demand, left / (len(by_demand) - index))
        left -= parts[holder]
    return parts


def _demand_of(item: tuple[str, float]) -> float:
    return item[1]
