"""Tests that a node refuses requests if it may have missed a revocation."""

from __future__ import annotations

import math

import pytest
from pytest_bdd import given, parsers, scenarios, then

from radishtrack.keys.contact import DECISION_VALID_MS, make_contact_state
from radishtrack.keys.freshness import (
    PLATFORM_UNREACHABLE_AFTER_MS,
    Freshness,
    PeerContact,
    Refuse,
    Serve,
    ServeOnPeersWord,
    decide_freshness,
)

NOW_MS = 1_000_000_000.0
REASONS = {
    "refuse peers": "heard from",
    "refuse copy": "no copy",
    "refuse age": "older than 24 h",
}

scenarios("features/freshness.feature")


def parse_time_ms(seconds: str) -> float:
    return -math.inf if seconds == "-" else NOW_MS - float(seconds) * 1_000


def parse_contact(text: str) -> PeerContact:
    contact, platform, copy = text.split(":")
    return PeerContact(
        "p", parse_time_ms(contact), platform == "down", parse_time_ms(copy)
    )


@given(
    parsers.parse("the platform responded {contact} seconds ago"),
    target_fixture="contact_ms",
)
def contact_ms(contact: str) -> float:
    return parse_time_ms(contact)


@given(
    parsers.re(r'the contacts with peers are "(?P<peers>.*)" of (?P<count>\d+) peers'),
    target_fixture="decision",
)
def decide(contact_ms: float, peers: str, count: str) -> Freshness:
    contacts = [parse_contact(text) for text in peers.split()]
    return decide_freshness(NOW_MS, contact_ms, contacts, int(count))


@then(parsers.parse('the node decides "{expected}"'))
def check_decision(decision: Freshness, expected: str) -> None:
    match decision:
        case Serve():
            assert expected == "serve"
        case ServeOnPeersWord(is_platform_down=down):
            assert expected == ("outage" if down else "peers")
        case Refuse(reason=reason):
            assert REASONS[expected] in reason


def test_node_refuses_until_it_first_reaches_the_platform() -> None:
    state = make_contact_state()
    assert state.check(0) is not None
    state.record_platform_contact(100)
    assert state.check(DECISION_VALID_MS) is None


def test_cut_off_node_uses_copies_of_peers_and_logs_each_change_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    state = make_contact_state()
    state.set_peers(frozenset({"a", "b"}))
    state.record_platform_contact(0)
    assert state.check(0) is None
    assert not state.is_platform_unreachable(
        PLATFORM_UNREACHABLE_AFTER_MS, PLATFORM_UNREACHABLE_AFTER_MS
    )
    for now_ms in (31_000, 31_100, 32_000):
        assert state.check(now_ms) is not None
    state.record_peer_contact("a", 32_000, is_platform_down=False, copy_age_ms=500)
    assert state.check(33_000) is None
    assert state.decision == ServeOnPeersWord(31_500, False)
    assert state.check(62_000) is not None
    assert caplog.text.count("R2003") == 2
    assert caplog.text.count("R2004") == 2


def test_late_responses_and_unknown_peers_are_ignored() -> None:
    state = make_contact_state()
    state.set_peers(frozenset({"a"}))
    state.record_peer_contact("a", 5_000, is_platform_down=True)
    state.record_peer_contact("a", 4_000, is_platform_down=False, copy_age_ms=0)
    assert state.peers["a"] == PeerContact("a", 5_000, True)
    state.record_peer_contact("stranger", 5_000, is_platform_down=True)
    state.set_peers(frozenset({"a"}))
    assert set(state.peers) == {"a"}
    state.record_platform_contact(7_000)
    state.record_platform_contact(6_000)
    assert state.platform_contact_ms == 7_000


def test_decision_is_cached_for_a_short_time() -> None:
    state = make_contact_state()
    state.record_platform_contact(0)
    assert state.check(30_000) is None
    assert state.check(30_000 + DECISION_VALID_MS - 1) is None
    assert state.check(30_000 + DECISION_VALID_MS) is not None


def test_partitioned_region_continues_to_serve() -> None:
    """If all regions counted, the smaller one would refuse all requests."""
    state = make_contact_state()
    state.record_platform_contact(0.0)
    fleet = frozenset({"a", "b", "x1", "x2", "x3", "x4"})
    state.set_peers(fleet, frozenset({"a", "b"}))
    for peer in ("a", "b"):
        state.record_peer_contact(peer, 99_000.0, is_platform_down=True)
    assert state.check(100_000.0) is None
    state.set_peers(fleet)
    assert state.check(101_000.0) is not None
