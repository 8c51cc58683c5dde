"""Model of a group's members and the platform, used by the tests of promotions."""

from __future__ import annotations

import attrs

from radishtrack.group.member_steps import Fence, Follow, Promote, Statement
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.session.position import Position, TermStart


class RefusedStatement(Exception):
    """The member rejected a statement."""


@attrs.define
class ModelMember:
    """A member; its state and log of (term, commit number) entries survive restarts."""

    name: str
    role: Role = Role.REPLICA
    term: int = 1
    fenced_term: int = 1
    follow_term: int = 1
    source: str = ""
    log: list[tuple[int, int]] = attrs.field(factory=list)
    is_up: bool = True

    def status(self) -> MemberStatus:
        """Return the member's status."""
        position = Position(self.log[-1][0] if self.log else 0, len(self.log))
        return MemberStatus(self.name, self.term, self.fenced_term, self.role, position)

    def commit_numbers(self) -> set[int]:
        """Return the numbers of the commits in the log."""
        return {number for _, number in self.log}

    def run(self, statement: Statement) -> MemberStatus:
        """Carry out one statement atomically."""
        match statement:
            case Fence(term):
                self._require(term >= self.fenced_term)
                self.fenced_term = term
            case Promote(term):
                if not (self.term == term and self.role is Role.PRIMARY):
                    self._require(term >= self.fenced_term and self.follow_term < term)
                    self.term = self.fenced_term = self.follow_term = term
                    self.role = Role.PRIMARY
            case Follow(term, primary, start):
                self._require(term >= self.fenced_term)
                self._require(not (self.role is Role.PRIMARY and self.term == term))
                if self.term < term:
                    del self.log[start:]
                self.fenced_term = self.follow_term = term
                self.role, self.source = Role.REPLICA, primary
        return self.status()

    def restart_without_data(self) -> None:
        """Start again under the same name, empty and in no term."""
        self.role, self.source, self.log = Role.REPLICA, "", []
        self.term = self.fenced_term = self.follow_term = 0

    def _require(self, condition: bool) -> None:
        if not condition:
            raise RefusedStatement(self.name)

    def commit(self, number: int) -> bool:
        """Append a commit; False if the member accepts no writes."""
        if self.role is not Role.PRIMARY or self.fenced_term > self.term:
            return False
        self.log.append((self.term, number))
        return True

    def replicate(self, source: ModelMember, limit: int) -> None:
        """Pull up to `limit` entries; the first contact sets the member's term."""
        follows = self.role is Role.REPLICA and self.fenced_term <= self.follow_term
        serves = source.role is Role.PRIMARY and source.term == self.follow_term
        if not (follows and serves):
            return
        # Unlike a real source, the model does not check the replica's log: the
        # statements alone must make a member discard what it has to.
        assert source.log[: len(self.log)] == self.log, "a replica's log diverged"
        self.term = self.follow_term
        self.log.extend(source.log[len(self.log) :][:limit])


@attrs.define
class ModelPlatform:
    """The group's record with conditional updates."""

    group: Group
    is_up: bool = True
    primaries: dict[int, set[str]] = attrs.field(factory=dict)

    def write(self, group: Group, expected_version: int) -> int | None:
        """Return the new version, or None on a conflict."""
        if self.group.version != expected_version:
            return None
        self.group = attrs.evolve(group, version=expected_version + 1)
        self.primaries.setdefault(group.term, set()).add(group.primary)
        return self.group.version


def make_model(
    size: int, spares: int = 0
) -> tuple[dict[str, ModelMember], ModelPlatform]:
    """Return members and the platform; spare members are in no list yet."""
    names = tuple("abcdefg"[:size])
    members = {name: ModelMember(name, source="a") for name in names}
    for name in "abcdefg"[size : size + spares]:
        members[name] = ModelMember(name)
    members["a"].role = Role.PRIMARY
    group = Group("strekk-db", 1, 1, "a", names, (TermStart(1, 0),))
    return members, ModelPlatform(group, primaries={1: {"a"}})
