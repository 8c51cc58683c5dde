"""Connections to members over the platform's line protocol."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.platform.lines import ConnectionEnded, LineConnection, encode_line
from radishtrack.platform.wire import (
    WireError,
    format_query,
    parse_member_response,
    parse_ready,
    parse_refusal,
)
from radishtrack.pooler.catalog import Member
from radishtrack.pooler.ports import LinkLost, LinkRefused
from radishtrack.pooler.statements import (
    Fence,
    GetStatus,
    MemberResponse,
    MemberStatement,
    Refusal,
    StepDown,
    Unfence,
)
from radishtrack.session.position import Position

STATUS_STATEMENTS: Final = (GetStatus, Fence, Unfence, StepDown)
"""Statements whose result is a status row."""
ORDERS: Final = (Fence, Unfence, StepDown)
"""Statements that must not arrive after the end of the process that sent them."""
MAX_RESPONSE_LINES: Final = 10_000
"""Limit of the lines of a response, which bounds its memory."""


@attrs.define(eq=False)
class WireLink:
    """A connection to a member; implements `MemberLink`."""

    connection: LineConnection
    is_running: bool = False
    """Whether the response to a statement is outstanding."""

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended or received unsolicited input."""
        return self.connection.is_closed or self.connection.has_input

    async def run(
        self,
        statement: MemberStatement,
        *,
        min_position: Position | None,
        timeout_ms: float,
    ) -> MemberResponse:
        """Run a statement; see `MemberLink.run`."""
        if self.is_closed:
            self.connection.close()
            raise LinkLost("connection was closed", is_sent=False)
        self.is_running = True
        is_order = isinstance(statement, ORDERS)
        if is_order:
            self.connection.set_reset_on_close(is_reset=True)
        try:
            self.connection.write(encode_line(format_query(statement, min_position)))
            async with asyncio.timeout(timeout_ms / 1000):
                lines = await self._read_response()
            if is_order:
                self.connection.set_reset_on_close(is_reset=False)
            return parse_member_response(
                lines, has_report=isinstance(statement, STATUS_STATEMENTS)
            )
        except TimeoutError as error:
            self.connection.abort()
            reason = f"no answer within {timeout_ms:.0f} ms"
            raise LinkLost(reason, is_sent=True) from error
        except (ConnectionEnded, WireError) as error:
            self.connection.abort()
            raise LinkLost(str(error), is_sent=True) from error
        except BaseException:
            # The response may still arrive; the next statement must not read it.
            self.connection.abort()
            raise
        finally:
            self.is_running = False

    def watch_end(self, on_end: Callable[[], None]) -> None:
        """Call back once if the connection ends without `close`."""
        self.connection.on_end = on_end

    def close(self) -> None:
        """Close the connection; the member rolls back an open transaction.

        A running statement is given up: unless it has arrived, it never does.
        """
        if self.is_running:
            self.connection.abort()
            return
        if not self.connection.is_closed:
            self.connection.write(encode_line("TERMINATE"))
        self.connection.close()

    async def _read_response(self) -> list[str]:
        lines: list[str] = []
        while len(lines) < MAX_RESPONSE_LINES:
            lines.append(await self.connection.read_line())
            if lines[-1].startswith("READY "):
                return lines
        raise WireError("response has too many lines")


async def open_wire_link(
    member: Member, organisation: str, timeout_ms: float
) -> WireLink:
    """Connect to a member for an organisation; see `OpenLink`."""
    connection: LineConnection | None = None
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                LineConnection, member.host, member.port
            )
            startup = f"STARTUP {member.group} {organisation} {member.name}"
            connection.write(encode_line(startup))
            line = await connection.read_line()
        if line.startswith("READY "):
            parse_ready(line)
            return WireLink(connection)
        connection.close()
        raise _make_refused(parse_refusal(line), line)
    except TimeoutError as error:
        _abort(connection)
        raise LinkRefused(f"no connection within {timeout_ms:.0f} ms") from error
    except (ConnectionEnded, WireError) as error:
        _abort(connection)
        raise LinkRefused(str(error)) from error
    except OSError as error:
        _abort(connection)
        # Only a refused connection shows that nothing listens: members also reset
        # connections beyond their limit.
        has_no_listener = error.errno == errno.ECONNREFUSED
        raise LinkRefused(str(error), has_no_listener=has_no_listener) from error
    except asyncio.CancelledError:
        _abort(connection)
        raise


def _abort(connection: LineConnection | None) -> None:
    if connection is not None:
        connection.abort()


def _make_refused(refusal: Refusal, line: str) -> LinkRefused:
    return LinkRefused(
        line,
        is_wrong_member=refusal is Refusal.WRONG_MEMBER,
        is_full=refusal is Refusal.CONNECTION_LIMIT,
    )
