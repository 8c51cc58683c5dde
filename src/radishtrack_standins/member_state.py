"""Group state of a member (term, fence and role), stored in a file."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Final

import attrs

from radishtrack_standins.member_dialect import MemberError

STALE_TERM_ERROR: Final = 1644


@attrs.define
class GroupState:
    """Term, fence and role of a member.

    Parameters
    ----------
    path : pathlib.Path
        File that stores the state across restarts.
    term : int
        Term that the member belongs to.
    fenced_term : int
        Highest term for which it was fenced.
    is_primary : bool
        Whether it is the primary of `term`.
    source : str
        ``host:port`` of the primary that it follows; empty if none.
    follow_term : int
        Term to follow. It becomes `term` with the first response of the source that
        shows that this member's log is a prefix of the source's log.
    """

    path: Path
    term: int
    fenced_term: int
    is_primary: bool
    source: str
    follow_term: int

    @property
    def is_fenced(self) -> bool:
        """Whether the member is fenced for a higher term than its own."""
        return self.fenced_term > self.term

    @property
    def accepts_changes(self) -> bool:
        """Whether clients can change data on this member."""
        return self.is_primary and not self.is_fenced

    def save(self) -> None:
        """Replace the file by the current state."""
        record = attrs.asdict(self, filter=lambda a, _: a.name != "path")
        temporary = self.path.with_suffix(".tmp")
        temporary.write_text(json.dumps(record))
        os.replace(temporary, self.path)

    def fence(self, term: int) -> None:
        """End all terms below `term`."""
        self._require_not_below(term)
        if term > self.fenced_term:
            self.fenced_term = term
            self.save()

    def promote(self, term: int) -> None:
        """Make this member the primary of `term`."""
        self._require_not_below(term)
        if self.is_primary and self.term == term:
            return
        if self.follow_term == term:
            raise MemberError(
                STALE_TERM_ERROR, "45000", f"already a replica in term {term}"
            )
        self.term = self.fenced_term = self.follow_term = term
        self.is_primary = True
        self.source = ""
        self.save()

    def follow(self, term: int, source: str) -> None:
        """Make this member a replica of `source` in `term`."""
        self._require_not_below(term)
        if self.is_primary and self.term == term:
            raise MemberError(
                STALE_TERM_ERROR, "45000", f"already the primary of term {term}"
            )
        self.fenced_term = self.follow_term = term
        self.is_primary = False
        self.source = source
        self.save()

    def join(self) -> bool:
        """Enter the followed term once the log has matched the source's log.

        Returns
        -------
        bool
            Whether the term has changed.
        """
        if self.term == self.follow_term:
            return False
        self.term = self.follow_term
        self.save()
        return True

    def _require_not_below(self, term: int) -> None:
        if term < self.fenced_term:
            raise MemberError(
                STALE_TERM_ERROR,
                "45000",
                f"term {term} is below the fenced term {self.fenced_term}",
            )


def load_state(directory: Path, *, source: str, term: int) -> GroupState:
    """Load the state of a data directory, or store the initial state of a new one."""
    path = directory / "state.json"
    if path.exists():
        return GroupState(path=path, **json.loads(path.read_text()))
    state = GroupState(path, term, term, not source, source, term)
    state.save()
    return state
