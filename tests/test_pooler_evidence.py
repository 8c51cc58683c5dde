"""Guards what a node may conclude from the reports of a group's members."""

from __future__ import annotations

import pytest

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.evidence import BELIEF_MS, GroupEvidence
from radishtrack.pooler.promotion import (
    RECEIVE_MS,
    STALLED_MS,
    ReplicationProgress,
    choose_successor,
    count_needed,
)
from radishtrack.session.position import Position

MEMBERS = frozenset({"a", "b", "c"})


def make_report(
    member: str,
    role: Role = Role.REPLICA,
    term: int = 1,
    sequence: int = 10,
    fenced_term: int = 0,
    position_term: int | None = None,
) -> MemberReport:
    position = Position(term if position_term is None else position_term, sequence)
    return MemberReport(member, term, fenced_term, role, position, 0.0)


def make_evidence(*reports: MemberReport, asked_ms: float = 100.0) -> GroupEvidence:
    evidence = GroupEvidence("g")
    evidence.set_members(MEMBERS)
    for report in reports:
        evidence.observe_report(report, asked_ms, asked_ms + 1)
    return evidence


PRIMARY = make_report("a", Role.PRIMARY)


@pytest.mark.parametrize(
    ("others", "is_current"),
    [
        ((), False),
        ((make_report("b"),), True),
        ((make_report("b", fenced_term=2),), False),
        ((make_report("b", fenced_term=2), make_report("c")), True),
        ((make_report("b", fenced_term=1),), True),
    ],
    ids=["alone", "one replica", "fenced", "one of two fenced", "old fence"],
)
def test_a_term_is_believed_on_the_word_of_two_unfenced_members(
    others: tuple[MemberReport, ...], is_current: bool
) -> None:
    """A primary that was replaced behind a cut goes on answering reads."""
    evidence = make_evidence(PRIMARY, *others)
    assert evidence.is_current(200.0) is is_current


@pytest.mark.parametrize(
    ("replicas", "others", "is_current"),
    [(0, "", False), (0, "b", True), (2, "b", False), (2, "bc", True)],
)
def test_how_many_members_a_term_is_believed_on(
    replicas: int, others: str, is_current: bool
) -> None:
    """Without synchronous replicas the word of the primary alone proved its term.

    On the bench a primary at 1.18 served a read after commit 2.11 then.
    """
    evidence = GroupEvidence("g", replicas, members=MEMBERS)
    for report in (PRIMARY, *(make_report(name) for name in others)):
        evidence.observe_report(report, 100.0, 101.0)
    assert evidence.is_current(200.0) is is_current


def test_belief_ends_with_the_age_of_the_older_report() -> None:
    """A promoter waits for exactly this time when a node does not answer."""
    evidence = make_evidence(PRIMARY, make_report("b"))
    evidence.observe_report(make_report("b"), 900.0, 901.0)
    assert evidence.is_current(100.0 + BELIEF_MS - 1)
    assert not evidence.is_current(100.0 + BELIEF_MS)


def test_withdrawn_belief_needs_new_reports() -> None:
    """A node that has agreed to a promotion may not serve on earlier evidence."""
    evidence = make_evidence(PRIMARY, make_report("b"))
    evidence.withdraw_belief(150.0)
    assert not evidence.is_current(151.0)
    evidence.observe_report(PRIMARY, 160.0, 161.0)
    evidence.observe_report(make_report("b"), 160.0, 161.0)
    assert evidence.is_current(170.0)


def test_an_announced_promotion_needs_the_word_of_every_member() -> None:
    """Members are taken out of their fence once a promotion has succeeded."""
    evidence = make_evidence(PRIMARY, make_report("b"))
    evidence.announced_term = 2
    assert not evidence.is_current(200.0)
    evidence.observe_report(make_report("c"), 100.0, 200.0)
    assert evidence.is_current(200.0)


def test_a_replica_that_hears_nothing_counts_while_it_is_not_fenced() -> None:
    """A deaf replica does not know the new term, but no promotion can pass it by."""
    evidence = make_evidence(make_report("a", Role.PRIMARY, term=4))
    evidence.observe_report(make_report("b", term=3), 100.0, 101.0)
    assert evidence.is_current(200.0)
    evidence.observe_report(make_report("b", Role.PRIMARY, term=3), 120.0, 121.0)
    assert not evidence.is_current(200.0)


def test_reports_of_a_new_member_do_not_lower_what_reads_must_contain() -> None:
    """Members that left took acknowledged commits along; new ones had less of the log.

    On the bench a replacement at 1.114 served reads after commit 2.144.
    """
    evidence = make_evidence(
        make_report("a", Role.PRIMARY, term=2, sequence=144),
        make_report("b", term=2, sequence=144),
    )
    evidence.set_members(frozenset({"d", "e"}))
    evidence.observe_report(make_report("d", term=2, sequence=114), 400.0, 401.0)
    evidence.observe_report(make_report("e", term=1, sequence=114), 400.0, 401.0)
    min_position = evidence.find_floor(1_000.0, 500.0)
    assert min_position == Position(2, 144)


def test_replicas_alone_tell_what_was_acknowledged() -> None:
    """Reads with an age go on for a while when the primary is gone."""
    evidence = make_evidence(PRIMARY, make_report("b"), make_report("c"))
    evidence.observe_report(make_report("b", sequence=12), 900.0, 901.0)
    evidence.observe_report(make_report("c", sequence=11), 950.0, 951.0)
    assert evidence.find_floor(500.0, 1_300.0) == Position(1, 12)
    assert evidence.find_floor(300.0, 1_300.0) is None


def test_a_member_that_lost_its_log_proves_nothing() -> None:
    """It may have been the only replica that received an acknowledged commit."""
    evidence = make_evidence(PRIMARY, make_report("b"), make_report("c", sequence=9))
    evidence.observe_report(make_report("b", sequence=0), 200.0, 201.0)
    fenced = {
        "b": make_report("b", sequence=0, fenced_term=2),
        "c": make_report("c", sequence=9, fenced_term=2),
    }
    assert choose_successor(fenced, evidence, "a", frozenset()) is None
    evidence.observe_report(make_report("b", sequence=10), 300.0, 301.0)
    assert choose_successor(fenced, evidence, "a", frozenset()) is not None


@pytest.mark.parametrize(
    ("fenced", "leaving", "expected"),
    [
        ((("b", 10), ("c", 12)), (), "c"),
        ((("b", 12), ("c", 12)), ("b",), "c"),
        ((("b", 12), ("c", 11)), ("b",), "b"),
        ((("b", 12),), (), None),
        ((("a", 14), ("b", 12), ("c", 11)), (), "b"),
        ((("a", 14), ("b", 12)), (), "a"),
    ],
    ids=[
        "furthest",
        "staying one of two equal",
        "leaving one is further",
        "too few",
        "unacknowledged commits of the old primary",
        "old primary is needed",
    ],
)
def test_the_successor_holds_every_acknowledged_commit(
    fenced: tuple[tuple[str, int], ...], leaving: tuple[str, ...], expected: str | None
) -> None:
    """A commit is acknowledged when the primary and one replica have it."""
    evidence = make_evidence(PRIMARY)
    reports = {name: make_report(name, sequence=number) for name, number in fenced}
    chosen = choose_successor(reports, evidence, "a", frozenset(leaving))
    assert (chosen.member if chosen else None) == expected


@pytest.mark.parametrize(
    ("members", "replicas", "old_primary", "needed"),
    [("abc", 1, "a", 2), ("abc", 1, "", 3), ("abcd", 1, "a", 3), ("abc", 2, "a", 1)],
)
def test_how_many_members_are_fenced(
    members: str, replicas: int, old_primary: str, needed: int
) -> None:
    """With an unknown primary, any member may be the one replica of a commit."""
    evidence = GroupEvidence("g", replicas, members=frozenset(members))
    assert count_needed(evidence, old_primary) == needed


def test_replication_counts_as_stalled_only_after_every_replica_was_asked() -> None:
    """At a start the primary is known before its replicas are listed.

    On the bench this replaced a healthy primary before the first request.
    """
    evidence = make_evidence(PRIMARY)
    progress = ReplicationProgress()
    progress.observe(evidence, 100.0)
    late_ms = 100.0 + STALLED_MS
    progress.observe(evidence, late_ms)
    assert not progress.is_proven(evidence)
    for name in ("b", "c"):
        evidence.observe_report(make_report(name, sequence=9), late_ms, late_ms)
    progress.observe(evidence, late_ms)
    assert late_ms - 100.0 > RECEIVE_MS
    assert progress.is_proven(evidence)
    evidence.observe_report(make_report("b", sequence=10), late_ms + 1, late_ms + 1)
    progress.observe(evidence, late_ms + 1)
    assert progress.stalled_ms(late_ms + 1) == 0.0


def test_a_node_that_never_saw_the_primary_learns_nothing_from_one_replica() -> None:
    """The primary's entry had lapsed when the node started, so two members were listed.

    On the bench a replica at 1.37 served reads after commit 1.47 (hunt-e01f-27).
    """
    evidence = GroupEvidence("g")
    evidence.set_members(frozenset({"b", "c"}))
    evidence.observe_report(make_report("b", sequence=37), 100.0, 101.0)
    assert evidence.find_floor(1_000.0, 200.0) is None
    evidence.observe_report(make_report("c", sequence=47), 100.0, 101.0)
    assert evidence.find_floor(1_000.0, 200.0) in (None, Position(1, 47))


def test_a_member_that_lapsed_still_counts_for_what_was_acknowledged() -> None:
    """It may be the only replica that has the primary's last commits."""
    evidence = make_evidence(PRIMARY, make_report("b"), make_report("c"))
    evidence.set_members(frozenset({"a", "b"}))
    evidence.observe_report(make_report("b", sequence=11), 900.0, 901.0)
    assert evidence.find_floor(200.0, 1_000.0) is None
