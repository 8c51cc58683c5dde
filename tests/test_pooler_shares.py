"""Tests that no token of a rate is used twice if messages are lost or late."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.pooler.catalog import Organisation
from radishtrack.pooler.rate_limit import RateLimiter, RateToken
from radishtrack.pooler.shares import DELEGATION_MS, GRANT_MS, make_rate_coordinator
from radishtrack.rates.bucket import make_empty_bucket
from radishtrack.rates.messages import MICRO

ORGANISATION = Organisation("verksted", rate_per_s=40.0, burst=40.0)
CONFIGURED = {"verksted": ORGANISATION}
NODES = ("edge-1", "edge-2", "edge-3", "edge-4")
RUN_MS = 12_000
STEP_MS = 20
SECOND_MS = 1_000
WINDOW_MS = 5_000
FLEET_NODES = 30


def count_most_admitted(times: list[int], window_ms: int) -> int:
    return max(
        sum(start <= time <= start + window_ms for time in times) for start in times
    )


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    loss=st.sampled_from([0.0, 0.2, 0.7]),
    demand=st.sampled_from([0.1, 0.5, 1.0]),
    delay_ms=st.sampled_from([0, 40, 200]),
    refunds=st.sampled_from([0.0, 0.5, 0.9]),
)
def test_all_nodes_together_stay_within_rate_and_burst(
    seed: int, loss: float, demand: float, delay_ms: int, refunds: float
) -> None:
    """Requests and responses are lost or late, and one node restarts.

    A fraction of the operations is refused within 600 ms, before anything was sent.
    """
    random = Random(seed).random
    coordinator = make_rate_coordinator(1, 0.0)
    coordinator.configure(CONFIGURED, NODES, 0.0)
    limiters = {name: RateLimiter() for name in NODES}
    replies = dict.fromkeys(NODES, 0)
    for limiter in limiters.values():
        limiter.configure(CONFIGURED, len(NODES), 0.0)
    responses: list[tuple[int, str, int, int, object]] = []
    admitted: list[int] = []
    refused: list[tuple[int, RateLimiter, RateToken]] = []
    for now in range(0, RUN_MS, STEP_MS):
        for ended in [r for r in refused if r[0] <= now]:
            refused.remove(ended)
            ended[1].refund(ended[2], now)
        if now == RUN_MS // 2:
            limiters["edge-1"] = RateLimiter()
            limiters["edge-1"].configure(CONFIGURED, len(NODES), now)
            replies["edge-1"] = 0
            responses = [response for response in responses if response[1] != "edge-1"]
        for response in [a for a in responses if a[0] <= now]:
            responses.remove(response)
            _, name, requested_ms, reply, granted = response
            replies[name] = max(replies[name], reply)
            limiters[name].record_grants(granted, requested_ms, now)  # type: ignore[arg-type]
        for name, limiter in limiters.items():
            while random() < demand and (token := limiter.acquire("verksted", now)):
                if random() < refunds:
                    refused.append((now + int(600 * random()), limiter, token))
                else:
                    admitted.append(now)
            if now % 100 == 0:
                limiter.add_waiting("verksted", 5)
                requested = limiter.collect_requests(now)
                limiter.add_waiting("verksted", -5)
                if random() >= loss:
                    reply, granted = coordinator.exchange(
                        name, len(NODES), replies[name], requested, now
                    )
                    if random() >= loss:
                        responses.append((now + delay_ms, name, now, reply, granted))
    if admitted:
        most = count_most_admitted(admitted, WINDOW_MS)
        assert most <= ORGANISATION.burst + ORGANISATION.rate_per_s * WINDOW_MS / 1000


def test_delegated_shares_follow_the_demand() -> None:
    """One node may need the whole rate of an organisation."""
    coordinator = make_rate_coordinator(1, 0.0)
    coordinator.configure(CONFIGURED, NODES, 0.0)
    for round_ms in (0.0, 10.0):
        for name in NODES:
            coordinator.exchange(name, len(NODES), int(round_ms > 0), (), round_ms)
    for now in range(100, 900, 100):
        for name in NODES[1:]:
            number, _ = coordinator.exchange(
                name, len(NODES), coordinator.delegations[name].last_reply, (), now
            )
            assert number
        _, granted = coordinator.exchange(
            NODES[0],
            len(NODES),
            coordinator.delegations[NODES[0]].last_reply,
            (("verksted", 100),),
            now,
        )
        assert granted[0][1] >= 3


def test_node_uses_its_own_share_after_the_delegation_expires() -> None:
    """Without the coordinator, organisations keep the even share at each node."""
    limiter = RateLimiter()
    limiter.configure(CONFIGURED, len(NODES), 0.0)
    limiter.record_grants((("verksted", 2, 0.0),), 0.0, 10.0)
    assert limiter.acquire("verksted", 20.0) and limiter.acquire("verksted", 20.0)
    assert not limiter.acquire("verksted", 20.0)
    assert not limiter.acquire("verksted", 10.0 + DELEGATION_MS - 1)
    assert limiter.acquire("verksted", 10.0 + DELEGATION_MS + 150.0)


def test_granted_tokens_expire() -> None:
    """A paused node must not use tokens that the coordinator counts as expired."""
    limiter = RateLimiter()
    limiter.configure(CONFIGURED, len(NODES), 0.0)
    limiter.record_grants((("verksted", 5, 0.0),), 0.0, 10.0)
    assert not limiter.acquire("verksted", GRANT_MS)


def test_a_refunded_token_is_used_once_within_its_validity() -> None:
    """A statement that never ran must not be charged again when it is retried."""
    limiter = RateLimiter()
    limiter.configure(CONFIGURED, len(NODES), 0.0)
    limiter.record_grants((("verksted", 2, 0.0),), 0.0, 10.0)
    token = limiter.acquire("verksted", 20.0)
    assert token is not None and limiter.acquire("verksted", 20.0)
    assert token.expires_ms is not None
    assert limiter.refund(token, 30.0)
    assert limiter.acquire("verksted", 40.0) and not limiter.acquire("verksted", 40.0)
    assert not limiter.refund(token, token.expires_ms)
    own = limiter.acquire("verksted", 10.0 + DELEGATION_MS + 150.0)
    assert own is not None and not limiter.refund(own, 10.0 + DELEGATION_MS + 151.0)


def test_released_duty_ends_the_delegation() -> None:
    """Otherwise each planned stop of a coordinator would pause the rates."""
    limiter = RateLimiter()
    limiter.configure(CONFIGURED, len(NODES), 0.0)
    limiter.record_grants((), 0.0, 10.0)
    limiter.end_delegation(100.0)
    assert limiter.acquire("verksted", 300.0)


def test_returned_delegation_does_not_shorten_the_time_of_joining() -> None:
    """A new node whose coordinator stops used its share before the others knew it."""
    limiter = RateLimiter()
    limiter.configure(CONFIGURED, len(NODES), 0.0)
    limiter.defer_own_shares(1_000.0)
    limiter.record_grants((), 0.0, 10.0)
    limiter.end_delegation(100.0)
    assert not limiter.acquire("verksted", 900.0)
    assert not limiter.acquire("verksted", 1_050.0)
    assert limiter.acquire("verksted", 1_200.0)


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    loss=st.sampled_from([0.0, 0.3]),
    returned=st.sampled_from([0.0, 0.5, 1.0]),
    spread_ms=st.sampled_from([0, 300, 3_000]),
)
def test_two_coordinators_together_grant_no_more_than_one(
    seed: int, loss: float, returned: float, spread_ms: int
) -> None:
    """Nodes change from a replaced coordinator to its successor at different times."""
    random = Random(seed).random
    coordinators = {1: make_rate_coordinator(1, 0.0), 2: make_rate_coordinator(2, 0.0)}
    for coordinator in coordinators.values():
        coordinator.configure(CONFIGURED, NODES, 0.0)
    limiters = {name: RateLimiter() for name in NODES}
    epochs = dict.fromkeys(NODES, 0)
    replies = dict.fromkeys(NODES, 0)
    turns = {name: RUN_MS // 2 + int(random() * spread_ms) for name in NODES}
    for limiter in limiters.values():
        limiter.configure(CONFIGURED, len(NODES), 0.0)
    admitted: list[int] = []
    for now in range(0, RUN_MS, STEP_MS):
        for name, limiter in limiters.items():
            while limiter.acquire("verksted", now):
                admitted.append(now)
            if now % 100:
                continue
            target = 2 if now >= turns[name] else 1
            if target == 2 and epochs[name] == 1 and random() < returned:
                coordinators[1].remove_delegation(name, now)
                limiter.end_delegation(now)
            limiter.add_waiting("verksted", 50)
            requested = limiter.collect_requests(now)
            limiter.add_waiting("verksted", -50)
            if random() < loss:
                continue
            reply = replies[name] if epochs[name] == target else 0
            number, granted = coordinators[target].exchange(
                name, len(NODES), reply, requested, now
            )
            is_delegated_elsewhere = (
                epochs[name] != target and now < limiter.delegated_until_ms
            )
            if random() < loss or is_delegated_elsewhere:
                continue
            epochs[name], replies[name] = target, number
            limiter.record_grants(granted, now, now)
    most = count_most_admitted(admitted, WINDOW_MS)
    assert most <= ORGANISATION.burst + ORGANISATION.rate_per_s * WINDOW_MS / 1000
    if not loss:
        # Finally the successor grants the whole rate; lost grants expire unused.
        late = sum(time >= RUN_MS - SECOND_MS for time in admitted)
        assert late >= 0.9 * ORGANISATION.rate_per_s


@pytest.mark.parametrize("rate_per_s", [2.5, 3.0, 5.0, 10.0])
def test_small_organisation_is_served_below_its_rate(rate_per_s: float) -> None:
    """An organisation of a few tokens was refused far below its rate in a large fleet.

    The load is 0.6 of the rate, in random order at 30 nodes, and each operation waits
    for 150 ms at most. Compared with one token bucket in one place.
    """
    refused = _play_operations(rate_per_s, make_fleet_bucket(rate_per_s))
    least = _play_operations(rate_per_s, make_single_bucket(rate_per_s))
    assert refused <= least + 0.05


Step = Callable[[int, list[tuple[int, int]]], Callable[[int], bool]]
"""Prepares a step, given the time and the waiting operations with their nodes; returns
a function that acquires a token at a node."""


def make_single_bucket(rate_per_s: float) -> Step:
    bucket = make_empty_bucket(int(rate_per_s * MICRO), math.ceil(rate_per_s), 0.0)

    def acquire(_node: int) -> bool:
        if bucket.available() < 1:
            return False
        bucket.consume(1)
        return True

    def prepare(now: int, _waiting: list[tuple[int, int]]) -> Callable[[int], bool]:
        bucket.refill(now)
        return acquire

    return prepare


def make_fleet_bucket(rate_per_s: float) -> Step:
    nodes = [f"edge-{number}" for number in range(FLEET_NODES)]
    configured = {"small": Organisation("small", rate_per_s, rate_per_s)}
    coordinator = make_rate_coordinator(1, 0.0)
    coordinator.configure(configured, nodes, 0.0)
    limiters = [RateLimiter() for _ in nodes]
    for limiter in limiters:
        limiter.configure(configured, len(nodes), 0.0)
    replies, exchanged = [0] * len(nodes), [0] * len(nodes)

    def prepare(now: int, waiting: list[tuple[int, int]]) -> Callable[[int], bool]:
        for number, limiter in enumerate(limiters):
            count = sum(node == number for _, node in waiting)
            is_wanted = count and now >= limiter.next_request_ms("small")
            if not is_wanted and now - exchanged[number] < 300:
                continue
            exchanged[number] = now
            limiter.add_waiting("small", count)
            requested = limiter.collect_requests(now)
            limiter.add_waiting("small", -count)
            replies[number], granted = coordinator.exchange(
                nodes[number], len(nodes), replies[number], requested, now
            )
            limiter.record_grants(granted, now, now)
        return lambda number: limiters[number].acquire("small", now)

    return prepare


def _play_operations(rate_per_s: float, prepare: Step) -> float:
    """Return the share of operations that are refused at 0.6 of a rate."""
    random = Random(3).random
    waiting: list[tuple[int, int]] = []
    served = refused = 0
    for now in range(0, 120_000, 5):
        if random() < 0.6 * rate_per_s * 0.005:
            waiting.append((now, int(random() * FLEET_NODES)))
        acquire = prepare(now, waiting)
        for operation in list(waiting):
            arrived, node = operation
            if acquire(node):
                waiting.remove(operation)
                served += 1
            elif now - arrived >= 150:
                waiting.remove(operation)
                refused += 1
    return refused / (served + refused)
