"""Conversion of the platform object ``groups/<database>`` from and to a record."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.group.status import Group
from radishtrack.session.position import TermStart


class RecordError(ValueError):
    """Raised for a value that is not a group record."""


@attrs.define(frozen=True)
class GroupRecord:
    """A group and the endpoints of the members of this and of the next term.

    Parameters
    ----------
    group : Group
        The group.
    endpoints : mapping of str to MemberEndpoint
        Endpoint of each member, by name.
    has_term_members : bool
        Whether the platform's object names the members of the term, and not only those
        that operators want.
    """

    group: Group
    endpoints: Mapping[str, MemberEndpoint]
    has_term_members: bool = True


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
        endpoints = _parse_endpoints(value["members"])
        has_term_members = "term_members" in value
        in_term = endpoints
        if has_term_members:
            in_term = _parse_endpoints(value["term_members"])
        is_changed = in_term.keys() != endpoints.keys()
        history = tuple(
            TermStart(int(term), int(start)) for term, start in value["history"]
        )
        group = Group(
            database=database,
            version=version,
            term=int(value["term"]),
            primary=str(value["primary"]),
            members=tuple(in_term),
            history=tuple(sorted(history, key=lambda start: start.term)),
            attempt=str(value.get("attempt", "")),
            next_members=tuple(endpoints) if is_changed else (),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        message = f"groups/{database} is not a group record: {error!r}"
        raise RecordError(message) from error
    if group.primary not in in_term:
        raise RecordError(
            f"groups/{database} names a primary that is not among its members"
        )
    return GroupRecord(group, {**in_term, **endpoints}, has_term_members)


def keep_term_members(record: GroupRecord, known: GroupRecord) -> GroupRecord:
    """Return a record with the members of its term.

    Parameters
    ----------
    record : GroupRecord
        A record that may not name the members of its term.
    known : GroupRecord
        The record that was known before.

    Returns
    -------
    GroupRecord
        If operators have changed the list of the known term, the change counts from the
        next term on.
    """
    group, former = record.group, known.group
    if record.has_term_members or group.term != former.term:
        return record
    if set(group.members) == set(former.members):
        return record
    kept = {
        member: endpoint
        for member, endpoint in known.endpoints.items()
        if member in former.members
    }
    return attrs.evolve(
        record,
        group=attrs.evolve(group, members=former.members, next_members=group.members),
        endpoints={**kept, **record.endpoints},
    )


def format_record(record: GroupRecord) -> dict[str, Any]:
    """Return the platform value of a record; the version is not part of it."""
    group = record.group
    value = {
        "term": group.term,
        "primary": group.primary,
        "members": _format_endpoints(record, group.next_members or group.members),
        "history": [[start.term, start.sequence] for start in group.history],
        "attempt": group.attempt,
    }
    if record.has_term_members or group.next_members:
        value["term_members"] = _format_endpoints(record, group.members)
    return value


def _parse_endpoints(value: Mapping[str, Any]) -> dict[str, MemberEndpoint]:
    return {
        member: MemberEndpoint(
            member,
            str(fields["host"]),
            int(fields["port"]),
            int(fields["admin_port"]),
            str(fields["zone"]),
        )
        for member, fields in value.items()
    }


def _format_endpoints(record: GroupRecord, members: Iterable[str]) -> dict[str, Any]:
    return {
        endpoint.member: {
            "host": endpoint.host,
            "port": endpoint.port,
            "admin_port": endpoint.admin_port,
            "zone": endpoint.zone,
        }
        for member, endpoint in record.endpoints.items()
        if member in members
    }
