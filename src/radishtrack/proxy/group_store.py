"""A promoter's access to the group record in the platform."""

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
    """Raised when the result of a call to the platform is unknown."""


class StoreConflictError(Exception):
    """Raised when the record does not have the expected version."""


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
    """Return the group store of promotions.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform; its highest priority is used.
    """

    async def read(database: str) -> GroupRecord:
        try:
            stored = await client.get(KIND, database, priority=Priority.PROMOTION)
            if stored is None or stored.value is None:
                raise StoreUnavailableError(f"groups/{database} does not exist")
            return parse_record(database, stored.version, stored.value)
        except (PlatformUnavailable, PlatformRefusal, RecordError) as error:
            raise StoreUnavailableError(str(error)) from error

    async def write(record: GroupRecord, expected_version: int) -> int:
        group = record.group
        try:
            result = await client.put_resolving(
                KIND,
                group.database,
                format_record(attrs.evolve(record, has_term_members=True)),
                expected_version,
                group.attempt,
                priority=Priority.PROMOTION,
            )
        except (PlatformUnavailable, PlatformRefusal) as error:
            raise StoreUnavailableError(str(error)) from error
        if isinstance(result, Conflict):
            raise StoreConflictError(
                f"groups/{group.database} has version {result.version}, "
                f"not {expected_version}"
            )
        return result.version

    return GroupStore(read, write)
