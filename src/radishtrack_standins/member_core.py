"""State of one member and the statements of its group interface."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from radishtrack_standins.member_dialect import MemberError
from radishtrack_standins.member_faults import Faults, Observations
from radishtrack_standins.member_log import LogEntry, MemberLog
from radishtrack_standins.member_state import GroupState, load_state

if TYPE_CHECKING:
    from collections.abc import Sequence

LOCK_WAIT_S: Final = 5.0
JOIN_WAIT_S: Final = 0.3
"""Longest time that `Member.follow` waits until the member has joined the term."""
MAX_PULL_ENTRIES: Final = 500

STATUS_COLUMNS: Final = (
    "member",
    "term",
    "fenced_term",
    "role",
    "position_term",
    "position_sequence",
)
LOG_COLUMNS: Final = ("kind", "term", "sequence", "statements")

Row = tuple[object, ...]

_CALL: Final = re.compile(r"CALL\s+sys\.group_(\w+)\s*\((.*)\)\s*$", re.I | re.S)
_STATUS: Final = re.compile(
    r"SELECT\s.*\bperformance_schema\s*\.\s*database_group_status\b", re.I | re.S
)


class Abortable(Protocol):
    """A session whose open transaction the member can abort."""

    def abort(self) -> None:
        """Roll back the open transaction if it holds the write lock."""


@attrs.define(frozen=True)
class GroupResult:
    """Result of a statement of the group interface."""

    columns: tuple[str, ...]
    rows: list[Row]


@attrs.define
class Member:
    """State shared by all connections of one member."""

    name: str
    log: MemberLog
    state: GroupState
    faults: Faults
    observed: Observations = attrs.field(factory=Observations)
    sessions: set[Abortable] = attrs.field(factory=set)
    state_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Replaced after every change of the group state."""
    group_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    connection_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def status_row(self) -> Row:
        """Return the member's status in the order of `STATUS_COLUMNS`."""
        state = self.state
        role = "primary" if state.is_primary else "replica"
        position = (self.log.term, self.log.sequence)
        return (self.name, state.term, state.fenced_term, role, *position)

    def notify_state(self) -> None:
        """Wake all tasks that wait for a change of the group state."""
        self.state_changed.set()
        self.state_changed = asyncio.Event()

    def require_writable(self) -> None:
        """Raise the read-only error unless clients may change data on this member."""
        if not self.state.accepts_changes:
            raise MemberError(
                1290,
                "HY000",
                "The MySQL server is running with the --read-only option so it"
                " cannot execute this statement",
            )

    async def lock_writes(self) -> None:
        """Acquire the write lock, or raise the lock wait timeout error."""
        try:
            async with asyncio.timeout(LOCK_WAIT_S):
                await self.log.write_lock.acquire()
        except TimeoutError:
            raise MemberError(
                1205, "HY000", "Lock wait timeout exceeded; try restarting transaction"
            ) from None

    def abort_transactions(self) -> None:
        """Roll back transactions that hold the write lock; none can commit any more."""
        for session in list(self.sessions):
            session.abort()

    async def fence(self, term: int) -> None:
        """End all terms below `term` on this member.

        Waits for a `follow` in progress: the end of the log is not final until the log
        has been truncated.
        """
        async with self.group_lock:
            self.state.fence(term)
            if self.state.is_fenced:
                self.abort_transactions()
            self.notify_state()

    async def promote(self, term: int) -> None:
        """Become the primary of `term`."""
        async with self.group_lock:
            self.state.promote(term)
            self.notify_state()
            self.log.notify()

    async def follow(self, term: int, source: str, start_sequence: int) -> None:
        """Become a replica of `source` in `term`."""
        async with self.group_lock:
            self.state.follow(term, source)
            self.abort_transactions()
            self.notify_state()
            async with self.log.write_lock:
                if 0 < self.log.term_at(start_sequence + 1) < term:
                    await self.log.truncate(start_sequence)
        await self._wait_until_joined(term)

    async def _wait_until_joined(self, term: int) -> None:
        try:
            async with asyncio.timeout(JOIN_WAIT_S):
                while self.state.term < term:
                    await self.state_changed.wait()
        except TimeoutError:
            return

    async def read_log(
        self, term: int, end_term: int, end: int, wait_ms: int
    ) -> list[Row]:
        """Return the next entries for a replica of `term` whose log ends at `end`.

        Waits up to `wait_ms` milliseconds for an entry if there is none.

        The first row is ``("wait", ...)`` if this member is not the primary of the
        term, ``("diverged", _, sequence, _)`` if the replica has to discard the
        entries after the sequence, and ``("joined", ...)`` otherwise.
        """
        changed = self.log.changed
        if not self.state.is_primary or self.state.term != term:
            return [("wait", self.state.term, 0, "")]
        common = self.log.common_end(end_term, end)
        if common < end:
            return [("diverged", term, common, "")]
        entries = self.log.read_entries(end, MAX_PULL_ENTRIES)
        if not entries and wait_ms > 0:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
            else:
                return await self.read_log(term, end_term, end, wait_ms)
        return [("joined", term, end, ""), *map(_log_row, entries)]

    async def run_group_statement(self, text: str) -> GroupResult | None:
        """Run a statement of the group interface; return None for other statements."""
        if _STATUS.match(text):
            return GroupResult(STATUS_COLUMNS, [self.status_row()])
        match = _CALL.match(text)
        if match is None:
            return None
        name = match.group(1).lower()
        arguments = [part.strip().strip("'\"") for part in match.group(2).split(",")]
        try:
            if name == "log":
                parameters = [int(part) for part in arguments]
                return GroupResult(LOG_COLUMNS, await self.read_log(*parameters))
            await self._call(name, arguments)
        except (ValueError, TypeError, KeyError) as error:
            raise MemberError(
                1064, "42000", f"invalid group statement: {error}"
            ) from error
        return GroupResult(STATUS_COLUMNS, [self.status_row()])

    async def _call(self, name: str, arguments: Sequence[str]) -> None:
        term = int(arguments[0])
        if name == "fence":
            await self.fence(term)
        elif name == "promote":
            await self.promote(term)
        elif name == "follow":
            _, host, port, start = arguments
            await self.follow(term, f"{host}:{int(port)}", int(start))
        else:
            raise KeyError(name)


def _log_row(entry: LogEntry) -> Row:
    return ("entry", entry.term, entry.sequence, "\x00".join(entry.statements))


def make_member(
    name: str, directory: Path, *, source: str = "", term: int = 1, lag_ms: float = 0.0
) -> Member:
    """Return a member with its data in `directory`, which is created if missing."""
    directory.mkdir(parents=True, exist_ok=True)
    return Member(
        name=name,
        log=MemberLog(directory / "data.sqlite"),
        state=load_state(directory, source=source, term=term),
        faults=Faults(replication_lag_ms=lag_ms),
    )
