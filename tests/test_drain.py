"""Tests that a planned stop refuses new work and lets running work finish."""

from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then

from radishtrack.membership.drain import Drain, DrainState, make_drain

scenarios("features/drain.feature")


@given(
    parsers.parse('a stop that began {elapsed} ms ago with the work "{work}"'),
    target_fixture="drain",
)
def start_drain(elapsed: str, work: str) -> Drain:
    drain = make_drain(30_000)
    statements, transactions = (int(number) for number in work.split("/"))
    if elapsed != "-":
        assert drain.begin(100.0)
    now_ms = 100.0 if elapsed == "-" else 100.0 + float(elapsed)
    drain.advance(now_ms, statements, transactions)
    return drain


@then(parsers.parse('the state is "{state}"'))
def check_state(drain: Drain, state: str) -> None:
    assert drain.state is DrainState[state]


@then(parsers.parse('a new connection is "{decision}"'))
def check_connection(drain: Drain, decision: str) -> None:
    assert drain.decide_connection().value == decision


@then(parsers.parse('the next statement of an idle session is "{decision}"'))
def check_idle(drain: Drain, decision: str) -> None:
    assert drain.decide_statement(in_transaction=False).value == decision


@then(parsers.parse('a statement of an open transaction is "{decision}"'))
def check_transaction(drain: Drain, decision: str) -> None:
    assert drain.decide_statement(in_transaction=True).value == decision


def test_drain_enters_every_state_once_and_never_returns() -> None:
    drain = make_drain(30_000)
    assert not drain.end()
    assert drain.begin(0)
    assert not drain.begin(500)
    assert drain.started_ms == 0
    assert not drain.end()
    assert drain.advance(1_000, 0, 0) is DrainState.CLOSING
    assert drain.end()
    assert drain.advance(2_000, 1, 1) is DrainState.STOPPED
    assert not drain.end()


def test_drains_of_two_nodes_are_independent() -> None:
    first, second = make_drain(1), make_drain(1)
    first.begin(0)
    assert second.state is DrainState.SERVING
