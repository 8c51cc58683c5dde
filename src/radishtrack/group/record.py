"""Conversion of the platform object ``groups/<database>`` from and to a record."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.group.status import Group
from radishtrack.session.position import TermStart


class RecordError(ValueError):
    """Raised for a value that is not a group record."""


@attrs.define(frozen=True)
class GroupRecord:
    """A group and the endpoints of its members.

    Parameters
    ----------
    group : Group
        The group.
    endpoints : mapping of str to MemberEndpoint
        Endpoint of each member, by name.
    """

    group: Group
    endpoints: Mapping[str, MemberEndpoint]


def parse_record(database: str, version: int, value: Mapping[str, Any]) -> GroupRecord:
    """Return the typed form of a platform value.

    Parameters
    ----------
    database : str
        Name of the object.
    version : int
        Version of the object.
    value : mapping
        The object's value.

    Returns
    -------
    GroupRecord
        The record.

    Raises
    ------
    RecordError
        If a field is missing or is malformed.
    """
    try:
        endpoints = {
            member: MemberEndpoint(
                member,
                str(fields["host"]),
                int(fields["port"]),
                int(fields["admin_port"]),
                str(fields["zone"]),
            )
            for member, fields in value["members"].items()
        }
        history = tuple(
            TermStart(int(term), int(start)) for term, start in value["history"]
        )
        group = Group(
            database=database,
            version=version,
            term=int(value["term"]),
            primary=str(value["primary"]),
            members=tuple(endpoints),
            history=tuple(sorted(history, key=lambda start: start.term)),
            attempt=str(value.get("attempt", "")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        message = f"groups/{database} is not a group record: {error!r}"
        raise RecordError(message) from error
    if group.primary not in endpoints:
        raise RecordError(
            f"groups/{database} names a primary that is not among its members"
        )
    return GroupRecord(group, endpoints)


def format_record(record: GroupRecord) -> dict[str, Any]:
    """Return the platform value of a record; the version is not part of it."""
    group = record.group
    return {
        "term": group.term,
        "primary": group.primary,
        "members": {
            endpoint.member: {
                "host": endpoint.host,
                "port": endpoint.port,
                "admin_port": endpoint.admin_port,
                "zone": endpoint.zone,
            }
            for endpoint in record.endpoints.values()
        },
        "history": [[start.term, start.sequence] for start in group.history],
        "attempt": group.attempt,
    }
