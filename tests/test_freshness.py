"""Guards that a node that may have missed a revocation refuses requests."""

from __future__ import annotations

import math

from pytest_bdd import given, parsers, scenarios, then

from radishtrack.keys.freshness import (
    Freshness,
    PeerContact,
    Refuse,
    Serve,
    ServeOnPeersWord,
    decide_freshness,
)

NOW_MS = 1_000_000_000.0
REASONS = {
    "refuse silent": "heard from",
    "refuse copy": "no copy",
    "refuse age": "older than 24 h",
}

scenarios("features/freshness.feature")


def read_time(seconds: str) -> float:
    return -math.inf if seconds == "-" else NOW_MS - float(seconds) * 1_000


def read_contact(text: str) -> PeerContact:
    heard, platform, copy = text.split(":")
    return PeerContact("p", read_time(heard), platform == "down", read_time(copy))


@given(
    parsers.parse("the platform answered {contact} seconds ago"),
    target_fixture="contact_ms",
)
def contact_ms(contact: str) -> float:
    return read_time(contact)


@given(
    parsers.re(r'the contacts with peers are "(?P<peers>.*)" of (?P<count>\d+) peers'),
    target_fixture="decision",
)
def decide(contact_ms: float, peers: str, count: str) -> Freshness:
    contacts = [read_contact(text) for text in peers.split()]
    return decide_freshness(NOW_MS, contact_ms, contacts, int(count))


@then(parsers.parse('the node decides "{expected}"'))
def check_decision(decision: Freshness, expected: str) -> None:
    match decision:
        case Serve():
            assert expected == "serve"
        case ServeOnPeersWord(platform_down=down):
            assert expected == ("outage" if down else "peers")
        case Refuse(reason=reason):
            assert REASONS[expected] in reason
