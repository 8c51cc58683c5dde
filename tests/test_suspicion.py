"""Guards the suspicion of members: early after refusals, late without responses."""

from __future__ import annotations

import pytest

from radishtrack.group.detection import Suspicion


def make_suspicion() -> Suspicion:
    suspicion = Suspicion()
    suspicion.set_members(("m1",), 0.0)
    return suspicion


@pytest.mark.parametrize(("now_ms", "expected"), [(1499.0, False), (1500.0, True)])
def test_unresponsive_member_is_suspected_late(now_ms: float, expected: bool) -> None:
    suspicion = make_suspicion()
    suspicion.record_no_response("m1")
    assert suspicion.is_suspected("m1", now_ms) is expected


@pytest.mark.parametrize(("now_ms", "expected"), [(599.0, False), (600.0, True)])
def test_member_that_refuses_connections_is_suspected_early(
    now_ms: float, expected: bool
) -> None:
    suspicion = make_suspicion()
    suspicion.record_refusal("m1", 100.0)
    suspicion.record_refusal("m1", 350.0)
    assert suspicion.is_suspected("m1", now_ms) is expected


def test_single_refusal_is_not_enough() -> None:
    """A failing host may refuse one connection; only lasting refusals count."""
    suspicion = make_suspicion()
    suspicion.record_refusal("m1", 100.0)
    suspicion.record_no_response("m1")
    assert not suspicion.is_suspected("m1", 1499.0)


def test_restarted_member_is_not_suspected() -> None:
    suspicion = make_suspicion()
    suspicion.record_refusal("m1", 100.0)
    suspicion.record_healthy_status("m1", 400.0)
    assert not suspicion.is_suspected("m1", 1000.0)
