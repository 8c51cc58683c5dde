"""A database group whose members keep the statements that they have committed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack_standins.line_member import LineMember

GROUP: Final = "strekk"
MEMBERS: Final = ("i-1", "i-2", "i-3")
PROMOTE_S: Final = 0.2
SYNC_S: Final = 0.03
"""Pause between rounds in which replicas fetch and apply the primary's log."""
STEP_DOWN_S: Final = 1.0
"""Time after which a replaced primary that runs becomes a replica."""


@attrs.define(eq=False)
class Group:
    """Members of one group; make it with `start_group`."""

    members: dict[str, LineMember]
    logs: dict[str, list[str]]
    isolated: set[str] = attrs.field(factory=set)
    """Members that no other member reaches."""
    deposed_s: dict[str, float] = attrs.field(factory=dict)
    task: asyncio.Task[None] | None = None

    def is_running(self, member: LineMember) -> bool:
        """Tell whether a member accepts connections."""
        return member.server is not None and member.server.is_serving()

    @property
    def primary(self) -> LineMember | None:
        """The running primary of the highest term."""
        leading = [
            member
            for member in self.members.values()
            if member.role == "primary" and self.is_running(member)
        ]
        return max(leading, key=lambda member: member.term, default=None)

    def replicate(self, member: LineMember, statement_id: str) -> bool:
        """Append a commit; return whether a replica has received it."""
        self.logs[member.name].append(statement_id)
        member.received = member.applied = len(self.logs[member.name])
        receivers = self._receivers(member)
        for other in receivers:
            self._receive(member, other)
        return bool(receivers)

    def promote(self, _group: str, name: str) -> int:
        """Carry out a promotion order as the platform does."""
        member = self.members[name]
        if not self.is_running(member):
            return 409
        asyncio.get_running_loop().call_later(PROMOTE_S, self._lead, member)
        return 200

    async def crash(self, name: str) -> None:
        """End a member; its log stays."""
        await self.members[name].stop()

    async def restart(self, name: str) -> None:
        """Start a member again; it has forgotten that it was fenced."""
        member = self.members[name]
        if not self.is_running(member):
            member.fenced_term = 0
            await member.start(member.port)

    async def stop(self) -> None:
        """End all members."""
        if self.task is not None:
            self.task.cancel()
        for member in self.members.values():
            await member.stop()

    async def run(self) -> None:
        """Keep replicas and replaced primaries up to date."""
        while True:
            await asyncio.sleep(SYNC_S)
            primary = self.primary
            if primary is None:
                continue
            self._depose_others(primary)
            for other in self._receivers(primary):
                self._receive(primary, other)
                other.applied = other.received

    def _lead(self, member: LineMember) -> None:
        if not self.is_running(member):
            return
        member.term = max(other.term for other in self.members.values()) + 1
        member.role, member.fenced_term = "primary", 0
        member.received = member.applied = len(self.logs[member.name])

    def _depose_others(self, primary: LineMember) -> None:
        now_s = asyncio.get_running_loop().time()
        for member in self.members.values():
            if member is primary or member.role != "primary":
                self.deposed_s.pop(member.name, None)
            elif self.is_running(member) and member.name not in self.isolated:
                since_s = self.deposed_s.setdefault(member.name, now_s)
                if now_s - since_s >= STEP_DOWN_S:
                    member.role = "replica"

    def _receivers(self, primary: LineMember) -> list[LineMember]:
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

    def _receive(self, primary: LineMember, member: LineMember) -> None:
        source, target = self.logs[primary.name], self.logs[member.name]
        if member.term < primary.term:
            # What a replaced primary has not replicated is rolled back.
            member.term = primary.term
            target[:] = source
            member.applied = min(member.applied, len(target))
        else:
            target.extend(source[len(target) :])
        member.received = len(target)


async def start_group() -> Group:
    """Start a primary and two replicas."""
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
