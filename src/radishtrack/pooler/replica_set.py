"""Decides which members' logs together contain every acknowledged commit of a group.

A commit is acknowledged once `s` replicas have received it. A replica that is lost may
have been the only one that received some commits, so it counts until `s` others are
known to have what the primary had after the loss. Nodes have no disks, so the result is
kept in the store, where it outlives them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberProcess, MemberReport
from radishtrack.pooler.group_access import UNLISTED_EXPIRY_MS, GroupAccess
from radishtrack.pooler.ports import ReplicaSet
from radishtrack.session.position import Position

EMPTY_REPLICA_SET: Final = ReplicaSet(0, "", frozenset())


@attrs.define
class Departure:
    """A process that has ended, and the position that makes it dispensable.

    Parameters
    ----------
    since_ms : float
        When this node learned of its end.
    term : int
        Term in which `position` was reported.
    position : Position or None
        The primary's position after the end; None until the primary has reported.
    """

    since_ms: float
    term: int = 0
    position: Position | None = None


@attrs.define
class ReplicaSetTracker:
    """Follows the processes of one group's members; call `update` regularly."""

    departures: dict[MemberProcess, Departure] = attrs.field(factory=dict)
    absent_ms: dict[MemberProcess, float] = attrs.field(factory=dict)
    """When a process was first found without an entry in the store."""
    indexed: ReplicaSet | None = None
    """The record that `started_ms` describes."""
    started_ms: dict[str, int] = attrs.field(factory=dict)
    """Start of each holder, by name."""

    def update(
        self, recorded: ReplicaSet | None, access: GroupAccess, now_ms: float
    ) -> ReplicaSet | None:
        """Return what the record has to be, or None while nothing is known.

        Parameters
        ----------
        recorded : ReplicaSet or None
            The record in the store.
        access : GroupAccess
            The group, with a list of members that is newer than the record.
        now_ms : float
            Current time in milliseconds.
        """
        if recorded is not None and self._is_settled(recorded, access):
            return recorded
        evidence = access.evidence
        if recorded is None:
            if not evidence.term:
                return None
            recorded = EMPTY_REPLICA_SET
        present = {pool.member.process for pool in access.pools.values()}
        holders = recorded.holders | present
        self._observe_ends(holders, access, now_ms)
        followers = tuple(self._list_followers(holders, access))
        needed = max(1, evidence.synchronous_replicas)
        dispensable = {
            process
            for process, departure in self.departures.items()
            if _count_received(departure, followers, evidence.term) >= needed
        }
        term, primary = recorded.term, recorded.primary
        if evidence.term >= term and evidence.primary:
            term, primary = evidence.term, evidence.primary
        return ReplicaSet(
            term,
            primary,
            holders - dispensable,
            max(recorded.size, _count_running(access)),
        )

    def _is_settled(self, recorded: ReplicaSet, access: GroupAccess) -> bool:
        """Return whether all holders run and nothing else has changed."""
        evidence = access.evidence
        if self.departures or self.absent_ms or access.unlisted_ms:
            return False
        if (recorded.term, recorded.primary) != (evidence.term, evidence.primary):
            return False
        if recorded.size < len(access.pools):
            return False
        if self.indexed is not recorded:
            self.indexed = recorded
            self.started_ms = {p.name: p.started_ms for p in recorded.holders}
        return len(recorded.holders) == len(access.pools) and all(
            self.started_ms.get(name) == pool.member.started_ms
            for name, pool in access.pools.items()
        )

    def _observe_ends(
        self, holders: frozenset[MemberProcess], access: GroupAccess, now_ms: float
    ) -> None:
        for known in (self.departures, self.absent_ms):
            for process in known.keys() - holders:
                del known[process]
        evidence = access.evidence
        primary_report = find_primary_report(access)
        for process in holders:
            ended_ms = self._find_end_ms(process, access, now_ms)
            if ended_ms is None:
                self.departures.pop(process, None)
                continue
            departure = self.departures.setdefault(process, Departure(ended_ms))
            if departure.position is not None and departure.term == evidence.term:
                continue
            departure.position = None
            observed = evidence.observations.get(evidence.primary)
            if (
                primary_report is not None
                and observed is not None
                and observed.requested_ms >= departure.since_ms
            ):
                departure.term = evidence.term
                departure.position = primary_report.position

    def _find_end_ms(
        self, process: MemberProcess, access: GroupAccess, now_ms: float
    ) -> float | None:
        """Return a time at which a process had certainly ended; None if it may run."""
        replacement = access.replaced.get(process)
        if replacement is not None:
            return replacement.at_ms
        pool = access.pools.get(process.name)
        if pool is None:
            absent_ms = self.absent_ms.setdefault(process, now_ms)
            return now_ms if now_ms - absent_ms >= UNLISTED_EXPIRY_MS else None
        if pool.member.process != process:
            return self._find_restart_ms(process, access)
        if process.name in access.unlisted_ms:
            self.absent_ms[process] = access.unlisted_ms[process.name]
        else:
            self.absent_ms.pop(process, None)
        return None

    def _find_restart_ms(
        self, process: MemberProcess, access: GroupAccess
    ) -> float | None:
        """Return a time at which a later process of the same name has responded.

        Its entry alone proves no restart, as any writer can change one.
        """
        departure = self.departures.get(process)
        if departure is not None:
            return departure.since_ms
        observation = access.evidence.observations.get(process.name)
        return None if observation is None else observation.requested_ms

    def _list_followers(
        self, holders: frozenset[MemberProcess], access: GroupAccess
    ) -> Iterator[MemberReport]:
        """Yield the reports of running replicas that follow the present term.

        One that refuses connections may have lost its log since its last report.
        """
        evidence = access.evidence
        for process in holders - self.departures.keys():
            pool = access.pools.get(process.name)
            if pool is None or pool.refused_ms is not None:
                continue
            report = evidence.find_report(process.name)
            if (
                report is not None
                and process.name != evidence.primary
                and process.name not in evidence.incomplete
                and report.role is Role.REPLICA
                and report.term == evidence.term
            ):
                yield report


def find_primary_report(access: GroupAccess) -> MemberReport | None:
    """Return the last report of a group's primary if it leads the present term."""
    report = access.evidence.find_report(access.evidence.primary)
    if report is None or report.role is not Role.PRIMARY:
        return None
    return report if report.term == access.evidence.term else None


def find_term_primary(access: GroupAccess, replica_set: ReplicaSet | None) -> str:
    """Return the primary of a group's present term, or an empty string.

    What a primary itself has received does not count for its commits, so its log is
    not needed for a promotion.
    """
    if replica_set is None or replica_set.term != access.evidence.term:
        return access.presumed_primary()
    return replica_set.primary or access.presumed_primary()


def list_missing_holders(
    replica_set: ReplicaSet | None, access: GroupAccess, primary: str
) -> tuple[MemberProcess, ...]:
    """Return the holders, besides the primary, that are no members any more.

    Parameters
    ----------
    replica_set : ReplicaSet or None
        The group's record in the store; None if there is none.
    access : GroupAccess
        The group, with a recent list of members.
    primary : str
        The primary of the present term.
    """
    if replica_set is None:
        return ()
    present = {pool.member.process for pool in access.pools.values()}
    return tuple(sorted(p for p in replica_set.holders - present if p.name != primary))


def may_lack_members(
    replica_set: ReplicaSet | None, access: GroupAccess, primary: str
) -> bool:
    """Return whether a process may run in a group that the store does not list yet.

    Parameters
    ----------
    replica_set : ReplicaSet or None
        The group's record in the store; None if there is none.
    access : GroupAccess
        The group, with a recent list of members.
    primary : str
        The primary of the present term, which is known even if it is not listed.
    """
    if replica_set is None:
        return True
    known = (access.pools.keys() - access.unlisted_ms.keys()) | {primary}
    return len(known) < replica_set.size


def _count_running(access: GroupAccess) -> int:
    """Return how many listed members respond."""
    return sum(
        pool.is_reachable
        and name not in access.unlisted_ms
        and access.evidence.find_report(name) is not None
        for name, pool in access.pools.items()
    )


def _count_received(
    departure: Departure, followers: tuple[MemberReport, ...], term: int
) -> int:
    position = departure.position
    if position is None or departure.term != term:
        return 0
    return sum(report.position >= position for report in followers)
