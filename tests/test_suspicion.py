"""Guards when a member is suspected: early for a dead process, late for silence."""

from __future__ import annotations

import pytest

from radishtrack.group.detection import Suspicion


def make_suspicion() -> Suspicion:
    suspicion = Suspicion()
    suspicion.set_members(("m1",), 0.0)
    return suspicion


@pytest.mark.parametrize(("now_ms", "expected"), [(1499.0, False), (1500.0, True)])
def test_silence_is_suspected_late(now_ms: float, expected: bool) -> None:
    suspicion = make_suspicion()
    suspicion.unresponsive("m1")
    assert suspicion.is_suspected("m1", now_ms) is expected


@pytest.mark.parametrize(("now_ms", "expected"), [(599.0, False), (600.0, True)])
def test_refused_connections_are_suspected_early(now_ms: float, expected: bool) -> None:
    suspicion = make_suspicion()
    suspicion.refused("m1", 100.0)
    suspicion.refused("m1", 350.0)
    assert suspicion.is_suspected("m1", now_ms) is expected


def test_one_refusal_in_silence_is_not_enough() -> None:
    """A host that dies shows a refusal or none; only lasting refusals count."""
    suspicion = make_suspicion()
    suspicion.refused("m1", 100.0)
    suspicion.unresponsive("m1")
    assert not suspicion.is_suspected("m1", 1499.0)


def test_a_restarted_member_is_trusted_again() -> None:
    suspicion = make_suspicion()
    suspicion.refused("m1", 100.0)
    suspicion.answered("m1", 400.0)
    assert not suspicion.is_suspected("m1", 1000.0)
