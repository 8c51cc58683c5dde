"""Guards the view of the fleet and the placement of slots."""

from __future__ import annotations

import collections

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.membership.nodes import (
    LEAVING_VALID_MS,
    REFUSED_VALID_MS,
    Membership,
    Node,
    make_membership,
)
from radishtrack.membership.placement import (
    make_placement,
    place_slots,
    rank_voters,
)

DATABASES = [f"db-{number}" for number in range(60)]


def make_nodes(count: int, zones: int = 3) -> list[Node]:
    return [Node(f"n{n:03}", f"z{n % zones}", "r", f"h:{n}") for n in range(count)]


NODES = make_nodes(40)


def test_slots_are_on_different_nodes_and_zones() -> None:
    zones = {node.id: node.zone for node in NODES}
    for database in DATABASES:
        holders = place_slots(database, "r", 3, NODES)
        assert len({zones[node_id] for node_id in holders}) == 3
        holders = place_slots(database, "r", 7, NODES)
        assert len(set(holders)) == 7
        spread = collections.Counter(zones[node_id] for node_id in holders)
        assert sorted(spread.values()) == [2, 2, 3]


def test_other_regions_and_leaving_nodes_get_no_slots() -> None:
    nodes = [
        Node("a", "z", "r"),
        Node("b", "z", "s"),
        Node("c", "z", "r", leaving=True),
    ]
    assert place_slots("db", "r", 2, nodes) == ("a",)
    assert place_slots("db", "t", 2, nodes) == ()


@pytest.mark.parametrize(("slots", "voters"), [(1, 3), (2, 3), (3, 3), (5, 5)])
def test_voters_are_the_holders_and_at_least_three(slots: int, voters: int) -> None:
    for database in DATABASES:
        ranked = rank_voters(database, "r", slots, NODES)
        assert len(ranked) == voters
        assert ranked[:slots] == place_slots(database, "r", slots, NODES)


def test_placement_does_not_depend_on_the_order_of_nodes() -> None:
    for database in DATABASES:
        expected = place_slots(database, "r", 3, NODES)
        assert place_slots(database, "r", 3, NODES[::-1]) == expected


@pytest.mark.parametrize("slots", [2, 3, 4])
def test_only_the_slots_of_a_lost_node_move(slots: int) -> None:
    for lost in NODES[::7]:
        rest = [node for node in NODES if node is not lost]
        for database in DATABASES:
            before = set(place_slots(database, "r", slots, NODES))
            after = set(place_slots(database, "r", slots, rest))
            assert before - after == before & {lost.id}


def test_slots_are_spread_evenly() -> None:
    slot_counts = collections.Counter(
        node_id
        for number in range(600)
        for node_id in place_slots(f"d{number}", "r", 2, NODES)
    )
    assert len(slot_counts) == len(NODES)
    assert max(slot_counts.values()) <= 60


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.sets(st.integers(0, 11), max_size=12), min_size=1, max_size=6),
    st.sets(st.integers(0, 11)),
)
def test_cached_orders_equal_computed_ones(
    views: list[set[int]], moved: set[int]
) -> None:
    """Nodes join, disappear, leave and return in another zone."""
    placement = make_placement(NODES[:12])
    for round_number, view in enumerate(views):
        nodes = [
            attrs.evolve(
                NODES[n],
                leaving=n % 5 == round_number,
                zone=f"z{round_number}" if n in moved else NODES[n].zone,
            )
            for n in view
        ]
        placement.set_nodes(nodes)
        for database in DATABASES[:5]:
            assert placement.place_slots(database, "r", 2) == place_slots(
                database, "r", 2, nodes
            )
            assert placement.rank_voters(database, "r", 2) == rank_voters(
                database, "r", 2, nodes
            )
    assert not placement.set_nodes(nodes)
    placement.retain_databases(DATABASES[:1])
    assert {key[0] for key in placement.orders} <= {DATABASES[0]}


def make_view() -> Membership:
    membership = make_membership(Node("own", "z0", "r"))
    membership.apply_list(make_nodes(3))
    return membership


def list_avoided(membership: Membership, now_ms: float) -> list[str]:
    return [node.id for node in membership.list_nodes(now_ms) if node.leaving]


def test_own_node_is_known_before_the_platform_lists_it() -> None:
    membership = make_view()
    assert [node.id for node in membership.list_nodes(0)] == [
        "n000",
        "n001",
        "n002",
        "own",
    ]
    membership.leave()
    membership.apply_list([Node("own", "z0", "r"), *make_nodes(3)])
    assert list_avoided(membership, 0) == ["own"]
    assert membership.find_node("n001") == NODES[1]
    assert membership.find_node("none") is None


def test_refused_connection_expires() -> None:
    membership = make_view()
    membership.record_refusal("n001", 0)
    assert list_avoided(membership, REFUSED_VALID_MS - 1) == ["n001"]
    assert list_avoided(membership, REFUSED_VALID_MS) == []
    membership.record_refusal("n001", 0)
    membership.record_response("n001", 0)
    assert list_avoided(membership, 1) == []


def test_response_of_an_earlier_incarnation_is_ignored() -> None:
    membership = make_view()
    membership.record_response("n001", 7)
    membership.record_refusal("n001", 0)
    membership.record_response("n001", 6)
    assert list_avoided(membership, 1) == ["n001"]


def test_node_is_leaving_until_a_later_incarnation_responds() -> None:
    membership = make_view()
    membership.record_leaving("n001", 7, 0)
    membership.record_response("n001", 7)
    assert list_avoided(membership, 1) == ["n001"]
    membership.record_response("n001", 6)
    assert list_avoided(membership, 1) == ["n001"]
    membership.record_response("n001", 8)
    assert list_avoided(membership, 1) == []
    membership.record_leaving("n001", 7, 2)
    assert list_avoided(membership, 3) == []


def test_leaving_message_expires_and_is_dropped_with_the_listing() -> None:
    membership = make_view()
    membership.record_leaving("n001", 7, 0)
    assert list_avoided(membership, LEAVING_VALID_MS) == []
    membership.apply_list(make_nodes(1))
    membership.apply_list(make_nodes(3))
    assert list_avoided(membership, 1) == []


def test_leaving_mark_of_the_platform_is_kept() -> None:
    membership = make_view()
    membership.apply_list([attrs.evolve(NODES[1], leaving=True)])
    membership.record_response("n001", 9)
    assert list_avoided(membership, 1) == ["n001"]
