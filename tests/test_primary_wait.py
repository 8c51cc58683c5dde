"""Tests which work waits for an absent primary, and which is refused at once."""

from __future__ import annotations

from radishtrack.pooler.scheduling.primary_wait import PrimaryWait

OBJECTIVE_MS = 153.0
EVIDENCE_MS = 0.2 * OBJECTIVE_MS
WAIT_MS = 3 * OBJECTIVE_MS


def play_absence(wait: PrimaryWait, from_ms: float, to_ms: float) -> list[float]:
    """Return the time that each arrival of a statement every 10 ms loses.

    It is negative for statements that are served once the primary is back.
    """
    times = []
    for at_ms in range(int(from_ms), int(to_ms), 10):
        wait.observe(False, at_ms)
        until = wait.wait_until_ms(at_ms, at_ms + EVIDENCE_MS, at_ms + WAIT_MS)
        times.append(at_ms - to_ms if until >= to_ms else until - at_ms)
    wait.observe(True, to_ms)
    return times


def test_work_waits_only_if_the_primary_is_expected_in_time() -> None:
    """A primary is away for 1.5 s; before, all work waited 31 ms and was refused."""
    times = play_absence(PrimaryWait(), 1_000.0, 2_500.0)
    served = [time for time in times if time < 0]
    refused = [time for time in times if time >= 0]
    assert len(served) >= 45
    assert max(refused) <= EVIDENCE_MS
    # Only until an absence is told apart from a gap in the evidence.
    assert sum(time > 0 for time in refused) <= 30


def test_the_duration_of_promotions_is_learned() -> None:
    """Work must not be refused for 1.5 s if promotions take 0.6 s."""
    wait = PrimaryWait()
    for number in range(5):
        times = play_absence(wait, 10_000.0 * number, 10_000.0 * number + 600.0)
    assert sum(time < 0 for time in times) >= 40


def test_a_gap_in_the_evidence_is_not_learned_as_a_promotion() -> None:
    wait = PrimaryWait()
    play_absence(wait, 0.0, 50.0)
    assert wait.expected_ms == PrimaryWait().expected_ms


def test_work_is_refused_at_once_if_the_primary_stays_away() -> None:
    """An absence of 20 s must not make each statement wait for its deadline."""
    times = play_absence(PrimaryWait(), 0.0, 20_000.0)
    late = times[400:]
    assert all(time == 0 for time in late if time >= 0)
    # From 1,836 ms on, the overdue absence is expected to outlast each deadline.
    assert sum(time > 0 for time in times) <= 31 + 140
