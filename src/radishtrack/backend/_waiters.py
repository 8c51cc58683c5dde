"""Requests that wait for status responses of a group's members."""

from __future__ import annotations

import asyncio

import attrs

from radishtrack.group.evidence import StatusRound
from radishtrack.group.outcome import CommitOutcome
from radishtrack.session.position import Position


@attrs.define(eq=False)
class CommitWaiter:
    """A request that waits in `Monitor.wait_confirmed`."""

    position: Position
    term: int
    sequence_before: int
    requested_ms: float
    result: asyncio.Future[CommitOutcome]


@attrs.define(eq=False)
class RoundWaiter:
    """A round of polls that has not ended."""

    started_ms: float
    result: asyncio.Future[StatusRound]
