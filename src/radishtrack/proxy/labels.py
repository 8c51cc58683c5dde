"""Labels of statements and refusals in the metrics."""

from __future__ import annotations

from typing import Final

from radishtrack.errors import ErrorCode, Failure
from radishtrack.proxy.client_state import ClientState
from radishtrack.routing.options import ReadClass
from radishtrack.routing.route import EffectiveClass
from radishtrack.routing.statement import Kind, Statement

READ_CLASSES: Final = frozenset(
    {ReadClass.STRICT.value, ReadClass.SESSION.value, ReadClass.AGED.value}
)
REFUSAL_REASONS: Final = {
    "keys": "key",
    "admit": "queue",
    "options": "option",
    "classify": "option",
    "route": "route",
    "drain": "draining",
    "evidence": "evidence",
    "confirm": "evidence",
}


def find_statement_label(
    statement: Statement, effective: EffectiveClass, state: ClientState
) -> str:
    """Return the label of a statement in the metrics."""
    if state.in_transaction or statement.kind in (Kind.BEGIN, Kind.COMMIT):
        return "transaction"
    if statement.kind is Kind.READ:
        return effective.read_class.value
    return "write"


def find_refusal_reason(failure: Failure) -> str:
    """Return the label of a refused request in the metrics."""
    if failure.code == ErrorCode.OVER_RATE:
        return "rate"
    return REFUSAL_REASONS.get(failure.step, "member")
