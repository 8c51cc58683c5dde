"""The group's record in the platform, as a promoter uses it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from radishtrack.group.record import (
    GroupRecord,
    RecordError,
    format_record,
    parse_record,
)
from radishtrack.objects.budget import Priority
from radishtrack.objects.client import PlatformClient
from radishtrack.objects.records import (
    Conflict,
    PlatformRefusal,
    PlatformUnavailable,
)

KIND: Final = "groups"


class StoreUnavailableError(Exception):
    """Raised when a call to the platform has no known result."""


class StoreConflictError(Exception):
    """Raised when the record had another version than expected."""


@attrs.define(frozen=True)
class GroupStore:
    """Access to the records of database groups.

    Parameters
    ----------
    read : callable
        Takes a database and returns its record.
    write : callable
        Takes a record and the expected version, returns the new version.
    """

    read: Callable[[str], Awaitable[GroupRecord]]
    write: Callable[[GroupRecord, int], Awaitable[int]]


def make_group_store(client: PlatformClient) -> GroupStore:
    """Return the access of promotions to the platform.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform; promotions use its highest priority.
    """

    async def read(database: str) -> GroupRecord:
        try:
            found = await client.get(KIND, database, priority=Priority.PROMOTION)
            if found is None or found.value is None:
                raise StoreUnavailableError(f"groups/{database} does not exist")
            return parse_record(database, found.version, found.value)
        except (PlatformUnavailable, PlatformRefusal, RecordError) as error:
            raise StoreUnavailableError(str(error)) from error

    async def write(record: GroupRecord, expected_version: int) -> int:
        group = record.group
        try:
            answer = await client.put_resolving(
                KIND,
                group.database,
                format_record(record),
                expected_version,
                group.attempt,
                priority=Priority.PROMOTION,
            )
        except (PlatformUnavailable, PlatformRefusal) as error:
            raise StoreUnavailableError(str(error)) from error
        if isinstance(answer, Conflict):
            raise StoreConflictError(f"version is {answer.version}")
        return answer.version

    return GroupStore(read, write)
