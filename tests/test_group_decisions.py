"""Guards the decisions on a group's term: each row is a fault and the decision.

A wrong decision means an outdated read, a lost commit, a wrong outcome, or a promotion
because of one node's network fault.
"""

from __future__ import annotations

import math
from types import SimpleNamespace

import attrs
import cbor2
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.group.detection import (
    ABANDONED_MS,
    SUSPICION_MS,
    FencingWatch,
    Suspicion,
    VoteTally,
    is_healthy_status,
    make_vote_tally,
    start_delay_ms,
    was_promoted,
)
from radishtrack.group.election import Elected, NotElected, elect
from radishtrack.group.evidence import (
    NoEvidence,
    ServePrimary,
    ServeReplicas,
    ServeReplicasAtLeast,
    StatusRound,
    StrictChoice,
    choose_strict,
    confirmed_position,
)
from radishtrack.group.freshness import make_freshness_samples
from radishtrack.group.member_steps import find_follow_start
from radishtrack.group.outcome import position_of_commit, resolve_commit
from radishtrack.group.record import (
    GroupRecord,
    RecordError,
    format_record,
    keep_term_members,
    parse_record,
)
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.peer.messages import Record, RecordRequest
from radishtrack.proxy.votes import Votes
from radishtrack.session.position import Position, TermStart

scenarios("features/group_decisions.feature")


def parse_status(text: str) -> MemberStatus:
    member, fields = text.split(":")
    term, fenced, role, sequence = fields.split("/")
    position = Position(int(term), int(sequence))
    roles = {"P": Role.PRIMARY, "R": Role.REPLICA}
    return MemberStatus(member, int(term), int(fenced), roles[role], position)


def parse_round(text: str, started_ms: float = 0.0) -> StatusRound:
    statuses = [parse_status(word) for word in text.split()]
    return StatusRound(started_ms, {status.member: status for status in statuses})


def make_group(size: int, *starts: int) -> Group:
    history = tuple(TermStart(term + 1, start) for term, start in enumerate(starts))
    names = tuple("abcde"[:size])
    return Group("strekk-db", 7, len(starts), "a", names, history)


def format_choice(choice: StrictChoice) -> str:
    match choice:
        case ServeReplicas(members, _):
            return " ".join(["replicas", *members])
        case ServeReplicasAtLeast(position):
            return f"at least {position.sequence}"
        case ServePrimary(position):
            return f"primary {position.sequence}"
        case NoEvidence():
            return "nothing"


@given(
    parsers.parse("a group of {size:d} members in term 2 that began at {start:d}"),
    target_fixture="group",
)
def group_in_term_two(size: int, start: int) -> Group:
    return make_group(size, 0, start)


@given(
    "a group of 3 members in term 3 that began at 20, after term 2 at 10",
    target_fixture="group",
)
def group_in_term_three() -> Group:
    return make_group(3, 0, 10, 20)


@when(parsers.re('a round returns "(?P<statuses>.*)"'), target_fixture="status_round")
def round_returns(statuses: str) -> StatusRound:
    return parse_round(statuses)


@then(parsers.re('a strict read runs on "(?P<choice>.*)"'))
def strict_read_runs(status_round: StatusRound, group: Group, choice: str) -> None:
    assert format_choice(choose_strict(status_round, group)) == choice


@then(parsers.re('the confirmed sequence is "(?P<sequence>.*)"'))
def confirmed_sequence(status_round: StatusRound, group: Group, sequence: str) -> None:
    position = confirmed_position(status_round, group)
    assert ("none" if position is None else str(position.sequence)) == sequence


@then(
    parsers.parse(
        'a commit of term {term:d} between {before:d} and {after:d} is "{outcome}"'
    )
)
def commit_outcome(
    status_round: StatusRound,
    group: Group,
    term: int,
    before: int,
    after: int,
    outcome: str,
) -> None:
    position = Position(term, after)
    result = resolve_commit(position, term, status_round, group, before)
    assert type(result).__name__ == outcome


@when(
    parsers.re(
        'members respond to the fence with "(?P<statuses>.*)"'
        ' and "(?P<leaving>.*)" are leaving'
    ),
    target_fixture="election",
)
def members_fenced(group: Group, statuses: str, leaving: str) -> Elected | NotElected:
    fenced = parse_round(statuses).statuses.values()
    return elect(fenced, group, 3, frozenset(leaving.split()))


@then(parsers.parse('"{chosen}" is elected from {start:d}'))
def elected(election: Elected | NotElected, chosen: str, start: int) -> None:
    if chosen == "nobody":
        assert isinstance(election, NotElected)
    else:
        assert election == Elected(chosen, start)


@given(
    parsers.parse('votes "{votes}" of the voters p q r'), target_fixture="vote_tally"
)
def votes_given(votes: str) -> VoteTally:
    tally = make_vote_tally(("p", "q", "r"))
    for word in votes.split():
        voter, vote = word.split(":")
        report, time_ms = vote.split("@")
        tally.record(voter, report == "yes", float(time_ms))
    return tally


@then(parsers.parse('the vote at {now:d} ms is "{result}"'))
def vote_result(vote_tally: VoteTally, now: int, result: str) -> None:
    assert vote_tally.has_majority(now) is (result == "agreed")


def test_member_is_suspected_after_the_whole_time_without_a_response() -> None:
    suspicion = Suspicion()
    suspicion.set_members(("a",), 0.0)
    suspicion.record_healthy_status("a", 100.0)
    assert not suspicion.is_suspected("a", 100.0 + SUSPICION_MS - 1)
    assert suspicion.is_suspected("a", 100.0 + SUSPICION_MS)
    assert not suspicion.is_suspected("unknown", 1e9)


@pytest.mark.parametrize(
    ("status", "expected"),
    [("a:2/2/P/9", True), ("a:1/2/R/9", False), ("a:2/2/R/9", False)],
)
def test_recorded_primary_that_was_never_promoted_is_suspected(
    status: str, expected: bool
) -> None:
    assert is_healthy_status(parse_status(status), make_group(3, 0, 9)) is expected


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        ("a:1/2/R/9 b:1/2/R/9", False),
        ("a:0/0/R/0 b:2/2/R/9", True),
        ("a:2/2/P/9 b:1/2/R/9", False),
    ],
)
def test_primary_that_replicas_have_joined_is_not_promoted_again(
    statuses: str, expected: bool
) -> None:
    """An empty primary of a term that began without a log would lead its replicas."""
    members = parse_round(statuses).statuses.values()
    assert was_promoted(members, make_group(3, 0, 0)) is expected


def test_start_delay_grows_with_the_rank() -> None:
    assert [start_delay_ms(rank) for rank in range(3)] == [0.0, 500.0, 1000.0]


def test_fencing_without_a_promotion_counts_as_abandoned_after_a_second() -> None:
    watch, group = FencingWatch(), make_group(3, 0, 9)
    fenced = parse_status("b:2/3/R/9")
    watch.observe([fenced], group, 0.0)
    assert not watch.is_abandoned(ABANDONED_MS - 1)
    assert watch.is_abandoned(ABANDONED_MS)
    assert not watch.is_abandoned(ABANDONED_MS, rank=1)
    watch.observe([fenced], make_group(3, 0, 9, 9), 1100.0)
    assert not watch.is_abandoned(9000.0)


def test_age_needs_term_evidence_and_samples_of_the_same_term() -> None:
    """Guards aged reads against replicas of a primary that was replaced."""
    samples, group = make_freshness_samples(), make_group(3, 0, 10)
    samples.record(parse_round("a:2/2/P/14 b:2/2/R/12", 1000.0), group)
    samples.record(parse_round("a:2/2/P/20", 2000.0), group)
    assert samples.age_ms(parse_status("b:2/2/R/14"), 1500.0) == 500.0
    assert samples.age_ms(parse_status("b:2/2/R/20"), 2500.0) == 1500.0
    assert samples.age_ms(parse_status("b:2/2/R/13"), 1500.0) == math.inf
    assert samples.age_ms(parse_status("b:1/1/R/14"), 1500.0) == math.inf
    promoted = make_group(3, 0, 10, 14)
    samples.record(parse_round("a:3/3/P/15 b:3/3/R/14", 3000.0), promoted)
    assert samples.age_ms(parse_status("b:2/2/R/14"), 3000.0) == math.inf
    samples.record(parse_round("a:2/2/P/30 b:2/2/R/30", 4000.0), group)
    assert samples.age_ms(parse_status("b:3/3/R/30"), 4000.0) == 1000.0


def test_position_read_after_a_change_of_term_covers_no_commit() -> None:
    group = make_group(3, 0, 10)
    assert position_of_commit(parse_status("a:2/2/P/14"), group) == Position(2, 14)
    assert position_of_commit(parse_status("a:3/3/P/14"), group) is None
    assert position_of_commit(parse_status("a:2/2/R/14"), group) is None


@pytest.mark.parametrize(
    ("status", "expected"), [("c:1/3/R/20", 10), ("c:1/3/R/8", 15), ("c:2/3/R/17", 15)]
)
def test_returning_member_discards_what_any_missed_promotion_left_out(
    status: str, expected: int
) -> None:
    assert find_follow_start(parse_status(status), make_group(3, 0, 10, 15)) == expected


def make_record() -> GroupRecord:
    endpoints = {
        name: MemberEndpoint(name, "127.0.0.1", 3306, 33062, "oslo-a") for name in "abc"
    }
    return GroupRecord(make_group(3, 0, 10), endpoints)


def test_group_record_is_parsed_as_formatted() -> None:
    record = make_record()
    assert parse_record("strekk-db", 7, format_record(record)) == record


@pytest.mark.parametrize("field", ["term", "primary", "members", "history"])
def test_incomplete_group_record_is_rejected(field: str) -> None:
    value = format_record(make_record())
    del value[field]
    with pytest.raises(RecordError):
        parse_record("strekk-db", 7, value)


def replace_member(former: str, new: str) -> GroupRecord:
    """Return the record after operators replaced a member in the platform's object."""
    value = format_record(make_record())
    value["members"][new] = value["members"].pop(former)
    return parse_record("strekk-db", 8, value)


def test_a_promotion_counts_a_replaced_member_until_its_term_ends() -> None:
    """A commit of a and b was lost: c and d had become a majority at once."""
    record = replace_member("b", "d")
    assert set(record.group.members) == {"a", "b", "c"}
    assert set(record.endpoints) == {"a", "b", "c", "d"}
    statuses = parse_round("c:2/3/R/14 d:2/3/R/14").statuses.values()
    assert isinstance(elect(statuses, record.group, 3), NotElected)
    confirmed = parse_round("a:2/2/P/15 d:2/2/R/15")
    assert confirmed_position(confirmed, record.group) is None


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        ("a:2/3/P/15 c:2/3/R/15 d:2/3/R/12", Elected("c", 15, ("a", "c", "d"))),
        ("a:2/3/P/15 c:2/3/R/14 d:2/3/R/15", Elected("d", 15, ("a", "c", "d"))),
        ("b:2/3/R/15 c:2/3/R/15 d:2/3/R/15", Elected("c", 15, ("a", "c", "d"))),
        ("b:2/3/R/15 c:2/3/R/15 d:2/3/R/14", Elected("c", 15)),
        ("b:2/3/R/15 c:2/3/R/14 d:2/3/R/15", Elected("b", 15)),
        ("b:2/3/R/15 c:2/3/R/15 d:1/3/R/15", Elected("c", 15)),
    ],
    ids=[
        "two of three have the log",
        "the new member has the log",
        "the primary is missing",
        "only one has the log",
        "only the new member has the log",
        "the new member has not joined",
    ],
)
def test_members_change_with_a_term_once_enough_of_them_have_its_log(
    statuses: str, expected: Elected
) -> None:
    fenced = parse_round(statuses).statuses.values()
    elected = elect(fenced, replace_member("b", "d").group, 3)
    assert isinstance(elected, Elected)
    assert attrs.evolve(elected, members=tuple(sorted(elected.members))) == expected


def test_a_list_without_the_members_of_the_term_counts_from_the_next_term() -> None:
    """Operators may write the object before or without the list of the term."""
    record = replace_member("b", "d")
    value = format_record(record)
    del value["term_members"]
    written = parse_record("strekk-db", 9, value)
    assert not written.has_term_members
    kept = keep_term_members(written, make_record())
    assert set(kept.group.members) == {"a", "b", "c"}
    assert set(kept.group.next_members) == {"a", "c", "d"}
    assert set(kept.endpoints) == {"a", "b", "c", "d"}
    assert parse_record("strekk-db", 9, format_record(kept)).group == kept.group


@pytest.mark.parametrize(
    ("confirmed", "expected"),
    [([2, 14], (Position(2, 14),)), (None, (Position(0, 0),)), ([2], ()), (7, ())],
    ids=["known", "earlier version", "short", "no list"],
)
async def test_voters_tell_up_to_where_commits_are_confirmed(
    confirmed: object, expected: tuple[Position, ...]
) -> None:
    """A promotion did not ask what had been acknowledged."""
    record = make_record()
    backend = SimpleNamespace(monitor=SimpleNamespace(confirmed=Position(2, 14)))
    votes = Votes(
        make_manual_clock(ManualTime()),
        SimpleNamespace(),  # type: ignore[arg-type]
        SimpleNamespace(node=SimpleNamespace(id="p")),  # type: ignore[arg-type]
        SimpleNamespace(  # type: ignore[arg-type]
            records={"strekk-db": record},
            holder=SimpleNamespace(databases={"strekk-db": backend}),
            update_record=lambda _: None,
        ),
    )

    async def call(request: RecordRequest, _number: int, _timeout_s: float) -> Record:
        response = votes.handle_record_request(request)
        value = cbor2.loads(response.value)
        assert value["confirmed"] == [2, 14]
        value["confirmed"] = confirmed
        if confirmed is None:
            del value["confirmed"]
        return attrs.evolve(response, value=cbor2.dumps(value))

    async def get_link(_: str) -> object:
        return SimpleNamespace(call=call)

    votes.router.get_link = get_link  # type: ignore[method-assign,assignment]
    assert await votes.request_confirmed(("p", "q"), "strekk-db") == expected
