"""Requests that wait for answers of a group's members."""

from __future__ import annotations

import asyncio

import attrs

from radishtrack.group.evidence import StatusRound
from radishtrack.group.outcome import CommitOutcome
from radishtrack.session.position import Position


@attrs.define(eq=False)
class CommitWaiter:
    """A request that waits for the outcome of a commit."""

    position: Position
    term: int
    sequence_before: int
    asked_ms: float
    result: asyncio.Future[CommitOutcome]


@attrs.define(eq=False)
class RoundWaiter:
    """A round whose polls are under way."""

    started_ms: float
    result: asyncio.Future[StatusRound]
