"""Guards against duties of the whole fleet on nodes that are too small for them."""

from __future__ import annotations

import json

import pytest

from radishtrack.platform.settings import parse_settings
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.rank import find_first, rank_node, rank_nodes

SETTINGS = {
    "nodeName": "n1",
    "ip": "127.0.0.1",
    "zone": "oslo-a",
    "listen": {"frontend": "127.0.0.1:7000", "ready": "127.0.0.1:7001"},
    "internalPorts": [7002, 7003],
    "platform": {"address": "127.0.0.1:7004"},
    "cloudApi": {"address": "127.0.0.1:7005"},
    "bounds": {"graceS": 6},
}


def make_node(number: int, cores: float) -> NodeRecord:
    return NodeRecord(f"n{number}", "127.0.0.1", 7000 + number, "oslo-a", 1, cores)


def test_large_nodes_rank_before_small_ones() -> None:
    """A small coordinator does not respond while all nodes connect to it at once."""
    nodes = [
        make_node(number, 2.15 if number % 9 == 0 else 0.36) for number in range(90)
    ]
    ranked = rank_nodes("rates", nodes)
    assert [node.cores for node in ranked] == [2.15] * 10 + [0.36] * 80
    assert find_first("rates", nodes) == ranked[0]
    assert rank_node(ranked[-1].name, "rates", nodes) == 89
    assert rank_node(ranked[-1].name, "rates", nodes, ranked[-1].name) == 0
    assert rank_node("unknown", "rates", nodes) == 90


def test_nodes_of_similar_or_unknown_size_share_the_duties() -> None:
    """All duties on the largest of similar nodes would load that one for all."""
    similar = [make_node(number, 1.2 + 0.05 * number) for number in range(12)]
    unknown = [make_node(number, 0.0) for number in range(12)]
    for nodes in (similar, unknown):
        firsts = {find_first(f"duty-{number}", nodes) for number in range(60)}
        assert len(firsts) > 6


def test_cores_come_from_the_limits_in_the_settings() -> None:
    """A missing limit must not prevent the start."""
    limits = {"cpuQuota": 0.5, "cpuCores": 3}
    assert parse_settings(json.dumps(SETTINGS)).cores == 0.0
    assert parse_settings(json.dumps(SETTINGS | {"limits": limits})).cores == 1.5
    limits["linkMbps"] = 0
    assert parse_settings(json.dumps(SETTINGS | {"limits": limits})).cores == 1.5


@pytest.mark.parametrize(("link_mbps", "is_first"), [(10, False), (200, True)])
def test_a_node_with_a_small_link_ranks_after_the_others(
    link_mbps: float, is_first: bool
) -> None:
    """It took 4 s to pass a large configuration on to its zone."""
    limits = {"cpuQuota": 0.75, "cpuCores": 2, "linkMbps": link_mbps}
    cores = parse_settings(json.dumps(SETTINGS | {"limits": limits})).cores
    nodes = [make_node(0, cores), make_node(1, 2.15)]
    firsts = {find_first(f"duty-{number}", nodes) for number in range(20)}
    assert (nodes[0] in firsts) is is_first
