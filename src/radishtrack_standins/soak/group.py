"""A database group whose members log the statements that they commit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack_standins.line_member import LineMember

GROUP: Final = "strekk"
MEMBERS: Final = ("i-1", "i-2", "i-3")
PROMOTION_DELAY_S: Final = 0.2
"""Time from a promotion order until the member is the primary."""
SYNC_INTERVAL_S: Final = 0.03
"""Interval at which replicas fetch and apply the primary's log."""
STEP_DOWN_DELAY_S: Final = 1.0
"""Time after which a replaced primary becomes a replica, if it is reachable."""


@attrs.define(eq=False)
class Group:
    """Members of one group; made by `start_group`."""

    members: dict[str, LineMember]
    logs: dict[str, list[str]]
    """Identifiers of committed statements in order, by member name."""
    isolated: set[str] = attrs.field(factory=set)
    """Members that no other member can reach."""
    superseded_since_s: dict[str, float] = attrs.field(factory=dict)
    """Loop times at which reachable primaries were found to be replaced, by name."""
    task: asyncio.Task[None] | None = None

    def is_running(self, member: LineMember) -> bool:
        """Return whether a member accepts connections."""
        return member.server is not None and member.server.is_serving()

    @property
    def primary(self) -> LineMember | None:
        """The running primary of the highest term."""
        primaries = [
            member
            for member in self.members.values()
            if member.role == "primary" and self.is_running(member)
        ]
        return max(primaries, key=lambda member: member.term, default=None)

    def replicate(self, member: LineMember, statement_id: str) -> bool:
        """Append a commit; return whether a replica has received it."""
        self.logs[member.name].append(statement_id)
        member.received = member.applied = len(self.logs[member.name])
        receivers = self._list_receivers(member)
        for other in receivers:
            self._replicate_log(member, other)
        return bool(receivers)

    def promote(self, _group: str, name: str) -> int:
        """Carry out a promotion order; return the HTTP status."""
        member = self.members[name]
        if not self.is_running(member):
            return 409
        asyncio.get_running_loop().call_later(
            PROMOTION_DELAY_S, self._become_primary, member
        )
        return 200

    async def crash(self, name: str) -> None:
        """Stop a member; its log stays."""
        await self.members[name].stop()

    async def restart(self, name: str) -> None:
        """Start a stopped member again, without its fence."""
        member = self.members[name]
        if not self.is_running(member):
            member.fenced_term = 0
            await member.start(member.port)

    async def stop(self) -> None:
        """Stop replication and all members."""
        if self.task is not None:
            self.task.cancel()
        for member in self.members.values():
            await member.stop()

    async def run(self) -> None:
        """Replicate the log and step down replaced primaries; never returns."""
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            primary = self.primary
            if primary is None:
                continue
            self._step_down_superseded(primary)
            for other in self._list_receivers(primary):
                self._replicate_log(primary, other)
                other.applied = other.received

    def _become_primary(self, member: LineMember) -> None:
        if not self.is_running(member):
            return
        member.term = max(other.term for other in self.members.values()) + 1
        member.role, member.fenced_term = "primary", 0
        member.received = member.applied = len(self.logs[member.name])

    def _step_down_superseded(self, primary: LineMember) -> None:
        now_s = asyncio.get_running_loop().time()
        for member in self.members.values():
            if member is primary or member.role != "primary":
                self.superseded_since_s.pop(member.name, None)
            elif self.is_running(member) and member.name not in self.isolated:
                since_s = self.superseded_since_s.setdefault(member.name, now_s)
                if now_s - since_s >= STEP_DOWN_DELAY_S:
                    member.role = "replica"

    def _list_receivers(self, primary: LineMember) -> list[LineMember]:
        if primary.name in self.isolated:
            return []
        return [
            member
            for member in self.members.values()
            if member is not primary
            and member.role == "replica"
            and self.is_running(member)
            and member.name not in self.isolated
            and not member.fenced_term
            and member.term <= primary.term
        ]

    def _replicate_log(self, primary: LineMember, member: LineMember) -> None:
        source, target = self.logs[primary.name], self.logs[member.name]
        if member.term < primary.term:
            # Entries that a replaced primary did not replicate are rolled back.
            member.term = primary.term
            target[:] = source
            member.applied = min(member.applied, len(target))
        else:
            target.extend(source[len(target) :])
        member.received = len(target)


async def start_group() -> Group:
    """Start a group with one primary and two replicas."""
    members = {
        name: LineMember(GROUP, name, "primary" if name == MEMBERS[0] else "replica")
        for name in MEMBERS
    }
    group = Group(members, {name: [] for name in MEMBERS})
    for member in members.values():
        member.replicate = _make_replicate(group, member)
        await member.start()
    group.task = asyncio.create_task(group.run())
    return group


def _make_replicate(group: Group, member: LineMember) -> Callable[[str], bool]:
    return lambda statement_id: group.replicate(member, statement_id)
