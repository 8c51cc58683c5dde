"""Selection of a member: read-your-writes, data age, zones, leaving members."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.errors import ErrorCode, RequestError
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.routing.options import ReadClass, RequestOptions
from radishtrack.routing.route import (
    EffectiveClass,
    PollMembers,
    ReadRequest,
    RouteClass,
    ServeOn,
    WaitForPosition,
    choose_member,
    resolve_read_class,
)
from radishtrack.session.position import Position, TermStart

GROUP = Group("db", 1, 2, "a", ("a", "b", "c"), (TermStart(1, 0), TermStart(2, 10)))
STATUSES = {
    "a": MemberStatus("a", 2, 2, Role.PRIMARY, Position(2, 20)),
    "b": MemberStatus("b", 2, 2, Role.REPLICA, Position(2, 15)),
    "c": MemberStatus("c", 2, 2, Role.REPLICA, Position(2, 12)),
}
SESSION = ReadRequest(
    EffectiveClass(ReadClass.SESSION), GROUP, STATUSES, position=Position(2, 12)
)
AGED = attrs.evolve(
    SESSION,
    effective=EffectiveClass(ReadClass.AGED, 100),
    ages_ms={"b": 50.0, "c": 150.0},
)


def _choose_name(request: ReadRequest) -> str:
    choice = choose_member(request)
    assert isinstance(choice, ServeOn)
    return choice.member


def test_selection_prefers_own_zone_then_least_load_then_name() -> None:
    zones = {"b": "hamar-c", "c": "oslo-a"}
    near = attrs.evolve(SESSION, zones=zones, zone="oslo-a", in_flight={"c": 9})
    assert _choose_name(near) == "c"
    assert _choose_name(attrs.evolve(near, zone="oslo-b")) == "b"
    assert _choose_name(attrs.evolve(SESSION, in_flight={"b": 1})) == "c"


def test_session_reads_wait_for_the_position_then_poll_all_members() -> None:
    ahead = attrs.evolve(SESSION, position=Position(2, 18))
    assert choose_member(ahead) == WaitForPosition(Position(2, 18), 20.0)
    waited = attrs.evolve(ahead, waited_ms=15.0)
    assert choose_member(waited) == WaitForPosition(Position(2, 18), 5.0)
    assert choose_member(attrs.evolve(ahead, waited_ms=20.0)) == PollMembers()


def test_a_discarded_position_is_not_waited_for() -> None:
    assert (
        choose_member(attrs.evolve(SESSION, position=Position(1, 11))) == PollMembers()
    )


@pytest.mark.parametrize(
    "status",
    [
        MemberStatus("b", 1, 1, Role.REPLICA, Position(1, 8)),
        MemberStatus("b", 1, 1, Role.REPLICA, Position(1, 30)),
        MemberStatus("b", 1, 2, Role.PRIMARY, Position(1, 30)),
        MemberStatus("b", 2, 2, Role.REPLICA, Position(1, 30)),
        MemberStatus("b", 2, 2, Role.PRIMARY, Position(2, 30)),
        MemberStatus("b", 3, 3, Role.REPLICA, Position(3, 30)),
    ],
)
def test_members_of_another_term_serve_no_reads(status: MemberStatus) -> None:
    alone = attrs.evolve(SESSION, statuses={"b": status}, position=Position(1, 5))
    assert isinstance(choose_member(alone), WaitForPosition)


def test_aged_reads_need_a_recent_replica_that_contains_the_position() -> None:
    assert _choose_name(AGED) == "b"
    assert choose_member(attrs.evolve(AGED, position=Position(2, 16))) == PollMembers()
    assert choose_member(attrs.evolve(AGED, ages_ms={"c": 150.0})) == PollMembers()
    assert _choose_name(attrs.evolve(AGED, position=None)) == "b"


def test_leaving_members_get_no_reads() -> None:
    leaving = attrs.evolve(SESSION, leaving=frozenset({"b", "c"}))
    assert isinstance(choose_member(leaving), WaitForPosition)


def test_transactions_read_on_the_primary_and_strict_reads_poll_all_members() -> None:
    primary = attrs.evolve(SESSION, effective=EffectiveClass(ReadClass.PRIMARY))
    assert choose_member(primary) == ServeOn("a", Role.PRIMARY)
    strict = attrs.evolve(SESSION, effective=EffectiveClass(ReadClass.STRICT))
    assert choose_member(strict) == PollMembers()


@pytest.mark.parametrize(
    (
        "requested",
        "age",
        "route",
        "has_position",
        "in_transaction",
        "refused",
        "expected",
    ),
    [
        (None, None, RouteClass(), True, False, False, ReadClass.SESSION),
        (None, None, RouteClass(), False, False, False, ReadClass.STRICT),
        (None, None, RouteClass(), True, False, True, ReadClass.STRICT),
        ("strict", None, RouteClass(), True, False, False, ReadClass.STRICT),
        ("aged", 5, RouteClass(), False, False, False, ReadClass.AGED),
        ("aged", 5, RouteClass(), False, False, True, ReadClass.STRICT),
        (None, None, RouteClass(ReadClass.AGED, 7), True, False, False, ReadClass.AGED),
        ("aged", 5, RouteClass(), True, True, False, ReadClass.PRIMARY),
    ],
)
def test_resolve_read_class(
    requested: str | None,
    age: int | None,
    route: RouteClass,
    has_position: bool,
    in_transaction: bool,
    refused: bool,
    expected: ReadClass,
) -> None:
    options = RequestOptions(ReadClass(requested) if requested else None, age)
    effective = resolve_read_class(
        options, route, has_position, in_transaction, refused
    )
    assert effective.read_class is expected


@pytest.mark.parametrize(
    "options", [RequestOptions(ReadClass.AGED), RequestOptions(max_age_ms=5)]
)
def test_max_age_and_the_aged_class_require_each_other(options: RequestOptions) -> None:
    with pytest.raises(RequestError) as caught:
        resolve_read_class(options, RouteClass(), True, False)
    assert caught.value.failure.code == ErrorCode.INVALID_OPTION


@attrs.define
class _GroupLogs:
    """A group whose members hold their logs as lists of (term, change)."""

    logs: dict[str, list[tuple[int, int]]]
    terms: dict[str, int]
    group: Group


def _run_history(
    steps: list[tuple[str, int]],
) -> tuple[_GroupLogs, list[int], Position]:
    names = ("a", "b", "c")
    model = _GroupLogs(
        {name: [] for name in names},
        dict.fromkeys(names, 1),
        Group("db", 1, 1, "a", names, (TermStart(1, 0),)),
    )
    written: list[int] = []
    position = Position(1, 0)
    for number, (step, choice) in enumerate(steps):
        name, group = names[choice], model.group
        if step == "write":
            model.logs[group.primary].append((group.term, number))
            if choice:  # acknowledged: a replica of the term has the change
                _apply(model, names[choice])
                if model.logs[names[choice]] == model.logs[group.primary]:
                    written.append(number)
                    position = Position(group.term, len(model.logs[group.primary]))
        elif step == "apply":
            _apply(model, name)
        elif step == "promote":
            _promote(model, name)
        elif step == "follow":
            _follow(model, name)
    return model, written, position


def _apply(model: _GroupLogs, name: str) -> None:
    if model.terms[name] == model.group.term:
        model.logs[name][:] = model.logs[model.group.primary]


def _follow(model: _GroupLogs, name: str) -> None:
    start = model.group.history[-1].sequence
    if model.terms[name] != model.group.term:
        shared = [
            pair
            for pair, other in zip(
                model.logs[name], model.logs[model.group.primary], strict=False
            )
            if pair == other
        ]
        model.logs[name][:] = shared[:start]
        model.terms[name] = model.group.term


def _end(model: _GroupLogs, name: str) -> Position:
    entries = model.logs[name]
    return Position(entries[-1][0] if entries else 1, len(entries))


def _promote(model: _GroupLogs, name: str) -> None:
    others = [other for other in model.logs if other != model.group.primary]
    fenced = [name, *[o for o in others if o != name][:1]]
    current = [n for n in fenced if model.terms[n] == model.group.term]
    if len(current) < 2:
        return
    winner = max(current, key=lambda other: (_end(model, other), other))
    term = model.group.term + 1
    start = TermStart(term, len(model.logs[winner]))
    model.group = attrs.evolve(
        model.group, term=term, primary=winner, history=(*model.group.history, start)
    )
    model.terms[winner] = term


steps = st.lists(
    st.tuples(
        st.sampled_from(["write", "write", "write", "apply", "promote", "follow"]),
        st.integers(0, 2),
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None, max_examples=500, database=None)
@given(steps=steps, aged=st.booleans(), stale=st.integers(0, 8))
def test_a_chosen_replica_contains_every_write_of_the_session(
    steps: list[tuple[str, int]], aged: bool, stale: int
) -> None:
    """Random promotions, with statuses that may be some steps old."""
    old, _, _ = _run_history(steps[: max(0, len(steps) - stale)])
    now, written, position = _run_history(steps)
    statuses = {
        name: MemberStatus(
            name,
            old.terms[name],
            old.terms[name],
            Role.PRIMARY if name == old.group.primary else Role.REPLICA,
            _end(old, name),
        )
        for name in old.logs
    }
    request = ReadRequest(
        EffectiveClass(ReadClass.AGED if aged else ReadClass.SESSION, 1000),
        now.group,
        statuses,
        position=position,
        ages_ms=dict.fromkeys(old.logs, 0.0),
    )
    choice = choose_member(request)
    if isinstance(choice, ServeOn):
        held = {number for _, number in now.logs[choice.member]}
        assert held.issuperset(written)
