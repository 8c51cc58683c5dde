"""Control port of a member: fault switches and state, as JSON over HTTP."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

import attrs
from aiohttp import web

from radishtrack_standins.member_core import STATUS_COLUMNS
from radishtrack_standins.member_faults import Faults

if TYPE_CHECKING:
    from radishtrack_standins.member_core import Member

SWITCHES: Final = frozenset(
    field.name for field in attrs.fields(Faults) if field.name != "changed"
)


def make_control(member: Member) -> web.Application:
    """Return the HTTP application.

    ``POST /control`` sets switches of `Faults` by name. ``GET /status``,
    ``/statements?contains=TEXT``, ``/connections`` and ``/rows/{table}`` return the
    member's state, its observations and its data.
    """

    async def control(request: web.Request) -> web.Response:
        values = await request.json()
        unknown = set(values) - SWITCHES
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown switches: {sorted(unknown)}")
        member.faults.set(**values)
        return web.json_response(
            {name: getattr(member.faults, name) for name in values}
        )

    async def status(_: web.Request) -> web.Response:
        row = member.status_row()
        return web.json_response(dict(zip(STATUS_COLUMNS, row, strict=True)))

    async def statements(request: web.Request) -> web.Response:
        observed = member.observed
        fragment = request.query.get("contains", "")
        return web.json_response(
            {
                "statements": [
                    attrs.asdict(statement)
                    for statement in observed.statements
                    if fragment in statement.text
                ],
                "total": observed.statements_total,
                "attributes": observed.attributes,
                "users": observed.users,
            }
        )

    async def connections(_: web.Request) -> web.Response:
        observed = member.observed
        return web.json_response(
            {
                "now": observed.connections,
                "at_most": observed.connections_at_most,
                "opened": observed.connections_opened,
                "refused": observed.connections_refused,
            }
        )

    async def rows(request: web.Request) -> web.Response:
        table = request.match_info["table"]
        if not re.fullmatch(r"\w+", table):
            raise web.HTTPBadRequest(text="invalid table name")
        table_row = member.log.writer.execute(
            "SELECT 1 FROM sqlite_master WHERE name = ?", (table,)
        ).fetchone()
        if table_row is None:
            raise web.HTTPNotFound(text=table)
        cursor = member.log.writer.execute(f'SELECT * FROM "{table}" ORDER BY 1')
        names = [column[0] for column in cursor.description]
        return web.json_response({"columns": names, "rows": cursor.fetchall()})

    application = web.Application()
    application.router.add_post("/control", control)
    application.router.add_get("/status", status)
    application.router.add_get("/statements", statements)
    application.router.add_get("/connections", connections)
    application.router.add_get("/rows/{table}", rows)
    return application
