"""Addresses of a member of a database group."""

from __future__ import annotations

import attrs


@attrs.define(frozen=True)
class MemberEndpoint:
    """Addresses of one member.

    Parameters
    ----------
    member : str
        Name of the member.
    host : str
        Host name or address.
    port : int
        Port for client statements; subject to the connection limit.
    admin_port : int
        Port of MySQL's administrative interface.
    zone : str
        Availability zone of the member.
    """

    member: str
    host: str
    port: int
    admin_port: int
    zone: str
