"""Decoding of the operators' configuration, members' entries and node records."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable, Iterator
from typing import Any, Final, TypeVar

from radishtrack.group.status import Role
from radishtrack.platform.object_store import StoredObject
from radishtrack.pooler.catalog import (
    Catalog,
    GroupSettings,
    Member,
    MemberProcess,
    NodeRecord,
    Organisation,
    ReadClass,
    Route,
    digest_key,
)
from radishtrack.pooler.pacing import pace
from radishtrack.pooler.ports import ReplicaSet

READ_CLASSES: Final = {
    "primary": ReadClass.STRICT,
    "session": ReadClass.SESSION,
    "bounded_staleness": ReadClass.AGED,
}
ROLES: Final = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
IS_LEAVING_BY_STATE: Final = {"ready": False, "draining": True}
"""Whether a member in this state is leaving."""

MAX_INTEGER: Final = 2**63 - 1
MAX_NAME_LENGTH: Final = 256
"""Longest name of a member, node, group or zone; each is passed on many times."""
MAX_SLOTS: Final = 100_000
MAX_HOST_LENGTH: Final = 253
"""Longest host name, by RFC 1035."""
HOST_PATTERN: Final = re.compile(
    r"(?:[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?\.)*"
    r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
)

_T = TypeVar("_T")
ReportInvalid = Callable[[str, Exception], None]
"""Called with the name of an invalid object and the error."""


class DocumentError(ValueError):
    """Raised for an object whose fields are missing or of another type."""


async def parse_catalog(stored: StoredObject) -> Catalog:
    """Return a version of the configuration; other tasks run meanwhile.

    Raises
    ------
    DocumentError
        If the configuration is invalid.
    """
    spec = stored.spec
    try:
        routes = [_parse_route(item) async for item in pace(spec["routes"])]
        organisations: dict[str, Organisation] = {}
        key_owners: dict[bytes, Organisation] = {}
        for item in spec["tenants"]:
            organisation = Organisation(
                name=_text(item, "name"),
                rate_per_s=_number(item, "ratePerS"),
                burst=_number(item, "burst"),
            )
            organisations[organisation.name] = organisation
            for key in item["apiKeys"]:
                key_owners[digest_key(key)] = organisation
        groups = [_parse_group(item) for item in spec["services"]]
        return Catalog(
            version=_integer(spec, "version"),
            routes={route.database: route for route in routes},
            organisations=organisations,
            key_owners=key_owners,
            groups={group.name: group for group in groups},
            idle_transaction_ms=_number(spec["limits"], "txIdleMs"),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"configuration: {error!r}") from error


def _parse_route(item: Any) -> Route:
    read_class = READ_CLASSES[item["kind"]]
    needs_age = read_class is not ReadClass.STRICT
    return Route(
        # `host` is the database name to which clients connect.
        database=_text(item, "host"),
        group=_text(item, "service"),
        read_class=read_class,
        max_age_ms=_number(item, "maxStalenessMs") if needs_age else 0.0,
        # Limit of one statement; the objective is for the whole operation.
        statement_timeout_ms=_number(item, "timeoutMs"),
        objective_ms=_number(item, "objectiveMs"),
        priority=_integer(item, "priority"),
        is_open=bool(item.get("public", False)),
    )


def _parse_group(item: Any) -> GroupSettings:
    return GroupSettings(
        name=_text(item, "name"),
        max_connections=_integer(item, "maxConns"),
        synchronous_replicas=_integer(item, "syncReplicas")
        if "syncReplicas" in item
        else 0,
    )


def parse_member(stored: StoredObject) -> Member:
    """Return a member's entry.

    Raises
    ------
    DocumentError
        If the entry is invalid.
    """
    spec = stored.spec
    try:
        host, port = parse_address(_text(spec, "address"))
        return Member(
            name=_check_name("name", stored.name),
            group=_name(spec, "service"),
            host=host,
            port=port,
            zone=_name(spec, "zone"),
            slots=_slots(spec),
            is_leaving=IS_LEAVING_BY_STATE[spec["state"]],
            role=ROLES[spec["dbRole"]],
            # Only this field changes on a restart under the same name.
            started_ms=_integer(spec, "born") if "born" in spec else 0,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise DocumentError(f"member entry: {error!r}") from error


def render_node(node: NodeRecord) -> dict[str, object]:
    """Return the spec of the object that holds a node's record."""
    return {
        "name": node.name,
        "host": node.host,
        "port": node.port,
        "zone": node.zone,
        "startedMs": node.started_ms,
        "cores": node.cores,
    }


def parse_node(stored: StoredObject) -> NodeRecord:
    """Return a node's record.

    Raises
    ------
    DocumentError
        If the record is invalid.
    """
    spec = stored.spec
    try:
        return NodeRecord(
            name=_name(spec, "name"),
            host=_check_host(_text(spec, "host")),
            port=_check_port(_integer(spec, "port")),
            zone=_name(spec, "zone"),
            started_ms=_integer(spec, "startedMs"),
            # Records of earlier versions of this program don't name it.
            cores=_number(spec, "cores") if "cores" in spec else 0.0,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise DocumentError(f"node record: {error!r}") from error


def render_replica_set(replica_set: ReplicaSet) -> dict[str, object]:
    """Return the spec of the object that holds a group's replica set."""
    return {
        "term": replica_set.term,
        "primary": replica_set.primary,
        "holders": _render_processes(replica_set.holders),
        # Earlier versions of this program need the field. They take the processes in it
        # for ended, which refused connections don't show.
        "ended": [],
        "size": replica_set.size,
    }


def parse_replica_set(stored: StoredObject) -> ReplicaSet:
    """Return a group's replica set.

    Raises
    ------
    DocumentError
        If the record is invalid.
    """
    spec = stored.spec
    try:
        primary = spec["primary"]
        if not isinstance(primary, str):
            raise TypeError("primary is not a string")
        return ReplicaSet(
            term=_integer(spec, "term"),
            primary=primary,
            holders=_parse_processes(spec["holders"]),
            # Records of earlier versions of this program don't name it.
            size=_integer(spec, "size") if "size" in spec else 0,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"replica set: {error!r}") from error


def _render_processes(processes: frozenset[MemberProcess]) -> list[dict[str, object]]:
    return [
        {"name": process.name, "startedMs": process.started_ms}
        for process in sorted(processes)
    ]


def _parse_processes(items: Any) -> frozenset[MemberProcess]:
    return frozenset(
        MemberProcess(_text(item, "name"), _integer(item, "startedMs"))
        for item in items
    )


def parse_valid(
    stored: Iterator[StoredObject],
    parse: Callable[[StoredObject], _T],
    report_invalid: ReportInvalid,
) -> Iterator[_T]:
    """Yield the valid objects, parsed, and report the others."""
    for item in stored:
        try:
            yield parse(item)
        except DocumentError as error:
            report_invalid(item.name, error)


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Raises
    ------
    ValueError
        If the text does not have this form.
    """
    host, colon, port = text.rpartition(":")
    if not host or not colon or not (port.isascii() and port.isdecimal()):
        raise ValueError(f"not an address: {text[:60]!r}")
    return _check_host(host), _check_port(int(port))


def _check_host(host: str) -> str:
    """Return a host that is an IPv4 address or a valid name."""
    if not HOST_PATTERN.fullmatch(host) or len(host) > MAX_HOST_LENGTH:
        raise ValueError(f"not a host: {host[:60]!r}")
    if host.rpartition(".")[2].isdecimal():
        return str(ipaddress.IPv4Address(host))
    return host


def _check_port(port: int) -> int:
    if not 0 < port < 65536:
        raise ValueError("port is out of range")
    return port


def _name(item: Any, field: str) -> str:
    return _check_name(field, item[field])


def _check_name(field: str, value: Any) -> str:
    """Return a name that can be a field of the line protocol."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"{field} is not a name")
    if not value.isprintable() or " " in value:
        raise ValueError(f"{field} has blanks or unprintable characters")
    return value


def _text(item: Any, field: str) -> str:
    value = item[field]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{field} is not a non-empty string")
    return value


def _integer(item: Any, field: str) -> int:
    value = item[field]
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{field} is not an integer")
    if abs(value) > MAX_INTEGER:
        raise ValueError(f"{field} is out of range")
    return value


def _slots(item: Any) -> int:
    slots = _integer(item, "slots")
    if not 0 < slots <= MAX_SLOTS:
        raise ValueError("slots is out of range")
    return slots


def _number(item: Any, field: str) -> float:
    value = item[field]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{field} is not a number")
    # JSON allows integers of any size, and the parser also accepts NaN and Infinity.
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"{field} is out of range")
    return float(value)
