"""Where a member listens."""

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
        IP address.
    port : int
        Port for statements; connections count against the database's limit.
    admin_port : int
        Port of the administrative interface, without a limit.
    zone : str
        Availability zone.
    """

    member: str
    host: str
    port: int
    admin_port: int
    zone: str
